// A submitted job, after the entry has checked the key and the contract.
#ifndef CATKINFORD_REQUEST_JOB_REQUEST_H_
#define CATKINFORD_REQUEST_JOB_REQUEST_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "request/identity.h"

namespace catkinford {

using monotonic_time = std::chrono::steady_clock::time_point;

enum class workload_kind : uint8_t { kInteractive, kService, kBatch, kGang };

// "interactive", "service", "batch", "gang": the names used in the protocol and in contracts.
std::string_view ToText(workload_kind kind);
std::optional<workload_kind> ParseWorkloadKind(std::string_view text);

// Amounts of the resources of an endpoint. Flat and small: the decision core holds one per task.
struct resources {
  uint32_t cpu_milli = 0;  // thousandths of a CPU
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;
  uint32_t slots =
      0;  // one for each running task, on endpoints that limit the number of running tasks

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  // Requires Fits(other, *this): no amount may go below zero.
  resources& operator-=(const resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
};

inline resources operator+(resources a, const resources& b) { return a += b; }
inline resources operator-(resources a, const resources& b) { return a -= b; }

// Whether `need` is at most `available` in every amount.
inline bool Fits(const resources& need, const resources& available) {
  return need.cpu_milli <= available.cpu_milli && need.memory_mb <= available.memory_mb &&
         need.accelerators <= available.accelerators && need.slots <= available.slots;
}

// Difference, saturated at zero in each amount.
inline resources SubtractOrZero(const resources& a, const resources& b) {
  return {a.cpu_milli - std::min(a.cpu_milli, b.cpu_milli),
          a.memory_mb - std::min(a.memory_mb, b.memory_mb),
          a.accelerators - std::min(a.accelerators, b.accelerators),
          a.slots - std::min(a.slots, b.slots)};
}

// Dense number of a team; names are interned by the process and numbers are never reused.
using team_index = uint32_t;

struct job_request {
  request_id id;
  team_index team = 0;
  workload_kind kind = workload_kind::kInteractive;
  bool urgent = false;
  bool repeatable = true;                          // false: at most one start is ever sent
  uint32_t tasks = 1;                              // service: replicas; gang: all of them at once
  resources each;                                  // of one task
  std::chrono::milliseconds declared_run_time{0};  // the team's estimate; 0: not given
  monotonic_time submitted{};
  monotonic_time deadline{};  // a task not started by then is rejected as not run
};

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_JOB_REQUEST_H_
