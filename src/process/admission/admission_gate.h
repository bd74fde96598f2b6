// One entry's part in admission: its figures, its decisions and the returns that it promised.
//
// Load: submissions beyond the shares at an entry, while no capacity is free. No I/O, no clock.
#ifndef CATKINFORD_PROCESS_ADMISSION_ADMISSION_GATE_H_
#define CATKINFORD_PROCESS_ADMISSION_ADMISSION_GATE_H_

#include <chrono>
#include <optional>
#include <string>

#include "process/admission/admission_figures.h"
#include "process/admission/entry_admission.h"
#include "process/admission/return_schedule.h"

namespace catkinford {

struct gate_options {
  std::string entry;  // name of this entry
  std::chrono::milliseconds figures_valid{2000};
  std::chrono::milliseconds max_retry_after{3000};
};

class admission_gate {
 public:
  explicit admission_gate(const gate_options& options);

  void OnFigures(const std::optional<admission_figures>& figures, monotonic_time now);
  // `known_epoch`: of the owner that this entry knows.
  struct decision {
    admission_verdict verdict;
    bool returned = false;  // a caller that came back on time
  };
  decision Judge(const submission& job, uint64_t known_epoch, monotonic_time now);
  // A job that is not to be accepted is rejected indeed.
  return_schedule::promise Reject(const submission& job, const admission_verdict& verdict,
                                  monotonic_time now);

  // True while this entry has had a submission of late.
  bool Active(monotonic_time now) const;
  // True if the owner has to be asked for its figures, which counts as asked.
  bool TakeQuestion(monotonic_time now);

  static constexpr std::chrono::milliseconds kQuestionInterval{500};

 private:
  static constexpr std::chrono::milliseconds kActiveFor{2000};

  entry_admission admission_;
  return_schedule returns_;
  std::optional<monotonic_time> last_submission_;
  std::optional<monotonic_time> heard_;
  std::optional<monotonic_time> asked_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_ADMISSION_GATE_H_
