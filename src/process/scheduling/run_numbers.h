// Numbers of a task's runs. They rise over all owners: an instance refuses a run that is not
// higher than one that has ended there.
//
// Each owner counts in a range of its own, so that the starts of an earlier one that it knows
// nothing of have lower numbers. A count beyond the range is in the job's record, and the next
// owner continues above it.
#ifndef CATKINFORD_PROCESS_SCHEDULING_RUN_NUMBERS_H_
#define CATKINFORD_PROCESS_SCHEDULING_RUN_NUMBERS_H_

#include <cstdint>

namespace catkinford {

class run_numbers {
 public:
  // `epoch` of the owner, 1 and up; 0: numbers are only read.
  explicit run_numbers(uint64_t epoch) : epoch_(epoch) {}

  // The next number after the highest one of the task that is known; 0: none.
  uint32_t Next(uint32_t last) const;
  // What the record has to say of the highest number; 0: nothing, as any next owner counts above
  // it. An owner may start some hundred runs after it wrote the record.
  uint32_t ToRecord(uint32_t last) const;
  // The highest number that a task may have had by a record of an earlier owner.
  uint32_t FromRecord(uint32_t recorded) const;
  // The highest number to assume after an instance has refused one as too low, for the
  // `refusals`th time in a row.
  static uint32_t AfterRefusal(uint32_t refused, uint32_t refusals);

 private:
  uint64_t Base() const;

  uint64_t epoch_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_RUN_NUMBERS_H_
