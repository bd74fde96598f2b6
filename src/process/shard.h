// The owner's side of one shard: handles each request from its arrival to its outcome.
//
// Pure: takes messages, endpoint replies and the current time, and returns actions. It combines the
// decision core, the links to the endpoints and the job table; it does no I/O.
#ifndef CATKINFORD_PROCESS_SHARD_H_
#define CATKINFORD_PROCESS_SHARD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/endpoint_adapter.h"
#include "connection/endpoint_link.h"
#include "connection/instance_adapter.h"
#include "process/decision_core.h"
#include "process/events.h"
#include "process/identity_history.h"
#include "process/message.h"
#include "process/part_tracker.h"
#include "process/rejection_history.h"
#include "process/team_names.h"
#include "request/job_state.h"
#include "version/contract.h"
#include "version/grant_ledger.h"

namespace catkinford {

struct fence_action {
  endpoint_index endpoint = 0;
  uint64_t token = 0;
};
struct sync_action {
  endpoint_index endpoint = 0;
  sync_call call;
  bool fresh_connection = false;
};
struct start_action {
  endpoint_index endpoint = 0;
  uint64_t token = 0;
  std::vector<start_task> tasks;
  monotonic_time arrived{};  // of the job; set for its first start only
};
struct stop_action {
  endpoint_index endpoint = 0;
  uint64_t token = 0;
  std::vector<task_id> ids;
  bool checkpoint = false;
};
struct answer_action {
  std::string entry;
  outcome result;
};
struct status_action {
  std::string entry;
  status_answer answer;
};
// Asks for a durable job to be recorded before it is accepted, or for a change to its parts.
struct record_action {
  request_id job;
  bool is_change = false;
};
// A message about a part of a spread job to the owner of the part's shard. This shard is the home.
struct part_action {
  part_call call;
};
// An answer to the home of a spread job, sent through the entry that owns the home.
struct part_answer_action {
  std::string entry;
  part_answer_message answer;
};
// Withdraws a job whose record the store has not accepted in time, if that is still possible.
struct withdraw_action {
  request_id job;
};
// The end of a task of a durable job, to be recorded before the endpoint may forget it.
struct complete_action {
  task_id task;
  bool succeeded = false;
  bool job_ended = false;
  std::string text;  // the task's output, if it is kept with the job
};
// An endpoint has seen a higher epoch: the shard has another owner.
struct superseded_action {
  uint64_t epoch = 0;
};
struct event_action {
  event_code code;
  request_id id;
  std::string subject;
  std::string detail;
};

using shard_action =
    std::variant<fence_action, sync_action, start_action, stop_action, answer_action, status_action,
                 record_action, part_action, part_answer_action, withdraw_action, complete_action,
                 superseded_action, event_action>;

struct shard_options {
  std::string name;
  uint64_t epoch = 0;
  link_options link;
  std::chrono::milliseconds identity_window{30000};
  std::chrono::milliseconds start_bound{2000};  // `not_after` of a start
  bool endpoints_fence = true;
  // The owner of a shard of an evacuated failure domain is in another domain, has no endpoints, and
  // only answers for jobs whose tasks are moved.
  bool is_evacuated = false;
};

// Splits the tasks of one job that must move: target shards with the number of tasks for each;
// empty when there is no other shard.
using task_split = std::function<std::vector<job_part>(const place_message&, uint32_t tasks)>;

// What has happened to the jobs of an evacuated shard so far.
struct evacuation_counts {
  uint32_t moved = 0;          // unfinished tasks moved to other shards
  uint32_t unknown = 0;        // may have run, and may not run again
  uint32_t returned = 0;       // parts returned to their home shard, which places them again
  uint32_t still_waiting = 0;  // still waiting here
};

// A job restored from its durable record.
struct restored_job {
  place_message spec;
  std::vector<uint32_t> done;  // task indices
  std::vector<uint32_t> failed;
  std::string fault;   // of the first task that failed
  std::string answer;  // of the task that ended last, when no task is left
};

// By endpoint name: the last incarnation known to have kept its state.
using incarnations = std::map<std::string, uint64_t>;

class shard {
 public:
  shard(shard_options options, team_names& teams);

  // Restores the jobs from the log. Must be called before the first listing of an endpoint is
  // applied: in the other order a job whose last task just ended would look like one that never
  // started.
  void Restore(std::vector<restored_job> jobs, monotonic_time now);

  // Sets the incarnations recorded in the store. An endpoint with another incarnation than the
  // recorded one has lost the state of what it ran for earlier owners.
  void SetIncarnations(incarnations recorded, monotonic_time now);
  // What the store should hold. For an endpoint that lost its state this is the former incarnation
  // until every identity that it may have run has left the identity window.
  incarnations Incarnations(monotonic_time now) const;

  // Sets the endpoints of this shard, from the instance list.
  void SetEndpoints(const std::vector<instance>& endpoints, monotonic_time now);
  void SetConfiguration(const configuration& config, monotonic_time now);
  void SetGrants(const std::vector<grant_entry>& grants, monotonic_time now);
  // Usage of a team in all other shards, `age` old on average.
  void SetUsageElsewhere(const std::string& team, const resources& running,
                         std::chrono::milliseconds age, monotonic_time now);
  void SetCellCapacity(const resources& capacity) { core_.SetCellCapacity(capacity); }
  bool Has(const std::string& endpoint) const { return endpoint_by_name_.contains(endpoint); }
  // Number of tasks in progress at an endpoint of this shard.
  size_t RunningAt(const std::string& endpoint) const;

  // Rejects requests that are not known yet from now on: this owner is stopping and the shard can't
  // be handed over.
  void Close();
  // Whether some entry waits for the outcome of a request or for the acceptance of a job.
  bool HasCallers() const;

  // Calls from entries.
  void Place(const std::string& entry, place_message place, monotonic_time now);
  void Cancel(const std::string& entry, const cancel_message& what, monotonic_time now);
  // Another shard has a new owner.
  void OnNewOwner(const std::string& name, monotonic_time now) { parts_.OnNewOwner(name, now); }
  // Moves the tasks that wait here to other shards and gives up jobs that may not run again. Called
  // repeatedly.
  void Evacuate(const task_split& split, monotonic_time now);
  const evacuation_counts& Evacuated() const { return evacuated_; }
  void OnPartAnswer(const part_answer_message& answer, monotonic_time now);
  void Status(const std::string& entry, const status_query& query, monotonic_time now);

  // Replies of endpoints; `token` is the one the call was sent with.
  void OnFence(endpoint_index endpoint, uint64_t token, const endpoint_reply& reply,
               monotonic_time now);
  void OnSync(endpoint_index endpoint, uint64_t token, const endpoint_reply& reply,
              monotonic_time now);
  void OnStart(endpoint_index endpoint, uint64_t token, const std::vector<start_task>& sent,
               const endpoint_reply& reply, monotonic_time now);
  // The store has the job's record, or is certain not to have it.
  void OnRecorded(const request_id& job, bool durable, monotonic_time now);
  void OnCompletionRecorded(const request_id& job, uint32_t index, monotonic_time now);
  // The end of the job is recorded in the store.
  void OnEndRecorded(const request_id& job);

  // Runs the decisions and appends the resulting actions. The caller must check its ownership
  // immediately before it sends each start.
  void Act(monotonic_time now, std::vector<shard_action>& out);
  monotonic_time NextWake() const;

  // A start was not sent because ownership was lost just before the send.
  void OnStartNotSent(const start_action& start, monotonic_time now);

  shard_report Report() const;
  std::vector<grant_demand> Demands() const;
  // The team's largest waiting gang, which starts only when all of it fits, plus what the team's
  // services hold here.
  team_grant LargestGang(const std::string& team) const;
  std::vector<team_report> TeamReports() const;
  const std::string& Name() const { return options_.name; }
  uint64_t Epoch() const { return options_.epoch; }
  const endpoint_address& Address(endpoint_index index) const { return endpoints_[index].address; }
  // Whether every endpoint was listed under this epoch, so that an unknown identity is certain not
  // to have started.
  bool AllListed() const {
    return options_.is_evacuated || (unlisted_ == 0 && has_endpoints_ && has_incarnations_);
  }
  bool IsEvacuated() const { return options_.is_evacuated; }
  const place_message* SpecOf(const request_id& job) const;

 private:
  struct endpoint_record {
    endpoint_address address;
    endpoint_shape shape;
    endpoint_link link;
    bool listed = false;  // under this owner
    bool present = true;  // in the instance list
    bool leaving = false;
    bool drained = false;     // by an operator
    uint32_t unrecorded = 0;  // reported ends that are not durable yet
    monotonic_time added{};
    monotonic_time state_lost_at{};  // when it was last seen to have lost the state of what it ran
    uint64_t checked_incarnation = 0;  // the incarnation last compared with the recorded one
  };
  // A placement that waits until it is known what runs on the endpoints.
  struct deferred_place {
    std::string entry;
    place_message place;
    monotonic_time until;
  };

  void AddEndpoint(const instance& from, monotonic_time now);
  void MarkListed(endpoint_record& at, monotonic_time now);
  void SetCoreState(endpoint_index index, monotonic_time now);
  void ApplyListing(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                    monotonic_time now);
  void RecordEnded(const task_status& status, monotonic_time now);
  void ApplyListedTask(endpoint_index index, const task_status& status, monotonic_time now);
  void DropUnlisted(endpoint_index index, const endpoint_reply& reply, bool restarted,
                    monotonic_time now);
  void LoseTask(const task_id& id, monotonic_time now);
  void LoseAllAt(endpoint_index index, monotonic_time now);
  void ResolveUncertainStarts(endpoint_index index, uint64_t token,
                              const std::vector<task_id>& uncertain, monotonic_time now);
  std::vector<task_id> TasksAt(endpoint_index index) const;
  // Drained endpoints get no new work, and what runs there is moved.
  void SetDrained(const std::vector<std::string>& names, monotonic_time now);
  bool IsSuperseded(const endpoint_reply& reply);
  void CheckIncarnation(endpoint_record& at, monotonic_time now);

  bool AnswerFromHistory(const std::string& entry, const place_message& place, monotonic_time now);
  job_state& Admit(const std::string& entry, place_message place, monotonic_time now);
  void Submit(const request_id& id, job_state& job, monotonic_time now);
  void TaskEnded(const task_id& id, task_result result, const std::string& answer,
                 std::chrono::milliseconds ran, monotonic_time now);
  void OnStartFailed(const task_id& id, bool endpoint_fault, monotonic_time now);
  void RejectJob(const request_id& id, rejection_reason reason,
                 std::chrono::milliseconds retry_after, std::string detail, monotonic_time now);
  void End(const request_id& id, job_state& job, outcome result, monotonic_time now);
  void EndIfOver(const request_id& id, job_state& job, monotonic_time now);
  void Answer(const job_state& job, const outcome& result);
  void RejectNew(const std::string& entry, const place_message& place, rejection_reason reason,
                 std::string detail, monotonic_time now);
  void Reply(const std::string& entry, const job_state& job, const outcome& result);
  // shard_parts.cc: jobs that are spread over several shards.
  void MarkElsewhere(job_state& job);
  void OpenParts(const request_id& id, job_state& job, monotonic_time now);
  void SendAccepted(const request_id& id, job_state& job, monotonic_time now);
  bool CanSendAccepted(const request_id& id, const job_state& job, monotonic_time now) const;
  outcome Accepted(const request_id& id) const;
  void ReturnPartToHome(const request_id& id, job_state& job, const std::string& from);
  void RecordPlan(const request_id& id, job_state& job);
  void OnPartsRecorded(const request_id& id, job_state& job, monotonic_time now);
  bool IsRetriedPart(const job_state& job, const place_message& place) const;
  void Forget(const request_id& id);
  void AddTasks(const request_id& id, job_state& job, place_message place);
  void PartIsOver(const part_answer_message& answer, job_state& job, monotonic_time now);
  // shard_evacuate.cc
  bool MoveTasks(const request_id& id, job_state& job, const task_split& split);
  bool RejectEvacuated(const std::string& entry, const place_message& place);
  void CancelJob(const request_id& id, job_state& job, monotonic_time now);
  void CancelUnknownPart(const std::string& entry, const cancel_message& what, monotonic_time now);
  void SendPartCalls(monotonic_time now);
  void Track(const request_id& id, const job_state& job);
  void ReleaseDeferred(monotonic_time now);
  void ResumeRestored(monotonic_time now);
  void WithdrawUnrecorded(monotonic_time now);
  job_request RequestOf(const job_state& job, monotonic_time now) const;
  void ForgetOld(monotonic_time now);
  void EndExpired(monotonic_time now);
  void ApplyCommands(monotonic_time now);
  void AddStart(const command& next, start_action& start);
  void ApplyJobEnd(const command& end, monotonic_time now);
  void CallEndpoints(monotonic_time now);
  job_state* Find(const request_id& id);
  task_progress* FindTask(const task_id& id, job_state*& job);
  void AddEvent(event_code code, const request_id& id, std::string subject,
                std::string detail = {});

  shard_options options_;
  team_names& teams_;
  decision_core core_;
  std::vector<endpoint_record> endpoints_;
  absl::flat_hash_map<std::string, endpoint_index> endpoint_by_name_;
  absl::flat_hash_map<std::string, uint32_t> racks_;
  uint32_t unlisted_ = 0;
  std::set<std::string> drained_;  // by operators; may name endpoints that are not known yet
  bool has_endpoints_ = false;
  bool has_incarnations_ = false;
  incarnations recorded_;
  monotonic_time opened_at_{};  // when the first endpoints were set
  bool closed_ = false;
  absl::flat_hash_map<request_id, job_state> jobs_;
  std::set<request_id> gangs_;     // not ended
  std::set<request_id> services_;  // not ended
  identity_history identities_;    // requests that a caller waits for; outlives their job_state
  part_tracker parts_;             // jobs whose home is this shard
  // The latest time to answer "accepted", by job.
  std::set<std::pair<monotonic_time, request_id>> accept_timeouts_;
  rejection_history refusals_;
  evacuation_counts evacuated_;
  std::vector<deferred_place> deferred_;
  std::vector<request_id> restored_;  // not resumed yet: some endpoint is not listed
  std::set<std::pair<monotonic_time, request_id>> deadlines_;        // of requests with a caller
  std::set<std::pair<monotonic_time, request_id>> ended_;            // when each may be forgotten
  std::set<std::pair<monotonic_time, request_id>> unrecorded_jobs_;  // when to give each up
  // By job and task index: the endpoint that reported an end which is not in the store yet.
  absl::flat_hash_map<std::pair<request_id, uint32_t>, endpoint_index> unrecorded_;
  std::vector<shard_action> actions_;
  std::vector<command> commands_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SHARD_H_
