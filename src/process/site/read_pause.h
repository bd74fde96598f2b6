// How long an entry waits before it reads from the store what all entries of its site read.
//
// What ends the watch of one entry, such as an outage of the store or the loss of its history, ends
// those of all. If all of them read at once, and again as soon as a read fails, a large site keeps
// a store slow that has recovered. Waits are random within a period that grows with the number of
// entries. The few entries that the others depend on, `first`, do not wait longer on a large site.
//
// `random` is uniform in [0, 1).
#ifndef CATKINFORD_PROCESS_SITE_READ_PAUSE_H_
#define CATKINFORD_PROCESS_SITE_READ_PAUSE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace catkinford {

// The reader's place in its site. An entry that has read nothing yet knows of no entries.
struct site_place {
  size_t entries = 0;
  bool first = true;
};

class read_pause {
 public:
  static constexpr std::chrono::milliseconds kRetry{250};

  void OnSuccess() { failures_ = 0; }
  bool Failing() const { return failures_ > 0; }

  // Before the call after one that failed. Doubles with each further failure.
  std::chrono::milliseconds AfterFailure(const site_place& place, double random) {
    const uint32_t doublings = std::min(failures_, kMaxDoublings);
    failures_ = doublings + 1;
    if (place.first && place.entries > 0) return kRetry;
    const auto longest =
        place.entries == 0 ? kLongestUnread : std::max(kRetry, kRetriesApart * ToRep(place));
    const auto period = std::min(longest, kRetry * (1 << doublings));
    return Part(period, (1 + random) / 2);
  }

  // Before all keys of the site are read because the store dropped its history.
  static std::chrono::milliseconds BeforeReread(const site_place& place, double random) {
    if (place.first) return std::chrono::milliseconds{0};
    return Part(kRereadsApart * ToRep(place), random);
  }

  // Before the next watch, after one that told of changes of other entries. On a large site each of
  // them would otherwise cost all entries a call.
  static std::chrono::milliseconds BetweenWatches(const site_place& place) {
    if (place.first || place.entries < kLargeSite) return std::chrono::milliseconds{0};
    return std::min(kWatchesApart * ToRep(place), kLongestBetweenWatches);
  }

 private:
  // Times the number of entries.
  static constexpr std::chrono::milliseconds kRetriesApart{8};
  static constexpr std::chrono::milliseconds kRereadsApart{10};
  static constexpr std::chrono::milliseconds kWatchesApart{1};
  static constexpr std::chrono::milliseconds kLongestBetweenWatches{500};
  static constexpr size_t kLargeSite = 100;
  static constexpr std::chrono::milliseconds kLongestUnread{1000};
  static constexpr uint32_t kMaxDoublings = 6;

  static int64_t ToRep(const site_place& place) { return static_cast<int64_t>(place.entries); }
  static std::chrono::milliseconds Part(std::chrono::milliseconds whole, double share) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(whole * share);
  }

  uint32_t failures_ = 0;  // consecutive, up to the limit of doublings
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_READ_PAUSE_H_
