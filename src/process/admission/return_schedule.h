// When rejected callers should return, and which of them come back on time.
//
// Load: rejected callers that all return in the same second are a second burst. They are spread, in
// the order of their rejection, over the seconds in which this entry may accept them. No I/O, no
// clock.
#ifndef CATKINFORD_PROCESS_ADMISSION_RETURN_SCHEDULE_H_
#define CATKINFORD_PROCESS_ADMISSION_RETURN_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

class return_schedule {
 public:
  explicit return_schedule(std::chrono::milliseconds max_retry_after);

  struct promise {
    std::chrono::seconds retry_after{1};
    bool kept_place = false;  // a place is kept for the caller at that time
  };
  // The job is rejected. `rate`: jobs per second that this entry may accept of its queue and
  // workspace. `excess`: by how much the wait is too long.
  promise Reject(const std::string& id, const std::string& queue, const std::string& workspace,
                 double rate, std::chrono::milliseconds excess, monotonic_time now);
  // True if a place is kept for the job at about this time.
  bool OnTime(const std::string& id, monotonic_time now) const;
  // The job was accepted: its place is not kept any longer.
  void Forget(const std::string& id) { places_.erase(id); }
  size_t Size() const { return places_.size(); }

 private:
  static constexpr size_t kMaxPlaces = 1024;               // some hundred bytes each
  static constexpr std::chrono::milliseconds kEarly{100};  // the caller's clock and ours differ
  static constexpr std::chrono::milliseconds kLate{1000};
  struct row {
    monotonic_time next{};  // the next place that is not promised
    uint64_t unplaced = 0;
  };

  void DropExpired(monotonic_time now);

  const std::chrono::seconds longest_;
  absl::flat_hash_map<std::pair<std::string, std::string>, row> rows_;
  absl::flat_hash_map<std::string, monotonic_time> places_;   // by id
  std::deque<std::pair<monotonic_time, std::string>> order_;  // as promised: end of validity, id
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_RETURN_SCHEDULE_H_
