// The closed set of answers that a caller can get about a request.
#ifndef CATKINFORD_REQUEST_OUTCOME_H_
#define CATKINFORD_REQUEST_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "request/identity.h"

namespace catkinford {

enum class outcome_kind : uint8_t {
  kCompleted,  // ran, the answer is complete
  kAccepted,   // the job is durable and will run
  kRefused,    // provably did not run and never will
  kFailed,     // ran, and failed
  kUnknown,    // may have run
};

enum class rejection_reason : uint8_t {
  kNone,
  kNeverFits,         // larger than any endpoint
  kOverLimit,         // the team's upper limit leaves no free capacity before the deadline
  kQueueFull,         // the team's bounded queue is full
  kShed,              // overload: would miss its deadline, or its team exceeds its share
  kDeadline,          // the deadline passed in the queue
  kCancelled,         // cancelled before it started
  kKindNotAllowed,    // the contract does not let the team submit this kind
  kOwnerUnreachable,  // no owner of a suitable shard could be reached; nothing was sent
  kNotDurable,        // the platform's store did not accept the job's record
  kShuttingDown,      // this entry is shutting down; use another
  kUnknownKey,        // the key is unknown or withdrawn
  kEndpointRefused,   // the endpoint rejected the start
};

// The snake_case name of each value in the protocol.
std::string_view ToText(outcome_kind kind);
std::string_view ToText(rejection_reason reason);
std::optional<outcome_kind> ParseOutcomeKind(std::string_view text);
std::optional<rejection_reason> ParseRejectionReason(std::string_view text);

struct outcome {
  request_id id;
  outcome_kind kind = outcome_kind::kUnknown;
  rejection_reason reason = rejection_reason::kNone;
  std::chrono::milliseconds retry_after{0};  // for kRefused: when to retry; 0: never
  std::string answer;                        // for kCompleted: what the endpoint returned
  std::string detail;                        // human-readable: which resource, which limit, why
};

// `retry_after`: when the caller may retry; zero for never.
outcome AcceptedOutcome(const request_id& id);
outcome RejectedOutcome(const request_id& id, rejection_reason reason,
                        std::chrono::milliseconds retry_after, std::string detail);
outcome FailedOutcome(const request_id& id, std::string detail);
// May have run; the caller may query it again shortly.
outcome UnknownOutcome(const request_id& id, std::string detail);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_OUTCOME_H_
