// What an owner may put on its link and its processor, from what these are and how much is asked of
// them.
//
// The load it answers: an owner whose link or processor is full. Its listings, records and starts
// wait in one queue, and so do the renewal of its lease and the question whether it lives; then the
// site is taken from it, and the next owner, on a machine no stronger, has the records to read as
// well. Before it comes to that other entries help, and what can be later or less often gives way.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_BUDGET_H_
#define CATKINFORD_PROCESS_SITE_OWNER_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "connection/traffic_counter.h"
#include "request/job_request.h"

namespace catkinford {

class owner_budget {
 public:
  // `cpu_share`: of one processor.
  owner_budget(double link_mbps, double cpu_share)
      : bytes_per_second_(link_mbps * kBytesPerMegabit), cpu_share_(cpu_share) {}

  // What this entry has done since its start, as now known: its calls, and their bytes.
  void OnUse(const traffic& total, monotonic_time now) {
    if (seen_ != monotonic_time{}) {
      const std::chrono::duration<double> passed = now - seen_;
      const double kept = std::exp(-passed / kRateWindow);
      const auto add = [&](double& rate, double amount) {
        rate = rate * kept + amount / kRateWindow.count();
      };
      add(sent_rate_, static_cast<double>(total.sent - total_.sent));
      add(received_rate_, static_cast<double>(total.received - total_.received));
      add(call_rate_, static_cast<double>(total.calls - total_.calls));
    }
    total_ = total;
    seen_ = now;
  }
  // A start left over this link.
  void OnStart(size_t bytes) {
    start_bytes_ += kGain * (static_cast<double>(bytes) - start_bytes_);
  }

  // How much of the link, in its busier direction, or of the processor is in use, against what
  // leaves room for a burst.
  double Pressure() const {
    const double link = std::max(sent_rate_, received_rate_) / bytes_per_second_;
    const double processor = call_rate_ * kCallTakes.count() / cpu_share_;
    return std::max(link / kBusyLink, processor / kBusyProcessor);
  }
  // Other entries should bring starts for it.
  bool Busy() const { return Pressure() > 1; }
  // It may answer late what it is asked.
  bool Overloaded() const { return Pressure() > kOverload; }

  // How many starts may be on their way at once, `most` at most.
  uint32_t StartsInFlight(uint32_t most) const {
    const double fit = bytes_per_second_ * kQueue.count() / start_bytes_;
    const auto least = static_cast<double>(std::min(kLeastInFlight, most));
    return static_cast<uint32_t>(std::clamp(fit, least, static_cast<double>(most)));
  }
  // How many starts of `bytes` an entry on a link like this one, and with less of a processor,
  // sends in a moment.
  uint32_t StartsOfGroup(size_t bytes) const {
    const double fit = bytes_per_second_ * kQueue.count() / static_cast<double>(bytes) / 2;
    return static_cast<uint32_t>(std::clamp(fit, kSmallestGroup, kLargestGroup));
  }
  // Bytes of records in one change of the store.
  size_t RecordBytes() const {
    return static_cast<size_t>(bytes_per_second_ * kQueue.count() / kOnTheWire);
  }
  // Between two listings of an instance: `usual`, or longer on a busy machine.
  std::chrono::milliseconds ListingPause(std::chrono::milliseconds usual) const {
    return Stretched(usual, std::clamp(Pressure(), 1.0, kLongestListingPause));
  }
  // Between two rounds of decisions, or two changes of the records: `usual`, or longer on a busy
  // machine. Both cost little more for many events than for one.
  std::chrono::milliseconds RoundPause(std::chrono::milliseconds usual) const {
    const double times = std::clamp(Pressure(), 1.0, kLongestRoundPause);
    return Stretched(usual, times * times);
  }
  // Between two reads of the registry, which is `bytes` long: `usual`, or longer on a weak machine.
  std::chrono::milliseconds RegistryPause(std::chrono::milliseconds usual, size_t bytes) const {
    const std::chrono::duration<double> link(static_cast<double>(bytes) /
                                             (kRegistryShare * bytes_per_second_));
    const std::chrono::duration<double> processor(kByteTakes * static_cast<double>(bytes) /
                                                  (kRegistryShare * cpu_share_));
    const auto fair =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(link, processor));
    return std::clamp(fair, usual, std::max(usual, kLongestRegistryPause));
  }

 private:
  static std::chrono::milliseconds Stretched(std::chrono::milliseconds usual, double times) {
    return std::chrono::milliseconds(
        static_cast<int64_t>(times * static_cast<double>(usual.count())));
  }

  static constexpr std::chrono::duration<double> kRateWindow{0.5};
  // Bursts double the load within a second, and not all bytes are counted.
  static constexpr double kBusyLink = 0.25;
  static constexpr double kBusyProcessor = 0.25;
  static constexpr double kOverload = 2;
  // Of a processor, for a call and all that is decided and written because of it.
  static constexpr std::chrono::duration<double> kCallTakes{0.00015};
  // What waits in the link's queue at most: anything urgent waits behind it.
  static constexpr std::chrono::duration<double> kQueue{0.08};
  static constexpr double kOnTheWire = 1.35;  // records travel as Base64 text
  static constexpr uint32_t kLeastInFlight = 16;
  static constexpr double kSmallestGroup = 8;
  static constexpr double kLargestGroup = 12;
  static constexpr double kLongestListingPause = 3;
  static constexpr double kLongestRoundPause = 2.5;
  static constexpr double kRegistryShare = 0.05;
  // Of a processor, to read a byte of the registry.
  static constexpr std::chrono::duration<double> kByteTakes{5e-8};
  // An instance that is drained may get no start two seconds after it said so.
  static constexpr std::chrono::milliseconds kLongestRegistryPause{1200};
  static constexpr double kGain = 1.0 / 32;
  static constexpr double kFirstStartBytes = 1000;

  double bytes_per_second_;
  double cpu_share_;
  traffic total_;
  monotonic_time seen_{};
  double sent_rate_ = 0;                   // bytes a second, smoothed
  double received_rate_ = 0;               // the same
  double call_rate_ = 0;                   // calls a second, smoothed
  double start_bytes_ = kFirstStartBytes;  // smoothed
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_BUDGET_H_
