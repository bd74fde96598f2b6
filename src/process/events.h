// The numbered events of logs and timeline. docs/EVENTS.md lists them; a test checks that both
// agree.
#ifndef CATKINFORD_PROCESS_EVENTS_H_
#define CATKINFORD_PROCESS_EVENTS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace catkinford {

enum class event_code : uint16_t {
  // 1xx: the process
  kProcessStarted = 100,
  kProcessReady = 101,
  kShutdownBegun = 102,
  kShutdownDone = 103,
  kCertificateTaken = 104,
  kCertificateRefused = 105,
  kPeerSecretsTaken = 106,
  kPeerSecretsRefused = 107,
  kConnectionsClosed = 108,
  // 2xx: requests
  kRequestReceived = 200,
  kRequestForwarded = 201,
  kRequestQueued = 202,
  kTaskStartSent = 203,
  kTaskStarted = 204,
  kTaskStartFailed = 205,
  kTaskFinished = 206,
  kTaskStopSent = 207,
  kRequestAnswered = 208,
  kPartPlaced = 209,
  kPartTakenHome = 210,
  kJobMoved = 211,
  kJobGivenUp = 212,
  // 3xx: shards and owners
  kShardClaimed = 300,
  kShardLost = 301,
  kShardReleased = 302,
  kEndpointFenced = 303,
  kEndpointSilent = 304,
  kEndpointGone = 305,
  kEndpointLeaving = 306,
  kFencedOff = 307,
  kEvacuationBegun = 308,
  kEvacuationReady = 309,
  kEvacuationStopped = 310,
  // 4xx: peers and the platform
  kPeerUp = 400,
  kPeerDown = 401,
  kStoreDown = 402,
  kStoreUp = 403,
  kPeerRefused = 404,
  // 5xx: configuration
  kVersionInForce = 500,
  kVersionRefused = 501,
  kGrantsMoved = 502,
};

enum class event_level : uint8_t { kDebug, kInfo, kWarning, kError };

struct event_info {
  event_code code;
  event_level level;
  std::string_view name;  // snake_case, stable
  std::string_view text;  // one readable sentence
};

// All events, ordered by number.
std::span<const event_info> AllEvents();
const event_info& InfoOf(event_code code);

// The names used in settings and logs: "debug", "info", "warning", "error".
std::string_view ToText(event_level level);
std::optional<event_level> ParseEventLevel(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_EVENTS_H_
