#include "process/speed/instance_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Natural logarithms throughout: 0.18 is a factor of 1.2.
constexpr double kClassAt = 0.18;     // an instance leaves the usual class beyond this
constexpr double kUsualBelow = 0.10;  // and returns to it below this
constexpr double kMinConfidence = 2;  // standard deviations from the usual speed
// The same if its kind does not differ: many instances are judged, and with 2 a few of 60 that are
// alike looked slow or fast by chance within 100 s.
constexpr double kMinOwnConfidence = 3.5;
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
// This many of them in succession are a change of the instance, and earlier runs no longer count.
// With 3 long tasks in 100, fewer would come together by chance every few minutes.
constexpr int kChangeAfter = 5;
// Weight of an earlier run after this time: 1/e.
constexpr std::chrono::duration<double> kMemory{10};
// A kind says longer what its instances are like than one instance does: machines of a kind change
// together, and an instance that is avoided has no runs that would confirm it.
constexpr std::chrono::duration<double> kKindMemory{100};
// Standard deviations below which an instance returns to the usual class: its runs are too old.
constexpr double kLeastConfidence = 1;
constexpr milliseconds kShortest{1};
// A kind is updated after runs, at most this often for each kMembersPerRefresh instances, and in
// any case this long after the last time. With 4,200 instances this keeps it below 0.1 % of a core.
constexpr milliseconds kRefreshInterval{50};
constexpr size_t kMembersPerRefresh = 500;
constexpr milliseconds kFadeInterval{1000};
// Loaded knowledge of an instance counts like six first runs, and that of a kind like twenty of
// its instances.
constexpr double kMaxLoadedWeight = 6 / kFirstRunVariance;
constexpr double kMaxLoadedKindWeight = 250;
// An instance is saved by itself if it differs from its kind by more than a tenth, or if its kind
// has few instances.
constexpr double kDiffersFromKind = 0.1;

double Fade(monotonic_time since, monotonic_time now, std::chrono::duration<double> memory) {
  return std::exp(-std::chrono::duration<double>(now - since) / memory);
}

double Trust(double deviations) {
  return deviations <= kOutlier ? 1 : (kOutlier / deviations) * (kOutlier / deviations);
}

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

instance_speeds::evidence instance_speeds::evidence::Without(const evidence& other) const {
  return {std::max(0.0, weight - other.weight), sum - other.sum, squares - other.squares};
}

instance_speeds::evidence instance_speeds::EvidenceOf(const state& of, monotonic_time now) {
  if (of.weight <= 0) return {};
  const double own = of.weight * Fade(of.updated, now, kKindMemory);
  const double mean = of.sum / of.weight;
  const double weight = 1 / (1 / own + kKindVariance);
  return {weight, weight * mean, weight * (mean * mean - 1 / of.weight)};
}

instance_speeds::belief instance_speeds::PriorOf(const evidence& known) {
  // Two virtual instances of unknown speed.
  constexpr double kVirtual = 2 / kFleetVariance;
  const double mean = known.sum / (known.weight + kVirtual);
  const double spread = (known.squares + kVirtual * kKindVariance) / (known.weight + kVirtual) -
                        mean * mean * known.weight / (known.weight + kVirtual);
  return {mean,
          std::clamp(spread, kMinKindVariance, kMaxKindVariance) + 1 / (known.weight + kVirtual)};
}

void instance_speeds::Add(uint32_t ordinal, const std::string& kind) {
  state added;
  if (const state* known = Find(ordinal)) {
    if (known->kind == kind) return;
    added = *known;
    Remove(ordinal);
  }
  if (ordinal >= states_.size()) {
    states_.resize(ordinal + 1);
    factors_.resize(ordinal + 1, 1);
  }
  kind_state& of_kind = kinds_[kind];
  of_kind.members.push_back(ordinal);
  of_kind.changed = true;
  added.kind = kind;
  added.prior = PriorOf(of_kind.known);
  added.speed = speed_class::kUsual;
  states_[ordinal] = added;
  ++by_class_[static_cast<size_t>(added.speed)];
  Update(ordinal, *states_[ordinal], added.updated);
}

void instance_speeds::Remove(uint32_t ordinal) {
  state* known = Find(ordinal);
  if (known == nullptr) return;
  const auto kind = kinds_.find(known->kind);
  std::erase(kind->second.members, ordinal);
  kind->second.changed = true;
  if (kind->second.members.empty()) kinds_.erase(kind);
  --by_class_[static_cast<size_t>(known->speed)];
  factors_[ordinal] = 1;
  states_[ordinal].reset();
}

void instance_speeds::OnRestart(uint32_t ordinal) {
  state* known = Find(ordinal);
  if (known == nullptr) return;
  known->weight = 0;
  known->sum = 0;
  known->observations = 0;
  known->loaded = false;
  known->surprises = 0;
  known->surprise_sum = 0;
  known->updated = {};
  kinds_.at(known->kind).changed = true;
  Update(ordinal, *known, {});
}

void instance_speeds::Observe(uint32_t ordinal, double log_slowness, double variance, size_t runs,
                              monotonic_time now) {
  state& of = *states_[ordinal];
  if (of.weight > 0) {
    const double fade = Fade(of.updated, now, kMemory);
    of.weight *= fade;
    of.sum *= fade;
  }
  const double error = log_slowness - of.now.mean;
  const double off = std::abs(error) / std::sqrt(variance + of.now.variance);
  // The belief follows the first outliers a little, so that later runs are less far off.
  const double least = of.surprises * error > 0 ? kOutlier / 2 : kOutlier;
  const int side = off <= least ? 0 : (error > 0 ? 1 : -1);
  if (side * of.surprises <= 0) {
    of.surprises = 0;
    of.surprise_sum = 0;
  }
  of.surprises += side;
  of.surprise_sum += side == 0 ? 0 : log_slowness;
  if (std::abs(of.surprises) < kChangeAfter) {
    of.weight += Trust(off) / variance;
    of.sum += Trust(off) / variance * log_slowness;
  } else {
    of.weight = kChangeAfter / variance;
    of.sum = of.surprise_sum / variance;
    of.surprises = 0;
    of.surprise_sum = 0;
  }
  of.loaded = false;
  of.observations += static_cast<uint32_t>(runs);
  of.updated = now;
  kinds_.at(of.kind).changed = true;
  Update(ordinal, of, now);
}

void instance_speeds::OnStep(const std::vector<task_run_time>& runs, milliseconds expected,
                             monotonic_time now) {
  struct comparison {
    uint32_t instance;
    double log_usual;  // run time at the usual speed, as this run shows it
    double variance;
    double weight;
  };
  std::vector<comparison> all;
  for (const task_run_time& run : runs) {
    const state* instance = Find(run.instance);
    if (instance == nullptr) continue;
    const double variance = run_variance_ + instance->now.variance;
    all.push_back({run.instance, Log(run.took) - instance->now.mean, variance, 1 / variance});
  }
  if (all.empty()) return;
  // A task that is long by itself must not make the instances of the others look fast.
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end(), [](const comparison& a, const comparison& b) {
    return a.log_usual < b.log_usual;
  });
  const double median = middle->log_usual;
  double weight = 0;
  double sum = 0;
  if (expected.count() > 0) {
    weight = 1 / kExpectedVariance;
    sum = weight * Log(expected);
  }
  for (comparison& each : all) {
    if (all.size() > 2) {
      each.weight *= Trust(std::abs(each.log_usual - median) / std::sqrt(each.variance));
    }
    weight += each.weight;
    sum += each.weight * each.log_usual;
  }
  // Each instance is compared with the others. Its own runs would confirm whatever is believed of
  // it: steps are often packed onto a few instances.
  std::sort(all.begin(), all.end(),
            [](const comparison& a, const comparison& b) { return a.instance < b.instance; });
  struct observation {
    uint32_t instance;
    double log_slowness;
    double variance;
    size_t runs;
  };
  std::vector<observation> observations;
  for (auto begin = all.begin(); begin != all.end();) {
    const auto end = std::find_if(begin, all.end(), [begin](const comparison& each) {
      return each.instance != begin->instance;
    });
    double others = weight;
    double others_sum = sum;
    double own = 0;
    double own_sum = 0;
    for (auto each = begin; each != end; ++each) {
      others -= each->weight;
      others_sum -= each->weight * each->log_usual;
      const double trust = each->weight * each->variance;
      own += trust;
      own_sum += trust * each->log_usual;
    }
    // What is left after subtraction is rounding if no other instance took part.
    const bool compared = others > 1e-6;
    if (compared) {
      const auto count = static_cast<size_t>(end - begin);
      const double slowness = states_[begin->instance]->now.mean + own_sum / own;
      const double usual = others_sum / others;
      observations.push_back({begin->instance, slowness - usual,
                              run_variance_ / static_cast<double>(count) + 1 / others, count});
      for (auto each = begin; each != end; ++each) {
        const double error = each->log_usual - usual;
        const double seen = std::min(error * error, kOutlier * kOutlier * run_variance_);
        run_variance_ =
            std::max(kMinRunVariance,
                     run_variance_ + kRunVarianceRate * (seen - run_variance_ - 1 / others));
      }
    }
    begin = end;
  }
  for (const observation& each : observations) {
    Observe(each.instance, each.log_slowness, each.variance, each.runs, now);
  }
}

void instance_speeds::Refresh(monotonic_time now) {
  for (auto& [name, kind] : kinds_) {
    const auto pause =
        kRefreshInterval * static_cast<int64_t>(1 + kind.members.size() / kMembersPerRefresh);
    const auto passed = now - kind.refreshed;
    if (passed >= kFadeInterval || (kind.changed && passed >= pause)) Refresh(kind, now);
  }
}

void instance_speeds::Refresh(kind_state& kind, monotonic_time now) {
  kind.refreshed = now;
  kind.changed = false;
  kind.known = kind.loaded;
  const double fade = Fade(kind.loaded_at, now, kKindMemory);
  kind.known.weight *= fade;
  kind.known.sum *= fade;
  kind.known.squares *= fade;
  std::vector<evidence> own;
  own.reserve(kind.members.size());
  for (const uint32_t ordinal : kind.members) {
    own.push_back(EvidenceOf(*states_[ordinal], now));
    kind.known.weight += own.back().weight;
    kind.known.sum += own.back().sum;
    kind.known.squares += own.back().squares;
  }
  for (size_t i = 0; i < kind.members.size(); ++i) {
    state& member = *states_[kind.members[i]];
    member.prior = PriorOf(kind.known.Without(own[i]));
    Update(kind.members[i], member, now);
  }
}

void instance_speeds::Update(uint32_t ordinal, state& of, monotonic_time now) {
  const double fade = of.weight <= 0 ? 0 : Fade(of.updated, now, kMemory);
  const double weight = 1 / of.prior.variance + of.weight * fade;
  of.now = {(of.prior.mean / of.prior.variance + of.sum * fade) / weight, 1 / weight};
  Classify(ordinal, of);
}

void instance_speeds::Classify(uint32_t ordinal, state& of) {
  const double off = std::abs(of.now.mean);
  const bool usual = of.speed == speed_class::kUsual;
  const bool kind_differs = of.prior.mean * of.now.mean > kUsualBelow * std::abs(of.now.mean);
  const double enough = kind_differs || of.loaded ? kMinConfidence : kMinOwnConfidence;
  const double confidence = usual ? enough : kLeastConfidence;
  const bool sure = off * off > confidence * confidence * of.now.variance;
  const bool differs = sure && off > (usual ? kClassAt : kUsualBelow);
  speed_class now = speed_class::kUsual;
  if (differs) now = of.now.mean > 0 ? speed_class::kSlow : speed_class::kFast;
  if (now != of.speed) SetClass(ordinal, of, now);
  factors_[ordinal] = differs ? std::exp(of.now.mean) : 1;
}

void instance_speeds::SetClass(uint32_t ordinal, state& of, speed_class speed) {
  --by_class_[static_cast<size_t>(of.speed)];
  ++by_class_[static_cast<size_t>(speed)];
  of.speed = speed;
  if (std::find(class_changes_.begin(), class_changes_.end(), ordinal) == class_changes_.end()) {
    class_changes_.push_back(ordinal);
  }
}

learned_speeds instance_speeds::Save() const {
  learned_speeds out;
  for (const auto& [name, kind] : kinds_) {
    if (kind.known.weight <= 0) continue;
    const double mean = kind.known.sum / kind.known.weight;
    const double spread =
        std::clamp(kind.known.squares / kind.known.weight - mean * mean, 0.0, kMaxKindVariance);
    out.kinds.push_back({name, mean, spread, kind.known.weight});
    for (const uint32_t ordinal : kind.members) {
      const state& member = *states_[ordinal];
      if (member.weight <= 0) continue;
      const double own = member.sum / member.weight;
      // What is known of a few instances says too little of others of their kind.
      const bool kind_tells = kind.known.weight >= kMaxLoadedKindWeight;
      if (kind_tells && std::abs(own - mean) <= kDiffersFromKind) continue;
      out.instances.push_back({ordinal, own, member.weight});
    }
  }
  return out;
}

void instance_speeds::Load(const learned_speeds& learned, monotonic_time now) {
  for (const kind_speed& each : learned.kinds) {
    const auto found = kinds_.find(each.kind);
    if (found == kinds_.end() || found->second.known.weight > 0) continue;
    const double weight = std::min(each.weight, kMaxLoadedKindWeight);
    found->second.loaded = {weight, weight * each.mean,
                            weight * (each.mean * each.mean + each.spread)};
    found->second.loaded_at = now;
  }
  for (const own_speed& each : learned.instances) {
    state* known = Find(each.ordinal);
    if (known == nullptr || known->weight > 0) continue;
    known->weight = std::min(each.weight, kMaxLoadedWeight);
    known->sum = known->weight * each.mean;
    known->updated = now;
    known->loaded = true;
  }
  for (auto& [name, kind] : kinds_) Refresh(kind, now);
}

double instance_speeds::Slowness(uint32_t ordinal) const {
  return ordinal < factors_.size() ? factors_[ordinal] : 1;
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
