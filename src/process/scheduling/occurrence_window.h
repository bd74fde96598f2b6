// How many due occurrences of repeated jobs are open at a time.
//
// Each open occurrence keeps a state for every task. A job may have any number of occurrences due
// at once, if they were due before it was accepted or while no owner ran. They are opened in order,
// as many as the instances can begin soon; the others are known by their numbers only.
#ifndef CATKINFORD_PROCESS_SCHEDULING_OCCURRENCE_WINDOW_H_
#define CATKINFORD_PROCESS_SCHEDULING_OCCURRENCE_WINDOW_H_

#include <cstddef>
#include <cstdint>

#include "process/scheduling/graph_state.h"

namespace catkinford {

class occurrence_window {
 public:
  // Of all jobs with more than one occurrence, and of one job.
  static constexpr uint64_t kMaxIdleTasks = 16384;
  static constexpr uint64_t kMaxIdleTasksPerJob = 4096;

  void Join(const graph_job& job);
  void Leave(const graph_job& job);
  // True if the next occurrence of the job, which is due, may be opened: if none is under way, or
  // if the job's tasks that are not at work, with those of the next one, are within its share.
  bool MayOpenNext(const job_entry& entry) const;

 private:
  size_t jobs_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_OCCURRENCE_WINDOW_H_
