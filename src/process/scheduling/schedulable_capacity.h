// The capacity that a waiting step can get at all, now or once other runs have ended.
//
// A step that cannot be placed even then must take nothing from the steps behind it: neither a
// place among those that a round looks at, nor free capacity that is reserved or claimed for it.
#ifndef CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_
#define CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

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
  // No instance of the service accepts work.
  bool Empty(uint32_t service) const;
  // True if the instances of the service can run as many of the step's tasks at once as it needs to
  // start. Instances that a verdict excludes do not count.
  bool CanHold(uint32_t service, const step_spec& step, const step_advice& advice) const;

 private:
  struct service_instances {
    std::vector<const fleet_instance*> all;
    resources largest;  // of each resource, the most at one instance
  };

  std::vector<service_instances> services_;  // by ordinal
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_SCHEDULABLE_CAPACITY_H_
