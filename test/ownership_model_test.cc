#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ownership_world.h"
#include "property.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261202;
constexpr int kCases = 150;
constexpr int kEntries = 3;
constexpr milliseconds kHealed{12000};

// A number below `limit`, of whatever size the case is.
int Below(int limit) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit)); }

std::string NameOf(int entry) { return absl::StrCat("e", entry); }

void AddMissing(ownership_world& world) {
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!world.Has(NameOf(entry))) world.Add(NameOf(entry));
  }
}

// One fault or one mend, at a random entry.
void Disturb(ownership_world& world) {
  const std::string name = NameOf(Below(kEntries));
  const int action = Below(12);
  if (action == 9) world.SetStoreDown(true);
  if (action == 10) world.SetStoreDown(false);
  if (action == 11) world.CutPeers(Below(2) == 0);
  if (!world.Has(name)) {
    world.Add(name);
    return;
  }
  if (action == 0) world.Kill(name);
  if (action == 1) world.Add(name);  // replaced while the old process is cut off at once
  if (action == 2 || action == 3) world.Pause(name);
  if (action == 4 || action == 5) world.Resume(name);
  if (action == 6) world.CutFromStore(name, Below(2) == 0);
  if (action == 7) world.LoseReplies(1 + Below(4));
  if (action == 8) world.Release(name);
}

void Heal(ownership_world& world) {
  world.SetStoreDown(false);
  world.CutPeers(false);
  world.LoseReplies(0);
  for (int entry = 0; entry < kEntries; ++entry) {
    const std::string name = NameOf(entry);
    if (!world.Has(name)) continue;
    world.Resume(name);
    world.CutFromStore(name, false);
  }
  // Fresh ones come in the place of entries that were told to leave.
  for (int entry = 0; entry < kEntries; ++entry) {
    if (world.Has(NameOf(entry)) && world.Owner(NameOf(entry)).Releasing()) {
      world.Kill(NameOf(entry));
    }
  }
  AddMissing(world);
}

// Random faults with random time between them, then a mended world.
void Run(const world_options& options) {
  ownership_world world(options);
  AddMissing(world);
  world.Run(seconds{3});
  const int faults = 5 + Below(25);
  for (int i = 0; i < faults; ++i) {
    Disturb(world);
    world.Run(milliseconds{10 * (1 + Below(400))});
    const std::string violation = world.Violation();
    if (!violation.empty()) RC_FAIL(violation);
  }
  Heal(world);
  const bool all_owned = world.RunUntil(
      [&] {
        for (uint32_t shard = 0; shard < options.shards; ++shard) {
          if (world.StartsSince(shard, world.Now() - milliseconds{15}).empty()) return false;
        }
        return true;
      },
      kHealed);
  RC_ASSERT(all_owned);
  const std::string violation = world.Violation();
  if (!violation.empty()) RC_FAIL(violation);
}

}  // namespace

// Entries die, pause, are replaced, lose the store, each other and replies, and are told to leave,
// in any order. Whatever happens, no endpoint takes a start from two owners of the same epoch, nor
// one of an old owner after one of a new; and once all is mended every shard has an owner.
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
