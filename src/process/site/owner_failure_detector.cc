#include "process/site/owner_failure_detector.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUsualInterval{120};
constexpr milliseconds kIntervalAfterRefusal{30};
constexpr uint32_t kRefusalsToSuspect = 2;
// A busy owner answers within 50 ms; two thirds of its lease are still left after this.
constexpr milliseconds kSilenceToSuspect{550};
constexpr uint32_t kTimeoutsToSuspect = 2;
// A working owner makes several changes at the store within this time.
constexpr milliseconds kNoCommitToSuspect{300};

}  // namespace

void owner_failure_detector::Watch(uint64_t epoch, monotonic_time now) {
  if (epoch == epoch_) return;
  *this = owner_failure_detector();
  epoch_ = epoch;
  last_answer_ = now;
}

void owner_failure_detector::OnAnswer(liveness answer, monotonic_time now) {
  switch (answer) {
    case liveness::kAlive:
    case liveness::kBusy:
      busy_ = answer == liveness::kBusy;
      last_answer_ = now;
      refusals_ = 0;
      timeouts_ = 0;
      return;
    case liveness::kOtherProcess:
      replaced_ = true;
      return;
    case liveness::kRefused:
      ++refusals_;
      return;
    case liveness::kSilent:
      ++timeouts_;
      return;
  }
}

void owner_failure_detector::OnCommit(uint64_t revision, monotonic_time now) {
  if (revision == last_commit_revision_) return;
  last_commit_revision_ = revision;
  last_commit_seen_ = now;
}

bool owner_failure_detector::OnlyTimeouts() const {
  return !replaced_ && refusals_ < kRefusalsToSuspect;
}

bool owner_failure_detector::Suspected(monotonic_time now) const {
  if (!OnlyTimeouts()) return true;
  const bool silent =
      !busy_ && timeouts_ >= kTimeoutsToSuspect && now - last_answer_ >= kSilenceToSuspect;
  return silent && last_commit_revision_ && now - last_commit_seen_ >= kNoCommitToSuspect;
}

milliseconds owner_failure_detector::QueryInterval() const {
  return refusals_ > 0 ? kIntervalAfterRefusal : kUsualInterval;
}

bool SuspicionConfirmed(const std::vector<liveness>& answers) {
  return !answers.empty() && std::none_of(answers.begin(), answers.end(), [](liveness answer) {
    return answer == liveness::kAlive || answer == liveness::kBusy;
  });
}

}  // namespace catkinford
