#include "process/site/outage_scope.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAskInterval{300};
// A verdict holds until the next one, and for this long if that is late.
constexpr milliseconds kVerdictValid{1000};
// An answer of the store to another entry that is later than this entry's call by more than this
// was given while this entry's call waited.
constexpr milliseconds kAnswerMargin{60};

}  // namespace

bool outage_tracker::ShouldAsk(std::optional<monotonic_time> since, monotonic_time now) {
  if (!since) {
    scope_ = outage_scope::kUnknown;
    return false;
  }
  since_ = *since;
  if (asking_ || now < asked_at_ + kAskInterval) return false;
  asking_ = true;
  asked_at_ = now;
  return true;
}

void outage_tracker::OnAnswers(const std::vector<outage_answer>& answers, monotonic_time now) {
  asking_ = false;
  judged_at_ = now;
  const auto any = [&](bool other_domain, auto condition) {
    return std::any_of(answers.begin(), answers.end(), [&](const outage_answer& each) {
      return each.other_domain == other_domain && condition(each);
    });
  };
  const auto reaches_store = [this](const outage_answer& each) {
    return each.store_answered && *each.store_answered > since_ + kAnswerMargin;
  };
  const auto asked = [](const outage_answer&) { return true; };
  const auto speaks = [](const outage_answer& each) { return each.store_answered.has_value(); };
  const bool cut_off = any(true, asked) && !any(true, speaks);
  if (answers.empty()) {
    scope_ = outage_scope::kUnknown;
  } else if (any(false, reaches_store)) {
    scope_ = outage_scope::kThisEntry;
  } else if (any(true, reaches_store) || cut_off) {
    scope_ = outage_scope::kThisDomain;
  } else {
    scope_ = outage_scope::kAllEntries;
  }
}

outage_scope outage_tracker::Scope(monotonic_time now) const {
  return now < judged_at_ + kVerdictValid ? scope_ : outage_scope::kUnknown;
}

}  // namespace catkinford
