// Starts that one entry brings to instances for another, and what became of them, over HTTP with
// JSON rows: an owner gives away hundreds a second, so their fields have no names on the wire.
//
//   POST /peer/start     starts without the payload of their job; the answer says what became of
//                        those that were answered soon
//   POST /peer/started   what became of the others
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
  uint64_t number = 0;  // of the owner's; the result names it
  start_order command;  // its payload is the carrier's to fill in
};
struct forwarded_starts {
  uint64_t epoch = 0;  // of the owner
  std::string owner;   // "ip:port": where late results go
  std::vector<forwarded_start> starts;
};

struct start_result {
  uint64_t number = 0;
  bool sent = false;  // false: nothing was sent, and nothing will be
  order_answer answer;
};

// Parsing answers nothing for other text.
std::string ForwardedStartsToText(const forwarded_starts& starts);
std::optional<forwarded_starts> ForwardedStartsFromText(std::string_view text);
std::string StartResultsToText(const std::vector<start_result>& results);
std::optional<std::vector<start_result>> StartResultsFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_MESSAGES_H_
