// The instances as the owner sees them: room, lease, what runs there, what is unknown.
#ifndef CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_
#define CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/scheduling/graph_state.h"
#include "request/job_request.h"

namespace catkinford {

// What an instance says of itself in the registry.
struct instance_report {
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  bool draining = false;
  std::chrono::milliseconds remaining{0};  // while draining: at least this long
  int64_t incarnation = 0;                 // its start; another one knows nothing of before
};

enum class run_phase : uint8_t {
  kPlanned,    // decided on; its start is sent once its record is stored
  kSent,       // the start is on its way
  kUnknown,    // no answer came: it may run, or begin to seconds from now
  kInherited,  // an earlier owner's record names it; the instance's first listing decides
  kRunning,    // confirmed by an answer or a listing
  kStopping    // a stop is on its way or accepted
};

enum class stop_cause : uint8_t {
  kNone,
  kCancelled,
  kPreempted,
  kUnknownStart,  // its start got no answer: proved dead before it starts elsewhere
  kGangBroken,
  kStray,      // nobody here asked for it, or another run of the task holds
  kStalled,    // makes no progress
  kEvacuated,  // its instance leaves
  kJobFailed,
  kCopyLost,  // the other copy ended first
};
std::string_view ToText(stop_cause cause);

// One run of one task on one instance; holds its room until it is proved gone.
struct graph_run {
  task_key key;
  job_entry* job = nullptr;  // null: a stray
  uint32_t number = 0;
  fleet_instance* instance = nullptr;
  resources capacity;  // without processors for a task that fills
  bool fills = false;
  bool serves = false;  // has a tail target
  run_phase phase = run_phase::kSent;
  stop_cause stopping = stop_cause::kNone;
  bool inherited = false;       // when it began is not known
  bool resumed = false;         // from a checkpoint
  bool seen = false;            // an answer or a listing has shown it
  bool stop_confirmed = false;  // the instance answered the stop
  bool stop_in_flight = false;
  monotonic_time started{};            // when the start was sent
  monotonic_time confirmed{};          // when it was known to run
  monotonic_time stop_requested_at{};  // the first stop
  monotonic_time stop_answered_at{};   // the answer to it
  monotonic_time next_stop{};
  monotonic_time progressed{};  // when `percent` last grew
  uint32_t percent = 0;
  uint32_t load = 0;             // tail in ms of a serving task, processors in use of any other
  uint32_t speed_percent = 100;  // percent of its speed that it is allowed
  bool speed_in_flight = false;
  monotonic_time next_speed_change{};
};

// An end that was seen and must be stored before the instance may forget it.
struct seen_end {
  uint64_t number = 0;
  std::string job;
  uint64_t change = 0;  // of the job, which must be stored first
};

// A start that got no answer and was proved not to have begun. The proof holds for that life of the
// instance only: the next one would carry out the order if it arrives then.
struct undelivered_start {
  task_key key;
  uint32_t run = 0;
  monotonic_time sent{};
};

struct fleet_instance {
  instance_report report;
  uint32_t ordinal = 0;  // unique among all that were ever seen
  uint32_t service = 0;  // ordinal of its service
  uint32_t filling = 0;  // runs there that fill what others leave unused
  bool present = true;   // in the registry
  monotonic_time absent_since{};
  bool listed = false;         // fenced by this owner, and its runs are known
  bool lease_unknown = false;  // an earlier owner may have extended its lease
  bool replaced = false;       // another one answers at its address: it has ended
  // The store names it as one that may run work. Without that, the next owner would not look for
  // runs there if the registry had lost it too.
  bool registered = false;
  resources used;
  std::vector<std::unique_ptr<graph_run>> runs;

  // The instance's own clock, in milliseconds, as of `clock_at`.
  int64_t clock_ms = 0;
  monotonic_time clock_at{};
  int64_t lease_until_ms = 0;  // the latest deadline that was sent, on its clock

  uint64_t ends_seen = 0;   // highest end number that was handled
  uint64_t ends_acked = 0;  // highest whose effect is stored
  uint64_t acks_sent = 0;   // highest that the instance knows to be seen
  std::deque<seen_end> unstored;

  std::vector<undelivered_start> undelivered;
  // Starts that were meant for an earlier life may arrive until then, and run for a lease.
  monotonic_time earlier_commands_until{};

  uint32_t starts_in_flight = 0;
  // A start there has gone unanswered for too long: no further ones until the instance answers.
  bool suspect = false;
  monotonic_time suspect_since{};
  bool check_in_flight = false;  // a listing beside the waiting one, for what became of a start
  int64_t listed_at_ms = 0;      // on its clock: the latest listing that was taken in
  bool listing_in_flight = false;
  uint64_t listing_number = 0;   // of the latest listing; an earlier one may have been given up
  monotonic_time listing_due{};  // it waits at the instance no longer than this
  bool probing = false;          // it waits for no end: one before it went unanswered
  monotonic_time next_listing{};
  uint32_t silent = 0;  // listings without an answer in a row

  double speed = 1;     // learned: estimate over true run time
  uint32_t faults = 0;  // failed runs in a row
  monotonic_time quarantined_until{};

  bool Reachable() const { return silent == 0; }
  // May run work, or is to: all but those that answer nothing and of which all is given up, and
  // those that left the registry with nothing running. Kept in use, an instance that has left for
  // good would never answer a next owner, which would wait for its leases before it starts
  // inherited work.
  bool InUse() const { return listed && !replaced && (!runs.empty() || (present && Reachable())); }
  resources Free() const;
  bool Fits(const resources& capacity) const;
  int64_t ClockAt(monotonic_time now) const;
  // True once every lease that was ever sent has surely run out on the instance's own clock.
  bool LeaseSurelyExpired(monotonic_time now) const;
};

// Orders that got no answer may still be carried out up to this much later.
constexpr std::chrono::milliseconds kMaxCommandDelay{12000};

// A ticket of a queue's policy must hold this long when a start is decided on, and half of it when
// the start leaves, so that it is still good on arrival.
constexpr std::chrono::milliseconds kTicketMargin{60};

// An instance's clock may run this much slower than ours (the platform's bound).
constexpr double kSlowestClock = 0.98;

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_FLEET_STATE_H_
