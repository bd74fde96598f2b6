// The capacity that a waiting step can get at all, now or once other runs have ended.
//
// A step that cannot be placed even then must take nothing from the steps behind it: neither a
// place among those that a round looks at, nor free capacity that is reserved or claimed for it.
#ifndef CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_
#define CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/scheduling/fleet_state.h"
#include "process/scheduling/graph_state.h"
#include "request/step_graph.h"

namespace catkinford {

// What the step needs to start: all members of a gang, or one task.
uint32_t TasksAtOnce(const step_spec& step);
// Amounts that exceed the type are its largest value.
resources NeedAtOnce(const step_spec& step);

// Of the instances that accept work, without the runs that end by themselves.
class schedulable_capacity {
 public:
  // `services`: the highest ordinal of a service.
  void Clear(size_t services);
  // The instance must exist until the next Clear().
  void Add(const fleet_instance& instance);
  // Under half of the processors of the service are in use.
  bool MostlyIdle(uint32_t service) const;
  // No instance of the service accepts work.
  bool Empty(uint32_t service) const;
  // True if the instances of the service can run as many of the step's tasks at once as it needs to
  // start. Instances without its label, and those that a verdict excludes, do not count.
  bool CanHold(uint32_t service, const step_spec& step, const step_advice& advice);

 private:
  struct instance_group {
    std::vector<const fleet_instance*> members;
    resources largest;  // of each resource, the most at one instance
    uint64_t cpu_milli = 0;
    uint64_t used_cpu_milli = 0;

    void Add(const fleet_instance& instance);
  };
  // The instances of the service with the label; empty: all.
  const instance_group& GroupOf(uint32_t service, const std::string& label);

  std::vector<instance_group> services_;  // by ordinal
  // Those that were asked for since the last Clear().
  absl::flat_hash_map<std::pair<uint32_t, std::string>, instance_group> labelled_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_
