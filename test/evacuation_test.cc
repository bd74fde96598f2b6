#include "process/evacuation.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "process/durable_job.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{13000};

// An evacuation whose store calls the test answers itself.
class evacuation_fixture {
 protected:
  static evacuation_options Options(bool dry_run = false) {
    evacuation_options options;
    options.failure_domain = "otaru";
    options.entry = "sapporo-ch-0";
    options.dry_run = dry_run;
    options.lease_wait = kWait;
    return options;
  }

  // Requires exactly one call and returns it.
  store_request Call(evacuation& of) {
    std::vector<store_request> calls;
    of.Tick(now_, calls);
    REQUIRE(calls.size() == 1);
    return calls.front();
  }

  void Answer(evacuation& of, const store_request& call, store_status status,
              std::vector<store_item> items = {}) {
    store_reply reply;
    reply.status = status;
    reply.items = std::move(items);
    REQUIRE(of.OnReply(call.tag, reply, now_));
  }

  // Runs up to the call that raises the shard's epoch.
  store_request Raise(evacuation& of) {
    Answer(of, Call(of), store_status::kDone);
    Answer(of, Call(of), store_status::kDone);
    store_item record;
    record.key = "shard/otaru/0";
    record.value = ToText(shard_record{"otaru-1", 5, 8});
    record.revision = 77;
    Answer(of, Call(of), store_status::kDone, {record});
    return Call(of);
  }

  bool IsQuiet(evacuation& of) {
    std::vector<store_request> calls;
    of.Tick(now_, calls);
    return calls.empty();
  }

  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  call_tags tags_;
};

}  // namespace

// An operator evacuates a domain that is not lost. If its jobs were moved, each would run twice
// while its own owner continues.
TEST_CASE_METHOD(evacuation_fixture, "evacuation, member holds a lease, changes nothing",
                 "[evacuation]") {
  evacuation work(Options(), tags_);
  store_item member;
  member.key = "member/otaru/otaru-1";
  member.value = ToText(member_record{"otaru-1", 5, "http://a", "http://b", "lease", false});
  Answer(work, Call(work), store_status::kDone, {member});
  CHECK(work.State() == evacuation_state::kStopped);
  CHECK(work.StopReason().find("otaru-1") != std::string::npos);
  CHECK(IsQuiet(work));
}

// The last owner may have renewed its tasks' leases until its epoch was raised. If the shard were
// taken over at once, its tasks would run beside the moved ones until those leases expire.
TEST_CASE_METHOD(evacuation_fixture, "evacuation, epochs raised, waits out the tasks' leases",
                 "[evacuation]") {
  evacuation work(Options(), tags_);
  const store_request raise = Raise(work);
  CHECK(raise.expect == 77);
  CHECK(ParseShardRecord(raise.value.value_or(""))->epoch == 9);
  Answer(work, raise, store_status::kDone);
  CHECK(work.State() == evacuation_state::kWaiting);
  now_ += kWait - milliseconds{1};
  CHECK(IsQuiet(work));
  CHECK(work.State() == evacuation_state::kWaiting);
  now_ += milliseconds{1};
  CHECK(IsQuiet(work));
  CHECK(work.State() == evacuation_state::kReady);
  CHECK(work.Epoch(0) == 9);
}

// The store accepts the raised record and its reply is lost. The wait must count from the definite
// answer, and the epoch must not be raised a second time.
TEST_CASE_METHOD(evacuation_fixture, "evacuation, reply lost, sends the same call again",
                 "[evacuation]") {
  evacuation work(Options(), tags_);
  const store_request raise = Raise(work);
  Answer(work, raise, store_status::kUnknown);
  now_ += milliseconds{300};
  const store_request again = Call(work);
  CHECK(again.write_id == raise.write_id);
  CHECK(again.value == raise.value);
  store_item ours;
  ours.key = raise.key;
  ours.value = raise.value.value_or("");
  Answer(work, again, store_status::kConflict, {ours});
  CHECK(work.State() == evacuation_state::kWaiting);
  CHECK(work.TimeLeft(now_) == kWait);
}

// An entry of the domain comes back and takes its shard during an evacuation.
TEST_CASE_METHOD(evacuation_fixture, "evacuation, shard taken meanwhile, stops", "[evacuation]") {
  evacuation work(Options(), tags_);
  const store_request raise = Raise(work);
  store_item theirs;
  theirs.key = raise.key;
  theirs.value = ToText(shard_record{"otaru-2", 6, 9});
  Answer(work, raise, store_status::kConflict, {theirs});
  CHECK(work.State() == evacuation_state::kStopped);
}

TEST_CASE_METHOD(evacuation_fixture, "evacuation, dry run, counts the jobs and writes nothing",
                 "[evacuation]") {
  evacuation work(Options(true), tags_);
  Answer(work, Call(work), store_status::kDone);
  durable_job open;
  open.id = {1, 1};
  open.done.resize(1);
  durable_job over = open;
  over.id = {2, 2};
  durable_job not_repeatable = open;
  not_repeatable.id = {3, 3};
  not_repeatable.repeatable = false;
  store_item segment;
  segment.value = EncodeSegment(4, EncodeJob(open) + "," + EncodeJob(over) + "," +
                                       EncodeJob(not_repeatable) + "," + EncodeJobDone(over.id));
  Answer(work, Call(work), store_status::kDone, {segment});
  CHECK(work.State() == evacuation_state::kCounted);
  CHECK(work.Size().jobs == 2);
  CHECK(work.Size().unknown == 1);
  CHECK(IsQuiet(work));
}

}  // namespace catkinford
