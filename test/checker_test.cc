// Hand-made histories, each with one promise broken: the checker has to find every one, and
// nothing in the same history without the fault.
#include "bench/checker.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

monotonic_time At(int ms) { return monotonic_time{} + std::chrono::hours{1} + milliseconds{ms}; }

// A good day: two teams, two endpoints, three requests, one change of the contract.
class checker_fixture {
 protected:
  checker_fixture() {
    seen_.endpoints = {{"ep-0", {2000, 2048, 0, 2}}, {"ep-1", {2000, 2048, 0, 2}}};
    seen_.limits = {{"a", {4000, 4096, 0, 0}, 2, At(0), milliseconds{0}},
                    {"b", {4000, 4096, 0, 0}, 2, At(0), milliseconds{0}}};
    AddCall("w1", "a", 0, 100);
    AddRun("w1", "a", "ep-0", "j1/0/0", 10, 90);
    AddCall("w2", "b", 0, 200);
    AddRun("w2", "b", "ep-0", "j2/0/0", 10, 190);
    AddCall("w3", "a", 100, 300);
    AddRun("w3", "a", "ep-1", "j3/0/0", 110, 290);
    seen_.calls[2].repeatable = false;
    seen_.acceptances = {{5, "text", At(100)}};
    seen_.readings = {{"e0", 4, "old", At(50)}, {"e0", 5, "text", At(9000)}};
    seen_.all_work_over = true;
  }

  call_record& AddCall(const std::string& work, const std::string& team, int sent, int answered) {
    call_record call;
    call.work = work;
    call.team = team;
    call.key = "first";
    call.entry = "e0";
    call.sent = At(sent);
    call.answered = At(answered);
    call.has_answer = true;
    call.outcome = outcome_kind::kCompleted;
    call.answer = work;
    seen_.calls.push_back(call);
    return seen_.calls.back();
  }
  call_record& AddRefused(const std::string& work, rejection_reason reason, int sent) {
    call_record& call = AddCall(work, "a", sent, sent + 10);
    call.outcome = outcome_kind::kRefused;
    call.reason = reason;
    call.answer.clear();
    return call;
  }
  void AddEvent(const std::string& event, const std::string& endpoint, int at,
                const std::string& id = "", const std::string& result = "") {
    seen_.events.push_back({At(at), endpoint, event, id, 1, "", "", result, {}});
  }
  void AddRun(const std::string& work, const std::string& team, const std::string& endpoint,
              const std::string& id, int start, int end, const std::string& result = "ok") {
    const resources amount{1000, 1024, 0, 1};
    seen_.events.push_back({At(start), endpoint, "start", id, 1, team, work, "started", amount});
    seen_.events.push_back({At(end), endpoint, "end", id, 1, team, work, result, amount});
  }
  // This promise is found broken, and no other one.
  void CheckBroken(promise which) const {
    const verdict result = Check(seen_, {});
    INFO(ToJson(result).dump(1));
    CHECK(result.Violations(which) > 0);
    CHECK(result.violations.size() == result.Violations(which));
  }
  void CheckHeld() const {
    const verdict result = Check(seen_, {});
    INFO(ToJson(result).dump(1));
    CHECK(result.Held());
  }

  history seen_;
};

}  // namespace

TEST_CASE_METHOD(checker_fixture, "checker, good history, finds nothing", "[checker]") {
  CheckHeld();
}

TEST_CASE_METHOD(checker_fixture, "checker, endpoint with three tasks on two slots, finds it",
                 "[checker]") {
  AddCall("w4", "b", 0, 100);
  AddRun("w4", "b", "ep-0", "j4/0/0", 20, 60);
  CheckBroken(promise::kCapacity);
}

TEST_CASE_METHOD(checker_fixture, "checker, endpoint that had to refuse for room, finds it",
                 "[checker]") {
  AddEvent("refuse", "ep-0", 20, "j9/0/0", "no_room");
  CheckBroken(promise::kCapacity);
}

TEST_CASE_METHOD(checker_fixture, "checker, second attempt before the first ended, finds it",
                 "[checker]") {
  AddRun("w1", "a", "ep-1", "j1/0/1", 50, 95);
  CheckBroken(promise::kOnePlace);
}

TEST_CASE_METHOD(checker_fixture, "checker, one request made into two jobs, finds it",
                 "[checker]") {
  AddRun("w1", "a", "ep-1", "other/0/0", 50, 95);
  CheckBroken(promise::kOnePlace);
}

TEST_CASE_METHOD(checker_fixture, "checker, work for a team that did not ask, finds it",
                 "[checker]") {
  AddRun("w1", "b", "ep-1", "j1/0/1", 200, 210);
  CheckBroken(promise::kOwnTeam);
}

TEST_CASE_METHOD(checker_fixture, "checker, work that nobody asked for, finds it", "[checker]") {
  AddRun("", "b", "ep-1", "j7/0/0", 300, 310);
  CheckBroken(promise::kOwnTeam);
}

TEST_CASE_METHOD(checker_fixture, "checker, withdrawn key still good after seconds, finds it",
                 "[checker]") {
  seen_.withdrawals = {{"a", "first", At(400)}};
  AddCall("w4", "a", 5500, 5600);
  AddRun("w4", "a", "ep-0", "j4/0/0", 5510, 5590);
  CheckBroken(promise::kOwnTeam);
}

TEST_CASE_METHOD(checker_fixture, "checker, team over its running limit, finds it", "[checker]") {
  seen_.limits[1].running = 1;
  AddCall("w4", "b", 0, 100);
  AddRun("w4", "b", "ep-1", "j4/0/0", 20, 60);
  CheckBroken(promise::kLimit);
}

TEST_CASE_METHOD(checker_fixture, "checker, lowered limit passed after it settled, finds it",
                 "[checker]") {
  seen_.limits.push_back({"a", {4000, 4096, 0, 0}, 0, At(50), milliseconds{100}});
  CheckHeld();
  AddCall("w4", "a", 300, 400);
  AddRun("w4", "a", "ep-1", "j4/0/0", 310, 390);
  CheckBroken(promise::kLimit);
}

TEST_CASE_METHOD(checker_fixture, "checker, answer of another request, finds it", "[checker]") {
  seen_.calls[0].answer = "w2";
  CheckBroken(promise::kWholeAnswer);
}

TEST_CASE_METHOD(checker_fixture, "checker, caller left without an answer, finds it", "[checker]") {
  seen_.calls[0].has_answer = false;
  CheckBroken(promise::kWholeAnswer);
  seen_.faults = {{"e0", At(50), At(60)}};
  CheckHeld();
}

TEST_CASE_METHOD(checker_fixture, "checker, completed without a run, finds it", "[checker]") {
  AddCall("w4", "a", 300, 400);
  CheckBroken(promise::kWholeAnswer);
}

TEST_CASE_METHOD(checker_fixture, "checker, told failed and ran well, finds it", "[checker]") {
  seen_.calls[0].outcome = outcome_kind::kFailed;
  CheckBroken(promise::kWholeAnswer);
}

TEST_CASE_METHOD(checker_fixture, "checker, accepted job of which a task never ran, finds it",
                 "[checker]") {
  call_record& call = AddCall("w4", "a", 300, 310);
  call.kind = workload_kind::kBatch;
  call.outcome = outcome_kind::kAccepted;
  call.tasks = 2;
  AddRun("w4", "a", "ep-1", "j4/0/0", 310, 390);
  CheckBroken(promise::kWholeAnswer);
}

// A gang of which one task failed is over, though another never started; told to be over without a
// failed run, it is lost all the same.
TEST_CASE_METHOD(checker_fixture, "checker, job told to have failed, wants a run that failed",
                 "[checker]") {
  call_record& call = AddCall("w4", "a", 300, 310);
  call.kind = workload_kind::kBatch;
  call.outcome = outcome_kind::kAccepted;
  call.ended = outcome_kind::kFailed;
  call.tasks = 2;
  SECTION("failed") {
    AddRun("w4", "a", "ep-1", "j4/0/0", 310, 390, "failed");
    CheckHeld();
  }
  SECTION("ran well") {
    AddRun("w4", "a", "ep-1", "j4/0/0", 310, 390);
    CheckBroken(promise::kWholeAnswer);
  }
}

// Nobody knows whether a job ran that its endpoint forgot. To say so is right only of a job that
// must not run twice; any other has to be run.
TEST_CASE_METHOD(checker_fixture, "checker, job told to be unknown, may not be repeatable",
                 "[checker]") {
  call_record& call = AddCall("w4", "a", 300, 310);
  call.kind = workload_kind::kBatch;
  call.outcome = outcome_kind::kAccepted;
  call.ended = outcome_kind::kUnknown;
  CheckBroken(promise::kWholeAnswer);
  call.repeatable = false;
  CheckHeld();
}

// An endpoint that fails what it starts takes and gives back room in one instant, three times over.
TEST_CASE_METHOD(checker_fixture, "checker, runs of no length, count while they last",
                 "[checker]") {
  for (int task = 0; task < 2; ++task) {
    AddCall(absl::StrCat("f", task), "a", 300, 400).outcome = outcome_kind::kFailed;
    AddRun(absl::StrCat("f", task), "a", "ep-1", absl::StrCat("f", task, "/0/0"), 310, 310,
           "failed");
  }
  CheckHeld();
  AddCall("f2", "b", 300, 400).outcome = outcome_kind::kFailed;
  AddRun("f2", "b", "ep-1", "f2/0/0", 310, 310, "failed");
  CheckBroken(promise::kCapacity);
}

TEST_CASE_METHOD(checker_fixture, "checker, told not run and ran, finds it", "[checker]") {
  AddRefused("w4", rejection_reason::kDeadline, 300);
  CheckHeld();
  AddRun("w4", "a", "ep-1", "j4/0/0", 5000, 5010);
  CheckBroken(promise::kNotRun);
}

TEST_CASE_METHOD(checker_fixture, "checker, cancelled as not run and ran, finds it", "[checker]") {
  AddCall("w4", "a", 300, 310).outcome = outcome_kind::kAccepted;
  seen_.calls.back().kind = workload_kind::kBatch;
  seen_.calls.back().cancelled = true;
  AddRefused("w4", rejection_reason::kCancelled, 320).is_cancel = true;
  CheckHeld();
  AddRun("w4", "a", "ep-1", "j4/0/0", 330, 335, "stopped");
  CheckBroken(promise::kNotRun);
}

TEST_CASE_METHOD(checker_fixture, "checker, not repeatable and started twice, finds it",
                 "[checker]") {
  AddRun("w3", "a", "ep-0", "j3/0/1", 400, 450);
  CheckBroken(promise::kAtMostOnce);
}

TEST_CASE_METHOD(checker_fixture, "checker, leaving endpoint given work after seconds, finds it",
                 "[checker]") {
  AddEvent("leaving", "ep-1", 300);
  AddCall("w4", "a", 3200, 3400);
  AddRun("w4", "a", "ep-1", "j4/0/0", 3250, 3300);
  CheckHeld();
  AddCall("w5", "a", 3200, 3400);
  AddRun("w5", "a", "ep-1", "j5/0/0", 3301, 3310);
  CheckBroken(promise::kLeaving);
}

TEST_CASE_METHOD(checker_fixture, "checker, graceful stop that cuts a request off, finds it",
                 "[checker]") {
  seen_.stops = {{"e0", At(150), At(500), 0}};
  CheckHeld();
  seen_.calls[2].has_answer = false;
  seen_.faults = {{"e0", At(150), At(500)}};
  CheckBroken(promise::kGracefulStop);
}

TEST_CASE_METHOD(checker_fixture, "checker, graceful stop that does not end well, finds it",
                 "[checker]") {
  seen_.stops = {{"e0", At(350), At(500), 137}};
  CheckBroken(promise::kGracefulStop);
}

TEST_CASE_METHOD(checker_fixture, "checker, entry that goes back a version, finds it",
                 "[checker]") {
  seen_.acceptances.clear();
  seen_.readings.push_back({"e0", 4, "old", At(9100)});
  CheckBroken(promise::kConfiguration);
}

TEST_CASE_METHOD(checker_fixture, "checker, version not in force after seconds, finds it",
                 "[checker]") {
  seen_.readings.push_back({"e1", 4, "old", At(5101)});
  CheckBroken(promise::kConfiguration);
  seen_.faults = {{"e1", At(90), At(200)}};
  CheckHeld();
}

TEST_CASE_METHOD(checker_fixture, "checker, two operators both told of one version, finds it",
                 "[checker]") {
  seen_.acceptances.push_back({5, "other", At(101)});
  CheckBroken(promise::kConfiguration);
}

}  // namespace catkinford
