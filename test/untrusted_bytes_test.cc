// Each decoder of bytes that another process wrote, with bytes that no process of ours writes.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>

#include "platform/codecs.h"
#include "platform/instance_calls.h"
#include "platform/listing_reader.h"
#include "process/admission/admission_figures.h"
#include "process/learned/learned_record.h"
#include "process/message.h"
#include "process/scheduling/graph_state.h"
#include "process/site/call_messages.h"
#include "process/site/handover_exchange.h"
#include "process/site/peer_messages.h"
#include "process/site/site_records.h"
#include "process/site/start_messages.h"
#include "request/json_text.h"
#include "request/text_compression.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

// True if the bytes were taken for a message.
using decoder = std::function<bool(const std::string&)>;

template <typename Decode>
bool Succeeds(Decode decode) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        auto decoded = decode();
        if (!decoded) return decoded.error();
        return true;
      },
      [] { return false; });
}

class untrusted_bytes_fixture {
 protected:
  // By what they decode.
  const std::map<std::string, decoder> decoders{
      {"relayed calls", [](const auto& in) { return RelayedCallsFromBytes(in).has_value(); }},
      {"relayed results", [](const auto& in) { return RelayedResultsFromBytes(in).has_value(); }},
      {"handover", [](const auto& in) { return PeerHandoverFromText(in).has_value(); }},
      {"advice request", [](const auto& in) { return PeerAdviceRequestFromText(in).has_value(); }},
      {"advice answer", [](const auto& in) { return PeerAdviceReplyFromText(in).has_value(); }},
      {"phase", [](const auto& in) { return PeerPhaseReplyFromText(in).has_value(); }},
      {"pending", [](const auto& in) { return PeerPendingReplyFromText(in).has_value(); }},
      {"health", [](const auto& in) { return PeerHealthFromText(in).has_value(); }},
      {"version", [](const auto& in) { return PeerVersionReplyFromText(in + "\n").has_value(); }},
      {"liveness", [](const auto& in) { return PeerLivenessFromText(in).has_value(); }},
      {"owner's liveness", [](const auto& in) { return OwnerLivenessFromText(in).has_value(); }},
      {"outage report", [](const auto& in) { return OutageReportFromText(in).has_value(); }},
      {"figures", [](const auto& in) { return AdmissionFiguresFromText(in).has_value(); }},
      {"learned", [](const auto& in) { return LearnedFromText(in, wall_time{}).has_value(); }},
      {"starts", [](const auto& in) { return ForwardedStartsFromText(in).has_value(); }},
      {"results", [](const auto& in) { return StartResultsFromText(in).has_value(); }},
      {"entry", [](const auto& in) { return EntryFromText(in).has_value(); }},
      {"owner", [](const auto& in) { return OwnerFromText(in).has_value(); }},
      {"fleet", [](const auto& in) { return !FleetFromText(in).empty(); }},
      {"job", [](const auto& in) { return Succeeds([&] { return JobFromText(in); }); }},
      {"progress",
       [](const auto& in) {
         job_entry entry;
         entry.job = Job(1, {Tasks(1, 1, std::chrono::seconds(1))});
         return ApplyProgress(entry, in, monotonic_time{});
       }},
      {"listing", [](const auto& in) { return platform::ReadListing(in).has_value(); }},
      {"command",
       [](const auto& in) { return platform::ReadCommandFields(in).clock_ms.has_value(); }},
      {"configuration",
       [](const auto& in) { return Succeeds([&] { return platform::DecodeVersion(in); }); }},
      {"registration",
       [](const auto& in) {
         return Succeeds([&] { return platform::DecodeRegistration("servers/i", in); });
       }},
      {"submission",
       [](const auto& in) {
         return Succeeds([&] { return platform::DecodeSubmission("00000000000000ab", in); });
       }},
  };

  void CheckUnread(const std::string& bytes) {
    for (const auto& [name, decode] : decoders) {
      INFO(name);
      CHECK_FALSE(decode(bytes));
      // Texts from a hundred bytes on travel compressed.
      CHECK_FALSE(decode(CompressText(bytes)));
    }
  }
};

// Guards against a process that ends: one call of 200,000 bytes to an owner used up its stack.
TEST_CASE_METHOD(untrusted_bytes_fixture, "decoder, deeply nested bytes, rejects them") {
  CheckUnread(std::string(200'000, '\x91'));
  CheckUnread(std::string(200'000, '\x81'));
  CheckUnread(std::string(300'000, '['));
  CheckUnread(std::string(150'000, '[') + std::string(150'000, ']'));
  std::string objects;
  for (int i = 0; i < 100'000; ++i) objects += R"({"steps":)";
  CheckUnread(objects);
}

TEST_CASE_METHOD(untrusted_bytes_fixture, "decoder, no message at all, rejects it") {
  for (const std::string& bytes : {std::string(), std::string("\0", 1), std::string("\xff\xfe"),
                                   std::string("\xdd\xff\xff\xff\xff"), std::string("null"),
                                   std::string("1e400"), std::string("{"), std::string("\"x\"")}) {
    CheckUnread(bytes);
  }
}

// Guards against run 4,294,967,297 that is taken for run 1, and against other numbers that wrap.
TEST_CASE_METHOD(untrusted_bytes_fixture, "decoder, number beyond its field, rejects the message") {
  const auto rejected = [this](const char* name, const std::string& good, const std::string& bad) {
    INFO(name << ": " << bad);
    CHECK(decoders.at(name)(good));
    CHECK_FALSE(decoders.at(name)(bad));
  };
  rejected("listing", R"({"clock-ms":1,"running":[["a.0.0.0",1,"",2.5]],"ended":[]})",
           R"({"clock-ms":1,"running":[["a.0.0.0",4294967297,"",2.5]],"ended":[]})");
  rejected("listing", R"({"clock-ms":1,"running":[["a.0.0.0",1,"",1e1]],"ended":[]})",
           R"({"clock-ms":1,"running":[["a.0.0.0",1,"",1e300]],"ended":[]})");
  rejected("listing", R"({"clock-ms":1,"born":17.0,"running":[],"ended":[]})",
           R"({"clock-ms":1,"born":17.5,"running":[],"ended":[]})");
  rejected("results", "[[1,true,0]]", "[[18446744073709551616,true,0]]");
  rejected("health", R"({"store_ms":1,"epoch":1})", R"({"store_ms":1e300,"epoch":1})");
  rejected("health", R"({"store_ms":1,"epoch":1})", R"({"store_ms":1,"epoch":-1})");
  rejected("entry", R"({"name":"a","address":"a:1","domain":"d","nonce":1,"strength":1})",
           R"({"name":"a","address":"a:1","domain":"d","nonce":1,"strength":1e300})");
  rejected("submission", R"({"steps":[{"count":1,"cpu":500.5,"estimate-ms":10.5}]})",
           R"({"steps":[{"count":1,"cpu":1e300,"estimate-ms":10.5}]})");
  rejected("submission", R"({"steps":[{"count":1,"estimate-ms":10}]})",
           R"({"steps":[{"count":1,"estimate-ms":1e300}]})");
  rejected("submission", R"({"steps":[{"count":1,"after":[]}]})",
           R"({"steps":[{"count":1,"after":[4294967296]}]})");
  rejected("configuration", R"({"version":1,"routes":[]})", R"({"version":1e300,"routes":[]})");
  const std::string route = R"({"name":"q","host":"h","prefix":"/","service":"s")";
  rejected("configuration", R"({"version":1,"routes":[)" + route + R"(,"priority":2.0}]})",
           R"({"version":1,"routes":[)" + route + R"(,"priority":1e300}]})");
  rejected("configuration",
           R"({"version":1,"routes":[)" + route + R"(,"advice":{"per-item-ms":0.5}}]})",
           R"({"version":1,"routes":[)" + route + R"(,"advice":{"per-item-ms":1e300}}]})");
}

}  // namespace
}  // namespace catkinford
