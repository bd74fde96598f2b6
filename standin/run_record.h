// Append-only record of what ran on the endpoints of one process. Checkers verify against it and
// not against the scheduler's own state.
#ifndef CATKINFORD_STANDIN_RUN_RECORD_H_
#define CATKINFORD_STANDIN_RUN_RECORD_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "request/job_request.h"

namespace catkinford {

class run_record {
 public:
  // Appends one line, with the event's time by the monotonic clock, which all processes of one
  // machine share.
  void Append(monotonic_time now, nlohmann::json event);
  // All lines so far, one JSON object each.
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_RUN_RECORD_H_
