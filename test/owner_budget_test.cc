#include "process/site/owner_budget.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNarrowMbps = 2;
constexpr double kWideMbps = 200;
constexpr double kWholeProcessor = 1;
constexpr milliseconds kUsualPause{120};

// An owner that puts the same number of bytes on its link every 20 ms.
class owner_budget_fixture {
 protected:
  void Send(owner_budget& budget, uint64_t bytes_per_second, seconds time) {
    constexpr milliseconds kStep{20};
    for (const monotonic_time end = now + time; now < end; now += kStep) {
      total.sent += bytes_per_second * static_cast<uint64_t>(kStep.count()) / 1000;
      budget.OnUse(total, now);
    }
  }
  void Call(owner_budget& budget, uint64_t calls_per_second, seconds time) {
    constexpr milliseconds kStep{20};
    for (const monotonic_time end = now + time; now < end; now += kStep) {
      total.calls += calls_per_second * static_cast<uint64_t>(kStep.count()) / 1000;
      budget.OnUse(total, now);
    }
  }

  monotonic_time now{seconds(100)};
  traffic total;
};

// Guards against an owner that fills its link before it lets others help.
TEST_CASE_METHOD(
    owner_budget_fixture,
    "owner budget, burst of wide jobs on a narrow link, is busy while it is half free") {
  owner_budget budget(kNarrowMbps, kWholeProcessor);
  Send(budget, kNarrowMbps * kBytesPerMegabit / 10, seconds(3));
  CHECK_FALSE(budget.Busy());
  CHECK(budget.ListingPause(kUsualPause) == kUsualPause);
  Send(budget, kNarrowMbps * kBytesPerMegabit / 2, seconds(3));
  CHECK(budget.Busy());
  CHECK(budget.ListingPause(kUsualPause) > kUsualPause * 3 / 2);
  CHECK(budget.ListingPause(kUsualPause) <= kUsualPause * 3);
  Send(budget, 0, seconds(3));
  CHECK_FALSE(budget.Busy());
}

// Guards against help that is not needed: each start through another entry is a hop more.
TEST_CASE_METHOD(owner_budget_fixture, "owner budget, the same load on a wide link, is not busy") {
  owner_budget budget(kWideMbps, kWholeProcessor);
  Send(budget, kNarrowMbps * kBytesPerMegabit, seconds(3));
  CHECK_FALSE(budget.Busy());
}

// Guards against an owner that is out of processor time while other entries idle.
TEST_CASE_METHOD(owner_budget_fixture,
                 "owner budget, hundreds of instances and half a processor, is busy in time") {
  owner_budget half(kWideMbps, 0.5);
  Call(half, 500, seconds(3));
  CHECK_FALSE(half.Busy());
  Call(half, 1500, seconds(3));
  CHECK(half.Busy());
  CHECK_FALSE(half.Overloaded());
  Call(half, 3000, seconds(3));
  CHECK(half.Overloaded());
  Call(half, 0, seconds(3));
  CHECK_FALSE(half.Busy());
}

// Guards against starts that wait in the link's queue, with the lease's renewal behind them.
TEST_CASE_METHOD(
    owner_budget_fixture,
    "owner budget, whole floor to start, puts a tenth of a second on the link at most") {
  owner_budget narrow(kNarrowMbps, kWholeProcessor);
  constexpr size_t kStartBytes = 1500;
  for (int i = 0; i < 500; ++i) narrow.OnStart(kStartBytes);
  const auto most = static_cast<uint64_t>(kNarrowMbps * kBytesPerMegabit / 10);
  CHECK(narrow.StartsInFlight(160) * kStartBytes <= most);
  CHECK(narrow.RecordBytes() <= most);
  // Smaller ones may be more at a time.
  const uint32_t before = narrow.StartsInFlight(160);
  for (int i = 0; i < 500; ++i) narrow.OnStart(kStartBytes / 5);
  CHECK(narrow.StartsInFlight(160) > 2 * before);
  CHECK(owner_budget(kWideMbps, kWholeProcessor).StartsInFlight(160) == 160);
}

// Guards against a wide job that is given to one entry and fills its link in place of the owner's.
TEST_CASE_METHOD(owner_budget_fixture, "owner budget, narrow links, wide jobs go in small groups") {
  constexpr size_t kStartBytes = 1500;
  CHECK(owner_budget(kNarrowMbps, kWholeProcessor).StartsOfGroup(kStartBytes) <= 8);
  const uint32_t wide = owner_budget(kWideMbps, kWholeProcessor).StartsOfGroup(kStartBytes);
  CHECK(wide > 8);
  // At 0.25 ms a call, an entry with an eighth of a processor sends no more in 30 ms.
  CHECK(wide <= 15);
}

// Guards against a registry that is read over and over on a link which it takes a second to cross,
// and against instances that are drained and still get work because it is read too rarely.
TEST_CASE_METHOD(owner_budget_fixture,
                 "owner budget, long registry, is read less often but in time") {
  constexpr size_t kRegistry = 54'000;
  CHECK(owner_budget(kWideMbps, kWholeProcessor).RegistryPause(milliseconds{700}, kRegistry) ==
        milliseconds{700});
  const auto pause =
      owner_budget(kNarrowMbps, kWholeProcessor).RegistryPause(milliseconds{700}, 10 * kRegistry);
  CHECK(pause > milliseconds{700});
  CHECK(pause <= milliseconds{1200});
}

}  // namespace
}  // namespace catkinford
