#include "standin/run_record.h"

#include <utility>

namespace catkinford {

using std::chrono::duration_cast;
using std::chrono::microseconds;

void run_record::Append(monotonic_time now, nlohmann::json event) {
  event["at_us"] = duration_cast<microseconds>(now.time_since_epoch()).count();
  text_ += event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text_ += '\n';
}

}  // namespace catkinford
