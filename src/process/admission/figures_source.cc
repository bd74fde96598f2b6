// Load: workspaces beyond their shares; see figures_source.h.
#include "process/admission/figures_source.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// One task of the mean need, rounded up.
uint32_t Rounded(double value) { return static_cast<uint32_t>(std::ceil(value)); }

}  // namespace

typical_step figures_source::queue_state::Step() const {
  typical_step out;
  out.need.cpu_milli = Rounded(cpu_milli);
  out.need.memory_mb = Rounded(memory_mb);
  out.need.accelerators = Rounded(accelerators);
  out.tasks = std::max(1U, Rounded(tasks));
  return out;
}

double figures_source::recent_count::At(monotonic_time now) const {
  const duration<double> passed = std::max(now - at, monotonic_time::duration{0});
  return count * std::exp(-passed / duration<double>(kPartSmoothing));
}

void figures_source::LearnQueue(const accepted_job& job) {
  const auto [found, added] = queues_.try_emplace(job.queue);
  queue_state& queue = found->second;
  queue.service = job.service;
  queue.priority = job.priority;
  const auto learn = [weight = added ? 1.0 : kTypicalWeight](double& typical, double value) {
    typical += weight * (value - typical);
  };
  learn(queue.useful_s, duration<double>(job.useful).count());
  learn(queue.work, job.work);
  learn(queue.cpu_milli, job.step.need.cpu_milli);
  learn(queue.memory_mb, job.step.need.memory_mb);
  learn(queue.accelerators, job.step.need.accelerators);
  learn(queue.tasks, job.step.tasks);
}

void figures_source::OnJob(const accepted_job& job, monotonic_time now) {
  LearnQueue(job);
  if (job.inherited) return;
  auto found = pairs_.find(pair_key(job.queue, job.workspace));
  if (found == pairs_.end()) {
    if (!job.beyond) return;
    found = pairs_.try_emplace(pair_key(job.queue, job.workspace)).first;
  }
  pair_state& pair = found->second;
  pair.share = job.share;
  recent_count& jobs = pair.of_entry[job.entry];
  jobs = {jobs.At(now) + 1, now};
  if (!job.beyond) return;
  pair.last_beyond = now;
  if (made_.size() >= kMaxForecasts) return;
  const auto wait = waits_.find(job.queue);
  made_[job.id] = {wait == waits_.end() ? milliseconds{0} : wait->second, now};
}

void figures_source::DropForgotten(monotonic_time now) {
  constexpr double kNone = 0.01;
  absl::erase_if(pairs_, [&](auto& item) {
    absl::erase_if(item.second.of_entry,
                   [&](const auto& jobs) { return jobs.second.At(now) < kNone; });
    return now - item.second.last_beyond > kForget;
  });
  absl::erase_if(made_, [&](const auto& item) { return now - item.second.at > kForecastKept; });
}

void figures_source::Update(const load_view& load, size_t entries, monotonic_time now) {
  entries_ = std::max<size_t>(1, entries);
  for (const service_load& service : load) forecasts_[service.service].Observe(service, now);
  waits_.clear();
  for (const auto& [name, queue] : queues_) {
    const auto forecast = forecasts_.find(queue.service);
    if (forecast == forecasts_.end()) continue;
    waits_[name] = forecast->second.Wait(queue.priority, queue.Step());
  }
  DropForgotten(now);
  ++figures_.number;
  figures_.rows.clear();
  std::map<std::string, size_t> listed;  // pairs, by service
  for (const auto& [key, pair] : pairs_) {
    if (now - pair.last_beyond > kHold) continue;
    const auto wait = waits_.find(key.first);
    const queue_state& queue = queues_.at(key.first);
    if (wait == waits_.end() || duration<double>(wait->second).count() <= queue.useful_s) continue;
    figures_.rows.push_back({key.first, key.second, wait->second, 0, {}});
    ++listed[queue.service];
  }
  std::stable_sort(figures_.rows.begin(), figures_.rows.end(),
                   [](const auto& a, const auto& b) { return a.wait > b.wait; });
  if (figures_.rows.size() > kMaxRows) figures_.rows.resize(kMaxRows);
  for (admission_row& row : figures_.rows) {
    const queue_state& queue = queues_.at(row.queue);
    const wait_forecast& forecast = forecasts_.at(queue.service);
    // Full while the wait is as long as the results are of use, none at twice that: the backlog
    // then shrinks until accepted jobs are of use again.
    const double useful = std::max(queue.useful_s, 0.1);
    const double excess = duration<double>(row.wait).count() / useful - 1;
    const double spare = queue.work <= 0
                             ? 0
                             : forecast.SpareRate() / queue.work * std::max(0.0, 1 - excess) /
                                   static_cast<double>(listed[queue.service]);
    const pair_state& pair = pairs_.at(pair_key(row.queue, row.workspace));
    row.rate = kShareMargin * pair.share + std::max(spare, kLeastBeyond);
    row.largest = forecast.Load().largest;
  }
}

admission_figures figures_source::For(const std::string& entry, monotonic_time now) const {
  admission_figures out = figures_;
  const double even = 1 / static_cast<double>(entries_);
  for (admission_row& row : out.rows) {
    const auto pair = pairs_.find(pair_key(row.queue, row.workspace));
    double all = 0;
    double own = 0;
    if (pair != pairs_.end()) {
      for (const auto& [name, jobs] : pair->second.of_entry) {
        const double count = jobs.At(now);
        all += count;
        if (name == entry) own = count;
      }
    }
    const double part = all > 0 ? own / all : even;
    row.rate *= kEvenPart * even + (1 - kEvenPart) * part;
  }
  return out;
}

std::optional<figures_source::outcome> figures_source::OnStart(const std::string& id,
                                                               monotonic_time now) {
  const auto found = made_.find(id);
  if (found == made_.end()) return std::nullopt;
  const outcome out{found->second.wait, duration_cast<milliseconds>(now - found->second.at)};
  made_.erase(found);
  return out;
}

}  // namespace catkinford
