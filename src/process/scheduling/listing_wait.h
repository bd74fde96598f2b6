// How long a listing may wait at its instance for an end. A long wait needs few calls; a short wait
// loses little time when a call is delayed.
//
// If a share of the calls to instances goes unanswered for seconds, all ends at such an instance
// are received that much later. While that happens, listings wait a short time and the next one
// reports what the lost one would have reported.
#ifndef CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_
#define CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_

#include <chrono>

namespace catkinford {

class listing_wait {
 public:
  void OnAnswered() { lost_share_ -= kGain * lost_share_; }
  // The listing timed out, and its instance answered the next one.
  void OnLost() { lost_share_ += kGain * (1 - lost_share_); }

  std::chrono::milliseconds Wait() const { return lost_share_ < kHighLossShare ? kLong : kShort; }

 private:
  static constexpr double kGain = 1.0 / 256;  // per listing; a busy site makes 200 a second
  static constexpr double kHighLossShare = 0.005;
  static constexpr std::chrono::milliseconds kLong{1000};
  static constexpr std::chrono::milliseconds kShort{300};

  double lost_share_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_
