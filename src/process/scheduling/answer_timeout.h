// Time-out for an instance's answer to a command, after which the instance is suspect: the smoothed
// time of recent answers plus four times their deviation, as in a TCP retransmission timer.
//
// It covers failure domains that are cut off and commands that are delayed by seconds. If only the
// call's time-out revealed a lost start, its task could not run elsewhere for several times the
// length of a quick task. A fixed short limit would make every instance suspect whenever the owner
// itself is slow to read answers.
#ifndef CATKINFORD_PROCESS_SCHEDULING_ANSWER_TIMEOUT_H_
#define CATKINFORD_PROCESS_SCHEDULING_ANSWER_TIMEOUT_H_

#include <algorithm>
#include <chrono>
#include <cmath>

namespace catkinford {

class answer_timeout {
 public:
  void OnAnswer(std::chrono::milliseconds took) {
    const auto sample = static_cast<double>(took.count());
    deviation_ += kDeviationGain * (std::abs(sample - mean_) - deviation_);
    mean_ += kMeanGain * (sample - mean_);
  }

  // Smoothed time of recent answers.
  std::chrono::milliseconds Usual() const {
    return std::chrono::milliseconds(static_cast<int64_t>(std::ceil(mean_)));
  }

  std::chrono::milliseconds Timeout() const {
    const auto limit =
        std::chrono::milliseconds(static_cast<int64_t>(mean_ + kDeviations * deviation_));
    return std::clamp(limit, kMinTimeout, kMaxTimeout);
  }

 private:
  static constexpr double kMeanGain = 1.0 / 8;
  static constexpr double kDeviationGain = 1.0 / 4;
  static constexpr double kDeviations = 4;
  static constexpr std::chrono::milliseconds kMinTimeout{150};  // ten times a usual answer
  static constexpr std::chrono::milliseconds kMaxTimeout{1200};

  double mean_ = 10;  // ms
  double deviation_ = 5;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_ANSWER_TIMEOUT_H_
