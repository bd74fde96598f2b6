// The parts of the decision core, private to its sources.
//
//   decision_core.cc      the public calls on floor, contracts and views
//   decision_admission.cc Submit(): what is taken in, refused or shed
//   decision_jobs.cc      a job from its lane to its end
//   decision_rounds.cc    Decide(): timers and starts
//   decision_order.cc     which lane is served next, and which blocked one is tried again
//   decision_room.cc      reservations: room made for gangs, large and urgent work
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
#include "process/shard_floor.h"
#include "process/team_table.h"
#include "process/waiting_lanes.h"

namespace catkinford {

enum class timer_kind : uint8_t {
  kDeadline,       // of job `subject`
  kBackoffOver,    // of job `subject`
  kCoolingOver,    // of endpoint `subject`
  kEjectionOver,   // of endpoint `subject`
  kPauseOver,      // of lane `subject`
  kLaneWatch,      // of lane `subject`, numbered team * kLaneClasses + class
  kCheckpointDue,  // of job `subject`: what it was asked to stop has to be over
  kRoomDue         // of reservation `subject`: its bound, or its end
};

struct timer {
  monotonic_time at{};
  timer_kind kind = timer_kind::kDeadline;
  uint32_t subject = 0;
  uint32_t generation = 0;  // of the job or reservation

  bool operator>(const timer& other) const { return at > other.at; }
};

// Endpoints held for one job until all of its tasks fit at once. They are chosen so that they
// suffice for the whole job: two gangs can never hold halves of each other.
struct reservation {
  struct part {
    endpoint_index endpoint = 0;
    uint32_t count = 0;  // tasks to start there
  };
  job_handle job = kNoJob;
  uint32_t generation = 0;  // of the job
  uint32_t number = 0;      // tells it from a later one in the same place
  std::vector<part> parts;
  monotonic_time bound{};    // from then on batch work in the way is stopped
  monotonic_time expires{};  // given up and made anew, perhaps elsewhere
  bool in_use = false;
  bool urgent = false;
  bool cleared = false;  // batch work in the way was asked to stop
};

// How long a task that gives way may write at its checkpoint; then it is stopped without, and its
// work since the last one is lost. Urgent work has to start within 5.2 s also where a checkpoint is
// never written; other work that has waited long for its room can wait for a large one.
constexpr std::chrono::seconds kUrgentCheckpoint{3};
constexpr std::chrono::seconds kCheckpointLimit{30};

// Lanes by number, for timers.
inline uint32_t NumberOf(const lane_ref& ref) {
  return static_cast<uint32_t>(ref.team * kLaneClasses + static_cast<size_t>(ref.kind));
}
inline lane_ref LaneOf(uint32_t number) {
  return {static_cast<lane_class>(number % kLaneClasses),
          static_cast<team_index>(number / kLaneClasses)};
}

struct decision_core::impl {
  explicit impl(core_options core) : options(core), random_state(core.seed), lanes(jobs) {}

  // A job's life.
  admission Submit(const job_request& request, monotonic_time now);
  admission SubmitPart(const job_request& request, const std::vector<uint32_t>& here,
                       monotonic_time now);
  void TakeIn(const request_id& id, uint32_t index);
  void Resume(const job_request& request, const std::vector<uint32_t>& waiting, monotonic_time now);
  bool Cancel(const request_id& id);
  void Adopt(const running_task& task, monotonic_time now);
  void Started(const task_id& task, monotonic_time now);
  void StartFailed(const task_id& task, bool endpoint_fault, monotonic_time now);
  void Finished(const task_id& task, task_end end, std::chrono::milliseconds ran,
                monotonic_time now);
  void EndRun(job_handle job, uint32_t index, task_end end, monotonic_time now);
  void EndpointChanged(endpoint_index endpoint, endpoint_state state, monotonic_time now);
  void EndpointGone(endpoint_index endpoint, monotonic_time now);
  void EndpointLeaving(endpoint_index endpoint);

  std::optional<admission> Refusal(const job_request& request, monotonic_time now);
  uint32_t HeldFor(team_index team) const;
  std::optional<admission> Shed(const job_request& request, monotonic_time now);
  job_handle Enter(const job_request& request, monotonic_time now);
  job_handle EnterOnly(const job_request& request, const std::vector<uint32_t>& waiting,
                       monotonic_time now);
  bool FindLive(const task_id& task, job_handle& job, uint32_t& index) const;
  void Attach(job_handle job, uint32_t index);
  void Detach(const job_record& job, const task_slot& slot);
  void PassDeadline(job_handle job);
  void Release(job_handle job, uint32_t index, task_state next);
  void WaitAgain(job_handle job, uint32_t index);
  void Enqueue(job_handle job, bool front);
  void DropWaiting(job_handle job);
  void StopTask(job_handle job, uint32_t index, stop_reason why, bool checkpoint);
  void StopAll(job_handle job, stop_reason why, bool checkpoint);
  void Preempt(job_handle job, uint32_t index, monotonic_time due);
  void StopOverdue(job_handle job, monotonic_time now);
  void Regroup(job_handle job, monotonic_time now);
  void BackOff(job_handle job, monotonic_time now);
  void EndIfOver(job_handle job, rejection_reason reason, std::string detail = {});
  void TeamChanged(team_index team);

  // A round.
  void Decide(monotonic_time now, std::vector<command>& out);
  void FireTimers(monotonic_time now);
  void Fire(const timer& due, monotonic_time now);
  void StopCancelled();
  void RefuseNeverFitting();
  void RoomFreed();
  void WakeBest();
  void ListFreedRoom();
  bool FreedRoomHolds(const resources& need) const;
  bool KnownNotToFit(const resources& need) const;
  void NoteNotFitting(const resources& need);
  lane_rank RankOf(const lane_ref& ref) const;
  std::optional<lane_ref> Pick() const;
  void PlaceReady(monotonic_time now, std::vector<command>& out);
  bool TryLane(const lane_ref& ref, monotonic_time now, std::vector<command>& out);
  bool TryJob(job_handle job, monotonic_time now, std::vector<command>& out);
  bool Choose(const job_record& job, uint32_t count);
  void Start(job_handle job, uint32_t index, endpoint_index endpoint, monotonic_time now,
             std::vector<command>& out);
  void StartChosen(job_handle job, monotonic_time now, std::vector<command>& out);
  void EndSaving(job_handle job);
  bool MayStart(const job_record& job, uint32_t count) const;
  void Pause(const lane_ref& ref, monotonic_time now);
  resources KeptRoom(lane_class kind, team_index team) const;
  bool MayHelp(const blocked_lane& blocked, const resources& kept) const;
  bool KeptForCallers(const job_record& job) const;
  uint32_t TasksAtOnce(const job_record& job) const;
  void Sign(const std::vector<command>& out, size_t first);
  monotonic_time NextWake() const;

  // Room.
  void WatchLane(const lane_ref& ref, monotonic_time now);
  bool MakeRoom(job_handle job, bool urgent, monotonic_time now);
  bool Reserve(job_handle job, bool urgent, monotonic_time now);
  bool ChooseParts(const job_record& job, uint32_t count, std::vector<reservation::part>& parts);
  endpoint_index CheapestToClear(const job_record& job) const;
  bool Victims(endpoint_index endpoint, const resources& need, std::vector<task_ref>& out) const;
  void ServeReservations(monotonic_time now, std::vector<command>& out);
  bool Serve(uint32_t number, monotonic_time now, std::vector<command>& out);
  void Clear(reservation& room, monotonic_time now);
  void DropReservation(uint32_t number);
  bool Backfill(const job_record& job, monotonic_time now);

  uint64_t Random();

  core_options options;
  uint64_t random_state;
  uint64_t signature = 0;
  job_table jobs;
  shard_floor floor;
  team_table teams;
  waiting_lanes lanes;
  run_estimates estimates;
  interactive_policy interactive;
  service_policy service;
  batch_policy batch;
  gang_policy gang;

  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
  std::deque<command> pending;            // found between rounds, given out by Decide()
  std::deque<timer> cancelled;            // jobs to stop: `subject` and `generation`
  std::vector<reservation> reservations;  // few; places are used again
  std::vector<endpoint_index> chosen;     // scratch of a placement
  std::vector<resources> not_fitting;     // needs that fit no endpoint now, the smallest ones
  std::vector<resources> freed_room;      // scratch of a look through blocked lanes
  size_t freed_seen = 0;                  // freed endpoints that not_fitting reflects
  uint64_t round = 0;
  std::vector<job_handle> saving;  // by team: the job that its grant is saved for
  monotonic_time last_decide{};
  uint32_t stopping = 0;         // preempted tasks that have not ended yet
  bool taken_unchecked = false;  // some work was taken in before all shapes were known
  bool recheck_fits = false;     // they are known now: some of it may never fit
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DECISION_IMPL_H_
