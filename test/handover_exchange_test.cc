// What a former owner tells its successor, and which answers the successor may use.
#include "process/site/handover_exchange.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/scheduling/job_scheduler.h"
#include "process/site/packed_message.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kNonce = 4711;
constexpr uint64_t kFormerEpoch = 6;
constexpr uint64_t kEpoch = 7;

scheduler_handover Knowledge(bool complete) { return {complete, {{"job", "progress"}}}; }

// A former owner's process that lost the site at `lost`, and its successor, which began 20 ms
// later.
class handover_fixture {
 protected:
  handover_outcome Ask(uint64_t epoch = kFormerEpoch) {
    return request_.Judge(PeerHandoverToText(former_.AnswerTo(epoch, kNonce, now_)), now_, taken_);
  }

  const monotonic_time lost_{seconds(100)};
  const monotonic_time began_ = lost_ + milliseconds(20);
  monotonic_time now_ = began_ + milliseconds(10);
  kept_handover former_;
  handover_request request_{kEpoch, kNonce, began_};
  scheduler_handover taken_;
};

TEST_CASE_METHOD(handover_fixture, "handover, complete, taken with all progress") {
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  CHECK(Ask() == handover_outcome::kTaken);
  CHECK(taken_.complete);
  CHECK(taken_.progress.at("job") == "progress");
}

TEST_CASE_METHOD(handover_fixture, "handover, long progress, is compressed and read again") {
  scheduler_handover long_one{true, {}};
  for (int i = 0; i < 100; ++i) long_one.progress[JobId(i)] = std::string(2000, 'x');
  former_.Keep(kFormerEpoch, long_one, lost_);
  CHECK(PeerHandoverToText(former_.AnswerTo(kFormerEpoch, kNonce, now_)).size() < 20000);
  REQUIRE(Ask() == handover_outcome::kTaken);
  CHECK(taken_.progress == long_one.progress);
}

// Guards against tasks that run twice: the former owner did not know of all runs.
TEST_CASE_METHOD(handover_fixture, "handover, incomplete, not taken") {
  former_.Keep(kFormerEpoch, Knowledge(false), lost_);
  CHECK(Ask() == handover_outcome::kIncomplete);
  CHECK_FALSE(taken_.complete);
  CHECK(taken_.progress.empty());
}

// Guards against a wait that each owner of a series begins anew.
TEST_CASE_METHOD(handover_fixture, "handover, incomplete, tells what is left of the waits") {
  scheduler_handover knowledge = Knowledge(false);
  knowledge.waits["instance"] = {17, milliseconds(4000)};
  former_.Keep(kFormerEpoch, knowledge, lost_);
  CHECK(Ask() == handover_outcome::kIncomplete);
  REQUIRE(taken_.waits.contains("instance"));
  CHECK(taken_.waits["instance"].incarnation == 17);
  CHECK(taken_.waits["instance"].left == milliseconds(4000) - (now_ - lost_));
}

// Guards against a handover that is given up since an earlier program tells no waits.
TEST_CASE_METHOD(handover_fixture, "handover, without waits, taken") {
  const std::string text =
      PackMessage(nlohmann::json::array({kNonce, kFormerEpoch, 5, true, nlohmann::json::object()}));
  CHECK(request_.Judge(text, now_, taken_) == handover_outcome::kTaken);
  CHECK(taken_.waits.empty());
}

// Guards against tasks that run twice: another owner was in between, and its runs are not named.
TEST_CASE_METHOD(handover_fixture, "handover, of an earlier epoch, not taken") {
  former_.Keep(kFormerEpoch - 1, Knowledge(true), lost_);
  CHECK(Ask() == handover_outcome::kOtherEpoch);
  // Also if the former process answers with an epoch that it was not asked for.
  const auto answer = former_.AnswerTo(kFormerEpoch - 1, kNonce, now_);
  CHECK(request_.Judge(PeerHandoverToText(answer), now_, taken_) == handover_outcome::kOtherEpoch);
  CHECK_FALSE(taken_.complete);
}

TEST_CASE_METHOD(handover_fixture, "handover, process without an ownership, nothing to take") {
  CHECK(Ask() == handover_outcome::kOtherEpoch);
  CHECK(Ask(0) == handover_outcome::kOtherEpoch);
}

// Guards against old knowledge of a process that owns the site again and starts tasks.
TEST_CASE_METHOD(handover_fixture, "handover, former process owns again, tells nothing") {
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  CHECK(former_.Begin(kEpoch).complete);
  CHECK(Ask() == handover_outcome::kOtherEpoch);
}

// Guards against knowledge from before an ownership of another process.
TEST_CASE_METHOD(handover_fixture, "handover, own, epochs not consecutive, not used") {
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  CHECK_FALSE(former_.Begin(kEpoch + 1).complete);
}

TEST_CASE_METHOD(handover_fixture, "handover, asked twice, answers the same") {
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  CHECK(Ask() == handover_outcome::kTaken);
  CHECK(Ask() == handover_outcome::kTaken);
}

// Guards against the answer of a process that was restarted at the former owner's address.
TEST_CASE_METHOD(handover_fixture, "handover, of another process, not taken") {
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  const auto answer = former_.AnswerTo(kFormerEpoch, kNonce + 1, now_);
  CHECK(request_.Judge(PeerHandoverToText(answer), now_, taken_) == handover_outcome::kNoAnswer);
}

TEST_CASE_METHOD(handover_fixture, "handover, former owner died, no answer") {
  CHECK(request_.Judge(std::nullopt, now_, taken_) == handover_outcome::kNoAnswer);
}

// Guards against tasks that run twice: leases that the former owner extended last outlive the time
// that the scheduler waits for.
TEST_CASE_METHOD(handover_fixture, "handover, former owner acted too long, not taken") {
  former_.Keep(kFormerEpoch, Knowledge(true), began_ + milliseconds(700));
  now_ = began_ + milliseconds(710);
  CHECK(Ask() == handover_outcome::kOverlap);
  CHECK_FALSE(taken_.complete);
}

// Guards against an answer that says "just ended" and was on its way for long.
TEST_CASE_METHOD(handover_fixture, "handover, answer slow, its way counts as time of the owner") {
  former_.Keep(kFormerEpoch, Knowledge(true), began_ + milliseconds(100));
  const auto bytes =
      PeerHandoverToText(former_.AnswerTo(kFormerEpoch, kNonce, began_ + milliseconds(100)));
  CHECK(request_.Judge(bytes, began_ + milliseconds(300), taken_) == handover_outcome::kTaken);
  CHECK(request_.Judge(bytes, began_ + milliseconds(900), taken_) == handover_outcome::kOverlap);
}

// Guards against half an answer: the runs that it lacks would be started again.
TEST_CASE_METHOD(handover_fixture, "handover, torn, nothing at any length") {
  scheduler_handover knowledge{true, {}};
  for (int i = 0; i < 20; ++i) knowledge.progress[JobId(i)] = std::string(200, 'x');
  former_.Keep(kFormerEpoch, knowledge, lost_);
  const std::string packed = PeerHandoverToText(former_.AnswerTo(kFormerEpoch, kNonce, now_));
  former_.Keep(kFormerEpoch, Knowledge(true), lost_);
  const std::string plain = PeerHandoverToText(former_.AnswerTo(kFormerEpoch, kNonce, now_));
  for (const std::string& whole : {packed, plain}) {
    for (size_t length = 0; length < whole.size(); ++length) {
      INFO("length " << length << " of " << whole.size());
      CHECK_FALSE(PeerHandoverFromText(whole.substr(0, length)));
    }
  }
  for (const char* text : {"", "x", "[]", "{}", "null"}) CHECK_FALSE(PeerHandoverFromText(text));
}

// The first owner started a task at each of two instances and stored nothing: one answers the
// second owner, another process, and the other does not. A further job waits.
class successor_fixture {
 protected:
  successor_fixture() {
    for (const char* id : {"sound", "gone"}) {
      instance_report report;
      report.id = id;
      report.service = "service";
      report.capacity = kSmallInstance;
      reports_.push_back(report);
    }
    first_.OnRegistry(reports_, now_);
    for (const char* id : {"sound", "gone"}) List(first_, id, {});
    first_.OnFleetStored(reports_);
    first_.SetUnrecordedStarts(true);
    first_.OnJob(running_, "", false, wall_time{}, now_);
    for (const start_command& start : first_.Decide(wall_time{}, now_).starts) {
      // The start at the other instance is still on its way: its answer never came.
      if (start.to.instance == "gone") gone_index_ = start.key.index;
      if (start.to.instance != "sound") continue;
      first_.OnStartAnswer(start, {command_result::kDone, Clock()}, now_);
      at_sound_.push_back({start.key, start.run, "", 10, 0});
    }
    REQUIRE(first_.RunCount() == 2);
    first_.OnJob(waiting_, "", false, wall_time{}, now_);
  }

  // The second owner, with the first one's answer if `asked`.
  void BeginSecond(bool asked) {
    kept_handover kept;
    kept.Keep(1, first_.HandOver(now_), now_);
    scheduler_handover handover;
    if (asked) {
      const handover_request request(2, kNonce, now_);
      const auto bytes = PeerHandoverToText(kept.AnswerTo(1, kNonce, now_));
      REQUIRE(request.Judge(bytes, now_, handover) == handover_outcome::kTaken);
    }
    second_ = std::make_unique<job_scheduler>(Options(), 2, now_);
    if (handover.complete) second_->SetRecordsComplete();
    second_->OnInherited(reports_, now_);
    second_->OnRegistry({reports_.front()}, now_);
    second_->OnFleetStored(reports_);
    second_->SetUnrecordedStarts(true);
    for (const graph_job& job : {running_, waiting_}) {
      const auto found = handover.progress.find(job.id);
      const bool newer = found != handover.progress.end();
      second_->OnJob(job, newer ? found->second : std::string(), true, wall_time{}, now_);
      if (newer) second_->OnUnstoredProgress(job.id);
    }
    List(*second_, "sound", at_sound_);
  }

  static scheduler_options Options() {
    scheduler_options out;
    out.unconfirmed_owner = milliseconds(3500);
    return out;
  }
  int64_t Clock() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  }
  void List(job_scheduler& owner, const char* id, std::vector<running_row> running) {
    owner.OnListing({{id, "", 0}, {}, 0, {}}, {Clock(), 0, std::move(running), {}}, now_, now_);
  }
  // The starts of the second owner within the time.
  std::vector<task_key> StartsWithin(milliseconds time) {
    std::vector<task_key> out;
    for (const monotonic_time end = now_ + time; now_ < end; now_ += milliseconds(50)) {
      const scheduler_commands commands = second_->Decide(wall_time{}, now_);
      for (const start_command& start : commands.starts) {
        out.push_back(start.key);
        at_sound_.push_back({start.key, start.run, "", 10, 0});
        second_->OnStartAnswer(start, {command_result::kDone, Clock()}, now_);
      }
      for (const list_command& listing : commands.listings) {
        if (listing.to.instance == "gone") {
          second_->OnNoListing(listing, command_result::kUnknown, now_);
        } else {
          second_->OnListing(listing, {Clock(), 0, at_sound_, {}}, now_, now_);
        }
      }
    }
    return out;
  }

  monotonic_time now_{seconds(100)};
  std::vector<instance_report> reports_;
  std::vector<running_row> at_sound_;
  uint32_t gone_index_ = 0;
  const graph_job running_ = Job(1, {Tasks(2, 5000, seconds(60))});
  const graph_job waiting_ = Job(2, {Tasks(1, 2500, seconds(60))});
  job_scheduler first_{Options(), 1, now_};
  std::unique_ptr<job_scheduler> second_;
};

// Guards against work that waits for seconds for an instance that has nothing to do with it.
TEST_CASE_METHOD(successor_fixture, "successor, complete handover, waiting work starts at once") {
  BeginSecond(true);
  const auto starts = StartsWithin(milliseconds(500));
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().job == JobId(2));
}

// Without the answer the waiting job may run at the instance that does not answer.
TEST_CASE_METHOD(successor_fixture, "successor, no handover, waiting work waits") {
  BeginSecond(false);
  CHECK(StartsWithin(milliseconds(3000)).empty());
}

// Guards against two runs of a task: a start whose answer the former owner never saw may still be
// delivered at the instance that does not answer.
TEST_CASE_METHOD(successor_fixture, "successor, complete handover, unanswered start not repeated") {
  BeginSecond(true);
  at_sound_.clear();  // room for the task
  for (const task_key& key : StartsWithin(milliseconds(4000))) {
    CHECK_FALSE((key.job == JobId(1) && key.index == gone_index_));
  }
}

}  // namespace
}  // namespace catkinford
