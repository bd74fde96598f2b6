// Messages for calls to instances that one entry, a relay, makes for another: HTTP with MessagePack
// rows, as an owner exchanges thousands of calls and results a second.
//
//   POST /peer/calls   calls to begin; the answer holds the results of these and of earlier calls
//                      that are known by then
#ifndef CATKINFORD_PROCESS_SITE_CALL_MESSAGES_H_
#define CATKINFORD_PROCESS_SITE_CALL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection/http_client.h"

namespace catkinford {

inline constexpr char kPeerCallsPath[] = "/peer/calls";

struct relayed_call {
  uint64_t number = 0;  // assigned by the owner; repeated in the result
  http_call call;       // of it only method, URL, body, headers and the time limit are sent
};
struct relayed_calls {
  uint64_t epoch = 0;  // of the owner
  // On the relay's clock; calls that are read later are not begun. A relay that was suspended would
  // otherwise carry out commands that the owner has given up.
  int64_t not_after_ms = 0;
  std::vector<relayed_call> calls;
};

struct relayed_result {
  uint64_t number = 0;
  http_result result;
};
struct relayed_results {
  uint64_t nonce = 0;    // of the relay's process; another one knows nothing of earlier calls
  int64_t clock_ms = 0;  // of the relay
  std::vector<relayed_result> results;
};

// The parsers return nothing for malformed bytes.
std::string RelayedCallsToBytes(const relayed_calls& message);
std::optional<relayed_calls> RelayedCallsFromBytes(std::string_view bytes);
std::string RelayedResultsToBytes(relayed_results message);
std::optional<relayed_results> RelayedResultsFromBytes(std::string_view bytes);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_CALL_MESSAGES_H_
