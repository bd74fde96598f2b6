// The owner's view of the instances: capacity, leases, runs and starts with unknown outcome.
#ifndef CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_
#define CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/scheduling/copy_policy.h"
#include "process/scheduling/lease_commands.h"
#include "process/scheduling/run_speed.h"
#include "process/scheduling/scheduler_messages.h"
#include "request/job_request.h"

namespace catkinford {

// An instance's entry in the registry.
struct instance_report {
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  bool draining = false;
  std::chrono::milliseconds remaining{0};  // minimum time left while draining
  int64_t incarnation = 0;                 // its start; an incarnation has no runs of earlier ones
  // Not in the registry: an owner saw that it has restarted not long ago, so that a command for an
  // earlier incarnation may have given it the longest lease.
  bool restarted = false;
};

// Why a registration names no usable instance.
enum class registration_fault : uint8_t {
  kNone,
  kUnreadable,  // no JSON object, or nested too deeply
  kId,          // its key has no name, or one with other than printable characters
  kField,       // a field is missing or of another type
  kNumber,      // a number that no instance has
  kState,       // a state that is not defined
  kService,     // no service
  kAddress      // no IP address with a port from 1 to 65535
};
std::string_view ToText(registration_fault fault);

enum class run_phase : uint8_t {
  kPlanned,    // decided on; its start is sent once its record is stored
  kSent,       // the start was sent, no answer yet
  kUnknown,    // no answer: it may run, or begin up to seconds later
  kInherited,  // recorded by an earlier owner; the instance's first listing decides
  kRunning,    // confirmed by an answer or a listing
  kStopping    // a stop was accepted
};

enum class stop_cause : uint8_t {
  kNone,
  kCancelled,
  kPreempted,
  kUnknownStart,  // its start got no answer: must be proved dead before its task starts elsewhere
  kGangBroken,
  kStray,      // not started by this owner, or another run holds the task
  kStalled,    // makes no progress
  kEvacuated,  // its instance is about to leave
  kJobFailed,
  kCopyLost,  // the other copy ended first
};
std::string_view ToText(stop_cause cause);

// One run of one task on one instance. It occupies its capacity until it is proved to have ended.
struct graph_run {
  // What each round of decisions reads of all runs comes first, to share a cache line.
  run_phase phase = run_phase::kSent;
  stop_cause stopping = stop_cause::kNone;
  bool fills = false;
  bool serves = false;          // has a tail latency target
  bool inherited = false;       // its start time is unknown
  bool resumed = false;         // from a checkpoint
  bool seen = false;            // shown by an answer or a listing
  bool listed = false;          // shown by a listing of this incarnation of its instance
  bool stop_confirmed = false;  // the instance answered the stop
  bool stop_in_flight = false;
  std::optional<copy_reason> copied_for;  // set if the run was started as a copy
  job_entry* job = nullptr;               // null: the job is not known
  fleet_instance* instance = nullptr;
  monotonic_time started{};     // when the start was sent
  monotonic_time progressed{};  // when `percent` last changed

  task_key key;
  uint32_t number = 0;
  resources capacity;          // occupied at the instance; no processors if the task is a filler
  monotonic_time decided{};    // when the start was decided on
  monotonic_time confirmed{};  // when the run was first known to be running
  monotonic_time stop_requested_at{};  // when the first stop was requested
  monotonic_time stop_answered_at{};   // when the stop was answered
  monotonic_time next_stop{};
  monotonic_time overdue_since{};  // when its start was found to be unanswered for too long
  uint32_t percent = 0;
  std::chrono::milliseconds longest_step{0};  // between two percents, at full speed
  uint32_t load = 0;  // tail latency in ms of a serving task, processors in use otherwise
  run_speed speed;    // of a filler

  bool AtFullSpeed() const { return !fills || speed.AtFull(); }
  // Its start was sent, and neither an answer nor a listing has shown it.
  bool Unanswered() const { return phase == run_phase::kSent || phase == run_phase::kUnknown; }
};

// An end that was listed and must be stored before the instance may forget it.
struct seen_end {
  uint64_t number = 0;
  std::string job;
  uint64_t change = 0;      // of the job, which must be stored first
  bool awaits_job = false;  // its job is not known: it has no effect yet
  // Set if the task is done or failed and another start of it may still arrive. Until it can not,
  // the end stays with its instance: a start that arrives later would be one of a task that is
  // known to be done, or one attempt too many.
  std::optional<task_key> awaits_starts;
  // The same where an earlier owner may have sent such a start: until inherited work is settled.
  bool awaits_inheritance = false;
};

// A start that got no answer and was proved not to have begun. The proof holds only for that
// incarnation of the instance: the next one would execute the command if it arrives then.
struct undelivered_start {
  task_key key;
  uint32_t run = 0;
  monotonic_time sent{};
};

struct fleet_instance {
  // What each round of decisions reads of all instances comes first, to share cache lines.
  uint32_t ordinal = 0;            // unique among all instances ever seen
  uint32_t service = 0;            // ordinal of its service
  uint32_t filling = 0;            // filler runs, which use what other runs leave unused
  uint32_t unidentified_runs = 0;  // runs whose job, and with it their capacity, is not known
  uint32_t silent = 0;             // consecutive listings without an answer
  bool present = true;             // in the registry
  bool listed = false;             // fenced by this owner, and its runs are known
  bool lease_unknown = false;      // an earlier owner may have extended its lease
  bool replaced = false;           // another instance answers at its address: it has ended
  // Registered in the store as an instance that may run work. Without that, the next owner would
  // not look for runs there if the registry had lost the instance too.
  bool registered = false;
  // A start timed out there: no further starts until the instance answers.
  bool suspect = false;
  bool domain_evacuated = false;  // operators have closed its failure domain to new work
  // Restarted, and the registry does not show this incarnation yet: `report` is of an earlier one.
  bool report_outdated = false;
  bool check_in_flight = false;  // a second listing, to settle an unknown start
  bool listing_in_flight = false;
  bool probing = false;  // this listing does not wait for an end, as the previous one timed out
  std::vector<std::unique_ptr<graph_run>> runs;
  monotonic_time clock_at{};  // when the instance's own clock was read
  monotonic_time quarantined_until{};
  monotonic_time listing_due{};  // latest time at which the instance should answer
  monotonic_time next_listing{};
  resources used;
  resources used_endlessly;  // by runs that do not end by themselves

  instance_report report;
  monotonic_time absent_since{};

  // The instance's own clock in milliseconds, read at `clock_at`.
  int64_t clock_ms = 0;
  int64_t lease_until_ms = 0;  // latest deadline sent, on the instance's clock

  uint64_t ends_seen = 0;   // highest end number handled
  uint64_t ends_acked = 0;  // highest end number whose effect is stored
  uint64_t acks_sent = 0;   // highest end number that was acknowledged to the instance
  std::deque<seen_end> unstored;
  std::vector<ended_row> unidentified_ends;  // whose job is not known; their effect is yet to come

  std::vector<undelivered_start> undelivered;
  lease_commands leases;
  // Runs begun by late starts that were meant for an earlier incarnation have ended by then, and
  // the leases that such commands gave.
  monotonic_time earlier_commands_until{};
  monotonic_time restart_matters_until{};  // to the next owner
  // While `lease_unknown`: the leases of earlier owners have ended by then, as the last of them
  // told.
  std::optional<monotonic_time> earlier_leases_until;

  uint32_t starts_in_flight = 0;
  uint32_t stops_in_flight = 0;
  uint32_t stops_due = 0;  // as of the latest round: runs whose stop is not in flight
  monotonic_time suspect_since{};
  int64_t listed_at_ms = 0;       // on the instance's clock: the latest listing that was applied
  monotonic_time listing_sent{};  // when that listing was requested
  uint64_t listing_number = 0;    // of the latest listing; an earlier one may have timed out

  uint32_t faults = 0;  // consecutive failed runs

  bool Reachable() const { return silent == 0; }
  // True if starts may be sent there: it is known and answers, and neither the instance itself nor
  // operators have closed it to new work.
  bool OpenToStarts() const;
  // True if the instance runs or may get work: all except those that do not answer and have no runs
  // left, and those that left the registry and have no runs. If an instance that has left for good
  // counted as in use, the next owner would wait for its leases before it starts inherited work.
  bool InUse() const { return listed && !replaced && (!runs.empty() || (present && Reachable())); }
  resources Free() const;
  // The capacity once all runs that end by themselves have ended.
  resources WithoutEndlessRuns() const;
  bool Fits(const resources& capacity) const;
  int64_t ClockAt(monotonic_time now) const;
  // True once every lease ever sent has expired on the instance's own clock, allowing for drift.
  bool LeaseSurelyExpired(monotonic_time now) const;
  // When it is.
  monotonic_time LeaseSurelyExpiresAt() const;
};

// Commands that got no answer may still be executed up to this much later.
constexpr std::chrono::milliseconds kMaxCommandDelay{12000};

// An instance whose clock was read longer ago than this gets no start: the lease in the command
// could have expired on arrival, or last too long.
constexpr std::chrono::milliseconds kMaxClockAge{30000};

// A policy's ticket must be valid for this long when a start is decided on, and for half of it when
// the start is sent, so that it is still valid on arrival.
constexpr std::chrono::milliseconds kTicketMargin{60};

// An instance's clock may run slower than ours by this factor (the platform's bound).
constexpr double kSlowestClock = 0.98;

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_
