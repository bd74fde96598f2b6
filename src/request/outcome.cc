#include "request/outcome.h"

#include <array>
#include <utility>

namespace catkinford {
namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames = {"completed", "accepted", "refused",
                                                           "failed", "unknown"};
constexpr std::array<std::string_view, 13> kReasonNames = {
    "none",          "never_fits",  "over_limit",       "queue_full",        "shed",
    "deadline",      "cancelled",   "kind_not_allowed", "owner_unreachable", "not_durable",
    "shutting_down", "unknown_key", "endpoint_refused"};

// When a caller may query a request of unknown outcome again.
constexpr std::chrono::milliseconds kUnknownRetryAfter{1000};

// The value whose name is `text`; `names` is in the order of the enumerators.
template <typename Enum, size_t N>
std::optional<Enum> FindByName(const std::array<std::string_view, N>& names,
                               std::string_view text) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] == text) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToText(outcome_kind kind) { return kOutcomeNames[static_cast<size_t>(kind)]; }
std::string_view ToText(rejection_reason reason) {
  return kReasonNames[static_cast<size_t>(reason)];
}

std::optional<outcome_kind> ParseOutcomeKind(std::string_view text) {
  return FindByName<outcome_kind>(kOutcomeNames, text);
}
std::optional<rejection_reason> ParseRejectionReason(std::string_view text) {
  return FindByName<rejection_reason>(kReasonNames, text);
}

outcome AcceptedOutcome(const request_id& id) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kAccepted;
  return result;
}

outcome RejectedOutcome(const request_id& id, rejection_reason reason,
                        std::chrono::milliseconds retry_after, std::string detail) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kRefused;
  result.reason = reason;
  result.retry_after = retry_after;
  result.detail = std::move(detail);
  return result;
}

outcome FailedOutcome(const request_id& id, std::string detail) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kFailed;
  result.detail = std::move(detail);
  return result;
}

outcome UnknownOutcome(const request_id& id, std::string detail) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kUnknown;
  result.retry_after = kUnknownRetryAfter;
  result.detail = std::move(detail);
  return result;
}

}  // namespace catkinford
