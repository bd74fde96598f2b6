// Messages for starts that one entry forwards to instances for another, and for their results: HTTP
// with JSON rows. An owner forwards hundreds of starts a second, so the fields have no names on the
// wire.
//
//   POST /peer/start     starts without their jobs' payloads; the answer holds the results known
//                        soon
//   POST /peer/started   the other results
#ifndef CATKINFORD_PROCESS_SITE_START_MESSAGES_H_
#define CATKINFORD_PROCESS_SITE_START_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/scheduling/scheduler_messages.h"

namespace catkinford {

inline constexpr char kPeerStartPath[] = "/peer/start";
inline constexpr char kPeerStartedPath[] = "/peer/started";

struct forwarded_start {
  uint64_t number = 0;    // assigned by the owner; repeated in the result
  start_command command;  // the forwarder fills in the payload
};
struct forwarded_starts {
  uint64_t epoch = 0;  // of the owner
  std::string owner;   // "ip:port" for late results
  std::vector<forwarded_start> starts;
};

struct start_result {
  uint64_t number = 0;
  bool sent = false;  // false: was not sent and will not be
  command_answer answer;
};

start_command WithoutPayload(const start_command& start);

// The parsers return nothing for malformed text.
std::string ForwardedStartsToText(const forwarded_starts& starts);
std::optional<forwarded_starts> ForwardedStartsFromText(std::string_view text);
std::string StartResultsToText(const std::vector<start_result>& results);
std::optional<std::vector<start_result>> StartResultsFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_MESSAGES_H_
