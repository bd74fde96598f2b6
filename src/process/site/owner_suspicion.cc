#include "process/site/owner_suspicion.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPause{120};
constexpr milliseconds kPauseAfterRefusal{30};
constexpr uint32_t kRefusalsInARow = 2;
// A busy owner answers within 50 ms; two thirds of its lease are still left after this.
constexpr milliseconds kSilentFor{550};
constexpr uint32_t kSilencesInARow = 2;
// An owner that works changes something at the store several times in this time.
constexpr milliseconds kUnchangedFor{300};

}  // namespace

void owner_suspicion::Watch(uint64_t epoch, monotonic_time now) {
  if (epoch == epoch_) return;
  *this = owner_suspicion();
  epoch_ = epoch;
  heard_ = now;
}

void owner_suspicion::OnAnswer(alive_answer answer, monotonic_time now) {
  switch (answer) {
    case alive_answer::kAlive:
    case alive_answer::kBusy:
      busy_ = answer == alive_answer::kBusy;
      heard_ = now;
      refused_ = 0;
      silent_ = 0;
      return;
    case alive_answer::kOtherProcess:
      replaced_ = true;
      return;
    case alive_answer::kRefused:
      ++refused_;
      return;
    case alive_answer::kSilent:
      ++silent_;
      return;
  }
}

void owner_suspicion::OnChange(uint64_t revision, monotonic_time now) {
  if (revision == change_) return;
  change_ = revision;
  change_since_ = now;
}

bool owner_suspicion::OnlySilent() const { return !replaced_ && refused_ < kRefusalsInARow; }

bool owner_suspicion::Suspected(monotonic_time now) const {
  if (!OnlySilent()) return true;
  const bool silent = !busy_ && silent_ >= kSilencesInARow && now - heard_ >= kSilentFor;
  return silent && change_ && now - change_since_ >= kUnchangedFor;
}

milliseconds owner_suspicion::Pause() const { return refused_ > 0 ? kPauseAfterRefusal : kPause; }

bool SuspicionShared(const std::vector<alive_answer>& answers) {
  return !answers.empty() && std::none_of(answers.begin(), answers.end(), [](alive_answer answer) {
    return answer == alive_answer::kAlive || answer == alive_answer::kBusy;
  });
}

}  // namespace catkinford
