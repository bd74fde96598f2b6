// The event log of an entry of a site: one line with a number, a name and fields for each decision
// about a request and each change of the state that the process observes. docs/EVENTS.md lists all
// events.
//
// Lines pass through a bounded ring to a writer thread, so that a full pipe on standard output does
// not delay decisions. The number of lines per second is limited; lines above the limit are dropped
// and counted, and the count is logged.
#ifndef CATKINFORD_PROCESS_SITE_SITE_LOG_H_
#define CATKINFORD_PROCESS_SITE_SITE_LOG_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <thread>

#include "connection/bounded_ring.h"
#include "request/job_request.h"

namespace catkinford {

enum class site_event : uint16_t {
  // 60x: the process
  kStarted = 600,
  kStopping = 601,
  kStopped = 602,
  kReloaded = 603,
  kReadiness = 604,
  kLinesLeftOut = 605,
  // 61x: requests of callers
  kJobAccepted = 610,
  kJobRefused = 611,
  kJobUnsettled = 612,
  kCancelTaken = 613,
  kCancelRefused = 614,
  kStateTold = 615,
  kStateRefused = 616,
  kRequestRefused = 617,
  // 62x, 618, 619: jobs at the owner
  kJobAdded = 620,
  kJobEnded = 621,
  kTaskStart = 622,
  kTaskRefused = 623,
  kTaskEnd = 624,
  kTaskStop = 625,
  kRunVanished = 626,
  kRunAdopted = 627,
  kAdvice = 628,
  kProgressStored = 629,
  kAdviceAsked = 619,
  kStartsNotCarried = 618,
  // 63x: instances at the owner
  kInstanceJoined = 630,
  kInstanceReborn = 631,
  kInstanceAbsent = 632,
  kInstanceSilent = 633,
  kInstanceBack = 634,
  kInstanceDraining = 635,
  kInstanceShunned = 636,
  kInstanceDoubted = 637,
  kRunUnidentified = 638,
  kDomainEvacuated = 639,
  // 64x: ownership of the site and its entries
  kOwnerSeen = 640,
  kOwnershipWon = 641,
  kOwnershipLost = 642,
  kOwnerLoaded = 643,
  kRecordsComplete = 647,
  kRecordsBehind = 648,
  kOwnerSuspected = 649,
  kLeaseLost = 644,
  kEntrySeen = 645,
  kEntryGone = 646,
  // 65x, 66x: dependencies: store, other entries, configuration
  kStoreLost = 650,
  kStoreBack = 651,
  kStoreRefusal = 652,
  kPeerLost = 653,
  kPeerBack = 654,
  kVersionTaken = 655,
  kVersionRefused = 656,
  kRecordUnreadable = 657,
  kVersionUnread = 658,
  kVersionTold = 659,
  kVersionUnconfirmed = 660,
  kVersionConfirmed = 661,
  kLinkUse = 662,
  // 66x: relays of an owner's calls
  kRelayUsed = 663,
  kRelayLost = 664,
  // 66x: failure domains closed by operators, at each entry
  kEvacuationsTaken = 665,
  // 66x, 67x: decisions under load, and what is learned
  kInstanceSpeed = 666,
  kJobShed = 667,
  kCopyDecided = 668,
  kHandover = 669,
  kLearnedLoaded = 670,
  // 67x: entries of the registry
  kRegistrationUnusable = 671,
  // 67x: connections
  kConnectionsClosed = 672,
};

// When the limit of lines per second is reached, details are dropped first, then infos. Warnings
// and summaries (one per second) are exempt from the limit.
enum class site_log_level : uint8_t { kDetail, kInfo, kSummary, kWarning };

struct site_event_info {
  site_event event;
  site_log_level level;
  std::string_view name;
  std::string_view text;
};
std::span<const site_event_info> AllSiteEvents();
const site_event_info& InfoOf(site_event event);

class site_log {
 public:
  site_log(std::string entry, uint32_t lines_per_second);
  // Writes the lines that are still queued.
  ~site_log();
  site_log(const site_log&) = delete;
  site_log& operator=(const site_log&) = delete;

  // Thread-safe; never blocks. `fields`: "name=value name=value".
  void Write(site_event event, monotonic_time now, const std::string& fields);
  // How many more detail lines of this second would be written.
  size_t RoomForDetails(monotonic_time now) const;
  // Counts lines that were not made since there was no room for them.
  void CountDropped(size_t lines) { dropped_lines_.fetch_add(lines, std::memory_order_relaxed); }
  uint64_t DroppedLines() const { return dropped_lines_.load(std::memory_order_relaxed); }

 private:
  void Run();
  bool Admit(site_log_level level, monotonic_time now);
  uint32_t LimitOf(site_log_level level) const;
  static int64_t SecondOf(monotonic_time now);

  std::string entry_;
  const uint32_t lines_per_second_;
  bounded_ring<std::string> ring_;
  std::atomic<int64_t> second_{0};
  std::atomic<uint32_t> lines_in_second_{0};
  std::atomic<uint64_t> dropped_lines_{0};
  std::thread writer_;
};

// Makes text from a caller safe for a field: replaces whitespace, control characters and '=', and
// truncates it to 80 bytes.
std::string LogField(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_LOG_H_
