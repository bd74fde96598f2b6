#include "process/scheduling/run_times.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Prior: declared times are trusted with the weight of a few steps, two short and two long ones
// that took exactly the declared time.
constexpr std::array<double, 2> kPriorMillis = {200, 5000};
constexpr double kPriorWeight = 2;
// Factor on the weight of earlier steps when one is added: about the last hundred count.
constexpr double kDecay = 0.99;
constexpr double kMaxLoadedWeight = 8;
// Logarithm of the longest run time in milliseconds that is believed of a loaded queue: 11 days.
constexpr double kMaxLoadedLog = 20.7;
constexpr milliseconds kShortest{1};
// Prior spread, with the weight of a step: declared times are off by half, and the tasks of a step
// are alike.
constexpr std::array<double, 2> kPriorDeviation = {0.5, 0.2};
constexpr double kSpreadPriorWeight = 1;
// A run that takes more than this many times the expected time is exceptionally long.
constexpr double kLongFactor = 4;
// Assumed of long runs before any was seen: they are rare, and a run that exceeds all others is
// more likely one of them than a usual one.
constexpr double kPriorLongShare = 0.002;
constexpr double kPriorLongFactor = 5;
constexpr double kLeastLongWeight = 1e-6;

double Log(milliseconds time) {
  return std::log(static_cast<double>(std::max(time, kShortest).count()));
}

}  // namespace

void run_times::regression::Add(double log_declared, double log_took, double weight) {
  w += weight;
  x += weight * log_declared;
  y += weight * log_took;
  xx += weight * log_declared * log_declared;
  xy += weight * log_declared * log_took;
}

void run_times::regression::Decay(double factor) {
  w *= factor;
  x *= factor;
  y *= factor;
  xx *= factor;
  xy *= factor;
}

run_times::regression run_times::Prior() {
  regression out;
  for (const double millis : kPriorMillis) {
    out.Add(std::log(millis), std::log(millis), kPriorWeight);
  }
  return out;
}

void run_times::OnRun(const std::string& queue, milliseconds declared, milliseconds took,
                      double weight) {
  if (declared.count() <= 0) return;  // long-running tasks declare none
  regression& of_queue = regressions_.try_emplace(queue, Prior()).first->second;
  of_queue.Decay(std::pow(kDecay, weight));
  of_queue.Add(Log(declared), Log(took), weight);
}

milliseconds run_times::Expected(const std::string& queue, milliseconds declared) const {
  const auto found = regressions_.find(queue);
  if (found == regressions_.end() || declared.count() <= 0) return declared;
  const regression& fitted = found->second;
  const double mean_x = fitted.x / fitted.w;
  const double mean_y = fitted.y / fitted.w;
  const double variance = fitted.xx / fitted.w - mean_x * mean_x;
  const double covariance = fitted.xy / fitted.w - mean_x * mean_y;
  const double slope = variance <= 0 ? 0 : std::clamp(covariance / variance, 0.0, 1.0);
  return milliseconds(static_cast<int64_t>(std::exp(mean_y + slope * (Log(declared) - mean_x))));
}

run_times::queue_spread run_times::SpreadPrior() {
  queue_spread out;
  for (size_t i = 0; i < out.of_basis.size(); ++i) {
    spread_sums& sums = out.of_basis[i];
    sums.w = kSpreadPriorWeight;
    sums.squares = kSpreadPriorWeight * kPriorDeviation[i] * kPriorDeviation[i];
    sums.long_w = kSpreadPriorWeight * kPriorLongShare;
    sums.long_logs = sums.long_w * std::log(kPriorLongFactor);
  }
  return out;
}

run_times::spread_sums& run_times::SpreadSums(const std::string& queue, basis from) {
  queue_spread& of_queue = spreads_.try_emplace(queue, SpreadPrior()).first->second;
  return of_queue.of_basis[static_cast<size_t>(from)];
}

void run_times::OnSpread(const std::string& queue, basis from, milliseconds expected,
                         milliseconds took, double weight) {
  if (expected.count() <= 0) return;
  spread_sums& sums = SpreadSums(queue, from);
  const double decay = std::pow(kDecay, weight);
  sums.w *= decay;
  sums.squares *= decay;
  sums.long_w *= decay;
  sums.long_logs *= decay;
  if (sums.long_w < kLeastLongWeight) {
    sums.long_w = kLeastLongWeight;
    sums.long_logs = kLeastLongWeight * std::log(kPriorLongFactor);
  }
  const double most = std::log(kLongFactor);
  const double log_ratio = Log(took) - Log(expected);
  if (log_ratio > most) {
    sums.long_w += weight;
    sums.long_logs += weight * log_ratio;
    return;
  }
  const double bounded = std::max(log_ratio, -most);
  sums.w += weight;
  sums.squares += weight * bounded * bounded;
}

void run_times::OnBeaten(const std::string& queue, basis from, double weight) {
  spread_sums& sums = SpreadSums(queue, from);
  sums.long_logs += weight * sums.long_logs / sums.long_w;
  sums.long_w += weight;
}

run_time_spread run_times::SpreadOf(const spread_sums& sums, basis from) {
  run_time_spread out;
  out.deviation = std::sqrt(sums.squares / sums.w);
  out.long_share = std::max(kPriorLongShare, sums.long_w / (sums.w + sums.long_w));
  out.long_factor = std::exp(sums.long_logs / sums.long_w);
  out.of_tasks = from == basis::kQueue;
  return out;
}

run_time_spread run_times::Spread(const std::string& queue, basis from) const {
  const auto found = spreads_.find(queue);
  const queue_spread of_queue = found == spreads_.end() ? SpreadPrior() : found->second;
  return SpreadOf(of_queue.of_basis[static_cast<size_t>(from)], from);
}

std::vector<queue_run_times> run_times::Save() const {
  std::vector<queue_run_times> out;
  out.reserve(regressions_.size());
  for (const auto& [queue, of] : regressions_) {
    out.push_back({queue, of.w, of.x, of.y, of.xx, of.xy});
  }
  return out;
}

void run_times::Load(const std::vector<queue_run_times>& queues) {
  for (const queue_run_times& each : queues) {
    const bool valid = each.w > 0 && each.x >= 0 && each.x <= kMaxLoadedLog * each.w &&
                       each.y >= 0 && each.y <= kMaxLoadedLog * each.w;
    if (!valid) continue;
    const auto [found, added] = regressions_.try_emplace(each.queue);
    if (!added) continue;
    found->second = {each.w, each.x, each.y, each.xx, each.xy};
    if (each.w > kMaxLoadedWeight) found->second.Decay(kMaxLoadedWeight / each.w);
  }
}

}  // namespace catkinford
