// Identities of requests and tasks. An answer is matched to its request by identity
// only, not by connection, order or time of arrival.
#ifndef CATKINFORD_REQUEST_IDENTITY_H_
#define CATKINFORD_REQUEST_IDENTITY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace catkinford {

// 128 bits, the same in every process for the same team and idempotency key.
struct request_id {
  uint64_t hi = 0;
  uint64_t lo = 0;

  auto operator<=>(const request_id&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const request_id& id) {
    return H::combine(std::move(state), id.hi, id.lo);
  }
};

// One run of one task of a job. `attempt` grows with each placement of the same task, so that a
// late report about an earlier run is never mistaken for one about the current run.
struct task_id {
  request_id job;
  uint32_t index = 0;
  uint32_t attempt = 0;

  auto operator<=>(const task_id&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const task_id& id) {
    return H::combine(std::move(state), id.job, id.index, id.attempt);
  }
};

// SHA-256 of the team and the caller's idempotency key, truncated to 128 bits: every entry derives
// the same identity when a caller retries through another entry.
request_id DeriveRequestId(std::string_view team, std::string_view idempotency_key);

// From the system's random source, for a caller that sent no idempotency key.
request_id NewRequestId();

// 32 hexadecimal digits.
std::string ToHex(const request_id& id);
std::optional<request_id> ParseRequestId(std::string_view text);

// "HEX/INDEX/ATTEMPT".
std::string ToText(const task_id& id);
std::optional<task_id> ParseTaskId(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_IDENTITY_H_
