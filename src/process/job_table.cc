#include "process/job_table.h"

namespace catkinford {

job_handle job_table::Find(const request_id& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? kNoJob : found->second;
}

job_handle job_table::Add(const request_id& id) {
  job_handle job = 0;
  if (free_.empty()) {
    job = static_cast<job_handle>(slab_.size());
    slab_.emplace_back();
  } else {
    job = free_.back();
    free_.pop_back();
  }
  const uint32_t generation = slab_[job].generation + 1;
  slab_[job] = job_record{};
  slab_[job].generation = generation;
  slab_[job].in_use = true;
  slab_[job].request.id = id;
  by_id_.emplace(id, job);
  return job;
}

void job_table::Remove(job_handle job) {
  by_id_.erase(slab_[job].request.id);
  slab_[job].in_use = false;
  free_.push_back(job);
}

}  // namespace catkinford
