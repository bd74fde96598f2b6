#include "process/run_estimates.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr double kSmoothing = 0.05;  // about the last twenty runs have weight
constexpr uint32_t kMinRuns = 3;     // runs before the estimate is used
constexpr double kMaxMs = 1e10;

milliseconds FromLog(double log_ms) {
  return milliseconds{static_cast<int64_t>(std::min(std::exp(log_ms), kMaxMs))};
}

double LogMs(milliseconds time) {
  return std::log(static_cast<double>(std::max<int64_t>(1, time.count())));
}

}  // namespace

void run_estimates::log_mean::Add(double value) {
  ++count;
  const double weight = std::max(kSmoothing, 1.0 / count);
  mean += weight * (value - mean);
  square += weight * (value * value - square);
}

double run_estimates::log_mean::Deviation() const {
  return std::sqrt(std::max(0.0, square - mean * mean));
}

void run_estimates::AddSample(team_index team, workload_kind kind, milliseconds declared,
                              milliseconds ran) {
  if (teams_.size() <= team) teams_.resize(team + 1);
  record& r = teams_[team][static_cast<size_t>(kind)];
  r.run.Add(LogMs(ran));
  if (declared.count() > 0) r.ratio.Add(LogMs(ran) - LogMs(declared));
}

const run_estimates::record* run_estimates::Find(team_index team, workload_kind kind) const {
  return team < teams_.size() ? &teams_[team][static_cast<size_t>(kind)] : nullptr;
}

milliseconds run_estimates::Typical(team_index team, workload_kind kind,
                                    milliseconds declared) const {
  const record* r = Find(team, kind);
  if (r == nullptr || r->run.count < kMinRuns) return declared;
  if (declared.count() > 0 && r->ratio.count >= kMinRuns) {
    return FromLog(LogMs(declared) + r->ratio.mean);
  }
  return FromLog(r->run.mean);
}

milliseconds run_estimates::UpperEstimate(team_index team, workload_kind kind,
                                          milliseconds declared) const {
  const record* r = Find(team, kind);
  if (r == nullptr || r->run.count < kMinRuns) return declared;
  if (declared.count() > 0 && r->ratio.count >= kMinRuns) {
    return FromLog(LogMs(declared) + r->ratio.mean + r->ratio.Deviation());
  }
  return FromLog(r->run.mean + r->run.Deviation());
}

}  // namespace catkinford
