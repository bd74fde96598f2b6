// The decisions of the process that owns the site: which task starts where and when, what is
// stopped, and what of each job must be stored before the instances may forget it.
//
// Pure: no I/O, no clock, no lock. Events come in by the On...() functions, each with the present
// time; Decide() gives out orders. One thread.
#ifndef CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_
#define CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/scheduling/answer_time.h"
#include "process/scheduling/arrival_meter.h"
#include "process/scheduling/fleet_state.h"
#include "process/scheduling/graph_state.h"
#include "process/scheduling/job_order.h"
#include "process/scheduling/listing_wait.h"
#include "process/scheduling/own_delay.h"
#include "process/scheduling/room_forecast.h"
#include "process/scheduling/run_times.h"
#include "process/scheduling/scheduler_messages.h"
#include "version/site_configuration.h"

namespace catkinford {

struct scheduler_options {
  std::chrono::milliseconds run_lease{4000};  // of a run, without a renewal
  // An earlier owner may have gone on for this long after this one began.
  std::chrono::milliseconds earlier_owner{700};
  // And for this much longer, if the records are not known to be complete.
  std::chrono::milliseconds unvouched_owner{0};
  std::chrono::milliseconds stop_limit{900};     // a stop takes at most this long
  std::chrono::milliseconds gang_limit{3000};    // members wait this long for each other
  std::chrono::milliseconds keep_final{120000};  // how long an ended job's state is told
  std::chrono::milliseconds early_limit{250};    // a repeat may start this much too early
  double remote_factor = 2;                      // slower away from its data or off its rack
  // Starts that are sent and not answered, in all and at one instance. After a takeover a whole
  // floor may be waiting: sent at once, its starts take longer to send than their timeout lasts,
  // their answers are not heard, and all of them are stopped and sent again. An answer takes 5 to
  // 10 ms, so this many are 15,000 a second and more; two connections to an instance are free.
  uint32_t starts_in_flight = 160;
  uint32_t starts_at_instance = 4;
  uint32_t stops_at_instance = 2;
  uint32_t fences_in_flight = 128;               // first listings of instances, likewise
  std::chrono::milliseconds listing_pause{120};  // after a listing of an instance
};

struct job_progress_write {
  std::string job;
  std::string text;
  uint64_t change = 0;
};

class job_scheduler {
 public:
  // `epoch` of this ownership, 1 and up: run numbers of a later owner are higher. `took_over`: when
  // this owner began.
  job_scheduler(const scheduler_options& options, uint64_t epoch, monotonic_time took_over);
  ~job_scheduler();
  job_scheduler(const job_scheduler&) = delete;
  job_scheduler& operator=(const job_scheduler&) = delete;

  // Beliefs.
  void SetVersion(std::shared_ptr<const site_configuration> version);
  // The whole registry. `known_before`: instances that an earlier owner may have used are still to
  // be listed, so tasks of its jobs may run there.
  void OnRegistry(const std::vector<instance_report>& reports, monotonic_time now);
  // Instances that an earlier owner knew: they may run its tasks though the registry has lost them.
  void OnInherited(const std::vector<instance_report>& reports, monotonic_time now);

  // Jobs. `progress`: the stored one, empty for none. `inherited`: accepted before this owner
  // began. A job that is known already is left as it is.
  void OnJob(graph_job job, std::string_view progress, bool inherited, wall_time wall,
             monotonic_time now);
  void OnCancel(const std::string& job, monotonic_time now);

  // Answers to orders.
  void OnStartAnswer(const start_order& order, const order_answer& answer, monotonic_time now);
  void OnStopAnswer(const stop_order& order, const order_answer& answer, monotonic_time now);
  void OnPaceAnswer(const pace_order& order, const order_answer& answer, monotonic_time now);
  void OnListing(const list_order& order, const instance_listing& listing, monotonic_time sent,
                 monotonic_time now);
  void OnNoListing(const list_order& order, order_result result, monotonic_time now);
  void OnAdvice(const advice_order& order, const advice_answer& answer, monotonic_time now);

  // Progress that must be stored, at most `most` jobs and, beyond the first, `bytes`; those given
  // out count as on their way until OnStored() or OnNotStored() names them.
  std::vector<job_progress_write> TakeUnstored(size_t most, size_t bytes = SIZE_MAX);
  void OnStored(const std::vector<job_progress_write>& writes);
  void OnNotStored(const std::vector<job_progress_write>& writes);
  // Jobs that ended long enough ago; they are forgotten here and their records may go.
  std::vector<std::string> TakeExpired(monotonic_time now, size_t most);

  // All starts that an earlier owner may have sent are in its records: nothing else needs to wait
  // for instances that cannot be listed.
  void SetRecordsComplete();
  // The earlier owner's process is gone: only the leases of its runs are left to wait for.
  void OnEarlierOwnerDead();
  // True: starts are sent without waiting for their records. Only while nobody can take over.
  void SetUnrecordedStarts(bool allowed);
  // True: no task starts; what runs goes on. While queues, limits and services may be out of date.
  void HoldStarts(bool held) { starts_held_ = held; }
  // In place of the options: what the owner's link carries is known only while it works.
  void SetStartsInFlight(uint32_t most) { options_.starts_in_flight = most; }
  void SetListingPause(std::chrono::milliseconds pause) { options_.listing_pause = pause; }
  // How long answers may have waited in this process before they were heard.
  void SetOwnDelay(std::chrono::milliseconds delay) { own_delay_ = delay; }
  // All that started without a record is in one by now, and no run of an earlier owner may be out
  // of sight.
  bool RecordsKnown() const;
  bool StartsPlanned() const { return !planned_.empty(); }
  // Starts whose record is stored by now; also among the orders of Decide().
  std::vector<start_order> TakeStarts(monotonic_time now);

  // Orders that are due.
  scheduler_orders Decide(wall_time wall, monotonic_time now);
  std::vector<scheduler_note> TakeNotes();

  // Questions.
  const job_entry* Find(const std::string& job) const;
  // Accepted jobs of a queue of which no task has started. Jobs of repeats do not count.
  size_t Pending(const std::string& queue) const;
  // Could any instance of the service that was ever seen hold each task of the job? True while no
  // instance is known.
  bool Possible(const graph_job& job) const;
  // The instances that may run work, of this owner's or an earlier one's. They must be stored
  // before they are used: OnFleetStored() names what was stored.
  std::vector<instance_report> Fleet() const;
  void OnFleetStored(const std::vector<instance_report>& fleet);
  size_t JobCount() const { return jobs_.size(); }
  size_t RunCount() const;

 private:
  struct ready_step {
    job_entry* entry;
    occurrence_state* occurrence;
    uint32_t index;
    job_place place;
    bool back = false;  // a task of it served before, and is down
  };

  // job_scheduler.cc
  void Touch(job_entry& entry);
  bool BeyondShare(const graph_job& job);
  // How long a task of the step will take on a sound instance, from its own tasks that have ended
  // or, before that, from what is learned of its queue.
  std::chrono::milliseconds ExpectedRun(const job_entry& entry, const step_progress& step,
                                        uint32_t index) const;
  void SetObjective(job_entry& entry);
  // Of one occurrence: the longest chain of what is not done.
  std::chrono::milliseconds RemainingChain(const job_entry& entry,
                                           const occurrence_state& occurrence) const;
  void LearnRun(job_entry& entry, step_progress& step, const graph_run& run, monotonic_time now);
  bool HoldsRuns(const job_entry& entry) const;
  void Note(scheduler_note::kind what, std::string subject, std::string detail);
  void OpenOccurrences(job_entry& entry, wall_time wall, monotonic_time now);
  void RefreshReady(job_entry& entry, monotonic_time now);
  void Finish(job_entry& entry, graph_phase phase, monotonic_time now);
  void StopAll(job_entry& entry, stop_cause cause, monotonic_time now);
  void AskStop(graph_run& run, stop_cause cause, monotonic_time now);
  const job_terms& TermsOf(const job_entry& entry) const;
  // Could any instance of the service that was ever seen hold a task of the step? True while none
  // is known.
  bool AnyCouldHold(const std::string& service, const step_spec& step) const;
  void LookUpTerms(job_entry& entry);
  uint32_t ServiceOrdinal(const std::string& service);
  fleet_instance& MakeInstance(const instance_report& report, monotonic_time now);

  // scheduler_runs.cc: what becomes of runs
  graph_run* FindRun(fleet_instance& instance, const task_key& key, uint32_t number);
  graph_run& AddRun(fleet_instance& instance, job_entry* job, const task_key& key, uint32_t number);
  void HoldRoom(graph_run& run, int sign);
  // Proved not to run and never to run: its room is free and its task may start elsewhere.
  void Release(graph_run& run, monotonic_time now);
  void OnTaskDone(job_entry& entry, const task_key& key, monotonic_time now);
  void OnTaskFailed(job_entry& entry, const task_key& key, uint32_t run, fleet_instance& at,
                    monotonic_time now);
  void HandleEnd(fleet_instance& instance, const ended_row& row, monotonic_time now);
  void HandleRunning(fleet_instance& instance, const running_row& row, monotonic_time now);
  void HandleMissing(fleet_instance& instance, const std::vector<const graph_run*>& seen,
                     monotonic_time sent, monotonic_time now);
  void Adopt(fleet_instance& instance, const running_row& row, monotonic_time now);
  void BreakGang(job_entry& entry, const task_key& member, stop_cause cause, monotonic_time now);
  void CheckRuns(scheduler_orders& orders, monotonic_time now);
  void CheckRun(graph_run& run, scheduler_orders& orders, monotonic_time now);
  void SendStop(graph_run& run, scheduler_orders& orders, monotonic_time now);

  // scheduler_instances.cc
  void OnReport(const instance_report& report, monotonic_time now);
  void Reborn(fleet_instance& instance, const instance_report& report, monotonic_time now);
  void Expect(fleet_instance& instance, const undelivered_start& start, monotonic_time now);
  void DropLapsed(monotonic_time now);
  // Nothing runs there any more.
  void DropRuns(fleet_instance& instance, const char* why, monotonic_time now);
  void FindReplaced(const fleet_instance& newcomer, monotonic_time now);
  bool LeaseOver(const fleet_instance& instance, monotonic_time now) const;
  void PlanListings(scheduler_orders& orders, monotonic_time now);
  // How late answers may be before their instance is suspected.
  std::chrono::milliseconds Patience() const;
  void JudgeOwnDelay(monotonic_time now);
  void GiveUpOverdue(fleet_instance& instance, monotonic_time now);
  // A listing that went unanswered.
  void FallSilent(fleet_instance& instance, std::string_view why, monotonic_time now);
  void PlanCheck(fleet_instance& instance, scheduler_orders& orders);
  // It answered an order that was sent at `sent`.
  static void Heard(fleet_instance& instance, monotonic_time sent);
  void Doubt(fleet_instance& instance, monotonic_time now);
  void NoteClock(fleet_instance& instance, int64_t clock_ms, monotonic_time now);
  void AdvanceAcks(fleet_instance& instance);
  void Evacuate(fleet_instance& instance, monotonic_time now);
  // All instances that may run tasks of earlier owners are listed, or their leases are over.
  bool InheritanceSettled(monotonic_time now) const;

  // scheduler_placing.cc
  void Place(const std::vector<ready_step>& ready, monotonic_time now);
  bool MustWaitForInheritance(const job_entry& entry, const resources& need) const;
  void CountPossibleRuns();
  std::vector<ready_step> ReadySteps(monotonic_time now);
  void PlaceStep(const ready_step& ready, monotonic_time now);
  void PlaceGang(const ready_step& ready, monotonic_time now);
  fleet_instance* Choose(const ready_step& ready, const task_state_slot& task, monotonic_time now,
                         const std::string* rack);
  bool MayRun(const fleet_instance& instance, const ready_step& ready, monotonic_time now) const;
  static bool HasLabel(const fleet_instance& instance, const ready_step& ready);
  static bool MayGetWork(const fleet_instance& instance, monotonic_time now);
  bool WithinLimit(const job_entry& entry, const resources& need) const;
  // `expected`: how long a run of the step takes.
  bool WantsCopy(const task_state_slot& task, const step_spec& terms,
                 std::chrono::milliseconds expected, monotonic_time now) const;
  std::vector<ready_step> CopySteps(monotonic_time now);
  void PlaceCopies(monotonic_time now);

  // scheduler_holds.cc: room for those next in line
  void BeginHolds();
  // Holds room for the step's tasks that found none.
  void HoldRoom(const ready_step& ready, monotonic_time now);
  room_forecast& ForecastOf(const fleet_instance& instance, monotonic_time now);
  std::optional<monotonic_time> ExpectedEnd(const graph_run& run, monotonic_time now) const;
  // When a task of the step that starts now gives its room back.
  monotonic_time GivesBack(const ready_step& ready, monotonic_time now) const;
  // Nobody who comes before is delayed by it.
  bool DelaysNobody(const fleet_instance& instance, const resources& room,
                    monotonic_time until) const;
  // When the step could start at the instance for all that its policy needs.
  monotonic_time TicketBy(const ready_step& ready, uint32_t instance, monotonic_time now) const;

  // scheduler_starts.cc: starts and their records
  struct planned_start {
    start_order order;
    uint64_t change = 0;  // of the job, which must be stored first
  };
  void Start(fleet_instance& instance, const ready_step& ready, uint32_t index, uint32_t number,
             monotonic_time now);
  uint32_t NextRun(const task_state_slot& task) const;
  bool MayPlanMore() const { return planned_.size() < options_.starts_in_flight; }
  bool MaySendTo(const fleet_instance& instance) const;
  bool StillGood(const start_order& order, const fleet_instance& instance,
                 monotonic_time now) const;
  bool Stored(const planned_start& planned) const;
  void ExpectRecorded(job_entry& entry, monotonic_time now);
  void CloseRun(const graph_run& run, monotonic_time now);
  graph_run* AnyOpenRun(const task_key& key);

  // scheduler_advice.cc
  void PlanAdvice(const std::vector<ready_step>& ready, scheduler_orders& orders,
                  monotonic_time now);
  // What one round of questions knows of an instance that may get work.
  struct advice_room {
    const fleet_instance* instance;
    resources left;  // not yet spoken for by a step before
  };
  struct advice_round {
    std::vector<advice_room> rooms;  // those with most room first
    std::vector<uint32_t> place;     // by ordinal: 1 + index in `rooms`; 0: not there
  };
  struct advice_option {
    advice_room* room;
    uint32_t tasks;  // that it has room for now
    bool ticket_good;
  };
  advice_round BeginAdvice(monotonic_time now) const;
  void PlanStepAdvice(const ready_step& ready, advice_round& round, scheduler_orders& orders,
                      monotonic_time now);
  void SpeakFor(const ready_step& ready, advice_round& round,
                const std::vector<advice_option>& known, uint32_t wanted) const;
  // Adds the instances that are held for the step, if an answer would come when they have room.
  void AddHeld(const ready_step& ready, const advice_timing& cost, advice_order& order,
               monotonic_time now) const;
  uint32_t MostThere(const ready_step& ready, const fleet_instance& instance,
                     uint32_t wanted) const;
  std::vector<advice_option> KnownOptions(const ready_step& ready, advice_round& round,
                                          uint32_t wanted, monotonic_time now) const;
  std::vector<std::string> WorthAsking(const ready_step& ready, const advice_round& round,
                                       const std::vector<advice_option>& known, uint32_t wanted,
                                       const advice_timing& cost) const;
  uint32_t Wanted(const ready_step& ready, monotonic_time now) const;
  std::vector<ready_step> FrontOfLines(const std::vector<ready_step>& ready_steps) const;
  std::vector<ready_step> NextSteps(monotonic_time now);
  bool TurnComesWithin(const job_entry& entry, const occurrence_state& occurrence, uint32_t index,
                       std::chrono::milliseconds ahead, monotonic_time now) const;

  // scheduler_pace.cc
  void PlanPaces(scheduler_orders& orders, monotonic_time now);
  void PaceInstance(fleet_instance& instance, scheduler_orders& orders, monotonic_time now);

  scheduler_options options_;
  uint64_t epoch_;
  monotonic_time took_over_;
  std::shared_ptr<const site_configuration> version_;
  absl::flat_hash_map<std::string, std::unique_ptr<job_entry>> jobs_;
  // Ordered, so that equal choices fall the same way in every process.
  std::map<std::string, std::unique_ptr<fleet_instance>> instances_;
  absl::flat_hash_map<uint32_t, fleet_instance*> by_ordinal_;
  uint32_t last_ordinal_ = 0;
  absl::flat_hash_map<std::string, uint32_t> services_;  // ordinals, from 1
  absl::flat_hash_map<std::string, resources> running_of_workspace_;
  absl::flat_hash_map<std::string, arrival_meter> arrivals_;  // by workspace
  std::vector<job_entry*> active_;                            // not final
  std::deque<std::string> final_;                             // in the order in which they ended
  std::deque<job_entry*> unstored_;  // changed since they were last given out, the oldest first
  std::deque<planned_start> planned_;
  // Of the round under way, by ordinal of the instance; null where nothing is held.
  std::vector<std::unique_ptr<room_forecast>> forecasts_;
  std::vector<uint32_t> holding_steps_;  // by service
  uint64_t round_ = 0;                   // of decisions
  uint32_t starts_in_flight_ = 0;
  answer_time answer_time_;  // of starts, and of listings that waited as long as they might
  double delay_factor_ = 1;  // times its patience: this process itself may be late
  std::chrono::milliseconds own_delay_{0};
  monotonic_time next_delay_look_{};
  listing_wait listing_wait_;
  run_times run_times_;
  bool unrecorded_starts_ = false;
  bool starts_held_ = false;
  bool records_complete_ = false;
  std::vector<scheduler_note> notes_;
  absl::flat_hash_map<std::string, std::vector<resources>> largest_seen_;  // by service
  bool inheritance_settled_ = false;
  // While it is not: what tasks of inherited jobs would use that may run unseen, by workspace.
  absl::flat_hash_map<std::string, resources> possible_of_workspace_;
  bool registry_seen_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_JOB_SCHEDULER_H_
