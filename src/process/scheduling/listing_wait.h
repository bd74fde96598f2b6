// How long a listing may wait at its instance for an end. A long wait costs few calls; a short one
// loses little time when the call is held up on its way.
//
// The load it answers: a share of the calls to instances goes unanswered for seconds, and all that
// ends at such an instance meanwhile is heard that much later. While that happens, listings wait a
// short time and the next one brings what the lost one would have told.
#ifndef CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_
#define CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_

#include <chrono>

namespace catkinford {

class listing_wait {
 public:
  void OnAnswered() { lost_share_ -= kGain * lost_share_; }
  // It was given up, and its instance answered the next one.
  void OnLost() { lost_share_ += kGain * (1 - lost_share_); }

  std::chrono::milliseconds Wait() const { return lost_share_ < kHighLossShare ? kLong : kShort; }

 private:
  static constexpr double kGain = 1.0 / 256;  // of one listing; a busy site makes 200 a second
  static constexpr double kHighLossShare = 0.005;
  static constexpr std::chrono::milliseconds kLong{1000};
  static constexpr std::chrono::milliseconds kShort{300};

  double lost_share_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_LISTING_WAIT_H_
