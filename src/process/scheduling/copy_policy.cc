#include "process/scheduling/copy_policy.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr int kUsualAnswers = 3;
constexpr milliseconds kMinUnanswered{60};
// A copy has to save this share of a fresh run and the time of a start, with its ticket and its
// record: expected times are off by about as much.
constexpr double kMarginShare = 0.25;
constexpr double kStartMillis = 50;
// Below this probability of a run as long as this one, the distribution says nothing of it.
constexpr double kLeastLikely = 1e-9;

// Of a log-normal time with this median, in milliseconds: the probability that it exceeds `elapsed`
// and the expected time if it does.
struct survival {
  double probability = 0;
  double mean = 0;
};

double NormalBelow(double x) { return 0.5 * std::erfc(-x / std::sqrt(2.0)); }

survival Survive(double median, double deviation, double elapsed) {
  const double above = (std::log(median) - std::log(elapsed)) / deviation;
  survival out;
  out.probability = NormalBelow(above);
  if (out.probability < kLeastLikely) return {0, elapsed};
  const double mean = median * std::exp(deviation * deviation / 2);
  out.mean = mean * NormalBelow(above + deviation) / out.probability;
  return out;
}

milliseconds Rounded(double millis) { return milliseconds(std::llround(millis)); }

// Remaining time of a run that has taken `elapsed` so far, and the time of another run of its task.
// Either all runs of the task take long or, with some probability, this one does.
copy_verdict Forecast(const copy_question& question) {
  const run_time_spread& spread = question.spread;
  const double expected = std::max<double>(1, static_cast<double>(question.expected.count()));
  const double elapsed = std::max<double>(1, static_cast<double>(question.elapsed.count()));
  const double speed = static_cast<double>(question.expected_fresh.count()) / expected;
  const double deviation = std::max(spread.deviation, 0.01);
  const survival usual = Survive(expected, deviation, elapsed);
  const survival slow = Survive(expected * spread.long_factor, deviation, elapsed);
  const double weight_usual = (1 - spread.long_share) * usual.probability;
  const double weight_slow = spread.long_share * slow.probability;
  copy_verdict out;
  if (weight_usual + weight_slow < kLeastLikely) {
    // Longer than any run that was seen: expected to go on for as long again.
    out.rest = Rounded(elapsed);
    out.fresh = question.expected_fresh;
    return out;
  }
  const double share_slow = weight_slow / (weight_usual + weight_slow);
  const double takes = (1 - share_slow) * usual.mean + share_slow * slow.mean;
  out.rest = Rounded(takes - elapsed);
  // A task that is long by itself takes as long in another run.
  const double usual_fresh = spread.of_tasks ? usual.mean : expected;
  const double slow_fresh = spread.of_tasks ? slow.mean / spread.long_factor : expected;
  out.fresh = Rounded(((1 - share_slow) * usual_fresh + share_slow * slow_fresh) * speed);
  return out;
}

}  // namespace

std::string_view ToText(copy_reason reason) {
  switch (reason) {
    case copy_reason::kUnanswered:
      return "unanswered";
    case copy_reason::kUnreachable:
      return "unreachable";
    case copy_reason::kOverdue:
      return "overdue";
  }
  return "unknown";
}

milliseconds UnansweredAfter(milliseconds usual_answer) {
  return std::max(kMinUnanswered, kUsualAnswers * usual_answer);
}

copy_verdict DecideCopy(const copy_question& question, bool overdue_copies, monotonic_time now) {
  std::optional<copy_reason> reason;
  if (!question.reachable) {
    reason = copy_reason::kUnreachable;
  } else if (question.unanswered) {
    if (question.elapsed < UnansweredAfter(question.usual_answer)) return {};
    reason = copy_reason::kUnanswered;
  }
  if (reason != copy_reason::kUnreachable && !overdue_copies) return {};
  copy_verdict verdict;
  if (reason) {
    verdict.rest = std::max(question.expected - question.elapsed, milliseconds{0});
    verdict.fresh = question.expected_fresh;
  } else {
    // No run is overdue within its expected time, and most runs need no forecast.
    if (question.elapsed <= question.expected) return {};
    verdict = Forecast(question);
    const auto fresh = static_cast<double>(verdict.fresh.count());
    if (static_cast<double>(verdict.rest.count()) <= fresh * (1 + kMarginShare) + kStartMillis) {
      return verdict;
    }
    reason = copy_reason::kOverdue;
  }
  if (now + verdict.fresh + question.after > question.useful_until) return verdict;
  verdict.reason = reason;
  return verdict;
}

}  // namespace catkinford
