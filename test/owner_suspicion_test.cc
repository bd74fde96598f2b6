#include "process/site/owner_suspicion.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "process/site/site_membership.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class owner_suspicion_fixture {
 protected:
  owner_suspicion_fixture() { suspicion.Watch(1, now); }
  void Answer(alive_answer answer, milliseconds after) {
    now += after;
    suspicion.OnAnswer(answer, now);
  }

  owner_suspicion suspicion;
  monotonic_time now{std::chrono::seconds(100)};
};

// The owner's process is killed. Until another entry takes over, nothing starts, and every buyer at
// the door waits.
TEST_CASE_METHOD(owner_suspicion_fixture, "owner suspicion, process killed, is suspected at once") {
  Answer(alive_answer::kAlive, milliseconds{200});
  Answer(alive_answer::kRefused, milliseconds{200});
  CHECK_FALSE(suspicion.Suspected(now));
  CHECK(suspicion.Pause() < milliseconds{100});
  Answer(alive_answer::kRefused, suspicion.Pause());
  CHECK(suspicion.Suspected(now));
}

// A killed owner may be back before it was asked again, as a process that owns nothing.
TEST_CASE_METHOD(owner_suspicion_fixture, "owner suspicion, another process there, is suspected") {
  Answer(alive_answer::kOtherProcess, milliseconds{200});
  CHECK(suspicion.Suspected(now));
}

// A busy owner answers late once. Taking the site from it would stop all starts for nothing.
TEST_CASE_METHOD(owner_suspicion_fixture, "owner suspicion, one late answer, is not suspected") {
  Answer(alive_answer::kSilent, milliseconds{500});
  CHECK_FALSE(suspicion.Suspected(now));
  Answer(alive_answer::kAlive, milliseconds{200});
  Answer(alive_answer::kSilent, milliseconds{500});
  CHECK_FALSE(suspicion.Suspected(now));
}

// The owner's machine loses power: nothing answers, and nothing refuses either.
TEST_CASE_METHOD(owner_suspicion_fixture, "owner suspicion, silent for long, is suspected") {
  Answer(alive_answer::kSilent, milliseconds{500});
  suspicion.OnChange(77, now);
  Answer(alive_answer::kSilent, milliseconds{500});
  suspicion.OnChange(77, now);
  CHECK(suspicion.Suspected(now));
  CHECK(suspicion.OnlySilent());
  suspicion.Watch(2, now);
  CHECK_FALSE(suspicion.Suspected(now));
}

// Guards against taking the site from an owner whose answers wait behind its own work.
TEST_CASE_METHOD(owner_suspicion_fixture,
                 "owner suspicion, silent while its changes arrive, is not suspected") {
  for (uint64_t change = 1; change <= 20; ++change) {
    Answer(alive_answer::kSilent, milliseconds{370});
    suspicion.OnChange(change, now);
    CHECK_FALSE(suspicion.Suspected(now));
  }
}

// Guards against the same where the store cannot be asked: silence alone proves nothing.
TEST_CASE_METHOD(owner_suspicion_fixture,
                 "owner suspicion, silent and its changes unknown, is not suspected") {
  Answer(alive_answer::kSilent, milliseconds{500});
  Answer(alive_answer::kSilent, milliseconds{500});
  CHECK_FALSE(suspicion.Suspected(now));
}

// Guards against the same for an owner that had said that its link is full.
TEST_CASE_METHOD(owner_suspicion_fixture,
                 "owner suspicion, silent after it said that it is busy, is left to its lease") {
  Answer(alive_answer::kBusy, milliseconds{200});
  Answer(alive_answer::kSilent, milliseconds{500});
  suspicion.OnChange(0, now);
  Answer(alive_answer::kSilent, milliseconds{500});
  suspicion.OnChange(0, now);
  CHECK_FALSE(suspicion.Suspected(now));
  Answer(alive_answer::kRefused, milliseconds{100});
  Answer(alive_answer::kRefused, milliseconds{100});
  CHECK(suspicion.Suspected(now));
}

// The asker is cut off, not the owner: whoever reaches the owner says so, and an asker that hears
// nobody believes nobody.
TEST_CASE("owner suspicion, others reach the owner, is not shared") {
  CHECK_FALSE(SuspicionShared({}));
  CHECK_FALSE(SuspicionShared({alive_answer::kRefused, alive_answer::kAlive}));
  CHECK_FALSE(SuspicionShared({alive_answer::kSilent, alive_answer::kBusy}));
  CHECK(SuspicionShared({alive_answer::kRefused, alive_answer::kSilent}));
}

// Watchers are the two that would claim first, so that a dead watcher leaves one, and a large site
// does not ask its owner from everywhere.
TEST_CASE("owner watchers, strong entries, are two of them and not the owner") {
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
