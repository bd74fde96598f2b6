#include "process/scheduling/fleet_state.h"

#include <algorithm>

namespace catkinford {
namespace {

uint32_t Remaining(uint32_t capacity, uint32_t used) {
  return used >= capacity ? 0 : capacity - used;
}

resources Remaining(const resources& capacity, const resources& used) {
  resources out;
  out.cpu_milli = Remaining(capacity.cpu_milli, used.cpu_milli);
  out.memory_mb = Remaining(capacity.memory_mb, used.memory_mb);
  out.accelerators = Remaining(capacity.accelerators, used.accelerators);
  return out;
}

}  // namespace

std::string_view ToText(registration_fault fault) {
  switch (fault) {
    case registration_fault::kNone:
      return "none";
    case registration_fault::kUnreadable:
      return "unreadable";
    case registration_fault::kId:
      return "id";
    case registration_fault::kField:
      return "field";
    case registration_fault::kNumber:
      return "number";
    case registration_fault::kState:
      return "state";
    case registration_fault::kService:
      return "service";
    case registration_fault::kAddress:
      return "address";
  }
  return "";
}

std::string_view ToText(stop_cause cause) {
  switch (cause) {
    case stop_cause::kNone:
      return "none";
    case stop_cause::kCancelled:
      return "cancelled";
    case stop_cause::kPreempted:
      return "preempted";
    case stop_cause::kUnknownStart:
      return "unknown_start";
    case stop_cause::kGangBroken:
      return "gang_broken";
    case stop_cause::kStray:
      return "stray";
    case stop_cause::kStalled:
      return "stalled";
    case stop_cause::kEvacuated:
      return "evacuated";
    case stop_cause::kJobFailed:
      return "job_failed";
    case stop_cause::kCopyLost:
      return "copy_lost";
  }
  return "none";
}

bool fleet_instance::OpenToStarts() const {
  if (!present || !listed || unidentified_runs > 0 || report_outdated) return false;
  return !domain_evacuated && !report.draining && !suspect && Reachable();
}

resources fleet_instance::Free() const { return Remaining(report.capacity, used); }

resources fleet_instance::WithoutEndlessRuns() const {
  return Remaining(report.capacity, used_endlessly);
}

bool fleet_instance::Fits(const resources& capacity) const {
  const resources free = Free();
  return capacity.cpu_milli <= free.cpu_milli && capacity.memory_mb <= free.memory_mb &&
         capacity.accelerators <= free.accelerators;
}

int64_t fleet_instance::ClockAt(monotonic_time now) const {
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_at);
  // The earliest that it can be: what is derived from it must not outlast what another owner, which
  // reads the clock later, expects.
  return clock_ms + static_cast<int64_t>(kSlowestClock * static_cast<double>(passed.count()));
}

monotonic_time fleet_instance::LeaseSurelyExpiresAt() const {
  const int64_t left_ms = std::max<int64_t>(lease_until_ms - clock_ms, 0);
  return clock_at + std::chrono::milliseconds(
                        static_cast<int64_t>(static_cast<double>(left_ms) / kSlowestClock) + 1);
}

bool fleet_instance::LeaseSurelyExpired(monotonic_time now) const {
  if (lease_until_ms == 0) return !lease_unknown;
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_at);
  const double slow = static_cast<double>(passed.count()) * kSlowestClock;
  return static_cast<double>(clock_ms) + slow > static_cast<double>(lease_until_ms);
}

}  // namespace catkinford
