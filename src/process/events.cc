#include "process/events.h"

#include <array>

namespace catkinford {
namespace {

// Event numbers are in [kFirstCode, kCodeLimit), with gaps.
constexpr uint16_t kFirstCode = 100;
constexpr uint16_t kCodeLimit = 600;

// The only place that describes an event. The switch has no default, so the compiler rejects an
// event without a description.
constexpr event_info Describe(event_code code) {
  using enum event_code;
  using enum event_level;
  switch (code) {
    case kProcessStarted:
      return {code, kInfo, "process_started", "The process has read its settings and starts."};
    case kProcessReady:
      return {code, kInfo, "process_ready",
              "The entry has a configuration in effect and accepts requests."};
    case kShutdownBegun:
      return {code, kInfo, "shutdown_begun",
              "A graceful shutdown began: new work is rejected, requests in flight continue."};
    case kShutdownDone:
      return {code, kInfo, "shutdown_done", "The shutdown is complete; the process ends."};
    case kCertificateTaken:
      return {code, kInfo, "certificate_taken",
              "The certificate for callers was read; new connections use it."};
    case kCertificateRefused:
      return {code, kError, "certificate_refused",
              "The certificate or its key cannot be used; the previous one, if any, stays in use."};
    case kPeerSecretsTaken:
      return {code, kInfo, "peer_secrets_taken",
              "The secrets that sign calls between entries were read."};
    case kPeerSecretsRefused:
      return {code, kError, "peer_secrets_refused",
              "The peer secret file cannot be used; the previous secrets, if any, stay in use."};
    case kConnectionsClosed:
      return {code, kWarning, "connections_closed",
              "Connections were closed, or requests rejected, for what others held."};
    case kRequestReceived:
      return {code, kDebug, "request_received", "A caller's request passed its key check."};
    case kRequestForwarded:
      return {code, kDebug, "request_forwarded", "The entry sent the request to a shard's owner."};
    case kRequestQueued:
      return {code, kDebug, "request_queued", "The shard added the request to its queue."};
    case kTaskStartSent:
      return {code, kDebug, "task_start_sent", "The owner sent a start to an endpoint."};
    case kTaskStarted:
      return {code, kDebug, "task_started", "The endpoint confirmed the start."};
    case kTaskStartFailed:
      return {code, kDebug, "task_start_failed",
              "The endpoint rejected the start, or the start failed."};
    case kTaskFinished:
      return {code, kDebug, "task_finished", "The endpoint reported the end of the task."};
    case kTaskStopSent:
      return {code, kDebug, "task_stop_sent",
              "The owner sent a stop for the task to the endpoint."};
    case kRequestAnswered:
      return {code, kDebug, "request_answered", "The outcome was sent to the caller."};
    case kPartPlaced:
      return {code, kDebug, "part_placed",
              "Another shard has recorded its part of a job whose home is this shard."};
    case kPartTakenHome:
      return {code, kInfo, "part_taken_home",
              "Another shard rejected its part of a job; the home shard of the job takes it over."};
    case kJobMoved:
      return {code, kInfo, "job_moved",
              "The rest of the job moves from an evacuated failure domain to another."};
    case kJobGivenUp:
      return {
          code, kWarning, "job_given_up",
          "The job may have run in a failure domain that was evacuated, and may not run again."};
    case kShardClaimed:
      return {code, kInfo, "shard_claimed",
              "This entry owns the shard under a new epoch and begins to fence its endpoints."};
    case kShardLost:
      return {code, kWarning, "shard_lost",
              "Another entry owns the shard, or this one may no longer act for it."};
    case kShardReleased:
      return {code, kInfo, "shard_released", "This entry handed the shard to its successor."};
    case kEndpointFenced:
      return {code, kDebug, "endpoint_fenced",
              "The endpoint accepted the new epoch and listed what it runs; it can get work."};
    case kEndpointSilent:
      return {code, kWarning, "endpoint_silent",
              "The endpoint does not answer; it gets no new work and still counts as full."};
    case kEndpointGone:
      return {code, kWarning, "endpoint_gone",
              "The leases of all tasks there have expired; the tasks are placed again."};
    case kEndpointLeaving:
      return {code, kInfo, "endpoint_leaving",
              "The endpoint gets no new work; its tasks are moved."};
    case kFencedOff:
      return {code, kWarning, "fenced_off",
              "An endpoint rejected our epoch: another owner has taken over the shard."};
    case kEvacuationBegun:
      return {code, kWarning, "evacuation_begun",
              "The epochs of a lost failure domain are raised; its jobs move after the leases of "
              "its tasks have expired."};
    case kEvacuationReady:
      return {code, kWarning, "evacuation_ready",
              "The job log of a lost failure domain is taken over; its jobs move."};
    case kEvacuationStopped:
      return {code, kWarning, "evacuation_stopped",
              "The failure domain is back, or was not lost: no more of its jobs move."};
    case kPeerUp:
      return {code, kInfo, "peer_up",
              "A status of the peer was received, directly or forwarded by others."};
    case kPeerDown:
      return {code, kWarning, "peer_down",
              "No status of the peer was received for too long, or a call to it failed."};
    case kStoreDown:
      return {
          code, kWarning, "store_down",
          "The platform's store does not answer; until it does, no owner changes and no new jobs."};
    case kStoreUp:
      return {code, kInfo, "store_up", "The platform's store answers again."};
    case kPeerRefused:
      return {code, kWarning, "peer_refused",
              "Calls to the peer port had no valid signature and were rejected."};
    case kVersionInForce:
      return {code, kInfo, "version_in_force", "A configuration version is in effect here."};
    case kVersionRefused:
      return {code, kWarning, "version_refused",
              "A configuration was rejected: older than the current one, or not readable."};
    case kGrantsMoved:
      return {code, kDebug, "grants_moved", "The shard's parts of the teams' limits changed."};
  }
  return {};
}

constexpr size_t CountEvents() {
  size_t count = 0;
  for (uint16_t number = kFirstCode; number < kCodeLimit; ++number) {
    count += Describe(static_cast<event_code>(number)).name.empty() ? 0 : 1;
  }
  return count;
}

constexpr std::array<event_info, CountEvents()> ListEvents() {
  std::array<event_info, CountEvents()> events{};
  size_t next = 0;
  for (uint16_t number = kFirstCode; number < kCodeLimit; ++number) {
    const event_info info = Describe(static_cast<event_code>(number));
    if (!info.name.empty()) events[next++] = info;
  }
  return events;
}

constexpr std::array kEvents = ListEvents();

constexpr std::array<uint16_t, kCodeLimit> IndexEvents() {
  std::array<uint16_t, kCodeLimit> index{};
  for (size_t i = 0; i < kEvents.size(); ++i) {
    index[static_cast<size_t>(kEvents[i].code)] = static_cast<uint16_t>(i);
  }
  return index;
}

constexpr std::array kIndex = IndexEvents();

}  // namespace

std::span<const event_info> AllEvents() { return kEvents; }

const event_info& InfoOf(event_code code) { return kEvents[kIndex[static_cast<size_t>(code)]]; }

std::string_view ToText(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return "debug";
    case event_level::kInfo:
      return "info";
    case event_level::kWarning:
      return "warning";
    case event_level::kError:
      return "error";
  }
  return "";
}

std::optional<event_level> ParseEventLevel(std::string_view text) {
  for (const event_level level :
       {event_level::kDebug, event_level::kInfo, event_level::kWarning, event_level::kError}) {
    if (ToText(level) == text) return level;
  }
  return std::nullopt;
}

}  // namespace catkinford
