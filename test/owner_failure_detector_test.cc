#include "process/site/owner_failure_detector.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "process/site/site_membership.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class owner_failure_detector_fixture {
 protected:
  owner_failure_detector_fixture() { detector.Watch(1, now); }
  void Answer(liveness answer, milliseconds after) {
    now += after;
    detector.OnAnswer(answer, now);
  }

  owner_failure_detector detector;
  monotonic_time now{std::chrono::seconds(100)};
};

// Guards against late detection: after the owner's process is killed, nothing starts until another
// entry takes over.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, process killed, suspected at once") {
  Answer(liveness::kAlive, milliseconds{200});
  Answer(liveness::kRefused, milliseconds{200});
  CHECK_FALSE(detector.Suspected(now));
  CHECK(detector.QueryInterval() < milliseconds{100});
  Answer(liveness::kRefused, detector.QueryInterval());
  CHECK(detector.Suspected(now));
}

// Guards against missing a restart: a killed owner may answer again before the next check, as a
// process that owns nothing.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, another process at the address, suspected") {
  Answer(liveness::kOtherProcess, milliseconds{200});
  CHECK(detector.Suspected(now));
}

// Guards against a takeover for one late answer of a busy owner, which would stop all starts
// needlessly.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, one late answer, not suspected") {
  Answer(liveness::kSilent, milliseconds{500});
  CHECK_FALSE(detector.Suspected(now));
  Answer(liveness::kAlive, milliseconds{200});
  Answer(liveness::kSilent, milliseconds{500});
  CHECK_FALSE(detector.Suspected(now));
}

// Guards against missing the loss of power at the owner's machine: calls time out and are not
// rejected.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, silent for long, suspected") {
  Answer(liveness::kSilent, milliseconds{500});
  detector.OnCommit(77, now);
  Answer(liveness::kSilent, milliseconds{500});
  detector.OnCommit(77, now);
  CHECK(detector.Suspected(now));
  CHECK(detector.OnlyTimeouts());
  detector.Watch(2, now);
  CHECK_FALSE(detector.Suspected(now));
}

// Guards against a takeover from an owner whose answers wait behind its own work.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, silent while its changes arrive, not suspected") {
  for (uint64_t change = 1; change <= 20; ++change) {
    Answer(liveness::kSilent, milliseconds{370});
    detector.OnCommit(change, now);
    CHECK_FALSE(detector.Suspected(now));
  }
}

// Guards against the same while the store is unreachable: silence alone proves nothing.
TEST_CASE_METHOD(owner_failure_detector_fixture,
                 "owner failure detector, silent and its changes unknown, not suspected") {
  Answer(liveness::kSilent, milliseconds{500});
  Answer(liveness::kSilent, milliseconds{500});
  CHECK_FALSE(detector.Suspected(now));
}

// Guards against the same after the owner reported that its link is full.
TEST_CASE_METHOD(
    owner_failure_detector_fixture,
    "owner failure detector, silent after reporting busy, keeps the site until its lease ends") {
  Answer(liveness::kBusy, milliseconds{200});
  Answer(liveness::kSilent, milliseconds{500});
  detector.OnCommit(0, now);
  Answer(liveness::kSilent, milliseconds{500});
  detector.OnCommit(0, now);
  CHECK_FALSE(detector.Suspected(now));
  Answer(liveness::kRefused, milliseconds{100});
  Answer(liveness::kRefused, milliseconds{100});
  CHECK(detector.Suspected(now));
}

// Guards against a takeover by an entry that is itself cut off: any entry that reaches the owner
// refutes the suspicion, and without answers it is not confirmed.
TEST_CASE("owner failure detector, others reach the owner, suspicion not confirmed") {
  CHECK_FALSE(SuspicionConfirmed({}));
  CHECK_FALSE(SuspicionConfirmed({liveness::kRefused, liveness::kAlive}));
  CHECK_FALSE(SuspicionConfirmed({liveness::kSilent, liveness::kBusy}));
  CHECK(SuspicionConfirmed({liveness::kRefused, liveness::kSilent}));
}

// Guards against a site without a live watcher, and against liveness checks from every entry of a
// large one: the two entries that would claim first watch the owner.
TEST_CASE("owner watchers, strong entries, two of them and not the owner") {
  site_view view;
  for (const char* name : {"a", "b", "c", "d"}) view.entries[name] = {name, "", "zone", 1, 1.0};
  view.owner = owner_record{view.entries["b"], 1};
  view.epoch = 1;
  size_t watchers = 0;
  for (const auto& [name, entry] : view.entries) watchers += WatchesOwner(view, name) ? 1 : 0;
  CHECK(watchers == 2);
  CHECK_FALSE(WatchesOwner(view, "b"));
}

}  // namespace
}  // namespace catkinford
