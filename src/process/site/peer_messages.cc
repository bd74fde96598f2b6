#include "process/site/peer_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "process/site/packed_message.h"
#include "request/bounded_json.h"
#include "request/text_compression.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// By this time after an outage was confirmed, all that was started without a record has ended: the
// owner continues for 3.5 s and 0.65 s more, and the start's lease is 4 s by a clock that may be
// 2 % slow.
constexpr milliseconds kUnrecordedStartLifetime{9000};
// An owner's view of the entries may be 3.5 s old (a watch that hangs). An entry that has been
// registered for longer than that plus kUnrecordedStartLifetime was asked by every owner whose
// unrecorded starts may still run.
constexpr milliseconds kMinRegistration{12500};

// Applies `read` to the parsed text; returns nothing if a field is missing or has a wrong type.
template <typename T, typename Read>
std::optional<T> Parse(std::string_view text, Read read) {
  const json in = ParseJson(text);
  if (!in.is_object()) return std::nullopt;
  T out;
  try {
    read(in, out);
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return out;
}

// Messages with lists of instances are long: MessagePack, compressed for a busy link.
std::string ToPackedBytes(const json& message, bool compressed) {
  std::string out = PackMessage(message);
  return compressed ? CompressText(out) : out;
}

template <typename T, typename Read>
std::optional<T> ParsePacked(std::string_view bytes, Read read) {
  const auto plain = DecompressText(bytes);
  return plain ? UnpackMessage<T>(*plain, read, kMaxRequestJsonBytes) : std::nullopt;
}

}  // namespace

std::string PeerPhaseReplyToText(const peer_phase_reply& state) {
  json out{{"owns", state.owns}};
  if (state.phase) out["phase"] = static_cast<int>(*state.phase);
  return out.dump();
}

std::optional<peer_phase_reply> PeerPhaseReplyFromText(std::string_view text) {
  return Parse<peer_phase_reply>(text, [](const json& in, peer_phase_reply& out) {
    out.owns = in.at("owns").get<bool>();
    if (!in.contains("phase")) return;
    const int phase = WholeFrom<int>(in.at("phase"));
    if (phase < 0 || phase > static_cast<int>(graph_phase::kCancelled)) return;
    out.phase = static_cast<graph_phase>(phase);
  });
}

std::string PeerPendingReplyToText(const peer_pending_reply& pending) {
  return json{{"owns", pending.owns}, {"pending", pending.pending}}.dump();
}

std::optional<peer_pending_reply> PeerPendingReplyFromText(std::string_view text) {
  return Parse<peer_pending_reply>(text, [](const json& in, peer_pending_reply& out) {
    out.owns = in.at("owns").get<bool>();
    out.pending = WholeFrom<size_t>(in.at("pending"));
  });
}

std::string PeerHealthToText(const peer_health& health) {
  return json{{"store_ms", health.store_age.count()}, {"epoch", health.epoch}}.dump();
}

std::optional<peer_health> PeerHealthFromText(std::string_view text) {
  return Parse<peer_health>(text, [](const json& in, peer_health& out) {
    out.store_age = DurationFrom(in.at("store_ms"));
    out.epoch = WholeFrom<uint64_t>(in.at("epoch"));
  });
}

std::string PeerVersionReplyToText(const peer_version_reply& reply) {
  return json{{"number", reply.version.number},
              {"revision", reply.version.revision},
              {"age_ms", reply.version.age.count()},
              {"evacuated", reply.evacuated.Names()},
              {"evacuated_revision", reply.evacuated.Revision()}}
             .dump() +
         "\n" + reply.text;
}

std::optional<peer_version_reply> PeerVersionReplyFromText(std::string_view text) {
  const size_t end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  auto out =
      Parse<peer_version_reply>(text.substr(0, end), [](const json& in, peer_version_reply& read) {
        read.version.number = WholeFrom<uint64_t>(in.at("number"));
        read.version.revision = WholeFrom<uint64_t>(in.at("revision"));
        read.version.age = DurationFrom(in.at("age_ms"));
        read.evacuated.Replace(in.at("evacuated").get<std::set<std::string>>(),
                               WholeFrom<uint64_t>(in.at("evacuated_revision")));
      });
  if (out) out->text = text.substr(end + 1);
  return out;
}

std::string PeerLivenessToText(const peer_liveness& liveness) {
  return json{{"nonce", liveness.nonce}, {"busy", liveness.busy}}.dump();
}

std::optional<peer_liveness> PeerLivenessFromText(std::string_view text) {
  return Parse<peer_liveness>(text, [](const json& in, peer_liveness& out) {
    out.nonce = WholeFrom<uint64_t>(in.at("nonce"));
    out.busy = in.value("busy", false);
  });
}

std::string OwnerLivenessToText(liveness answer) {
  return json{{"owner", static_cast<int>(answer)}}.dump();
}

std::optional<liveness> OwnerLivenessFromText(std::string_view text) {
  const auto owner =
      Parse<int>(text, [](const json& in, int& out) { out = WholeFrom<int>(in.at("owner")); });
  if (!owner || *owner < 0 || *owner > static_cast<int>(liveness::kSilent)) return std::nullopt;
  return static_cast<liveness>(*owner);
}

std::string OutageReportToText(const outage_report& report) {
  json out{{"registered_ms", report.registered.count()}};
  if (report.confirmed_age) out["confirmed_ms"] = report.confirmed_age->count();
  return out.dump();
}

std::optional<outage_report> OutageReportFromText(std::string_view text) {
  return Parse<outage_report>(text, [](const json& in, outage_report& out) {
    out.registered = DurationFrom(in.at("registered_ms"));
    if (in.contains("confirmed_ms")) {
      out.confirmed_age = DurationFrom(in.at("confirmed_ms"));
    }
  });
}

bool RulesOutUnrecordedStarts(const outage_report& report) {
  const bool confirmed = report.confirmed_age && *report.confirmed_age < kUnrecordedStartLifetime;
  return report.registered >= kMinRegistration && !confirmed;
}

std::string PeerAdviceRequestToText(const peer_advice_request& request) {
  const advice_query& order = request.order;
  return ToPackedBytes(json::array({order.job, order.occurrence, order.step, order.instances,
                                    request.timeout.count(), request.compressed}),
                       request.compressed);
}

std::optional<peer_advice_request> PeerAdviceRequestFromText(std::string_view text) {
  return ParsePacked<peer_advice_request>(text, [](json& in, peer_advice_request& out) {
    out.order.job = in.at(0).get<std::string>();
    out.order.occurrence = WholeFrom<uint32_t>(in.at(1));
    out.order.step = WholeFrom<uint32_t>(in.at(2));
    out.order.instances = in.at(3).get<std::vector<std::string>>();
    out.timeout = DurationFrom(in.at(4));
    out.compressed = in.at(5).get<bool>();
  });
}

std::string PeerAdviceReplyToText(const advice_answer& answer, bool compressed) {
  json allowed = json::array();
  for (const auto& [instance, ticket] : answer.allowed) {
    allowed.push_back(instance);
    allowed.push_back(ticket);
  }
  return ToPackedBytes(
      json::array({answer.answered, answer.overloaded, answer.valid.count(), std::move(allowed)}),
      compressed);
}

std::optional<advice_answer> PeerAdviceReplyFromText(std::string_view text) {
  return ParsePacked<advice_answer>(text, [](json& in, advice_answer& out) {
    out.answered = in.at(0).get<bool>();
    out.overloaded = in.at(1).get<bool>();
    out.valid = DurationFrom(in.at(2));
    json& allowed = in.at(3);
    out.allowed.reserve(allowed.size() / 2);
    for (size_t i = 0; i + 1 < allowed.size(); i += 2) {
      out.allowed.emplace_back(std::move(allowed.at(i).get_ref<std::string&>()),
                               std::move(allowed.at(i + 1).get_ref<std::string&>()));
    }
  });
}

}  // namespace catkinford
