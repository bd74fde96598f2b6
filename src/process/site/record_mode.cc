#include "process/site/record_mode.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A change takes about 10 ms; under load 25 ms and occasionally 60 ms. A short job has one to two
// seconds in total.
constexpr milliseconds kSlow{150};
constexpr milliseconds kFast{80};
constexpr milliseconds kFastFor{1500};  // before the store counts as fast again

}  // namespace

void record_mode::OnChangeStored(milliseconds took, monotonic_time now) {
  fast_since_ = took <= kFast ? std::min(fast_since_, now) : monotonic_time::max();
  if (took >= kSlow) return OnChangePending(took);
  if (phase_ == phase::kSlow && took <= kFast && !unconfirmed_starts_) {
    // A declaration that may still be stored is withdrawn again.
    phase_ = withdrawal_sent_ ? phase::kRecovering : phase::kWriteAhead;
  }
  const bool recovered = fast_since_ != monotonic_time::max() && now - fast_since_ >= kFastFor;
  if (phase_ == phase::kAsync && recovered) phase_ = phase::kRecovering;
}

void record_mode::OnChangePending(milliseconds waited) {
  if (waited < kSlow) return;
  fast_since_ = monotonic_time::max();
  if (phase_ == phase::kWriteAhead) phase_ = phase::kSlow;
  // While the declaration is stored for certain, there is no need to repeat it.
  if (phase_ == phase::kRecovering) phase_ = withdrawal_sent_ ? phase::kSlow : phase::kAsync;
}

void record_mode::OnInherited() { phase_ = phase::kRecovering; }

void record_mode::OnUnconfirmedStarts() {
  if (phase_ == phase::kWriteAhead) phase_ = phase::kSlow;
  unconfirmed_starts_ = true;
}

void record_mode::OnAsyncDeclared() {
  withdrawal_sent_ = false;
  if (phase_ == phase::kSlow) phase_ = phase::kAsync;
  // Fast again by now: no start was sent without its record.
  if (phase_ == phase::kWriteAhead) phase_ = phase::kRecovering;
}

void record_mode::OnAsyncWithdrawn() {
  // If the store became slow meanwhile, starts must wait until it is declared again.
  phase_ = phase_ == phase::kRecovering ? phase::kWriteAhead : phase::kSlow;
  unconfirmed_starts_ = false;
  withdrawal_sent_ = false;
}

}  // namespace catkinford
