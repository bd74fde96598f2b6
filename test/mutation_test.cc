// Texts that operators and callers send, randomly damaged: for any input the parsers return a value
// or a typed error. The seed is fixed, so a failure is reproducible.
#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "process/message.h"
#include "process/settings.h"
#include "process/settings_table.h"
#include "request/caller_call.h"
#include "version/config_history.h"
#include "version/config_signature.h"
#include "version/contract.h"
#include "version/grant_ledger.h"
#include "version/text_delta.h"

namespace catkinford {
namespace {

constexpr int kRounds = 20000;
constexpr uint64_t kSeed = 20261202;

class mutation_fixture {
 protected:
  // One to eight mutations: bytes changed, removed or duplicated, or a piece of JSON inserted.
  std::string Mutate(std::string text) {
    static constexpr std::array<const char*, 10> kFragments = {
        "{", "}", "[", "\"", "null", "-1", "1e999", "\\ud800", "18446744073709551616", "\xff"};
    for (uint64_t remaining = 1 + random_() % 8; remaining > 0 && !text.empty(); --remaining) {
      const size_t at = random_() % text.size();
      switch (random_() % 4) {
        case 0:
          text[at] = static_cast<char>(random_());
          break;
        case 1:
          text.erase(at, 1 + random_() % 8);
          break;
        case 2:
          text.insert(at, text.substr(at, random_() % 16));
          break;
        default:
          text.insert(at, kFragments[random_() % kFragments.size()]);
      }
    }
    return text;
  }

  std::mt19937_64 random_{kSeed};
};

}  // namespace

// A half-written or damaged settings file must stop the start with an error that an operator can
// read, and an accepted file must hold only values that the table allows.
TEST_CASE_METHOD(mutation_fixture, "settings, damaged at random, are rejected or within the table",
                 "[mutation]") {
  const std::string original =
      R"({"name":"e1","failure_domain":"a","failure_domains":["a","b"],"listen":{"caller_port":1,)"
      R"("peer_port":2},"platform":{"store_url":"http://127.0.0.1:1","instances_url":)"
      R"("http://127.0.0.1:2"},"timing":{"heartbeat":"250ms"},"shards":{"per_domain":3}})";
  int accepted = 0;
  const auto check = [&accepted](const settings& read) {
    ++accepted;
    CHECK(read.shards.per_domain >= 1);
    CHECK(read.timing.heartbeat < read.timing.member_lease);
    CHECK(HasForm(text_form::kName, read.name));
    CHECK(HasForm(text_form::kUrl, read.platform.store_url));
  };
  const auto read = [&check](const std::string& text) -> leaf::result<void> {
    BOOST_LEAF_AUTO(accepted_settings, ParseSettings(text));
    check(accepted_settings);
    return {};
  };
  REQUIRE_FALSE(ErrorOf<settings_error>([&] { return read(original); }));
  for (int i = 0; i < kRounds; ++i) {
    const auto error = ErrorOf<settings_error>([&] { return read(Mutate(original)); });
    if (error) CHECK(!ToText(*error).empty());
  }
  CHECK(accepted > 1);
}

// An accepted contract must survive printing and parsing; otherwise two entries would hold
// different contracts for one version.
TEST_CASE_METHOD(mutation_fixture,
                 "contract, damaged at random, is rejected or reads back the same", "[mutation]") {
  configuration config;
  team_contract team;
  team.name = "booking";
  team.limit = {1000, 1000, 0, 0};
  team.running_limit = 10;
  team.kinds = {workload_kind::kInteractive};
  config.workspaces.push_back({"showrooms", {team}});
  config.drained_endpoints = {"ep-1", "ep-2"};
  const std::string original = ToText(config);
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto result = ParseConfiguration(Mutate(original));
    const auto* read = std::get_if<configuration>(&result);
    if (read == nullptr) continue;
    ++accepted;
    const std::string text = ToText(*read);
    const auto again = ParseConfiguration(text);
    REQUIRE(std::holds_alternative<configuration>(again));
    CHECK(ToText(std::get<configuration>(again)) == text);
  }
  CHECK(accepted > 0);
}

// A caller's malformed body must be answered with a 4xx and an error code, and an accepted one must
// be sensible: a negative size read as a huge one would wait for ever.
TEST_CASE_METHOD(mutation_fixture, "caller's bodies, damaged at random, are rejected or valid",
                 "[mutation]") {
  http_request request;
  request.method = "POST";
  const std::string job =
      R"({"kind":"batch","tasks":3,"cpu_milli":1000,"memory_mb":256,"deadline_ms":5000,"payload":"x"})";
  int accepted = 0;
  const auto read = [&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(call, ReadCall(request, {}));
    const auto* submit = std::get_if<submit_call>(&call);
    REQUIRE(submit != nullptr);
    ++accepted;
    for (const job_spec& spec : submit->jobs) {
      CHECK(spec.tasks > 0);
      CHECK(spec.deadline.count() >= 0);
      CHECK(spec.run_time.count() >= 0);
    }
    return {};
  };
  for (int i = 0; i < kRounds; ++i) {
    const bool is_batch = i % 2 == 1;
    request.path = is_batch ? "/v1/batch" : "/v1/jobs";
    request.body = Mutate(is_batch ? absl::StrCat(R"({"jobs":[)", job, ",", job, "]}") : job);
    const auto error = ErrorOf<call_error>(read);
    if (!error) continue;
    CHECK(error->status >= 400);
    CHECK(error->status < 500);
    CHECK(!error->error.empty());
  }
  CHECK(accepted > 0);
}

// The stored list of past versions can be damaged by manual edits. Versions read from it must still
// rise, or a diff would show a change backwards; and the document's signature is only a comment,
// which may contain anything.
TEST_CASE_METHOD(mutation_fixture, "history and signature, damaged at random, rise or are rejected",
                 "[mutation]") {
  config_history history;
  for (const uint64_t version : {3, 7, 9, 12}) {
    history.Add({version, version, 100, std::chrono::milliseconds{5}, "night", "x"}, {3, 1000});
  }
  const std::string original = history.ToText();
  const std::string signed_text = SignConfiguration("{}", {"id", "by", {}, "what"});
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = Mutate(signed_text);
    CHECK(WithoutSignature(text).size() <= text.size());
    SignatureOf(text);
    const auto read = config_history::Parse(Mutate(original));
    if (!read) continue;
    ++accepted;
    uint64_t last = 0;
    for (const past_version& past : read->Versions()) {
      CHECK(past.version > last);
      last = past.version;
    }
  }
  CHECK(accepted > 0);
}

// Two versions of the program run side by side during a rolling upgrade; a batch that one of them
// cannot parse must cause the loss of that batch only.
TEST_CASE_METHOD(mutation_fixture, "peers' batches and ledgers, damaged at random, crash nothing",
                 "[mutation]") {
  place_message place;
  place.shard = "otaru/0";
  place.payload = "{\"run_ms\":1}";
  heartbeat_message heartbeat;
  heartbeat.failure_domain = "otaru";
  heartbeat.entries.push_back({"otaru-1", "http://127.0.0.1:1", 7, 8});
  heartbeat.entries[0].shards.push_back({"otaru/0", 3, 17, {}});
  const usage_message usage{7, 8, true, {{"booking", {1, 2, 3, 4}}}};
  config_step_message step;
  step.step = {5, 9, MakeDelta("{\"a\":1}", "{\"a\":2}")};
  const std::string batch =
      EncodeBatch("otaru-1", {place, heartbeat, outcome_message{}, usage, step});
  ledger_value ledger;
  ledger.entries.push_back({"booking", "otaru/0", {{1000, 1000, 0, 0}, 5}});
  const std::string ledger_text = ToText(ledger);
  REQUIRE(DecodeBatch(batch).size() == 5);
  size_t read = 0;
  for (int i = 0; i < kRounds; ++i) {
    for (const peer_message& message : DecodeBatch(Mutate(batch))) {
      ++read;
      // A delta that was damaged in transit must not produce a document that nobody wrote.
      const auto* damaged = std::get_if<config_step_message>(&message.body);
      if (damaged == nullptr) continue;
      const auto text = ApplyDelta("{\"a\":1}", damaged->step.change);
      CHECK((!text || *text == "{\"a\":2}"));
    }
    ParseLedger(Mutate(ledger_text));
  }
  CHECK(read > 0);
}

}  // namespace catkinford
