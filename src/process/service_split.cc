#include "process/service_split.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace catkinford {
namespace {

// A shard that may receive replicas.
struct candidate {
  std::string shard;
  std::string failure_domain;
  uint32_t fitting = 0;  // replicas that fit into its free capacity
  uint32_t assigned = 0;
  bool is_home = false;

  uint32_t Left() const { return fitting - std::min(fitting, assigned); }
};

uint32_t RoomFor(const resources& each, const resources& free) {
  uint32_t fitting = UINT32_MAX;
  const auto bound = [&](uint32_t need, uint32_t amount) {
    if (need > 0) fitting = std::min(fitting, amount / need);
  };
  bound(each.cpu_milli, free.cpu_milli);
  bound(each.memory_mb, free.memory_mb);
  bound(each.accelerators, free.accelerators);
  bound(each.slots, free.slots);
  return fitting;
}

std::vector<candidate> CandidatesFor(const place_message& job, const std::string& home,
                                     const router& routes, monotonic_time now) {
  std::vector<candidate> candidates;
  for (const auto& [name, route] : routes.Routes()) {
    // An owner that has listed none of its endpoints yet will know its capacity soon. Skipping it
    // would place whole services in the other domains after each start of a fleet.
    const bool is_listing = route.summary.open_endpoints == 0 && route.endpoints > 0;
    const bool can = is_listing || Fits(job.each, route.summary.largest_capacity);
    if (!routes.OwnerOf(name, now) || !can) continue;
    const uint32_t fitting = is_listing ? route.endpoints : RoomFor(job.each, route.summary.free);
    candidates.push_back({name, route.failure_domain, fitting, 0, name == home});
  }
  return candidates;
}

// The shard of the next replica. Domains with free capacity go before those without, then those
// with the fewest replicas; within a domain, shards that already have some, since each further
// shard costs a record of its own.
candidate* NextShard(std::vector<candidate>& candidates) {
  std::map<std::string, uint32_t> in_domain;
  for (const candidate& one : candidates) in_domain[one.failure_domain] += one.assigned;
  const auto rank = [&](const candidate& one) {
    return std::tuple(one.Left() == 0, in_domain[one.failure_domain], one.assigned == 0,
                      !one.is_home, UINT32_MAX - one.Left());
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
  return &*best;
}

std::vector<job_part> PartsOf(const std::vector<candidate>& candidates) {
  std::vector<job_part> parts;
  uint32_t first = 0;
  for (const candidate& one : candidates) {
    if (one.assigned == 0) continue;
    parts.push_back({one.shard, first, one.assigned});
    first += one.assigned;
  }
  return parts;
}

}  // namespace

bool MaySpread(const place_message& job) {
  return job.kind == workload_kind::kService && job.repeatable && job.tasks > 1 &&
         job.deadline_left.count() == 0;
}

std::vector<job_part> SplitElsewhere(const place_message& job, uint32_t tasks, const router& routes,
                                     monotonic_time now) {
  std::vector<candidate> candidates = CandidatesFor(job, {}, routes, now);
  if (candidates.empty()) return {};
  if (job.kind == workload_kind::kService) {
    for (uint32_t i = 0; i < tasks; ++i) ++NextShard(candidates)->assigned;
  } else {
    const auto most = std::max_element(
        candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b) { return a.fitting < b.fitting; });
    most->assigned = tasks;
  }
  return PartsOf(candidates);
}

std::vector<job_part> SplitService(const place_message& job, const std::string& home,
                                   const router& routes, monotonic_time now) {
  std::vector<candidate> candidates = CandidatesFor(job, home, routes, now);
  if (candidates.empty()) return {};
  for (uint32_t i = 0; i < job.tasks; ++i) ++NextShard(candidates)->assigned;
  std::vector<job_part> parts = PartsOf(candidates);
  const bool all_at_home = parts.size() == 1 && parts.front().shard == home;
  return all_at_home ? std::vector<job_part>{} : parts;
}

}  // namespace catkinford
