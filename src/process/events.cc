#include "process/events.h"

#include <array>

namespace catkinford {
namespace {

// Numbers run from 100 up to here, with gaps.
constexpr uint16_t kFirstCode = 100;
constexpr uint16_t kCodeLimit = 600;

// The one place where an event is described. A switch without a default: the compiler refuses an
// event that is not described here.
constexpr event_info Describe(event_code code) {
  using enum event_code;
  using enum event_level;
  switch (code) {
    case kProcessStarted:
      return {code, kInfo, "process_started", "The process has read its settings and begins."};
    case kProcessReady:
      return {code, kInfo, "process_ready",
              "The entry has a configuration in force and takes requests."};
    case kShutdownBegun:
      return {code, kInfo, "shutdown_begun",
              "A graceful shutdown began: no new work, what is in flight goes on."};
    case kShutdownDone:
      return {code, kInfo, "shutdown_done", "Nothing is in flight any more; the process ends."};
    case kCertificateTaken:
      return {code, kInfo, "certificate_taken",
              "The certificate for callers was read; new connections get it."};
    case kCertificateRefused:
      return {code, kError, "certificate_refused",
              "The certificate or its key cannot be used; the one before, if any, stays."};
    case kPeerSecretsTaken:
      return {code, kInfo, "peer_secrets_taken",
              "The secrets that calls between entries are signed with were read."};
    case kPeerSecretsRefused:
      return {code, kError, "peer_secrets_refused",
              "The file of the peers' secrets cannot be used; the ones before, if any, stay."};
    case kRequestReceived:
      return {code, kDebug, "request_received", "A caller's request passed its key check."};
    case kRequestForwarded:
      return {code, kDebug, "request_forwarded", "The entry sent the request to a shard's owner."};
    case kRequestQueued:
      return {code, kDebug, "request_queued", "The shard took the request into its queue."};
    case kTaskStartSent:
      return {code, kDebug, "task_start_sent", "The owner sent a start to an endpoint."};
    case kTaskStarted:
      return {code, kDebug, "task_started", "The endpoint confirmed the start."};
    case kTaskStartFailed:
      return {code, kDebug, "task_start_failed", "The endpoint refused or failed the start."};
    case kTaskFinished:
      return {code, kDebug, "task_finished", "The endpoint reported the end of the task."};
    case kTaskStopSent:
      return {code, kDebug, "task_stop_sent", "The owner told the endpoint to stop the task."};
    case kRequestAnswered:
      return {code, kDebug, "request_answered", "The caller has the outcome."};
    case kPartPlaced:
      return {code, kDebug, "part_placed",
              "Another shard has recorded its part of a job whose home this is."};
    case kPartTakenHome:
      return {code, kInfo, "part_taken_home",
              "Another shard turned its part of a job away; the job's home takes it."};
    case kJobMoved:
      return {code, kInfo, "job_moved",
              "What was left of the job goes from an evacuated failure domain to another."};
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
              "The endpoint took the new epoch and listed what it runs; it can be given work."};
    case kEndpointSilent:
      return {code, kWarning, "endpoint_silent",
              "The endpoint does not answer; it gets nothing new and still counts as full."};
    case kEndpointGone:
      return {code, kWarning, "endpoint_gone",
              "The leases of all tasks there have lapsed; they are placed again."};
    case kEndpointLeaving:
      return {code, kInfo, "endpoint_leaving", "The endpoint gets nothing new; its work is moved."};
    case kFencedOff:
      return {code, kWarning, "fenced_off",
              "An endpoint refused our epoch: another owner has taken the shard over."};
    case kEvacuationBegun:
      return {code, kWarning, "evacuation_begun",
              "The epochs of a lost failure domain are raised; the leases of its tasks are waited "
              "out before its jobs move."};
    case kEvacuationReady:
      return {code, kWarning, "evacuation_ready",
              "The job log of a lost failure domain is taken over; its jobs move."};
    case kEvacuationStopped:
      return {code, kWarning, "evacuation_stopped",
              "The failure domain is back, or was not lost: nothing more of it moves."};
    case kPeerUp:
      return {code, kInfo, "peer_up", "A peer answers heartbeats."};
    case kPeerDown:
      return {code, kWarning, "peer_down", "A peer has not answered for the length of its lease."};
    case kStoreDown:
      return {code, kWarning, "store_down",
              "The platform's store does not answer; no owner changes and no new jobs until then."};
    case kStoreUp:
      return {code, kInfo, "store_up", "The platform's store answers again."};
    case kPeerRefused:
      return {code, kWarning, "peer_refused",
              "Calls to the peer port carried no good signature; nothing of them was taken."};
    case kVersionInForce:
      return {code, kInfo, "version_in_force", "A configuration version is in force here."};
    case kVersionRefused:
      return {code, kWarning, "version_refused",
              "A configuration was not taken: lower than the one in force, or not readable."};
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
