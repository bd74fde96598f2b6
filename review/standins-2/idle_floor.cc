#include "idle_floor.h"

#include <algorithm>
#include <set>

namespace review {
namespace {

constexpr milliseconds kSpan{3000};
constexpr milliseconds kInterval{50};

// Slots for a task of the job on the workers that are up.
int64_t Slots(
    const std::vector<std::pair<const worker_options*, std::pair<int64_t, int64_t>>>& free,
    const sent_job& job) {
  int64_t slots = 0;
  for (const auto& [options, room] : free) {
    if (!job.kind.empty() && options->kind != job.kind) continue;
    slots += std::max<int64_t>(0, std::min(room.first / std::max<int64_t>(1, job.cpu),
                                           room.second / std::max<int64_t>(1, job.memory_mb)));
  }
  return slots;
}

}  // namespace

std::vector<std::string> NeglectedJobs(site& of, const std::map<std::string, sent_job>& all,
                                       const std::vector<sent_job>& asked) {
  std::set<std::string> neglected;
  for (const sent_job& job : asked) neglected.insert(job.id);
  const auto until = steady::now() + kSpan;
  double most_used = 0;
  while (steady::now() < until && !neglected.empty()) {
    std::vector<std::pair<const worker_options*, std::pair<int64_t, int64_t>>> free;
    std::set<std::string> running;
    int64_t capacity = 0;
    int64_t used = 0;
    for (const auto& each : of.Workers()) {
      if (!each->Up()) continue;
      const worker_options& options = each->Options();
      int64_t cpu = options.cpu;
      int64_t memory = options.memory_mb;
      for (const auto& task : each->Running()) {
        const auto job = all.find(JobOf(task.task));
        running.insert(JobOf(task.task));
        if (job == all.end()) continue;
        cpu -= job->second.cpu;
        memory -= job->second.memory_mb;
      }
      capacity += options.cpu;
      used += options.cpu - cpu;
      free.push_back({&options, {cpu, memory}});
    }
    most_used = std::max(most_used, static_cast<double>(used) / static_cast<double>(capacity));
    for (const sent_job& job : asked) {
      const bool excused = running.contains(job.id) || Slots(free, job) < 2 || used * 2 >= capacity;
      if (excused) neglected.erase(job.id);
    }
    std::this_thread::sleep_for(kInterval);
  }
  of.Log().Line("looked for 3 s: most in use " + std::to_string(most_used) + " of the service, " +
                std::to_string(neglected.size()) + " of " + std::to_string(asked.size()) +
                " waiting jobs neglected");
  return {neglected.begin(), neglected.end()};
}

}  // namespace review
