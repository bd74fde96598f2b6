#include "process/speed/instance_speed.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Natural logarithms throughout: 0.18 is a factor of 1.2.
constexpr double kClassAt = 0.18;        // an instance leaves the usual class beyond this
constexpr double kUsualBelow = 0.10;     // and returns to it below this
constexpr double kMinConfidence = 2;     // standard deviations from the usual speed
constexpr double kFleetVariance = 0.25;  // of kinds around the usual speed, before any run
// Spread within a kind: as expected before its instances have runs, and the least that is assumed.
constexpr double kKindVariance = 0.06;
constexpr double kMinKindVariance = 0.02;
constexpr double kMaxKindVariance = 0.5;
constexpr double kFirstRunVariance = 0.12;
constexpr double kMinRunVariance = 0.01;
constexpr double kRunVarianceRate = 0.01;
// Declared and learned run times of a queue are off by a factor of two either way.
constexpr double kExpectedVariance = 0.5;
// A run this many standard deviations off says little: some tasks are long by themselves.
constexpr double kOutlier = 2.5;
// Weight of an earlier run after this time: 1/e.
constexpr std::chrono::duration<double> kMemory{10};
constexpr milliseconds kShortest{1};

double Log(milliseconds time) {
  return std::log(static_cast<double>(std::max(time, kShortest).count()));
}

}  // namespace

std::string_view ToText(speed_class speed) {
  switch (speed) {
    case speed_class::kFast:
      return "fast";
    case speed_class::kUsual:
      return "usual";
    case speed_class::kSlow:
      return "slow";
  }
  return "usual";
}

instance_speeds::instance_speeds() : run_variance_(kFirstRunVariance) {}

instance_speeds::state* instance_speeds::Find(uint32_t ordinal) {
  if (ordinal >= states_.size() || !states_[ordinal]) return nullptr;
  return &*states_[ordinal];
}

const instance_speeds::state* instance_speeds::Find(uint32_t ordinal) const {
  if (ordinal >= states_.size() || !states_[ordinal]) return nullptr;
  return &*states_[ordinal];
}

void instance_speeds::Count(kind_state& kind, const state& of, int sign) {
  if (of.weight <= 0) return;
  const double weight = sign / (1 / of.weight + kKindVariance);
  const double mean = of.OwnMean();
  kind.weight += weight;
  kind.sum += weight * mean;
  kind.squares += weight * (mean * mean - 1 / of.weight);
}

instance_speeds::belief instance_speeds::PriorOf(const kind_state& kind) {
  // Two virtual instances of unknown speed.
  constexpr double kVirtual = 2 / kFleetVariance;
  const double mean = kind.sum / (kind.weight + kVirtual);
  const double spread = (kind.squares + kVirtual * kKindVariance) / (kind.weight + kVirtual) -
                        mean * mean * kind.weight / (kind.weight + kVirtual);
  return {mean,
          std::clamp(spread, kMinKindVariance, kMaxKindVariance) + 1 / (kind.weight + kVirtual)};
}

void instance_speeds::Add(uint32_t ordinal, const std::string& kind) {
  state added;
  if (const state* known = Find(ordinal)) {
    if (known->kind == kind) return;
    added = *known;
    added.speed = speed_class::kUsual;
    Remove(ordinal);
  }
  added.kind = kind;
  if (ordinal >= states_.size()) states_.resize(ordinal + 1);
  states_[ordinal] = added;
  Count(kinds_[kind], added, 1);
  kinds_[kind].members.push_back(ordinal);
  Refresh(kind);
}

void instance_speeds::Remove(uint32_t ordinal) {
  state* known = Find(ordinal);
  if (known == nullptr) return;
  kind_state& kind = kinds_[known->kind];
  Count(kind, *known, -1);
  std::erase(kind.members, ordinal);
  if (known->speed != speed_class::kUsual) --uneven_;
  if (kind.members.empty()) kinds_.erase(known->kind);
  states_[ordinal].reset();
}

void instance_speeds::OnRestart(uint32_t ordinal) {
  state* known = Find(ordinal);
  if (known == nullptr) return;
  Count(kinds_[known->kind], *known, -1);
  known->weight = 0;
  known->sum = 0;
  known->observations = 0;
  Refresh(known->kind);
}

void instance_speeds::Observe(state& of, double log_slowness, double variance, monotonic_time now) {
  kind_state& kind = kinds_[of.kind];
  Count(kind, of, -1);
  if (of.observations > 0) {
    const double decay = std::exp(-std::chrono::duration<double>(now - of.updated) / kMemory);
    of.weight *= decay;
    of.sum *= decay;
  }
  const double off = std::abs(log_slowness - of.now.mean) / std::sqrt(variance + of.now.variance);
  const double trust = off <= kOutlier ? 1 : (kOutlier / off) * (kOutlier / off);
  of.weight += trust / variance;
  of.sum += trust / variance * log_slowness;
  ++of.observations;
  of.updated = now;
  Count(kind, of, 1);
  const double error = log_slowness - of.now.mean;
  const double seen = std::min(error * error, kOutlier * kOutlier * run_variance_);
  run_variance_ = std::max(kMinRunVariance, run_variance_ + kRunVarianceRate * (seen - variance));
}

void instance_speeds::OnStep(const std::vector<task_run_time>& runs, milliseconds expected,
                             monotonic_time now) {
  // The step's own level: run time at the usual speed, from each run and from what was expected.
  struct level {
    state* instance;
    double log_took;
    double weight;
  };
  std::vector<level> levels;
  double weight = 0;
  double sum = 0;
  if (expected.count() > 0) {
    weight = 1 / kExpectedVariance;
    sum = weight * Log(expected);
  }
  for (const task_run_time& run : runs) {
    state* instance = Find(run.instance);
    if (instance == nullptr) continue;
    const double of_run = 1 / (run_variance_ + instance->now.variance);
    levels.push_back({instance, Log(run.took), of_run});
    weight += of_run;
    sum += of_run * (levels.back().log_took - instance->now.mean);
  }
  std::vector<std::string> touched;
  struct observation {
    state* instance;
    double log_slowness;
    double variance;
  };
  std::vector<observation> observations;
  for (const level& each : levels) {
    // Without the run itself.
    const double others = weight - each.weight;
    if (others <= 0) continue;
    const double usual = (sum - each.weight * (each.log_took - each.instance->now.mean)) / others;
    observations.push_back({each.instance, each.log_took - usual, run_variance_ + 1 / others});
  }
  for (const observation& each : observations) {
    Observe(*each.instance, each.log_slowness, each.variance, now);
    if (std::find(touched.begin(), touched.end(), each.instance->kind) == touched.end()) {
      touched.push_back(each.instance->kind);
    }
  }
  for (const std::string& kind : touched) Refresh(kind);
}

void instance_speeds::Refresh(const std::string& kind) {
  const kind_state& of_kind = kinds_[kind];
  const belief prior = PriorOf(of_kind);
  for (const uint32_t ordinal : of_kind.members) {
    state& member = *states_[ordinal];
    const double weight = 1 / prior.variance + member.weight;
    member.now = {(prior.mean / prior.variance + member.sum) / weight, 1 / weight};
    Classify(ordinal, member);
  }
}

void instance_speeds::Classify(uint32_t ordinal, state& of) {
  const double off = std::abs(of.now.mean);
  const bool usual = of.speed == speed_class::kUsual;
  const bool sure = off * off > kMinConfidence * kMinConfidence * of.now.variance;
  const bool differs = usual ? off > kClassAt && sure : off > kUsualBelow;
  speed_class now = speed_class::kUsual;
  if (differs) now = of.now.mean > 0 ? speed_class::kSlow : speed_class::kFast;
  if (now == of.speed) return;
  if (usual) ++uneven_;
  if (now == speed_class::kUsual) --uneven_;
  of.speed = now;
  if (std::find(class_changes_.begin(), class_changes_.end(), ordinal) == class_changes_.end()) {
    class_changes_.push_back(ordinal);
  }
}

double instance_speeds::Slowness(uint32_t ordinal) const {
  const state* known = Find(ordinal);
  if (known == nullptr || known->speed == speed_class::kUsual) return 1;
  return std::exp(known->now.mean);
}

speed_class instance_speeds::Class(uint32_t ordinal) const {
  const state* known = Find(ordinal);
  return known == nullptr ? speed_class::kUsual : known->speed;
}

speed_estimate instance_speeds::Estimate(uint32_t ordinal) const {
  const state* known = Find(ordinal);
  if (known == nullptr) return {};
  return {std::exp(known->now.mean), std::sqrt(known->now.variance), known->observations,
          known->updated};
}

std::string instance_speeds::Kind(uint32_t ordinal) const {
  const state* known = Find(ordinal);
  return known == nullptr ? std::string() : known->kind;
}

std::vector<uint32_t> instance_speeds::TakeClassChanges() {
  return std::exchange(class_changes_, {});
}

}  // namespace catkinford
