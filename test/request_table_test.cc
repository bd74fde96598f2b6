#include "process/request_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// An entry in the first of three failure domains, each with one shard and its own owner.
class request_table_fixture {
 public:
  request_table_fixture() : routes_(Options()), table_({}, routes_) {
    for (const char* domain : {"sapporo-ch", "otaru", "asahikawa"}) Own(domain, 1);
  }

 protected:
  static router_options Options() {
    router_options options;
    options.failure_domain = "sapporo-ch";
    options.failure_domains = {"sapporo-ch", "otaru", "asahikawa"};
    return options;
  }

  void Own(const std::string& domain, uint64_t epoch) {
    shard_report report;
    report.shard = ShardName(domain, 0);
    report.epoch = epoch;
    report.summary.largest_capacity = {16000, 32768, 0, 8};
    routes_.OnReport("owner-of-" + domain, report, now_);
  }

  void OwnAll() {
    for (const char* domain : {"sapporo-ch", "otaru", "asahikawa"}) Own(domain, 1);
  }

  static table_entry Entry(uint64_t number, bool keyed) {
    table_entry entry;
    entry.place.id = {number, number};
    entry.place.each = {100, 100, 0, 1};
    entry.place.wait = true;
    entry.place.deadline_left = milliseconds{2000};
    entry.answer_timeout = milliseconds{2000};
    entry.keyed = keyed;
    return entry;
  }

  void Add(http_server::token token, table_entry entry) {
    table_.BeginCall(token, false, {entry.place.kind}, now_);
    table_.Add(token, 0, std::move(entry), now_, out_);
  }

  void Tick(milliseconds by) {
    now_ += by;
    table_.Tick(now_, out_);
  }

  outcome Outcome(uint64_t number, outcome_kind kind, rejection_reason reason) {
    outcome result;
    result.id = {number, number};
    result.kind = kind;
    result.reason = reason;
    return result;
  }

  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  router routes_;
  request_table table_;
  table_actions out_;
};

}  // namespace

// Two callers wait at one entry and the answers arrive in reverse order. Each must get its own.
TEST_CASE_METHOD(request_table_fixture, "request table, answers out of order, go by identity",
                 "[request_table]") {
  Add(11, Entry(1, false));
  Add(12, Entry(2, false));
  outcome second = Outcome(2, outcome_kind::kCompleted, rejection_reason::kNone);
  second.answer = "second";
  outcome first = Outcome(1, outcome_kind::kCompleted, rejection_reason::kNone);
  first.answer = "first";
  table_.OnOutcome(second, now_, out_);
  table_.OnOutcome(first, now_, out_);
  table_.OnOutcome(first, now_, out_);
  REQUIRE(out_.answers.size() == 2);
  CHECK(out_.answers[0].token == 12);
  CHECK(out_.answers[0].outcomes[0].answer == "second");
  CHECK(out_.answers[1].token == 11);
  CHECK(out_.answers[1].outcomes[0].answer == "first");
}

TEST_CASE_METHOD(request_table_fixture, "request table, own key, goes to the same shard everywhere",
                 "[request_table]") {
  for (uint64_t number = 1; number <= 20; ++number) Add(number, Entry(number, true));
  REQUIRE(out_.sends.size() == 20);
  for (const place_to_send& send : out_.sends) {
    CHECK(send.place.shard == routes_.Home(send.place.id));
    CHECK_FALSE(send.place.fresh);
  }
}

// The owner fails and another entry takes its shard. The request may have run, so it must be sent
// to the new owner and to no other shard.
TEST_CASE_METHOD(request_table_fixture,
                 "request table, owner replaced, sends to the new one at once", "[request_table]") {
  Add(11, Entry(1, false));
  const std::string shard = out_.sends.at(0).place.shard;
  CHECK(out_.sends[0].place.fresh);
  const std::string domain = shard.substr(0, shard.find('/'));
  shard_report report;
  report.shard = shard;
  report.epoch = 2;
  routes_.OnReport("heir", report, now_);
  table_.OnNewOwner(shard, now_);
  Tick(milliseconds{1});
  REQUIRE(out_.sends.size() == 2);
  CHECK(out_.sends[1].owner == "heir");
  CHECK(out_.sends[1].place.shard == shard);
  CHECK_FALSE(out_.sends[1].place.fresh);
}

// No connection to the owner could be made: nothing was sent, so another shard may run the request.
TEST_CASE_METHOD(request_table_fixture,
                 "request table, send known to have failed, tries another shard",
                 "[request_table]") {
  Add(11, Entry(1, false));
  const std::string first = out_.sends.at(0).owner;
  table_.OnSendFailed({1, 1}, true, now_);
  routes_.OnOwnerDown(first);
  Tick(milliseconds{50});
  REQUIRE(out_.sends.size() == 2);
  CHECK(out_.sends[1].owner != first);
  CHECK(out_.sends[1].place.fresh);
}

// A full shard rejects the request, which proves that it does not run there.
TEST_CASE_METHOD(request_table_fixture, "request table, rejected as full, tries a few other shards",
                 "[request_table]") {
  Add(11, Entry(1, false));
  for (int i = 0; i < 10 && out_.answers.empty(); ++i) {
    table_.OnOutcome(Outcome(1, outcome_kind::kRefused, rejection_reason::kQueueFull), now_, out_);
  }
  CHECK(out_.sends.size() <= 3);
  REQUIRE(out_.answers.size() == 1);
  CHECK(out_.answers[0].outcomes[0].kind == outcome_kind::kRefused);
}

// The owner is disconnected after the request was sent. The caller must be told at its deadline,
// not later, that the request may have run.
TEST_CASE_METHOD(request_table_fixture, "request table, no outcome in time, answers unknown",
                 "[request_table]") {
  Add(11, Entry(1, false));
  for (int i = 0; i < 23; ++i) {
    OwnAll();
    Tick(milliseconds{100});
  }
  REQUIRE(out_.answers.size() == 1);
  CHECK(out_.answers[0].outcomes[0].kind == outcome_kind::kUnknown);
}

// The shard that records a caller's key is unreachable. The same key may have run through another
// entry, so "not run" is only certain if the caller states that it is its first attempt.
TEST_CASE_METHOD(request_table_fixture,
                 "request table, home unreachable, answers not run only if certain",
                 "[request_table]") {
  for (const char* domain : {"sapporo-ch", "otaru", "asahikawa"}) {
    routes_.OnOwnerDown(std::string("owner-of-") + domain);
  }
  table_entry sure = Entry(2, true);
  sure.first_ask = true;
  Add(11, Entry(1, true));
  Add(12, std::move(sure));
  for (int i = 0; i < 25; ++i) Tick(milliseconds{100});
  REQUIRE(out_.answers.size() == 2);
  for (const answered_call& answer : out_.answers) {
    const bool may_have_run = answer.token == 11;
    CHECK(answer.outcomes[0].kind ==
          (may_have_run ? outcome_kind::kUnknown : outcome_kind::kRefused));
  }
}

}  // namespace catkinford
