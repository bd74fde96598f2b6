#include "standin/run_record.h"

#include <utility>

namespace catkinford {

using std::chrono::duration_cast;
using std::chrono::microseconds;

run_record::run_record(monotonic_time now, std::chrono::system_clock::time_point wall)
    : base_(now), wall_base_(wall) {}

void run_record::Append(monotonic_time now, nlohmann::json event) {
  const auto wall = wall_base_ + (now - base_);
  const int64_t at_us = duration_cast<microseconds>(wall.time_since_epoch()).count();
  event["at_us"] = at_us;
  event["at_ms"] = at_us / 1000;
  text_ += event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text_ += '\n';
}

}  // namespace catkinford
