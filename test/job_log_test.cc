#include "process/job_log.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership_simulation.h"
#include "property.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSeed = 20261202;
constexpr size_t kSegmentBytes = 4096;

// One owner's log and its calls in flight.
class log_writer {
 public:
  log_writer(fake_store& store, uint64_t epoch, size_t segment_bytes) : store_(store) {
    job_log_options options;
    options.prefix = "jobs/d/0/";
    options.writer = "w";
    options.epoch = epoch;
    options.segment_bytes = segment_bytes;
    log = std::make_unique<job_log>(options, tags_);
  }

  // Advances the time and makes calls; they reach the store with Arrive().
  void Tick() {
    now_ += milliseconds{300};
    log->Tick(now_, under_way_);
  }
  // The store executes the oldest call; with `lost` its reply is lost.
  void Arrive(bool lost) {
    if (under_way_.empty()) return;
    const store_request call = under_way_.front();
    under_way_.erase(under_way_.begin());
    store_reply reply = store_.Apply(call, now_);
    ++calls;
    if (lost) reply = {store_status::kUnknown};
    log->OnReply(call.tag, reply, now_);
    for (const job_notice& notice : log->TakeNotices()) notices.push_back(notice);
  }
  // The store rejects the oldest call.
  void RejectCall() {
    const uint64_t tag = under_way_.front().tag;
    under_way_.erase(under_way_.begin());
    log->OnReply(tag, {store_status::kUnavailable}, now_);
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Tick();
      Arrive(false);
    }
  }
  bool RunUntilReady() {
    for (int i = 0; i < 50 && log->State() != job_log_state::kReady; ++i) Run(1);
    return log->State() == job_log_state::kReady;
  }

  std::unique_ptr<job_log> log;
  std::vector<job_notice> notices;
  int calls = 0;

 private:
  fake_store& store_;
  call_tags tags_;
  monotonic_time now_{std::chrono::hours{1}};
  std::vector<store_request> under_way_;
};

durable_job Job(uint64_t number, uint32_t tasks = 2) {
  durable_job job;
  job.id = {7, number};
  job.team = "audit";
  job.tasks = tasks;
  job.each = {1000, 512, 0, 1};
  job.payload = "{\"run_ms\":5}";
  job.submitted = std::chrono::system_clock::time_point{std::chrono::hours{500000}};
  job.done.resize(tasks);
  return job;
}

class job_log_fixture {
 protected:
  job_log_fixture() { REQUIRE(first_.RunUntilReady()); }

  std::unique_ptr<log_writer> TakeOver(uint64_t epoch, size_t segment_bytes = kSegmentBytes) {
    auto next = std::make_unique<log_writer>(store_, epoch, segment_bytes);
    REQUIRE(next->RunUntilReady());
    return next;
  }

  fake_store store_;
  log_writer first_{store_, 1, kSegmentBytes};
};

}  // namespace

TEST_CASE_METHOD(job_log_fixture, "job log, record written and read back, is the same",
                 "[job_log]") {
  durable_job job = Job(1, 5);
  job.urgent = true;
  job.repeatable = false;
  job.kind = workload_kind::kGang;
  job.deadline = std::chrono::system_clock::time_point{milliseconds{1764723600123}};
  job.parts = {{"otaru/0", 0, 2}, {"sapporo-ch/0", 2, 3}};
  job.home = "otaru/0";
  job.plan = 4;
  job.payload = "quote \" and \\ and ],\"entries\":[ in it";
  CHECK(first_.log->Append(job) == append_result::kQueued);
  CHECK_FALSE(first_.log->Durable(job.id));
  first_.Run(2);
  CHECK(first_.log->Durable(job.id));
  first_.log->Complete(job.id, 3, true, "disk \"full\"");
  first_.Run(2);
  const auto next = TakeOver(2);
  const durable_job& read = next->log->Jobs().at(job.id).record;
  CHECK(read.team == job.team);
  CHECK(read.kind == job.kind);
  CHECK(read.urgent);
  CHECK_FALSE(read.repeatable);
  CHECK(read.payload == job.payload);
  CHECK(read.each == job.each);
  CHECK(read.submitted == job.submitted);
  CHECK(read.done == std::vector<bool>{false, false, false, true, false});
  CHECK(read.failed == std::vector<bool>{false, false, false, true, false});
  CHECK(read.fault == "disk \"full\"");
  CHECK(read.deadline == job.deadline);
  CHECK(read.parts == job.parts);
  CHECK(read.home == job.home);
  CHECK(read.plan == job.plan);
}

// Earlier versions recorded how many tasks of a job had failed, and not which.
TEST_CASE("durable job, record of an earlier version, keeps the number of failed tasks",
          "[job_log]") {
  const std::optional<log_segment> read = DecodeSegment(
      R"({"epoch":1,"entries":[{"id":"00000000000000010000000000000001","team":"a","kind":"batch",)"
      R"("tasks":3,"each":[1,1,0,1],"failed":1,"done":[1,2]}]})");
  REQUIRE(read);
  CHECK(read->entries.at(0).job.failed == std::vector<bool>{false, true, false});
}

TEST_CASE_METHOD(job_log_fixture, "job log, many jobs at once, are written by one call",
                 "[job_log]") {
  const int before = first_.calls;
  for (uint64_t i = 0; i < 10; ++i) first_.log->Append(Job(i));
  first_.Run(3);
  CHECK(first_.notices.size() == 10);
  CHECK(first_.calls - before == 1);
}

// The store accepts the record of a job and its reply is lost. If the caller were answered "not
// durable" it would submit the job again and it would run twice.
TEST_CASE_METHOD(job_log_fixture, "job log, reply lost, job is durable once", "[job_log]") {
  first_.log->Append(Job(1));
  first_.Tick();
  first_.Arrive(true);
  CHECK(first_.notices.empty());
  CHECK(first_.log->Append(Job(1)) == append_result::kPending);
  first_.log->Append(Job(2));
  first_.Run(4);
  CHECK(first_.notices.size() == 2);
  CHECK(first_.log->Append(Job(1)) == append_result::kKnown);
  CHECK(TakeOver(2)->log->Jobs().size() == 2);
}

// The store is down and a caller waits for an answer. "Not run" may be answered only while the
// record is certain not to be in the store, since a later owner runs whatever it finds.
TEST_CASE_METHOD(job_log_fixture, "job log, store down, withdraws only what was never written",
                 "[job_log]") {
  first_.log->Append(Job(1));
  first_.Tick();
  CHECK_FALSE(first_.log->Withdraw(Job(1).id));  // its call is in flight
  first_.log->Append(Job(2));
  SECTION("refused: nothing was written") {
    first_.RejectCall();
    CHECK(first_.log->Withdraw(Job(1).id));
    CHECK_FALSE(first_.log->Withdraw(Job(1).id));
    first_.Run(4);
    CHECK(first_.notices.size() == 1);
    CHECK_FALSE(TakeOver(2)->log->Jobs().contains(Job(1).id));
  }
  SECTION("reply lost: only what was not in the call") {
    first_.Arrive(true);
    CHECK_FALSE(first_.log->Withdraw(Job(1).id));
    CHECK(first_.log->Withdraw(Job(2).id));
    first_.Run(4);
    CHECK(first_.notices.size() == 1);
    const auto next = TakeOver(2);
    CHECK(next->log->Jobs().contains(Job(1).id));
    CHECK_FALSE(next->log->Jobs().contains(Job(2).id));
  }
}

// An owner is paused with a job's record in flight, and another entry takes over. If the record
// were still written, the caller would get "accepted" for a job that nobody runs.
TEST_CASE_METHOD(job_log_fixture, "job log, old owner writes after the takeover, is fenced off",
                 "[job_log]") {
  first_.log->Append(Job(1));
  first_.Tick();
  const auto next = TakeOver(2);
  first_.Arrive(false);
  first_.Run(3);
  CHECK(first_.notices.empty());
  CHECK(first_.log->State() == job_log_state::kSuperseded);
  CHECK(next->log->Jobs().empty());
}

// The old owner's record is written while the new owner reads the log.
TEST_CASE_METHOD(job_log_fixture, "job log, old owner writes during the takeover, is not lost",
                 "[job_log]") {
  log_writer next{store_, 2, kSegmentBytes};
  next.Run(1);
  first_.log->Append(Job(1));
  first_.Run(1);
  CHECK(first_.notices.size() == 1);
  REQUIRE(next.RunUntilReady());
  CHECK(next.log->Jobs().contains(Job(1).id));
}

TEST_CASE_METHOD(job_log_fixture, "job log, jobs over, segments are deleted", "[job_log]") {
  first_.log->Append(Job(100000));
  for (uint64_t i = 0; i < 500; ++i) {
    first_.log->Append(Job(i));
    first_.Run(1);
    first_.log->FinishJob(Job(i).id);
    first_.Run(1);
  }
  first_.Run(20);
  CHECK(first_.log->Segments() <= 6);
  CHECK(first_.log->Bytes() <= 5 * kSegmentBytes);
  const auto next = TakeOver(2);
  CHECK(next->log->Jobs().size() == 1);
  CHECK(next->log->Segments() == first_.log->Segments());
}

TEST_CASE_METHOD(job_log_fixture, "job log, record longer than a segment, has one of its own",
                 "[job_log]") {
  durable_job large = Job(1);
  large.payload.assign(20000, 'x');
  first_.log->Append(Job(2));
  first_.log->Append(large);
  first_.log->Append(Job(3));
  first_.Run(10);
  CHECK(first_.notices.size() == 3);
  CHECK(TakeOver(2)->log->Jobs().size() == 3);
  large.id = {7, 9};
  large.payload.assign(800000, 'x');
  CHECK(first_.log->Append(large) == append_result::kTooLarge);
}

TEST_CASE_METHOD(job_log_fixture, "job log, segment not readable, is damaged and not empty",
                 "[job_log]") {
  store_.Put("jobs/d/0/000000000001", R"({"epoch":1,"entries":[{"id":"zz"}]})");
  log_writer next{store_, 2, kSegmentBytes};
  next.Run(5);
  CHECK(next.log->State() == job_log_state::kDamaged);
}

namespace {

// A random history of owners with rising epochs, of which only the newest may make entries durable.
class log_history {
 public:
  void NewOwner() { writers_.push_back(std::make_unique<log_writer>(store_, ++epoch_, 600)); }
  bool Empty() const { return writers_.empty(); }
  size_t Count() const { return writers_.size(); }
  log_writer& Writer(size_t who) { return *writers_[who]; }

  void Append(log_writer& writer) { writer.log->Append(Job(next_job_++, kTasks)); }
  void CompleteOne(log_writer& writer, uint32_t task) {
    const std::optional<request_id> id = First(writer);
    if (id) writer.log->Complete(*id, task, false);
  }
  void FinishOne(log_writer& writer) {
    const std::optional<request_id> id = First(writer);
    if (id && writer.log->FinishJob(*id) == append_result::kQueued) finish_requested_.insert(*id);
  }
  void TakeNotices(log_writer& writer) {
    for (const job_notice& notice : writer.notices) {
      if (notice.kind == log_entry_kind::kJob) promised_[notice.id] |= 0;
      if (notice.kind == log_entry_kind::kTaskDone) promised_[notice.id] |= 1U << notice.index;
      if (notice.kind == log_entry_kind::kJobDone) over_.insert(notice.id);
    }
    writer.notices.clear();
  }
  // Whether the newest owner that became ready knows everything that was reported durable. Nothing
  // is required once that owner is fenced off by one that is not ready yet.
  bool NewestKnowsAll() const {
    for (auto writer = writers_.rbegin(); writer != writers_.rend(); ++writer) {
      const job_log_state state = (*writer)->log->State();
      if (state == job_log_state::kReady) return Knows(*(*writer)->log);
      if (state == job_log_state::kSuperseded) return true;
    }
    return true;
  }

 private:
  static constexpr uint32_t kTasks = 3;

  // The lowest identity: the order of the map differs from run to run.
  static std::optional<request_id> First(const log_writer& writer) {
    std::optional<request_id> first;
    for (const auto& [id, job] : writer.log->Jobs()) {
      if (!first || id < *first) first = id;
    }
    return first;
  }

  bool Knows(const job_log& log) const {
    for (const request_id& id : over_) {
      if (log.Jobs().contains(id)) return false;
    }
    for (const auto& [id, tasks] : promised_) {
      const auto found = log.Jobs().find(id);
      const bool gone = found == log.Jobs().end();
      if (gone && !finish_requested_.contains(id)) return false;
      for (uint32_t task = 0; task < kTasks && !gone; ++task) {
        if ((tasks >> task & 1U) != 0 && !found->second.record.done[task]) return false;
      }
    }
    return true;
  }

  fake_store store_;
  std::vector<std::unique_ptr<log_writer>> writers_;
  uint64_t next_job_ = 1;
  uint64_t epoch_ = 0;
  std::map<request_id, uint32_t> promised_;  // bit set of finished tasks
  std::set<request_id> over_;
  std::set<request_id> finish_requested_;  // its end may be in the log without a notice
};

// A uniform number below `limit`, independent of the size of the test case.
size_t Below(size_t limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, limit));
}

}  // namespace

// Owners are lost or paused at any point, resume, and lose replies, in any order. What was reported
// durable must be known to the newest owner, or an accepted job is not run or a finished task runs
// again.
TEST_CASE("job log, any interleaving of owners and lost replies, keeps what it reported",
          "[job_log]") {
  const bool held = Holds({kSeed, 500}, [] {
    log_history history;
    history.NewOwner();
    const size_t steps = 100 + Below(400);
    for (size_t i = 0; i < steps; ++i) {
      const size_t action = Below(40);
      if (action == 0) history.NewOwner();
      const size_t newest = history.Count() - 1;
      log_writer& writer = history.Writer(action % 4 == 0 ? Below(newest + 1) : newest);
      if (action >= 1 && action < 6) history.Append(writer);
      if (action >= 6 && action < 9) history.CompleteOne(writer, static_cast<uint32_t>(Below(3)));
      if (action >= 9 && action < 11) history.FinishOne(writer);
      if (action >= 11 && action < 25) writer.Tick();
      if (action >= 25) writer.Arrive(Below(8) == 0);
      history.TakeNotices(writer);
      RC_ASSERT(history.NewestKnowsAll());
    }
  });
  CHECK(held);
}

}  // namespace catkinford
