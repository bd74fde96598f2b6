#include "process/site/owner_budget.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNarrowMbps = 2;
constexpr double kWideMbps = 200;
constexpr double kFullProcessor = 1;
constexpr milliseconds kUsualPause{120};

// Feeds the budget a constant rate of sent bytes or of calls, in steps of 20 ms.
class owner_budget_fixture {
 protected:
  void Send(owner_budget& budget, uint64_t bytes_per_second, seconds time) {
    constexpr milliseconds kStep{20};
    for (const monotonic_time end = now + time; now < end; now += kStep) {
      total.sent += bytes_per_second * static_cast<uint64_t>(kStep.count()) / 1000;
      budget.OnTraffic(total, now);
    }
  }
  void Call(owner_budget& budget, uint64_t calls_per_second, seconds time) {
    constexpr milliseconds kStep{20};
    for (const monotonic_time end = now + time; now < end; now += kStep) {
      total.calls += calls_per_second * static_cast<uint64_t>(kStep.count()) / 1000;
      budget.OnTraffic(total, now);
    }
  }

  monotonic_time now{seconds(100)};
  traffic total;
};

// Guards against an owner that saturates its link before other entries forward its starts.
TEST_CASE_METHOD(
    owner_budget_fixture,
    "owner budget, burst of wide jobs on a narrow link, busy while half the link is free") {
  owner_budget budget(kNarrowMbps, kFullProcessor);
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

// Guards against needless forwarding, which costs each start an extra hop.
TEST_CASE_METHOD(owner_budget_fixture, "owner budget, same load on a wide link, not busy") {
  owner_budget budget(kWideMbps, kFullProcessor);
  Send(budget, kNarrowMbps * kBytesPerMegabit, seconds(3));
  CHECK_FALSE(budget.Busy());
}

// Guards against an owner that runs out of processor time while other entries are idle.
TEST_CASE_METHOD(
    owner_budget_fixture,
    "owner budget, hundreds of instances and half a processor, busy before overloaded") {
  owner_budget half_processor(kWideMbps, 0.5);
  Call(half_processor, 500, seconds(3));
  CHECK_FALSE(half_processor.Busy());
  Call(half_processor, 1500, seconds(3));
  CHECK(half_processor.Busy());
  CHECK_FALSE(half_processor.Overloaded());
  Call(half_processor, 3000, seconds(3));
  CHECK(half_processor.Overloaded());
  Call(half_processor, 0, seconds(3));
  CHECK_FALSE(half_processor.Busy());
}

// Guards against starts that queue on the link and delay the renewal of the lease.
TEST_CASE_METHOD(
    owner_budget_fixture,
    "owner budget, starts for the full fleet, at most a tenth of a second of data on the link") {
  owner_budget narrow(kNarrowMbps, kFullProcessor);
  constexpr size_t kStartBytes = 1500;
  for (int i = 0; i < 500; ++i) narrow.OnStart(kStartBytes);
  const auto most = static_cast<uint64_t>(kNarrowMbps * kBytesPerMegabit / 10);
  CHECK(narrow.StartsInFlight(160) * kStartBytes <= most);
  CHECK(narrow.RecordBytesPerCommit() <= most);
  // More of the smaller ones fit.
  const uint32_t before = narrow.StartsInFlight(160);
  for (int i = 0; i < 500; ++i) narrow.OnStart(kStartBytes / 5);
  CHECK(narrow.StartsInFlight(160) > 2 * before);
  CHECK(owner_budget(kWideMbps, kFullProcessor).StartsInFlight(160) == 160);
}

// Guards against a wide job that is forwarded through one entry and saturates its link instead.
TEST_CASE_METHOD(owner_budget_fixture,
                 "owner budget, narrow links, wide jobs split into small groups") {
  constexpr size_t kStartBytes = 1500;
  CHECK(owner_budget(kNarrowMbps, kFullProcessor).StartsPerGroup(kStartBytes) <= 8);
  const uint32_t wide = owner_budget(kWideMbps, kFullProcessor).StartsPerGroup(kStartBytes);
  CHECK(wide > 8);
  // At 0.25 ms a call, an entry with an eighth of a processor sends no more in 30 ms.
  CHECK(wide <= 15);
}

// Guards against reading the registry continuously over a link on which one read takes a second,
// and against reading it so rarely that draining instances still get work.
TEST_CASE_METHOD(owner_budget_fixture,
                 "owner budget, long registry, read less often but within the limit") {
  constexpr size_t kRegistry = 54'000;
  CHECK(owner_budget(kWideMbps, kFullProcessor).RegistryPause(milliseconds{700}, kRegistry) ==
        milliseconds{700});
  const auto pause =
      owner_budget(kNarrowMbps, kFullProcessor).RegistryPause(milliseconds{700}, 10 * kRegistry);
  CHECK(pause > milliseconds{700});
  CHECK(pause <= milliseconds{1200});
}

}  // namespace
}  // namespace catkinford
