// Internals of the decision core, shared by its source files.
//
//   decision_core.cc          public calls on endpoints, teams and queries
//   decision_admission.cc     Submit(): admission, rejection and load shedding
//   decision_jobs.cc          life cycle of a job from its queue to its end
//   decision_rounds.cc        Decide(): timers and starts
//   decision_order.cc         which queue is served next, and which blocked queue is retried
//   decision_reservations.cc  reservations and preemption for gangs, large and urgent jobs
#ifndef CATKINFORD_PROCESS_DECISION_IMPL_H_
#define CATKINFORD_PROCESS_DECISION_IMPL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "process/batch_policy.h"
#include "process/decision_core.h"
#include "process/gang_policy.h"
#include "process/interactive_policy.h"
#include "process/job_table.h"
#include "process/run_estimates.h"
#include "process/service_policy.h"
#include "process/shard_capacity.h"
#include "process/team_table.h"
#include "process/waiting_queues.h"

namespace catkinford {

enum class timer_kind : uint8_t {
  kDeadline,       // of job `subject`
  kBackoffOver,    // of job `subject`
  kCoolingOver,    // of endpoint `subject`
  kEjectionOver,   // of endpoint `subject`
  kPauseOver,      // of queue `subject`
  kQueueWatch,     // of queue `subject`, numbered team * kQueueClasses + class
  kCheckpointDue,  // of job `subject`: its tasks asked to stop must have ended
  kReservationDue  // of reservation `subject`: its preemption time or its expiry
};

struct timer {
  monotonic_time at{};
  timer_kind kind = timer_kind::kDeadline;
  uint32_t subject = 0;
  uint32_t generation = 0;  // of the job or reservation

  bool operator>(const timer& other) const { return at > other.at; }
};

// Endpoints reserved for one job until all of its tasks fit at once. They are chosen so that they
// suffice for the whole job; two gangs can never each hold half of what the other needs.
struct reservation {
  struct part {
    endpoint_index endpoint = 0;
    uint32_t count = 0;  // tasks to start there
  };
  job_handle job = kNoJob;
  uint32_t generation = 0;  // of the job
  uint32_t number = 0;      // distinguishes it from a later one in the same slot
  std::vector<part> parts;
  monotonic_time preempt_at{};  // from then on batch tasks that occupy the capacity are preempted
  monotonic_time expires{};     // then dropped and made again, possibly on other endpoints
  bool in_use = false;
  bool urgent = false;
  bool preemption_requested = false;  // the batch tasks to preempt were asked to stop
};

// How long a preempted task may take for its checkpoint; after that it is stopped without one and
// loses the work since the last. Urgent jobs must start within 5.2 s even if a checkpoint is never
// written; other jobs, which have waited long already, can wait for a large one.
constexpr std::chrono::seconds kUrgentCheckpointTimeout{3};
constexpr std::chrono::seconds kCheckpointTimeout{30};

// Queue numbers, for timers.
inline uint32_t NumberOf(const queue_ref& ref) {
  return static_cast<uint32_t>(ref.team * kQueueClasses + static_cast<size_t>(ref.kind));
}
inline queue_ref QueueOf(uint32_t number) {
  return {static_cast<queue_class>(number % kQueueClasses),
          static_cast<team_index>(number / kQueueClasses)};
}

struct decision_core::impl {
  explicit impl(core_options core) : options(core), random_state(core.seed), queues(jobs) {}

  // Life cycle of a job.
  admission Submit(const job_request& request, monotonic_time now);
  admission SubmitPart(const job_request& request, const std::vector<uint32_t>& here,
                       monotonic_time now);
  void TakeOverTask(const request_id& id, uint32_t index);
  void Resume(const job_request& request, const std::vector<uint32_t>& waiting, monotonic_time now);
  bool Cancel(const request_id& id);
  void Adopt(const running_task& task, monotonic_time now);
  void Started(const task_id& task, monotonic_time now);
  void StartFailed(const task_id& task, bool endpoint_fault, monotonic_time now);
  void Finished(const task_id& task, task_end end, std::chrono::milliseconds ran,
                monotonic_time now);
  void EndRun(job_handle job, uint32_t index, task_end end, monotonic_time now);
  void OnEndpointChanged(endpoint_index endpoint, endpoint_state state, monotonic_time now);
  void OnEndpointLost(endpoint_index endpoint, monotonic_time now);
  void OnEndpointLeaving(endpoint_index endpoint);

  std::optional<admission> RejectionFor(const job_request& request, monotonic_time now);
  uint32_t CountUrgentReservations(team_index team) const;
  std::optional<admission> Shed(const job_request& request, monotonic_time now);
  job_handle AddJob(const job_request& request, monotonic_time now);
  job_handle AddPartialJob(const job_request& request, const std::vector<uint32_t>& waiting,
                           monotonic_time now);
  bool FindLive(const task_id& task, job_handle& job, uint32_t& index) const;
  void Attach(job_handle job, uint32_t index);
  void Detach(const job_record& job, const task_slot& slot);
  void OnDeadline(job_handle job);
  void Release(job_handle job, uint32_t index, task_state next);
  void Requeue(job_handle job, uint32_t index);
  void Enqueue(job_handle job, bool front);
  void RemoveWaiting(job_handle job);
  void StopTask(job_handle job, uint32_t index, stop_reason why, bool checkpoint);
  void StopAll(job_handle job, stop_reason why, bool checkpoint);
  void Preempt(job_handle job, uint32_t index, monotonic_time due);
  void StopOverdue(job_handle job, monotonic_time now);
  void RestartGang(job_handle job, monotonic_time now);
  void BackOff(job_handle job, monotonic_time now);
  void EndIfOver(job_handle job, rejection_reason reason, std::string detail = {});
  void TeamChanged(team_index team);

  // One round.
  void Decide(monotonic_time now, std::vector<command>& out);
  void FireTimers(monotonic_time now);
  void FireTimer(const timer& due, monotonic_time now);
  void StopCancelled();
  void RejectNeverFitting();
  void CapacityFreed();
  void UnblockBest();
  void CollectFreedCapacity();
  bool FitsFreedCapacity(const resources& need) const;
  bool KnownNotToFit(const resources& need) const;
  void AddNotFitting(const resources& need);
  queue_rank RankOf(const queue_ref& ref) const;
  std::optional<queue_ref> PickQueue() const;
  void PlaceReady(monotonic_time now, std::vector<command>& out);
  bool TryQueue(const queue_ref& ref, monotonic_time now, std::vector<command>& out);
  bool TryJob(job_handle job, monotonic_time now, std::vector<command>& out);
  bool Choose(const job_record& job, uint32_t count);
  void Start(job_handle job, uint32_t index, endpoint_index endpoint, monotonic_time now,
             std::vector<command>& out);
  void StartChosen(job_handle job, monotonic_time now, std::vector<command>& out);
  void EndGrantReservation(job_handle job);
  bool MayStart(const job_record& job, uint32_t count) const;
  void PauseQueue(const queue_ref& ref, monotonic_time now);
  resources WithheldCapacity(queue_class kind, team_index team) const;
  bool MayUnblock(const blocked_queue& blocked, const resources& withheld) const;
  bool IsWithheld(const job_record& job) const;
  uint32_t TasksAtOnce(const job_record& job) const;
  void UpdateSignature(const std::vector<command>& out, size_t first);
  monotonic_time NextWake() const;

  // Reservations.
  void WatchQueue(const queue_ref& ref, monotonic_time now);
  bool SecureCapacity(job_handle job, bool urgent, monotonic_time now);
  bool Reserve(job_handle job, bool urgent, monotonic_time now);
  bool ChooseParts(const job_record& job, uint32_t count, std::vector<reservation::part>& parts);
  endpoint_index CheapestToPreempt(const job_record& job) const;
  bool SelectVictims(endpoint_index endpoint, const resources& need,
                     std::vector<task_ref>& out) const;
  void ServeReservations(monotonic_time now, std::vector<command>& out);
  bool ServeReservation(uint32_t number, monotonic_time now, std::vector<command>& out);
  void PreemptFor(reservation& room, monotonic_time now);
  void DropReservation(uint32_t number);
  bool Backfill(const job_record& job, monotonic_time now);

  uint64_t Random();

  core_options options;
  uint64_t random_state;
  uint64_t signature = 0;
  job_table jobs;
  shard_capacity endpoints;
  team_table teams;
  waiting_queues queues;
  run_estimates estimates;
  interactive_policy interactive;
  service_policy service;
  batch_policy batch;
  gang_policy gang;

  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
  std::deque<command> pending;            // produced between rounds, emitted by Decide()
  std::deque<timer> cancelled;            // jobs to stop, by `subject` and `generation`
  std::vector<reservation> reservations;  // few; slots are reused
  std::vector<endpoint_index> chosen;     // scratch: endpoints of one placement
  std::vector<resources> not_fitting;  // requests that fit no endpoint now, the smallest ones only
  std::vector<resources> freed_capacity;  // scratch: free capacity of freed endpoints
  size_t freed_seen = 0;  // number of freed endpoints already applied to not_fitting
  uint64_t round = 0;
  std::vector<job_handle> grant_reserved_for;  // by team: the job for which its grant is reserved
  monotonic_time last_decide{};
  uint32_t stopping = 0;            // preempted tasks that have not ended yet
  bool admitted_unchecked = false;  // some jobs were admitted before all endpoint shapes were known
  bool recheck_fits = false;        // all shapes are known now: some of these jobs may never fit
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DECISION_IMPL_H_
