#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ownership_simulation.h"
#include "property.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261202;
constexpr int kCases = 150;
constexpr int kEntries = 3;
constexpr milliseconds kHealLimit{12000};

// A uniform number below `limit`, independent of the size of the test case.
int Below(int limit) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); }

std::string NameOf(int entry) { return absl::StrCat("e", entry); }

void AddMissing(ownership_simulation& simulation) {
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!simulation.Has(NameOf(entry))) simulation.Add(NameOf(entry));
  }
}

// One fault or one repair at a random entry.
void InjectFault(ownership_simulation& simulation) {
  const std::string name = NameOf(Below(kEntries));
  const int action = Below(12);
  if (action == 9) simulation.SetStoreDown(true);
  if (action == 10) simulation.SetStoreDown(false);
  if (action == 11) simulation.CutPeers(Below(2) == 0);
  if (!simulation.Has(name)) {
    simulation.Add(name);
    return;
  }
  if (action == 0) simulation.Kill(name);
  if (action == 1)
    simulation.Add(name);  // replaced while the old process is cut off at the same time
  if (action == 2 || action == 3) simulation.Pause(name);
  if (action == 4 || action == 5) simulation.Resume(name);
  if (action == 6) simulation.CutFromStore(name, Below(2) == 0);
  if (action == 7) simulation.LoseReplies(1 + Below(4));
  if (action == 8) simulation.Release(name);
}

void Heal(ownership_simulation& simulation) {
  simulation.SetStoreDown(false);
  simulation.CutPeers(false);
  simulation.LoseReplies(0);
  for (int entry = 0; entry < kEntries; ++entry) {
    const std::string name = NameOf(entry);
    if (!simulation.Has(name)) continue;
    simulation.Resume(name);
    simulation.CutFromStore(name, false);
  }
  // New entries replace those that were told to leave.
  for (int entry = 0; entry < kEntries; ++entry) {
    if (simulation.Has(NameOf(entry)) && simulation.Owner(NameOf(entry)).Releasing()) {
      simulation.Kill(NameOf(entry));
    }
  }
  AddMissing(simulation);
}

// Random faults with random time between them, then all are repaired.
void Run(const ownership_simulation_options& options) {
  ownership_simulation simulation(options);
  AddMissing(simulation);
  simulation.Run(seconds{3});
  const int faults = 5 + Below(25);
  for (int i = 0; i < faults; ++i) {
    InjectFault(simulation);
    simulation.Run(milliseconds{10 * (1 + Below(400))});
    const std::string violation = simulation.Violation();
    if (!violation.empty()) RC_FAIL(violation);
  }
  Heal(simulation);
  const bool all_owned = simulation.RunUntil(
      [&] {
        for (uint32_t shard = 0; shard < options.shards; ++shard) {
          if (simulation.StartsSince(shard, simulation.Now() - milliseconds{15}).empty())
            return false;
        }
        return true;
      },
      kHealLimit);
  RC_ASSERT(all_owned);
  const std::string violation = simulation.Violation();
  if (!violation.empty()) RC_FAIL(violation);
}

}  // namespace

// Entries are killed, paused, replaced, released and cut off from the store and each other, and
// replies are lost, in any order. No endpoint may accept starts from two owners of the same epoch,
// or from an old owner after a new one; after the repair every shard must have an owner.
TEST_CASE("ownership, random faults, never two owners and healed after", "[ownership_model]") {
  CHECK(Holds({kSeed, kCases}, [] { Run({2, true, milliseconds{1}}); }));
}

// The same where messages take longer than the time between ticks.
TEST_CASE("ownership, random faults and slow messages, never two owners", "[ownership_model]") {
  CHECK(Holds({kSeed + 1, kCases}, [] { Run({2, true, milliseconds{35}}); }));
}

// Without fencing only leases and clocks keep two owners apart.
TEST_CASE("ownership without fencing, random faults, never two owners", "[ownership_model]") {
  CHECK(Holds({kSeed + 2, kCases}, [] { Run({2, false, milliseconds{1}}); }));
  CHECK(Holds({kSeed + 3, kCases}, [] { Run({2, false, milliseconds{35}}); }));
  CHECK(Holds({kSeed + 4, kCases}, [] { Run({2, false, milliseconds{1}, milliseconds{400}}); }));
}

}  // namespace catkinford
