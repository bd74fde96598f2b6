#include "process/site/peer_words.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "request/text_compression.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// What an owner started without a record after such a confirmation has ended by then: the owner
// goes on for 3.5 s and 0.65 s more, and the start's lease is 4 s by a clock that may be 2 % slow.
constexpr milliseconds kUnrecordedMatter{9000};
// An owner's view of the entries may be this old at most (a watch that hangs: 3.5 s), so one that
// was registered for longer than that and kUnrecordedMatter was asked by any owner that matters.
constexpr milliseconds kSteadyEntry{12500};

// Runs `read` over the parsed text; nothing where a field is missing or of another type.
template <typename T, typename Read>
std::optional<T> Parse(std::string_view text, Read read) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  T out;
  try {
    read(in, out);
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return out;
}

// Lists of instances are long: they travel packed.
template <typename T, typename Read>
std::optional<T> ParsePacked(std::string_view bytes, Read read) {
  const auto text = DecompressText(bytes);
  return text ? Parse<T>(*text, read) : std::nullopt;
}

}  // namespace

std::string ToldPhaseToText(const told_phase& state) {
  json out{{"owns", state.owns}};
  if (state.phase) out["phase"] = static_cast<int>(*state.phase);
  return out.dump();
}

std::optional<told_phase> ToldPhaseFromText(std::string_view text) {
  return Parse<told_phase>(text, [](const json& in, told_phase& out) {
    out.owns = in.at("owns").get<bool>();
    if (!in.contains("phase")) return;
    const int phase = in.at("phase").get<int>();
    if (phase < 0 || phase > static_cast<int>(graph_phase::kCancelled)) return;
    out.phase = static_cast<graph_phase>(phase);
  });
}

std::string ToldPendingToText(const told_pending& pending) {
  return json{{"owns", pending.owns}, {"pending", pending.pending}}.dump();
}

std::optional<told_pending> ToldPendingFromText(std::string_view text) {
  return Parse<told_pending>(text, [](const json& in, told_pending& out) {
    out.owns = in.at("owns").get<bool>();
    out.pending = in.at("pending").get<size_t>();
  });
}

std::string PeerHealthToText(const peer_health& health) {
  return json{{"store_ms", health.store_age.count()}, {"epoch", health.epoch}}.dump();
}

std::optional<peer_health> PeerHealthFromText(std::string_view text) {
  return Parse<peer_health>(text, [](const json& in, peer_health& out) {
    out.store_age = milliseconds(in.at("store_ms").get<int64_t>());
    out.epoch = in.at("epoch").get<uint64_t>();
  });
}

std::string ToldVersionToText(const told_version& told) {
  return json{{"number", told.version.number},
              {"revision", told.version.revision},
              {"age_ms", told.version.age.count()}}
             .dump() +
         "\n" + told.text;
}

std::optional<told_version> ToldVersionFromText(std::string_view text) {
  const size_t end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  auto out = Parse<told_version>(text.substr(0, end), [](const json& in, told_version& read) {
    read.version.number = in.at("number").get<uint64_t>();
    read.version.revision = in.at("revision").get<uint64_t>();
    read.version.age = milliseconds(in.at("age_ms").get<int64_t>());
  });
  if (out) out->text = text.substr(end + 1);
  return out;
}

std::string AliveToText(const told_alive& alive) {
  return json{{"nonce", alive.nonce}, {"busy", alive.busy}}.dump();
}

std::optional<told_alive> AliveFromText(std::string_view text) {
  return Parse<told_alive>(text, [](const json& in, told_alive& out) {
    out.nonce = in.at("nonce").get<uint64_t>();
    out.busy = in.value("busy", false);
  });
}

std::string LookToText(alive_answer answer) {
  return json{{"owner", static_cast<int>(answer)}}.dump();
}

std::optional<alive_answer> LookFromText(std::string_view text) {
  const auto owner =
      Parse<int>(text, [](const json& in, int& out) { out = in.at("owner").get<int>(); });
  if (!owner || *owner < 0 || *owner > static_cast<int>(alive_answer::kSilent)) return std::nullopt;
  return static_cast<alive_answer>(*owner);
}

std::string OwnerWitnessToText(const owner_witness& witness) {
  json out{{"registered_ms", witness.registered.count()}};
  if (witness.confirmed_age) out["confirmed_ms"] = witness.confirmed_age->count();
  return out.dump();
}

std::optional<owner_witness> OwnerWitnessFromText(std::string_view text) {
  return Parse<owner_witness>(text, [](const json& in, owner_witness& out) {
    out.registered = milliseconds(in.at("registered_ms").get<int64_t>());
    if (in.contains("confirmed_ms")) {
      out.confirmed_age = milliseconds(in.at("confirmed_ms").get<int64_t>());
    }
  });
}

bool RulesOutUnrecordedStarts(const owner_witness& witness) {
  const bool confirmed = witness.confirmed_age && *witness.confirmed_age < kUnrecordedMatter;
  return witness.registered >= kSteadyEntry && !confirmed;
}

std::string PeerQuestionToText(const peer_question& question) {
  const advice_order& order = question.order;
  const json out{{"job", order.job},
                 {"occurrence", order.occurrence},
                 {"step", order.step},
                 {"instances", order.instances},
                 {"timeout_ms", question.timeout.count()}};
  return CompressText(out.dump());
}

std::optional<peer_question> PeerQuestionFromText(std::string_view text) {
  return ParsePacked<peer_question>(text, [](const json& in, peer_question& out) {
    out.order.job = in.at("job").get<std::string>();
    out.order.occurrence = in.at("occurrence").get<uint32_t>();
    out.order.step = in.at("step").get<uint32_t>();
    out.order.instances = in.at("instances").get<std::vector<std::string>>();
    out.timeout = milliseconds(in.at("timeout_ms").get<int64_t>());
  });
}

std::string PeerAdviceToText(const advice_answer& answer) {
  const json out{{"answered", answer.answered},
                 {"overloaded", answer.overloaded},
                 {"allowed", answer.allowed},
                 {"valid_ms", answer.valid.count()}};
  return CompressText(out.dump());
}

std::optional<advice_answer> PeerAdviceFromText(std::string_view text) {
  return ParsePacked<advice_answer>(text, [](const json& in, advice_answer& out) {
    out.answered = in.at("answered").get<bool>();
    out.overloaded = in.at("overloaded").get<bool>();
    out.allowed = in.at("allowed").get<std::vector<std::pair<std::string, std::string>>>();
    out.valid = milliseconds(in.at("valid_ms").get<int64_t>());
  });
}

}  // namespace catkinford
