// The append-only record of what really ran at the endpoints of one process. Checkers judge from
// it, never from the scheduler's opinion.
#ifndef CATKINFORD_STANDIN_RUN_RECORD_H_
#define CATKINFORD_STANDIN_RUN_RECORD_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "request/job_request.h"

namespace catkinford {

class run_record {
 public:
  // Adds one line, with the time of the event by the monotonic clock, which all processes of one
  // machine share.
  void Append(monotonic_time now, nlohmann::json event);
  // All lines so far.
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_RUN_RECORD_H_
