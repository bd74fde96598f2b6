// The owner is asked whether it knows a job before its submission is rejected.
//
// Load: callers that try again. An earlier attempt may have been stored although its caller got no
// answer; to reject the next one would be false. No I/O, no clock.
#ifndef CATKINFORD_PROCESS_ADMISSION_KNOWN_JOB_QUERY_H_
#define CATKINFORD_PROCESS_ADMISSION_KNOWN_JOB_QUERY_H_

#include <cstdint>
#include <functional>
#include <utility>

namespace catkinford {

enum class known_job_answer : uint8_t {
  kNone,      // no answer, an unreadable one, or not in time
  kNotOwner,  // the entry that was asked does not know all jobs
  kKnown,
  kUnknown
};

// The first of the answer and the time limit counts.
class known_job_query {
 public:
  // `done`: called once; true if the job may be rejected.
  explicit known_job_query(std::function<void(bool)> done) : done_(std::move(done)) {}

  void OnAnswer(known_job_answer answer) {
    if (!done_) return;
    const auto done = std::exchange(done_, nullptr);
    done(answer == known_job_answer::kUnknown);
  }

 private:
  std::function<void(bool)> done_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_KNOWN_JOB_QUERY_H_
