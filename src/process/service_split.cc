#include "process/service_split.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace catkinford {
namespace {

// A shard that may take replicas.
struct candidate {
  std::string shard;
  std::string failure_domain;
  uint32_t room = 0;  // replicas that its free amounts would hold
  uint32_t taken = 0;
  bool is_home = false;

  uint32_t Left() const { return room - std::min(room, taken); }
};

uint32_t RoomFor(const resources& each, const resources& free) {
  uint32_t room = UINT32_MAX;
  const auto bound = [&](uint32_t need, uint32_t amount) {
    if (need > 0) room = std::min(room, amount / need);
  };
  bound(each.cpu_milli, free.cpu_milli);
  bound(each.memory_mb, free.memory_mb);
  bound(each.accelerators, free.accelerators);
  bound(each.slots, free.slots);
  return room;
}

std::vector<candidate> CandidatesFor(const place_message& job, const std::string& home,
                                     const router& routes, monotonic_time now) {
  std::vector<candidate> able;
  for (const auto& [name, route] : routes.Routes()) {
    // An owner that has listed none of its endpoints yet will know more in a moment. Passing it
    // over would put whole services into the other domains after each start of a fleet.
    const bool is_listing = route.summary.open_endpoints == 0 && route.endpoints > 0;
    const bool can = is_listing || Fits(job.each, route.summary.largest_capacity);
    if (!routes.OwnerOf(name, now) || !can) continue;
    const uint32_t room = is_listing ? route.endpoints : RoomFor(job.each, route.summary.free);
    able.push_back({name, route.failure_domain, room, 0, name == home});
  }
  return able;
}

// The shard of the next replica. A domain with room goes before one without, then the one with the
// fewest replicas; in a domain, a shard that has some already, since each further one costs a
// record of its own.
candidate* NextShard(std::vector<candidate>& able) {
  std::map<std::string, uint32_t> in_domain;
  for (const candidate& one : able) in_domain[one.failure_domain] += one.taken;
  const auto rank = [&](const candidate& one) {
    return std::tuple(one.Left() == 0, in_domain[one.failure_domain], one.taken == 0, !one.is_home,
                      UINT32_MAX - one.Left());
  };
  const auto best =
      std::min_element(able.begin(), able.end(),
                       [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
  return &*best;
}

std::vector<job_part> PartsOf(const std::vector<candidate>& able) {
  std::vector<job_part> parts;
  uint32_t first = 0;
  for (const candidate& one : able) {
    if (one.taken == 0) continue;
    parts.push_back({one.shard, first, one.taken});
    first += one.taken;
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
  std::vector<candidate> able = CandidatesFor(job, {}, routes, now);
  if (able.empty()) return {};
  if (job.kind == workload_kind::kService) {
    for (uint32_t i = 0; i < tasks; ++i) ++NextShard(able)->taken;
  } else {
    const auto most =
        std::max_element(able.begin(), able.end(),
                         [](const candidate& a, const candidate& b) { return a.room < b.room; });
    most->taken = tasks;
  }
  return PartsOf(able);
}

std::vector<job_part> SplitService(const place_message& job, const std::string& home,
                                   const router& routes, monotonic_time now) {
  std::vector<candidate> able = CandidatesFor(job, home, routes, now);
  if (able.empty()) return {};
  for (uint32_t i = 0; i < job.tasks; ++i) ++NextShard(able)->taken;
  std::vector<job_part> parts = PartsOf(able);
  const bool all_at_home = parts.size() == 1 && parts.front().shard == home;
  return all_at_home ? std::vector<job_part>{} : parts;
}

}  // namespace catkinford
