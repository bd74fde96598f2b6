// How much load an owner may put on its link and its processor, from their capacity and their
// current use.
//
// It guards against an owner whose link or processor is saturated. Its listings, records and starts
// wait in one queue, and so do the renewal of its lease and the answers to liveness checks; then
// the site is taken from it, and the next owner, on a machine no stronger, has to read the records
// as well. Before that happens other entries forward starts, and work that can be done later or
// less often is slowed down.
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

  // `total`: this entry's calls and their bytes since its start.
  void OnTraffic(const traffic& total, monotonic_time now) {
    if (updated_ != monotonic_time{}) {
      const std::chrono::duration<double> passed = now - updated_;
      const double decay = std::exp(-passed / kRateWindow);
      const auto add = [&](double& rate, double amount) {
        rate = rate * decay + amount / kRateWindow.count();
      };
      add(sent_rate_, static_cast<double>(total.sent - last_total_.sent));
      add(received_rate_, static_cast<double>(total.received - last_total_.received));
      add(call_rate_, static_cast<double>(total.calls - last_total_.calls));
    }
    last_total_ = total;
    updated_ = now;
  }
  // `total`: the calls to instances that this entry has decided on since its start, whoever makes
  // them.
  void OnInstanceCalls(uint64_t total, monotonic_time now) {
    if (instance_calls_updated_ != monotonic_time{}) {
      const std::chrono::duration<double> passed = now - instance_calls_updated_;
      instance_call_rate_ = instance_call_rate_ * std::exp(-passed / kRateWindow) +
                            static_cast<double>(total - last_instance_calls_) / kRateWindow.count();
    }
    last_instance_calls_ = total;
    instance_calls_updated_ = now;
    const double pressure = PressureOf(instance_call_rate_);
    relays_wanted_ = pressure > (relays_wanted_ ? kRelayEndPressure : 1);
  }
  // A start of `bytes` was sent over this link.
  void OnStart(size_t bytes) {
    start_bytes_ += kSmoothing * (static_cast<double>(bytes) - start_bytes_);
  }

  // Use of the link, in its busier direction, or of the processor, relative to the level that
  // leaves capacity for a burst.
  double Pressure() const { return std::max(LinkPressure(), PressureOf(call_rate_)); }
  // Other entries should forward its starts.
  bool Busy() const { return Pressure() > 1; }
  bool LinkBusy() const { return LinkPressure() > 1; }
  // Calls to instances would make the processor busy if this entry made them all itself.
  bool RelaysWanted() const { return relays_wanted_; }
  // Its answers may be late.
  bool Overloaded() const { return Pressure() > kOverloadPressure; }

  // How many starts may be in flight at once, `limit` at most.
  uint32_t StartsInFlight(uint32_t limit) const {
    const double fit = bytes_per_second_ * kMaxLinkQueue.count() / start_bytes_;
    const auto lowest = static_cast<double>(std::min(kMinStartsInFlight, limit));
    return static_cast<uint32_t>(std::clamp(fit, lowest, static_cast<double>(limit)));
  }
  // How many starts of `bytes` an entry sends quickly over a link like this one, with a smaller
  // share of a processor.
  uint32_t StartsPerGroup(size_t bytes) const {
    const double fit = bytes_per_second_ * kMaxLinkQueue.count() / static_cast<double>(bytes) / 2;
    return static_cast<uint32_t>(std::clamp(fit, kMinGroup, kMaxGroup));
  }
  // Bytes of records in one change of the store.
  size_t RecordBytesPerCommit() const {
    return static_cast<size_t>(bytes_per_second_ * kMaxLinkQueue.count() / kBase64Overhead);
  }
  // Between two listings of an instance: `usual`, or longer on a busy machine.
  std::chrono::milliseconds ListingPause(std::chrono::milliseconds usual) const {
    return Scaled(usual, std::clamp(Pressure(), 1.0, kMaxListingFactor));
  }
  // Between two rounds of decisions or two changes of the records: `usual`, or longer on a busy
  // machine. Both cost little more for many events than for one.
  std::chrono::milliseconds RoundPause(std::chrono::milliseconds usual) const {
    const double times = std::clamp(Pressure(), 1.0, kMaxRoundPressure);
    return Scaled(usual, times * times);
  }
  // Between two reads of the registry of `bytes`: `usual`, or longer on a weak machine.
  std::chrono::milliseconds RegistryPause(std::chrono::milliseconds usual, size_t bytes) const {
    const std::chrono::duration<double> link(static_cast<double>(bytes) /
                                             (kRegistryShare * bytes_per_second_));
    const std::chrono::duration<double> processor(kCpuPerRegistryByte * static_cast<double>(bytes) /
                                                  (kRegistryShare * cpu_share_));
    const auto fair =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(link, processor));
    return std::clamp(fair, usual, std::max(usual, kMaxRegistryPause));
  }

 private:
  double LinkPressure() const {
    return std::max(sent_rate_, received_rate_) / bytes_per_second_ / kBusyLink;
  }
  double PressureOf(double calls_per_second) const {
    return calls_per_second * kCpuPerCall.count() / cpu_share_ / kBusyProcessor;
  }
  static std::chrono::milliseconds Scaled(std::chrono::milliseconds usual, double times) {
    return std::chrono::milliseconds(
        static_cast<int64_t>(times * static_cast<double>(usual.count())));
  }

  static constexpr std::chrono::duration<double> kRateWindow{0.5};
  // Low, since bursts double the load within a second and some bytes are not counted.
  static constexpr double kBusyLink = 0.25;
  static constexpr double kBusyProcessor = 0.25;
  static constexpr double kOverloadPressure = 2;
  // Hysteresis: relays cost each call a few milliseconds, and a change of ways a connection.
  static constexpr double kRelayEndPressure = 0.5;
  // Processor time for a call and for the decisions and writes that it causes.
  static constexpr std::chrono::duration<double> kCpuPerCall{0.00015};
  // Limit for the data queued on the link, since urgent messages wait behind it.
  static constexpr std::chrono::duration<double> kMaxLinkQueue{0.08};
  static constexpr double kBase64Overhead = 1.35;  // records are sent as Base64 text
  static constexpr uint32_t kMinStartsInFlight = 16;
  static constexpr double kMinGroup = 8;
  static constexpr double kMaxGroup = 12;
  static constexpr double kMaxListingFactor = 3;
  static constexpr double kMaxRoundPressure = 2.5;
  static constexpr double kRegistryShare = 0.05;
  // Processor time to read a byte of the registry.
  static constexpr std::chrono::duration<double> kCpuPerRegistryByte{5e-8};
  // A draining instance must get no start later than two seconds after it reported so.
  static constexpr std::chrono::milliseconds kMaxRegistryPause{1200};
  static constexpr double kSmoothing = 1.0 / 32;
  static constexpr double kFirstStartBytes = 1000;

  double bytes_per_second_;
  double cpu_share_;
  traffic last_total_;
  monotonic_time updated_{};
  double sent_rate_ = 0;                   // bytes a second, smoothed
  double received_rate_ = 0;               // bytes a second, smoothed
  double call_rate_ = 0;                   // calls a second, smoothed
  double start_bytes_ = kFirstStartBytes;  // smoothed
  uint64_t last_instance_calls_ = 0;
  monotonic_time instance_calls_updated_{};
  double instance_call_rate_ = 0;  // calls a second, smoothed
  bool relays_wanted_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_BUDGET_H_
