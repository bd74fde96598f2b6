#include "process/site/record_mode.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A change takes about 10 ms, 25 and now and then 60 beside much other work. A quick job has a
// second or two in all.
constexpr milliseconds kSlow{150};
constexpr milliseconds kQuick{80};
constexpr milliseconds kQuickFor{1500};  // before it is trusted again

}  // namespace

void record_mode::OnChange(milliseconds took, monotonic_time now) {
  quick_since_ = took <= kQuick ? std::min(quick_since_, now) : monotonic_time::max();
  if (took >= kSlow) return OnWaiting(took);
  if (phase_ == phase::kSlow && took <= kQuick && !unvouched_) phase_ = phase::kAhead;
  const bool trusted = quick_since_ != monotonic_time::max() && now - quick_since_ >= kQuickFor;
  if (phase_ == phase::kBehind && trusted) phase_ = phase::kReturning;
}

void record_mode::OnWaiting(milliseconds waited) {
  if (waited < kSlow) return;
  quick_since_ = monotonic_time::max();
  if (phase_ == phase::kAhead) phase_ = phase::kSlow;
  // Still declared: no need to say it again.
  if (phase_ == phase::kReturning) phase_ = phase::kBehind;
}

void record_mode::OnInherited() { phase_ = phase::kReturning; }

void record_mode::OnUnvouched() {
  if (phase_ == phase::kAhead) phase_ = phase::kSlow;
  unvouched_ = true;
}

void record_mode::OnDeclared() {
  if (phase_ == phase::kSlow) phase_ = phase::kBehind;
}

void record_mode::OnWithdrawn() {
  if (phase_ != phase::kReturning) return;
  phase_ = phase::kAhead;
  unvouched_ = false;
}

}  // namespace catkinford
