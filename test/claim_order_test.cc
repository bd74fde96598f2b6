// Which entries claim a site first and watch its owner, on sites of any size.
#include "process/site/claim_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"
#include "process/site/read_pause.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

site_view ViewOf(size_t entries, uint64_t epoch, uint64_t seed = 0) {
  std::mt19937_64 random(seed);
  site_view view;
  view.epoch = epoch;
  for (size_t i = 0; i < entries; ++i) {
    const std::string name = absl::StrCat("an-entry-with-a-long-name-", 100000 + i);
    const double strength = seed == 0 ? 1 : 0.25 * static_cast<double>(1 + random() % 4);
    view.entries[name] = {name, "10.0.0.1:1", "domain", i + 1, strength};
  }
  if (entries > 0) view.owner = owner_record{view.entries.begin()->second, epoch, false};
  return view;
}

// As defined: by turns among entries of the same strength, which move on with the epoch.
milliseconds DefinedDelay(const site_view& view, const site_entry& of) {
  size_t position = 0;
  size_t count = 0;
  bool weak = false;
  for (const auto& [name, entry] : view.entries) {
    weak = weak || entry.strength > of.strength;
    if (entry.strength != of.strength) continue;
    if (name < of.name) ++position;
    ++count;
  }
  const size_t turn = (position + count - view.epoch % count) % count;
  return milliseconds(60) * std::min<size_t>(turn, 8) + milliseconds(weak ? 600 : 0);
}

TEST_CASE("claim order, entries of several strengths, is as defined") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const site_view view = ViewOf(1 + seed * 3, seed * 7, seed);
    size_t watchers = 0;
    for (const auto& [name, entry] : view.entries) {
      CHECK(ClaimDelay(view, name) == DefinedDelay(view, entry));
      watchers += WatchesOwner(view, name) ? 1 : 0;
    }
    CHECK(watchers == std::min<size_t>(2, view.entries.size() - 1));
  }
  CHECK(ClaimDelay(ViewOf(3, 1), "unknown") == milliseconds(60));
  CHECK_FALSE(WatchesOwner(ViewOf(3, 1), "unknown"));
}

// Guards against work that grows with the square of the entries, several times a second at each of
// them: at 300 entries it took more than all processors. At this size it would not end.
TEST_CASE("claim order, a hundred thousand entries, is found") {
  const site_view view = ViewOf(100'000, 5);
  CHECK_FALSE(WatchesOwner(view, view.entries.begin()->first));
  CHECK(ClaimsAmongFirst(view, view.entries.begin()->first));
  CHECK(WatchesOwner(view, std::next(view.entries.begin(), 5)->first));
  CHECK_FALSE(ClaimsAmongFirst(view, view.entries.rbegin()->first));
}

TEST_CASE("read pause, entry that others depend on, is as short on a large site") {
  read_pause pause;
  const site_place place{1000, true};
  for (int i = 0; i < 5; ++i) CHECK(pause.AfterFailure(place, 0.9) == read_pause::kRetry);
  CHECK(read_pause::BeforeReread(place, 0.9).count() == 0);
  CHECK(read_pause::BetweenWatches(place).count() == 0);
}

// Guards against a site whose entries read in step: the waits of one entry in ten fall into a tenth
// of the time.
TEST_CASE("read pause, other entries, grows with the site and with failures up to a limit") {
  const site_place small{20, false};
  const site_place large{1000, false};
  read_pause pause;
  for (int i = 0; i < 5; ++i) CHECK(pause.AfterFailure(small, 0.99) <= read_pause::kRetry);
  pause.OnSuccess();
  milliseconds last{0};
  for (int i = 0; i < 8; ++i) {
    const milliseconds next = pause.AfterFailure(large, 0.5);
    CHECK(next >= last);
    last = next;
  }
  CHECK(last == milliseconds(6000));
  pause.OnSuccess();
  CHECK(pause.AfterFailure(large, 0) == read_pause::kRetry / 2);
  CHECK(read_pause::BeforeReread(large, 0.25) == milliseconds(2500));
  CHECK(read_pause::BeforeReread(small, 0.99) < milliseconds(200));
  CHECK(read_pause::BetweenWatches(small).count() == 0);
  CHECK(read_pause::BetweenWatches(large) == milliseconds(500));
}

// Guards against a process that starts while the store fails and waits long for its first read.
TEST_CASE("read pause, nothing read yet, has a limit of its own") {
  read_pause pause;
  for (int i = 0; i < 10; ++i) CHECK(pause.AfterFailure({0, true}, 0.999) <= milliseconds(1000));
}

}  // namespace
}  // namespace catkinford
