// The scheduling decisions of the process that owns the site: which task starts where and when,
// which runs are stopped, and which job progress must be stored before the instances may forget it.
//
// No I/O, clocks or locks. Input arrives through the On...() functions, each with the current time;
// Decide() returns the commands to send. Single-threaded.
#ifndef CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_
#define CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "process/admission/load_view.h"
#include "process/learned/learned_record.h"
#include "process/scheduling/answer_timeout.h"
#include "process/scheduling/arrival_rate_limit.h"
#include "process/scheduling/capacity_forecast.h"
#include "process/scheduling/copy_policy.h"
#include "process/scheduling/fleet_state.h"
#include "process/scheduling/graph_state.h"
#include "process/scheduling/idle_hold.h"
#include "process/scheduling/job_order.h"
#include "process/scheduling/job_stages.h"
#include "process/scheduling/listing_wait.h"
#include "process/scheduling/occurrence_window.h"
#include "process/scheduling/ready_queue.h"
#include "process/scheduling/run_times.h"
#include "process/scheduling/schedulable_capacity.h"
#include "process/scheduling/scheduler_messages.h"
#include "process/scheduling/timeout_factor.h"
#include "process/speed/instance_speed.h"
#include "process/speed/kept_capacity.h"
#include "process/speed/speed_match.h"
#include "version/site_configuration.h"

namespace catkinford {

struct scheduler_options {
  std::chrono::milliseconds run_lease{4000};      // of a run, unless renewed
  std::chrono::milliseconds longest_lease{6000};  // instances shorten longer ones
  // An earlier owner may have continued for this long after this one began.
  std::chrono::milliseconds earlier_owner{700};
  // Added to it if the records are not known to be complete.
  std::chrono::milliseconds unconfirmed_owner{0};
  std::chrono::milliseconds stop_limit{900};     // longest duration of a stop
  std::chrono::milliseconds gang_limit{3000};    // gang members wait this long for each other
  std::chrono::milliseconds keep_final{120000};  // how long an ended job's state is reported
  std::chrono::milliseconds early_limit{250};    // a repeat may start this much too early
  double remote_factor = 2;  // run time factor away from the data or across racks
  // Starts sent and not answered, in total and per instance. After a takeover the work of all
  // endpoints may be waiting: if it were sent at once, sending would take longer than the starts'
  // time-out, their answers would be missed, and all of them would be stopped and sent again. An
  // answer takes 5 to 10 ms, so this limit allows 15,000 starts a second and more; two connections
  // to an instance stay free.
  uint32_t starts_in_flight = 160;
  uint32_t starts_at_instance = 4;
  // Stops sent and not answered. Where few are due at an instance, two leave its connections to
  // other calls. Where many are, more are sent at a time, so that the last is not late.
  uint32_t stops_at_instance = 2;
  uint32_t most_stops_at_instance = 16;
  uint32_t stops_in_flight = 256;   // in total, from which on no instance has more than two
  uint32_t fences_in_flight = 128;  // first listings of instances, limited for the same reason
  std::chrono::milliseconds listing_pause{120};  // pause after a listing of an instance
  bool instance_speed = true;                    // learned speeds of instances guide placement
  bool copies = true;           // also of runs that are overdue or whose start got no answer
  double copies_max_share = 1;  // of the processors of a service, held by copies
};

struct job_progress_write {
  std::string job;
  std::string text;
  uint64_t change = 0;
};

// How long a run that this owner has no proof of may go on at an instance that does not answer. The
// owner sends no command there any more.
struct lease_wait {
  int64_t incarnation = 0;  // of the instance
  std::chrono::milliseconds left{0};
};

// What an owner knows and the store may not, for its successor: the same process or another one.
struct scheduler_handover {
  bool complete = false;                        // with it, the records name all runs that may exist
  std::map<std::string, std::string> progress;  // by job, newer than what is stored
  std::optional<learned_record> learned;        // newer than what is stored
  std::map<std::string, lease_wait> waits;      // by instance; valid also if not complete
};

class job_scheduler {
 public:
  // `epoch` of this ownership, 1 and up; a later owner uses higher run numbers. `took_over`: when
  // this owner began.
  job_scheduler(const scheduler_options& options, uint64_t epoch, monotonic_time took_over);
  ~job_scheduler();
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;

  // Configuration and instances.
  void SetVersion(std::shared_ptr<const site_configuration> version);
  // The failure domains whose instances get no new work.
  void SetEvacuated(const std::set<std::string>& domains);
  // The complete registry.
  void OnRegistry(const std::vector<instance_report>& reports, monotonic_time now);
  // Instances known to an earlier owner: they may run its tasks even if the registry has lost them.
  void OnInherited(const std::vector<instance_report>& reports, monotonic_time now);

  // Jobs. `progress`: as stored, empty for none. `inherited`: accepted before this owner began. A
  // known job is left unchanged.
  void OnJob(graph_job job, std::string_view progress, bool inherited, wall_time wall,
             monotonic_time now);
  void OnCancel(const std::string& job, monotonic_time now);
  // Jobs that are not known here and of which an instance lists a run or an end; each is returned
  // once. Their records must be read: OnJob() or OnJobAbsent() is expected with the answer.
  std::vector<std::string> TakeUnknownJobs();
  // The store has no such job, or no readable one.
  void OnJobAbsent(const std::string& job, monotonic_time now);

  // Answers to commands.
  void OnStartAnswer(const start_command& request, const command_answer& answer,
                     monotonic_time now);
  void OnStopAnswer(const stop_command& request, const command_answer& answer, monotonic_time now);
  void OnSpeedAnswer(const speed_command& request, const command_answer& answer,
                     monotonic_time now);
  void OnListing(const list_command& request, const instance_listing& listing, monotonic_time sent,
                 monotonic_time now);
  void OnNoListing(const list_command& request, command_result result, monotonic_time now);
  void OnAdvice(const advice_query& request, const advice_answer& answer, monotonic_time now);

  // Progress to store, of at most `most` jobs; no further job is added once `bytes` are reached.
  // The returned writes count as in progress until OnStored() or OnNotStored() is called with them.
  std::vector<job_progress_write> TakeUnstored(size_t most, size_t bytes = SIZE_MAX);
  void OnStored(const std::vector<job_progress_write>& writes);
  // The completed jobs whose final phase the writes are the first to store, as of `now`.
  std::vector<completed_job> CompletedBy(const std::vector<job_progress_write>& writes,
                                         monotonic_time now) const;
  void OnNotStored(const std::vector<job_progress_write>& writes);
  // Forgets jobs that ended more than `keep_final` ago and returns their ids; their records may be
  // deleted.
  std::vector<std::string> TakeExpired(monotonic_time now, size_t most);

  // All starts that an earlier owner may have sent are in its records: other work need not wait for
  // instances that cannot be listed.
  void SetRecordsComplete();
  scheduler_handover HandOver(monotonic_time now) const;
  // What the owner directly before told of the instances that it could not reach, as of `since`. To
  // be called after OnInherited().
  void OnLeaseWaits(const std::map<std::string, lease_wait>& waits, monotonic_time since);
  // The job, which is known by now, was added with progress that the store does not have.
  void OnUnstoredProgress(const std::string& job);
  // The earlier owner's process has ended by `now`, possibly long after this owner began.
  void OnEarlierOwnerDead(monotonic_time now);
  // If true, starts are sent without waiting for their records. Allowed only while no other process
  // can take over.
  void SetUnrecordedStarts(bool allowed);
  // If true, no task starts; existing runs continue. Used while queues, limits and services may be
  // out of date.
  void PauseStarts(bool paused) { starts_paused_ = paused; }
  // Override the options: the capacity of the owner's link is known only at run time.
  void SetStartsInFlight(uint32_t most) { options_.starts_in_flight = most; }
  void SetListingPause(std::chrono::milliseconds pause) { options_.listing_pause = pause; }
  // Upper bound on how long answers may have waited in this process before they were read.
  void SetLocalDelay(std::chrono::milliseconds delay) { local_delay_ = delay; }
  // True if every start sent without a record is recorded by now and no run of an earlier owner can
  // be unknown.
  bool RecordsKnown() const;
  bool StartsPlanned() const { return !planned_.empty(); }
  // Some instance has answered a stop, and the next one may be sent there.
  bool StopsReleased() const { return !stop_released_.empty(); }
  // These stops. Decide() returns them too.
  std::vector<stop_command> TakeStops(monotonic_time now);
  // Starts whose record is stored by now. Decide() returns them too.
  std::vector<start_command> TakeStarts(monotonic_time now);

  // Adapts a policy query that waited before it was sent: meanwhile tickets expired and capacity
  // was freed. Returns false if the step needs no query any more.
  bool RefreshQuery(advice_query& query, monotonic_time now);

  // Returns the commands that are due.
  scheduler_commands Decide(wall_time wall, monotonic_time now);
  std::vector<scheduler_event> TakeEvents();
  // Details of tasks and queries: no more than `most` are noted until the next call, since making
  // their text costs as much as the decision.
  void SetDetailLimit(size_t most) { details_left_ = most; }
  copy_counts TakeCopyCounts() { return std::exchange(copy_counts_, {}); }
  // The details that were not noted since the last call.
  size_t TakeSkippedDetails() { return std::exchange(skipped_details_, 0); }

  // Queries.
  const job_entry* Find(const std::string& job) const;
  // Number of accepted jobs of a queue of which no task is known to have begun.
  size_t Pending(const std::string& queue) const;
  // True if some instance of the service that was ever seen is large enough for each task of the
  // job, or if no instance is known.
  bool Possible(const graph_job& job) const;
  // The instances that may run work of this or an earlier owner. They must be stored before they
  // are used; OnFleetStored() reports the list that was stored.
  std::vector<instance_report> Fleet() const;
  // The same, without copies; valid until the next call that changes an instance.
  std::vector<const instance_report*> InUse() const;
  void OnFleetStored(const std::vector<instance_report>& fleet);
  size_t JobCount() const { return jobs_.size(); }
  // Waiting or running steps that rounds of decisions have looked at so far.
  uint64_t StepsSeen() const { return steps_seen_; }
  size_t RunCount() const;
  // Waiting steps that the present instances cannot hold.
  size_t UnplaceableSteps() const { return ready_.SetAsideCount(); }
  size_t InstancesOf(speed_class speed) const { return speeds_.Count(speed); }
  // Run times and speeds that were learned, for a next owner.
  learned_record Learned(wall_time wall) const;
  // Loads what an earlier owner had learned; returns what was known of instances that exist here.
  // It changes preferences only. Speeds are ignored if they guide nothing.
  learned_record LoadLearned(const learned_record& record, monotonic_time now);
  // Actual over expected run times of the undisturbed runs that ended since the last call.
  std::vector<double> TakeRunTimeRatios() { return std::exchange(run_time_ratios_, {}); }
  // scheduler_load.cc: the load of each service. Goes through the active jobs and the instances.
  load_view LoadView(monotonic_time now) const;
  // Processor-seconds of the job's tasks, by their expected run times.
  double ExpectedWork(const graph_job& job) const;

 private:
  // job_scheduler.cc
  void MarkChanged(job_entry& entry);
  // A caller waits until the job's final phase is stored, or a start until its record is.
  void HurryRecord(job_entry& entry);
  // The next job whose record is to be stored; null if there is none.
  job_entry* NextUnstored();
  bool BeyondShare(const graph_job& job);
  // Expected run time of a task of the step on a sound instance of the usual speed: from its own
  // tasks that have ended or, before that, from the learned run times of its queue.
  std::chrono::milliseconds ExpectedRun(const job_entry& entry, const step_progress& step,
                                        uint32_t index) const;
  // The same on this instance.
  std::chrono::milliseconds ExpectedRunOn(const fleet_instance& instance, const job_entry& entry,
                                          const step_progress& step, uint32_t index) const;
  void SetObjective(job_entry& entry);
  // Longest chain of steps of the occurrence that are not done.
  std::chrono::milliseconds RemainingChain(const job_entry& entry,
                                           const occurrence_state& occurrence) const;
  void LearnRun(job_entry& entry, step_progress& step, const graph_run& run, monotonic_time now);
  bool HoldsRuns(const job_entry& entry) const;
  void LogEvent(scheduler_event::kind what, std::string subject, std::string detail);
  // `describe` returns subject and detail; it is called only if the event is noted.
  template <typename Describe>
  void LogDetail(scheduler_event::kind what, Describe describe) {
    if (details_left_ == 0) {
      ++skipped_details_;
      return;
    }
    --details_left_;
    auto [subject, detail] = describe();
    LogEvent(what, std::move(subject), std::move(detail));
  }
  // Opens the occurrences that are due, as far as the window allows.
  void OpenOccurrences(job_entry& entry, wall_time wall, monotonic_time now);
  // The next round opens further ones if the window has room for them by now.
  void ResumeOpening(job_entry& entry);
  // Opens an occurrence that is not due by this owner's clock and of which a run or an end was
  // listed: the earlier owner's clock was ahead. Nothing starts there before it is due.
  static void OpenSeen(job_entry& entry, uint32_t number, monotonic_time now);
  // Opens the occurrences that are due by now.
  void OpenDue(wall_time wall, monotonic_time now);
  // Queues the steps of the occurrence that have become ready.
  void RefreshReady(job_entry& entry, occurrence_state& occurrence, monotonic_time now);
  // Queues the step at its place among those that wait for an instance, or removes it.
  void UpdateReady(job_entry& entry, occurrence_state& occurrence, uint32_t index,
                   monotonic_time now);
  void UpdateReady(job_entry& entry, monotonic_time now);
  void RemoveReady(job_entry& entry, occurrence_state& occurrence);
  // Changes the phase of a task, with all that is counted by it.
  void MoveTask(job_entry& entry, const task_key& key, graph_task_phase to, monotonic_time now);
  void Finish(job_entry& entry, graph_phase phase, monotonic_time now);
  // All runs of a task, or of all tasks of an occurrence, that may exist.
  void StopRuns(const task_key& key, stop_cause cause, monotonic_time now);
  void StopRuns(const job_entry& entry, const occurrence_state& occurrence, stop_cause cause,
                monotonic_time now);
  // Of a job that is cancelled or has failed.
  void StopAllRuns(const job_entry& entry, monotonic_time now);
  void RequestStop(graph_run& run, stop_cause cause, monotonic_time now);
  const job_terms& TermsOf(const job_entry& entry) const;
  // True if some instance of the service that was ever seen is large enough for a task of the step,
  // or if no instance is known.
  bool AnyCouldHold(const std::string& service, const step_spec& step) const;
  void LookUpTerms(job_entry& entry);
  uint32_t ServiceOrdinal(const std::string& service);
  fleet_instance* InstanceAt(uint32_t ordinal) const {
    return ordinal < by_ordinal_.size() ? by_ordinal_[ordinal] : nullptr;
  }
  fleet_instance& MakeInstance(const instance_report& report, monotonic_time now);

  // scheduler_runs.cc: lifecycle of runs
  graph_run* FindRun(fleet_instance& instance, const task_key& key, uint32_t number);
  // True if the run is its task's run or copy.
  static bool HoldsTask(const graph_run& run);
  // `job` null: not known. The instance gets no work until it is, or the run has ended.
  graph_run& AddRun(fleet_instance& instance, job_entry* job, const task_key& key, uint32_t number);
  static void AssignJob(graph_run& run, job_entry& job);
  void ReserveCapacity(graph_run& run, int sign);
  // The run is proved to have ended or never to begin: frees its capacity; its task may start
  // elsewhere.
  void Release(graph_run& run, monotonic_time now);
  // Counts for LoadView(), kept up to date with each run and each step that becomes ready.
  struct load_counts {
    int64_t busy_milli = 0;     // processors in use by tasks that end by themselves
    double arrived_within = 0;  // processor-seconds that became ready within the shares
  };
  void CountBusy(const graph_run& run, int sign);
  void CountReady(const job_entry& entry, const step_progress& step, uint32_t index);
  static task_times TimesOf(const step_progress& step, const task_key& key, const graph_run* run,
                            monotonic_time now);
  // `times`: of the task that ended the step.
  static void EndStep(const job_entry& entry, occurrence_state& occurrence, uint32_t index,
                      task_times times);
  void OnTaskDone(job_entry& entry, const task_key& key, const task_times& times,
                  monotonic_time now);
  void OnTaskFailed(job_entry& entry, const task_key& key, uint32_t run, fleet_instance& at,
                    monotonic_time now);
  // In any order.
  void HandleEnds(fleet_instance& instance, const std::vector<ended_row>& ends, monotonic_time now);
  void HandleEnd(fleet_instance& instance, const ended_row& row, monotonic_time now);
  // `run`: the one that ended; null if it was released before.
  void ApplyEnd(job_entry& entry, fleet_instance& instance, const ended_row& row, graph_run* run,
                monotonic_time now);
  // Returns the run.
  graph_run& HandleRunning(fleet_instance& instance, const running_row& row, monotonic_time now);
  void HandleMissing(fleet_instance& instance, const std::vector<const graph_run*>& seen,
                     monotonic_time sent, monotonic_time now);
  graph_run& Adopt(fleet_instance& instance, const running_row& row, monotonic_time now);
  // Records a run of a known job that this owner did not start. It holds its task or is stopped.
  void ClaimOrStop(graph_run& run, monotonic_time now);
  // False if another run holds the task or none is wanted.
  bool ClaimTask(graph_run& run, monotonic_time now);
  // Some task of the job is known to have begun.
  static void MarkStarted(job_entry& entry);
  // The start was rejected since the instance has seen this run or a later one.
  void OnStaleStart(graph_run& run, monotonic_time now);
  void StopStray(graph_run& run, monotonic_time now);
  // Stops the gang's attempt that the member's run belongs to.
  void BreakGang(job_entry& entry, const task_key& member, uint32_t run, monotonic_time now);
  void CheckRuns(scheduler_commands& commands, monotonic_time now);
  void CheckRun(graph_run& run, monotonic_time now);
  void StopIfStalled(graph_run& run, monotonic_time now);
  // A run whose stop was requested and is not in flight.
  static bool StopDue(const graph_run& run, monotonic_time now);
  uint32_t MaxStopsAt(const fleet_instance& instance) const;
  void SetStopInFlight(graph_run& run, bool in_flight);
  void SendStop(graph_run& run, std::vector<stop_command>& out, monotonic_time now);

  // scheduler_unidentified.cc: runs and ends of jobs that are not known
  void RequestLookup(const std::string& job);
  // The job has become known: its runs and ends that were listed before take effect.
  void IdentifyWork(job_entry& entry, monotonic_time now);
  void IdentifyEnds(job_entry& entry, fleet_instance& instance, monotonic_time now);

  // scheduler_instances.cc
  void OnReport(const instance_report& report, monotonic_time now);
  void OnRestart(fleet_instance& instance, const instance_report& report, monotonic_time now);
  // Releases the runs that have ended with an earlier incarnation: those that it listed.
  void ReleaseEnded(fleet_instance& instance, monotonic_time now);
  void ExpectLateStart(fleet_instance& instance, const undelivered_start& start,
                       monotonic_time now);
  void DropExpired(monotonic_time now);
  // The run has ended unheard of: releases it and stops the rest of its gang.
  void ReleaseVanished(graph_run& run, const char* reason, monotonic_time now);
  // Releases all runs of the instance; none is left there.
  void DropRuns(fleet_instance& instance, const char* reason, monotonic_time now);
  static void RememberUndelivered(const graph_run& run, monotonic_time now);
  void FindReplaced(const fleet_instance& newcomer, monotonic_time now);
  // No earlier owner acts after that.
  monotonic_time EarlierOwnerUntil() const;
  void PlanListings(scheduler_commands& commands, monotonic_time now);
  // Time-out for answers, after which their instance is suspect.
  std::chrono::milliseconds Timeout() const;
  void UpdateTimeoutFactor(monotonic_time now);
  void GiveUpOverdue(fleet_instance& instance, monotonic_time now);
  // Handles a listing that went unanswered.
  void MarkSilent(fleet_instance& instance, std::string_view reason, monotonic_time now);
  // The instance answered a command that was sent at `sent`.
  static void ClearSuspect(fleet_instance& instance, monotonic_time sent);
  void MarkSuspect(fleet_instance& instance, monotonic_time now);
  void UpdateClock(fleet_instance& instance, int64_t clock_ms, monotonic_time now);
  void AdvanceAcks(fleet_instance& instance);
  void Evacuate(fleet_instance& instance, monotonic_time now);
  // True if all instances that may run tasks of earlier owners are listed or their leases have
  // expired.
  bool InheritanceSettled(monotonic_time now) const;

  // scheduler_unanswered.cc
  // True if a listing decides whether the run is stopped.
  static bool AwaitsListing(const graph_run& run);
  void OnOverdueStart(graph_run& run, monotonic_time now);
  static void PlanCheck(fleet_instance& instance, scheduler_commands& commands);

  // scheduler_leases.cc
  // To be called when an incarnation is known to have had an earlier one not long ago.
  void SetRestarted(fleet_instance& instance, monotonic_time now) const;
  // True if no run can be left at the instance unless it is renewed from now on.
  bool LeaseExpired(const fleet_instance& instance, monotonic_time now) const;
  // When all runs at an instance that does not answer have ended, as far as this owner knows.
  monotonic_time LeaseEnd(const fleet_instance& instance, monotonic_time now) const;
  // The longest lease that the instance may have from an earlier owner.
  std::chrono::milliseconds EarlierOwnerLease(const fleet_instance& instance,
                                              monotonic_time now) const;
  // The instance that answered has carried out the request, whichever incarnation it was meant for.
  void NoteGrantedLease(fleet_instance& instance, const list_command& request,
                        const instance_listing& listing) const;
  void NoteStartLease(fleet_instance& instance, const start_command& request,
                      const command_answer& answer, monotonic_time now) const;

  // scheduler_placement.cc
  void Place(const std::vector<ready_step>& ready, monotonic_time now);
  bool MustWaitForInheritance(const job_entry& entry, const resources& need) const;
  // True if an earlier owner may have started tasks of the job that nothing here tells of.
  bool MayHaveRun(const job_entry& entry) const;
  // An earlier owner may have started tasks of the job, which was accepted at that time, without
  // recording them.
  bool EarlierOwnerMayStart(const graph_job& job, monotonic_time accepted) const;
  void CountPossibleRuns();
  // The steps that this round looks at, in the order in which they get instances.
  std::vector<ready_step> NextSteps(monotonic_time now);
  void PlaceStep(const ready_step& ready, monotonic_time now);
  void PlaceGang(const ready_step& ready, monotonic_time now);
  fleet_instance* ChooseInstance(const ready_step& ready, const graph_task_state& task,
                                 monotonic_time now, const std::string* rack);
  bool MayRun(const fleet_instance& instance, const ready_step& ready, monotonic_time now) const;
  static bool HasLabel(const fleet_instance& instance, const ready_step& ready);
  // How the step's job bears slow instances.
  speed_need SpeedNeedOf(const ready_step& ready, monotonic_time now) const;
  void CountFreeFast(monotonic_time now);
  // True if the step may use instances that are not slow: enough of their capacity stays free for
  // more urgent steps.
  bool MayUseFast(const ready_step& ready, const resources& demand, monotonic_time now) const;
  static bool AcceptsWork(const fleet_instance& instance, monotonic_time now);
  bool WithinLimit(const job_entry& entry, const resources& need) const;
  // With nothing else of its workspace running. Requires a version.
  bool WithinMaximum(const job_entry& entry, const resources& need) const;
  void CountSchedulable(monotonic_time now);
  step_standing StandingOf(const ready_step& ready);

  // scheduler_copies.cc: second runs of tasks that allow them
  // `expected`: run time of a task of the step. `at`: the instance of the copy; null: one of the
  // usual speed.
  copy_verdict VerdictOnCopy(const ready_step& ready, const graph_task_state& task,
                             std::chrono::milliseconds expected, const fleet_instance* at,
                             monotonic_time now) const;
  // Number of the step's tasks that should get a copy.
  uint32_t CopiesWanted(const ready_step& ready, monotonic_time now) const;
  std::vector<ready_step> CopySteps(monotonic_time now);
  // `waiting`: the steps that this round has looked at.
  void PlaceCopies(const std::vector<ready_step>& waiting, monotonic_time now);
  // Thousandths of a processor that further copies may use at instances of the service.
  uint64_t CopyBudget(uint32_t service) const;
  // True if a step that can still be in time waits for capacity of the service.
  bool CapacityShort(uint32_t service, const std::vector<ready_step>& waiting,
                     monotonic_time now) const;
  void NoteCopy(const ready_step& ready, uint32_t index, const copy_verdict& verdict,
                monotonic_time now);
  // A run of the task ended as done; to be called before it is released.
  void NoteCopyOutcome(const job_entry& entry, const step_progress& step, const graph_run& run);
  static run_times::basis BasisOf(const step_progress& step);
  // Some start of the task, other than that of `run`, may still arrive.
  bool OtherStartMayArrive(const job_entry& entry, const task_key& key, const graph_run* run);
  // The same of any start; looks at all runs.
  bool StartMayArrive(const task_key& key) const;

  // scheduler_reservations.cc: capacity for the steps that are next in order
  void ResetReservations(monotonic_time now);
  // Reserves capacity for the step's tasks that found none.
  void ReserveCapacity(const ready_step& ready, monotonic_time now);
  // A reservation changes the forecast of its own instance only.
  struct reservation_candidate {
    const fleet_instance* instance;
    capacity_forecast* forecast;
    monotonic_time ticket_at;
    monotonic_time from;
    uint32_t tasks_left;  // of the step, by its limit for one instance
  };
  // The instances that will have capacity for a task of the step.
  std::vector<reservation_candidate> ReservationCandidates(const ready_step& ready,
                                                           monotonic_time now);
  void ReserveForGang(const ready_step& ready, std::vector<reservation_candidate> candidates,
                      monotonic_time now);
  capacity_forecast& ForecastOf(const fleet_instance& instance, monotonic_time now);
  std::optional<monotonic_time> ExpectedEnd(const graph_run& run, monotonic_time now) const;
  // When a task of the step that starts now is expected to release its capacity.
  monotonic_time ExpectedRelease(const ready_step& ready, monotonic_time now) const;
  // True if using `capacity` until `until` delays no reservation at the instance.
  bool RespectsReservations(const fleet_instance& instance, const resources& capacity,
                            monotonic_time until) const;
  // When the step's policy will have issued a valid ticket for the instance.
  monotonic_time TicketAvailableAt(const ready_step& ready, uint32_t instance,
                                   monotonic_time now) const;

  // scheduler_starts.cc: starts and their records
  struct planned_start {
    start_command request;
    uint64_t change = 0;  // of the job, which must be stored first
  };
  void Start(fleet_instance& instance, const ready_step& ready, uint32_t index, uint32_t number,
             monotonic_time now);
  bool MayPlanMore() const { return planned_.size() < options_.starts_in_flight; }
  bool MaySendTo(const fleet_instance& instance) const;
  bool StillValid(const start_command& request, const fleet_instance& instance,
                  monotonic_time now) const;
  bool Stored(const planned_start& planned) const;
  // Returns the number of runs.
  size_t RestoreRecordedRuns(job_entry& entry, monotonic_time now);
  static void RecordRun(graph_task_state& task, uint32_t number, const std::string& instance);
  void DropExpiredRecords(monotonic_time now);
  void CloseRun(const graph_run& run, monotonic_time now);
  std::vector<graph_run*> OpenRuns(const task_key& key);

  // scheduler_advice.cc
  void PlanAdvice(const std::vector<ready_step>& ready, scheduler_commands& commands,
                  monotonic_time now);
  // Capacity of one instance that accepts work, as seen by one round of policy queries.
  struct unclaimed_capacity {
    const fleet_instance* instance;
    resources unclaimed;  // not claimed by an earlier step of the round
    // Copied from the instance: most scans read nothing else of it.
    uint32_t ordinal;
    uint32_t service;
    uint32_t free_cpu_milli;  // at the beginning of the round; not less than unclaimed
  };
  struct advice_round {
    std::vector<unclaimed_capacity> capacities;  // by `free_cpu_milli`, largest first
    std::vector<uint32_t> rank;        // by ordinal: 1 + index in `capacities`, 0 if absent
    std::vector<uint32_t> judged_for;  // by ordinal: the last step with a verdict on the instance
    uint32_t step = 0;                 // the current one, from 1

    bool Judged(uint32_t ordinal) const { return judged_for[ordinal] == step; }
  };
  struct advice_option {
    unclaimed_capacity* capacity;
    uint32_t tasks;  // number that fit now
    bool ticket_good;
    bool preferred;  // of a speed that suits the step
  };
  advice_round BeginAdvice(monotonic_time now) const;
  // The latest one, without claims, or a new one if that is too old.
  advice_round LatestAdviceRound(monotonic_time now);
  void PlanStepAdvice(const ready_step& ready, advice_round& round, scheduler_commands& commands,
                      monotonic_time now);
  void ClaimCapacity(const ready_step& ready, advice_round& round,
                     const std::vector<advice_option>& known, uint32_t wanted,
                     monotonic_time now) const;
  // Adds the instances that are reserved for the step, if an answer would arrive when they have the
  // capacity.
  void AddReserved(const ready_step& ready, const advice_timing& cost, advice_query& request,
                   monotonic_time now) const;
  uint32_t MaxTasksAt(const ready_step& ready, const fleet_instance& instance,
                      uint32_t wanted) const;
  std::vector<advice_option> KnownOptions(const ready_step& ready, advice_round& round,
                                          uint32_t wanted, monotonic_time now) const;
  std::vector<std::string> InstancesToQuery(const ready_step& ready, const advice_round& round,
                                            const std::vector<advice_option>& known,
                                            uint32_t wanted, const advice_timing& cost,
                                            monotonic_time now) const;
  uint32_t TasksToPlace(const ready_step& ready, monotonic_time now) const;
  std::vector<ready_step> StepsToQuery(const std::vector<ready_step>& ready_steps) const;
  std::vector<ready_step> UpcomingSteps(monotonic_time now);
  bool ReadyWithin(const job_entry& entry, const occurrence_state& occurrence, uint32_t index,
                   std::chrono::milliseconds ahead, monotonic_time now) const;

  void LogSpeedChanges(monotonic_time now);

  // scheduler_speed.cc
  void PlanSpeeds(scheduler_commands& commands, monotonic_time now);
  void AdjustSpeeds(fleet_instance& instance, scheduler_commands& commands, monotonic_time now);

  scheduler_options options_;
  uint64_t epoch_;
  run_numbers numbers_{epoch_};
  monotonic_time took_over_;
  std::shared_ptr<const site_configuration> version_;
  std::set<std::string> evacuated_;  // failure domains
  absl::flat_hash_map<std::string, std::unique_ptr<job_entry>> jobs_;
  // Ordered, so that ties are broken alike in every process.
  absl::btree_map<std::string, std::unique_ptr<fleet_instance>> instances_;
  absl::flat_hash_map<std::string, fleet_instance*> by_id_;
  std::vector<fleet_instance*> by_ordinal_;  // null: unused or forgotten
  uint32_t last_ordinal_ = 0;
  absl::flat_hash_map<std::string, uint32_t> services_;  // ordinals, from 1
  absl::flat_hash_map<std::string, resources> usage_of_workspace_;
  absl::flat_hash_map<std::string, arrival_rate_limit> arrival_limits_;  // by workspace
  std::vector<job_entry*> active_;                                       // not final
  absl::btree_map<uint64_t, job_entry*> running_;  // those with active tasks, by number
  // Those with occurrences that are not open and not beyond the window, by the time of the next.
  absl::btree_map<std::pair<wall_time, uint64_t>, job_entry*> due_;
  occurrence_window window_;
  uint64_t last_job_number_ = 0;
  ready_queue ready_;
  // Of the latest round. Its instances exist: it is cleared when one is forgotten.
  schedulable_capacity schedulable_;
  monotonic_time decided_at_{};  // the latest round
  // Jobs that are not known and of which a run or an end was listed, those with a run, and those
  // that TakeUnknownJobs() has not returned yet.
  absl::flat_hash_set<std::string> lookups_;
  absl::flat_hash_set<std::string> unidentified_jobs_;
  std::vector<std::string> lookups_to_send_;
  std::deque<std::string> final_;  // in the order in which they ended
  // Changed since they were last taken, oldest first. Those that ended by themselves are in the
  // first queue, those with planned starts in the second; each may be in several.
  std::deque<job_entry*> unstored_final_;
  std::deque<job_entry*> unstored_starts_;
  std::deque<job_entry*> unstored_;
  std::deque<planned_start> planned_;
  // Records of starts that may still arrive, in the order in which they were given up.
  struct expiring_record {
    monotonic_time at{};
    task_key key;
  };
  std::deque<expiring_record> expiring_records_;
  // Of the current round, by ordinal of the instance; null where nothing is reserved.
  std::vector<std::unique_ptr<capacity_forecast>> forecasts_;
  std::vector<uint32_t> reserving_steps_;  // by service
  std::vector<idle_hold> idle_holds_;      // by service
  std::vector<bool> may_reserve_;          // by service
  uint64_t round_ = 0;                     // of decisions
  uint64_t steps_seen_ = 0;
  uint32_t starts_in_flight_ = 0;
  uint32_t stops_in_flight_ = 0;
  std::set<uint32_t> stop_released_;  // ordinals of instances
  answer_timeout answer_timeout_;     // of starts, and of listings that waited for their full time
  double timeout_factor_ = 1;  // multiplies the time-out while this process itself may be late
  std::chrono::milliseconds local_delay_{0};
  monotonic_time next_timeout_factor_update_{};
  listing_wait listing_wait_;
  // As it began. Its instances exist: it is dropped when one is forgotten.
  advice_round latest_round_;
  monotonic_time latest_round_at_{};
  run_times run_times_;
  instance_speeds speeds_;
  kept_capacity kept_;
  // By service, of the current round: free processors of the instances that are not slow, and
  // whether any is slow.
  std::vector<uint64_t> free_fast_milli_;
  std::vector<bool> any_slow_;
  std::vector<double> run_time_ratios_;
  absl::flat_hash_map<uint32_t, load_counts> load_counts_;  // by service
  bool unrecorded_starts_ = false;
  bool starts_paused_ = false;
  bool records_complete_ = false;
  monotonic_time earlier_owner_dead_at_ = monotonic_time::max();
  std::vector<scheduler_event> events_;
  copy_counts copy_counts_;
  size_t details_left_ = SIZE_MAX;
  size_t skipped_details_ = 0;
  absl::flat_hash_map<std::string, std::vector<resources>> largest_seen_;  // by service
  bool inheritance_settled_ = false;
  // Until it is settled: resources of tasks of inherited jobs that may run on instances not yet
  // listed, by workspace.
  absl::flat_hash_map<std::string, resources> possible_usage_of_workspace_;
  bool registry_seen_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_
