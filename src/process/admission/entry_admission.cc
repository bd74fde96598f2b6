// Load: a workspace far beyond its share; see entry_admission.h.
#include "process/admission/entry_admission.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "process/scheduling/job_order.h"

namespace catkinford {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// FNV-1a with a final mix: equal in every process, unlike absl::Hash.
uint64_t HashOf(std::string_view text) {
  uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3U;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdU;
  return hash ^ (hash >> 33U);
}

double Depth(const admission_row& row) { return std::max(1.0, row.rate); }

}  // namespace

submission SubmissionOf(const graph_job& job) {
  submission out;
  out.id = job.id;
  out.queue = job.queue;
  out.workspace = job.workspace;
  out.time_bound = job.repeats == 0;
  std::vector<milliseconds> durations;
  for (const step_spec& step : job.steps) {
    durations.push_back(step.estimate);
    if (step.long_running || step.fills) out.time_bound = false;
    out.largest.cpu_milli = std::max(out.largest.cpu_milli, step.need.cpu_milli);
    out.largest.memory_mb = std::max(out.largest.memory_mb, step.need.memory_mb);
    out.largest.accelerators = std::max(out.largest.accelerators, step.need.accelerators);
  }
  const milliseconds chain = CriticalPathLength(job.steps, durations);
  const milliseconds objective =
      milliseconds(static_cast<int64_t>(job.terms.stretch * static_cast<double>(chain.count()))) +
      job.terms.target_latency;
  out.useful = std::max(milliseconds{0}, kUsefulFactor * objective - chain);
  return out;
}

entry_admission::entry_admission(std::string entry, milliseconds valid)
    : entry_(std::move(entry)), valid_(valid) {}

// Most entries have a rate of less than one job a second. If all began with a whole token, or with
// none, all of them would accept their first job at the same time.
double entry_admission::FirstToken(const pair_key& key) const {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(HashOf(entry_ + " " + key.first + " " + key.second)) / kRange;
}

void entry_admission::Refill(row_state& state, monotonic_time now) {
  const duration<double> passed =
      std::max(now - state.allowed.updated, monotonic_time::duration{0});
  state.allowed.tokens =
      std::min(Depth(state.row), state.allowed.tokens + state.row.rate * passed.count());
  state.allowed.updated = std::max(state.allowed.updated, now);
}

void entry_admission::OnFigures(admission_figures figures, monotonic_time now) {
  const bool newer = std::pair(figures.epoch, figures.number) > std::pair(epoch_, number_);
  if (known_ && !newer) return;
  known_ = true;
  epoch_ = figures.epoch;
  number_ = figures.number;
  received_ = now;
  for (auto& [key, state] : rows_) state.current = false;
  for (admission_row& row : figures.rows) {
    const pair_key key(row.queue, row.workspace);
    const auto [found, added] = rows_.try_emplace(key);
    row_state& state = found->second;
    if (added) {
      state.allowed = {FirstToken(key), now};
    } else {
      Refill(state, now);
    }
    state.row = std::move(row);
    state.current = true;
  }
  // A row that comes and goes keeps its bucket, or each return would grant another first token.
  absl::erase_if(rows_, [&](const auto& item) {
    return !item.second.current && now - item.second.allowed.updated > kKeepUnused;
  });
}

admission_verdict entry_admission::Judge(const submission& job, uint64_t known_epoch, bool returns,
                                         monotonic_time now) {
  admission_verdict out;
  const bool sound = known_ && epoch_ >= known_epoch && now - received_ <= valid_;
  if (!sound || !job.time_bound) return out;
  const auto found = rows_.find(pair_key(job.queue, job.workspace));
  if (found == rows_.end() || !found->second.current) return out;
  row_state& state = found->second;
  // Callers are told of a job that no instance can hold by its phase.
  if (!Fits(job.largest, state.row.largest) || state.row.wait <= job.useful) return out;
  out.wait = state.row.wait;
  out.age = duration_cast<milliseconds>(now - received_);
  out.epoch = epoch_;
  out.number = number_;
  out.rate = state.row.rate;
  Refill(state, now);
  // One that returns on time may use up to a second's worth ahead, at the cost of newcomers.
  const double least = returns ? 1 - Depth(state.row) : 1;
  out.accept = state.allowed.tokens >= least;
  if (out.accept) state.allowed.tokens -= 1;
  return out;
}

}  // namespace catkinford
