// How many tasks fit into an amount of capacity.
#ifndef CATKINFORD_PROCESS_SCHEDULING_TASK_FIT_H_
#define CATKINFORD_PROCESS_SCHEDULING_TASK_FIT_H_

#include <algorithm>
#include <cstdint>

#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

// What a task of the step occupies at an instance: a filler uses processors that others leave idle.
inline resources CapacityOf(const step_spec& step) {
  resources capacity = step.need;
  if (step.fills) capacity.cpu_milli = 0;
  return capacity;
}

inline bool Covers(const resources& free, const resources& capacity) {
  return capacity.cpu_milli <= free.cpu_milli && capacity.memory_mb <= free.memory_mb &&
         capacity.accelerators <= free.accelerators;
}

// At most `most`.
inline uint32_t TasksThatFit(const resources& free, const resources& capacity, uint32_t most) {
  if (capacity.cpu_milli > 0) most = std::min(most, free.cpu_milli / capacity.cpu_milli);
  if (capacity.memory_mb > 0) most = std::min(most, free.memory_mb / capacity.memory_mb);
  if (capacity.accelerators > 0) most = std::min(most, free.accelerators / capacity.accelerators);
  return most;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_TASK_FIT_H_
