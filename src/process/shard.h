// The owner's side of one shard: the path from a request's arrival to its outcome.
//
// Pure: messages, answers of endpoints and the present time come in, actions go out. It joins the
// decision core, the links to the endpoints and the table of jobs; it talks to nobody itself.
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
#include "process/identity_memory.h"
#include "process/message.h"
#include "process/part_keeper.h"
#include "process/refusal_memory.h"
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
  monotonic_time arrived{};  // of the job, with its first start only
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
// A durable job to be recorded before it is accepted, or a change to its parts.
struct record_action {
  request_id job;
  bool is_change = false;
};
// A message about a part of a spread job whose home this is, to the owner of the part's shard.
struct part_action {
  part_call call;
};
// An answer to the home of a spread job, through the entry that owns it.
struct part_answer_action {
  std::string entry;
  part_answer_message answer;
};
// A job whose record the store has not taken for long: to be given up if that is still possible.
struct withdraw_action {
  request_id job;
};
// The end of a task of a durable job, to be recorded before the endpoint may forget it.
struct complete_action {
  task_id task;
  bool well = false;
  bool job_ended = false;
  std::string text;  // what it said, if that is told of its job
};
// An endpoint has seen a higher epoch: the shard is another's.
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
  std::chrono::milliseconds start_bound{2000};  // not-after of a start
  bool endpoints_fence = true;
  // Of a failure domain that is evacuated: the owner is in another one, has no endpoints, and only
  // answers for jobs whose tasks are moved.
  bool is_evacuated = false;
};

// Where the tasks of one job go that cannot stay: shards, with how many tasks each takes; empty
// when there is no other shard.
using task_split = std::function<std::vector<job_part>(const place_message&, uint32_t tasks)>;

// What became of the jobs of an evacuated shard so far.
struct evacuation_counts {
  uint32_t moved = 0;       // their unfinished tasks go to other shards
  uint32_t unknown = 0;     // may have run, and may not run again
  uint32_t given_back = 0;  // parts of jobs whose home is another shard, which takes them
  uint32_t left = 0;        // wait here
};

// A job as its durable record tells it.
struct restored_job {
  place_message spec;
  std::vector<uint32_t> done;  // task indices
  std::vector<uint32_t> failed;
  std::string fault;   // of the first task that failed
  std::string answer;  // of the task that ended last, when none is left
};

// Of endpoints, by name: the number of the life in which each was last known to keep its memory.
using incarnations = std::map<std::string, uint64_t>;

class shard {
 public:
  shard(shard_options options, team_names& teams);

  // The durable part, before the first list of an endpoint is taken in: the other order could take
  // a job whose last task just ended for one that never started.
  void Restore(std::vector<restored_job> jobs, monotonic_time now);

  // As the store has them. An endpoint in another life than the recorded one has forgotten what it
  // ran for earlier owners.
  void SetIncarnations(incarnations recorded, monotonic_time now);
  // What the store should have: of an endpoint that has forgotten something, the former life until
  // every identity that it may have run is out of its window.
  incarnations Incarnations(monotonic_time now) const;

  // The endpoints of this shard, from the instance list.
  void SetEndpoints(const std::vector<instance>& endpoints, monotonic_time now);
  void SetConfiguration(const configuration& config, monotonic_time now);
  void SetGrants(const std::vector<grant_entry>& grants, monotonic_time now);
  // News of a team in all other shards, `age` old on average.
  void SetUsageElsewhere(const std::string& team, const resources& running,
                         std::chrono::milliseconds age, monotonic_time now);
  void SetCellCapacity(const resources& capacity) { core_.SetCellCapacity(capacity); }
  bool Has(const std::string& endpoint) const { return endpoint_by_name_.contains(endpoint); }
  // Tasks under way at an endpoint of this shard.
  size_t RunningAt(const std::string& endpoint) const;

  // Takes no request from now on that it does not know yet: this owner ends and nobody can be given
  // the shard.
  void Close();
  // Whether some entry waits for the outcome of a request, or for the word that a job is accepted.
  bool HasCallers() const;

  // From entries.
  void Place(const std::string& entry, place_message place, monotonic_time now);
  void Cancel(const std::string& entry, const cancel_message& what, monotonic_time now);
  // Another shard has a new owner.
  void OnNewOwner(const std::string& name, monotonic_time now) { parts_.OnNewOwner(name, now); }
  // Moves what waits here to other shards, and gives up what may not run again. Again and again.
  void Evacuate(const task_split& split, monotonic_time now);
  const evacuation_counts& Evacuated() const { return evacuated_; }
  void OnPartAnswer(const part_answer_message& answer, monotonic_time now);
  void Status(const std::string& entry, const status_query& query, monotonic_time now);

  // Answers of endpoints; `token` is that of the call.
  void OnFence(endpoint_index endpoint, uint64_t token, const endpoint_reply& reply,
               monotonic_time now);
  void OnSync(endpoint_index endpoint, uint64_t token, const endpoint_reply& reply,
              monotonic_time now);
  void OnStart(endpoint_index endpoint, uint64_t token, const std::vector<start_task>& sent,
               const endpoint_reply& reply, monotonic_time now);
  // The store has the job's record, or surely will not have it.
  void OnRecorded(const request_id& job, bool durable, monotonic_time now);
  void OnCompletionRecorded(const request_id& job, uint32_t index, monotonic_time now);
  // The store knows that the job is over.
  void OnEndRecorded(const request_id& job);

  // Decides, and appends what is to be done now. Starts are in their own right: the caller checks
  // its ownership immediately before sending each.
  void Act(monotonic_time now, std::vector<shard_action>& out);
  monotonic_time NextWake() const;

  // A start was not sent after all, because ownership ran out next to the send.
  void OnStartNotSent(const start_action& start, monotonic_time now);

  shard_report Report() const;
  std::vector<grant_demand> Demands() const;
  // The largest gang of the team that waits and starts only as a whole, with what the team's
  // services hold here.
  team_grant LargestGang(const std::string& team) const;
  std::vector<team_report> TeamReports() const;
  const std::string& Name() const { return options_.name; }
  uint64_t Epoch() const { return options_.epoch; }
  const endpoint_address& Address(endpoint_index index) const { return endpoints_[index].address; }
  // Whether every endpoint was listed under this epoch, so that an identity that is not known has
  // surely not started.
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
    uint32_t unrecorded = 0;  // ends told by it that are not durable yet
    monotonic_time added{};
    monotonic_time forgot{};    // when it was last seen to have forgotten what it ran
    uint64_t checked_life = 0;  // its incarnation, once compared with the recorded one
  };
  // A place that has to wait until it is known what runs.
  struct held_place {
    std::string entry;
    place_message place;
    monotonic_time until;
  };

  void AddEndpoint(const instance& from, monotonic_time now);
  void Listed(endpoint_record& at, monotonic_time now);
  void SetCoreState(endpoint_index index, monotonic_time now);
  void TakeList(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                monotonic_time now);
  void RememberEnded(const task_status& status, monotonic_time now);
  void TakeListed(endpoint_index index, const task_status& status, monotonic_time now);
  void DropUnlisted(endpoint_index index, const endpoint_reply& reply, bool restarted,
                    monotonic_time now);
  void LoseTask(const task_id& id, monotonic_time now);
  void LoseAllAt(endpoint_index index, monotonic_time now);
  void SettleUnsure(endpoint_index index, uint64_t token, const std::vector<task_id>& unsure,
                    monotonic_time now);
  std::vector<task_id> TasksAt(endpoint_index index) const;
  // On an operator's word: get nothing new, what runs there is moved.
  void SetDrained(const std::vector<std::string>& names, monotonic_time now);
  bool IsSuperseded(const endpoint_reply& reply);
  void CheckMemory(endpoint_record& at, monotonic_time now);

  bool AnswerFromMemory(const std::string& entry, const place_message& place, monotonic_time now);
  job_state& Admit(const std::string& entry, place_message place, monotonic_time now);
  void Submit(const request_id& id, job_state& job, monotonic_time now);
  void TaskEnded(const task_id& id, task_result result, const std::string& answer,
                 std::chrono::milliseconds ran, monotonic_time now);
  void StartDidNotTake(const task_id& id, bool endpoint_fault, monotonic_time now);
  void Refuse(const request_id& id, rejection_reason reason, std::chrono::milliseconds retry_after,
              std::string detail, monotonic_time now);
  void End(const request_id& id, job_state& job, outcome result, monotonic_time now);
  void EndIfOver(const request_id& id, job_state& job, monotonic_time now);
  void Answer(const job_state& job, const outcome& result);
  void TurnAway(const std::string& entry, const place_message& place, rejection_reason reason,
                std::string detail, monotonic_time now);
  void Reply(const std::string& entry, const job_state& job, const outcome& result);
  // shard_parts.cc: jobs that are spread over shards.
  void MarkElsewhere(job_state& job);
  void OpenParts(const request_id& id, job_state& job, monotonic_time now);
  void TellAccepted(const request_id& id, job_state& job, monotonic_time now);
  bool MayTellAccepted(const request_id& id, const job_state& job, monotonic_time now) const;
  outcome Accepted(const request_id& id) const;
  void TakeHome(const request_id& id, job_state& job, const std::string& from);
  void RecordPlan(const request_id& id, job_state& job);
  void OnPartsRecorded(const request_id& id, job_state& job, monotonic_time now);
  bool ComesAgain(const job_state& job, const place_message& place) const;
  void Forget(const request_id& id);
  void TakeMore(const request_id& id, job_state& job, place_message place);
  void PartIsOver(const part_answer_message& answer, job_state& job, monotonic_time now);
  // shard_evacuate.cc
  bool MoveTasks(const request_id& id, job_state& job, const task_split& split);
  bool TurnAwayEvacuated(const std::string& entry, const place_message& place);
  void CancelJob(const request_id& id, job_state& job, monotonic_time now);
  void CancelUnknownPart(const std::string& entry, const cancel_message& what, monotonic_time now);
  void ActParts(monotonic_time now);
  void Track(const request_id& id, const job_state& job);
  void ReleaseHeld(monotonic_time now);
  void ResumeRestored(monotonic_time now);
  void WithdrawUnrecorded(monotonic_time now);
  job_request RequestOf(const job_state& job, monotonic_time now) const;
  void ForgetOld(monotonic_time now);
  void StopLate(monotonic_time now);
  void TakeCommands(monotonic_time now);
  void TakeStart(const command& next, start_action& start);
  void TakeEnd(const command& end, monotonic_time now);
  void CallEndpoints(monotonic_time now);
  job_state* Find(const request_id& id);
  task_progress* FindTask(const task_id& id, job_state*& job);
  void Note(event_code code, const request_id& id, std::string subject, std::string detail = {});

  shard_options options_;
  team_names& teams_;
  decision_core core_;
  std::vector<endpoint_record> endpoints_;
  absl::flat_hash_map<std::string, endpoint_index> endpoint_by_name_;
  absl::flat_hash_map<std::string, uint32_t> racks_;
  uint32_t unlisted_ = 0;
  std::set<std::string> drained_;  // by operators; also endpoints that are not here yet
  bool has_endpoints_ = false;
  bool has_incarnations_ = false;
  incarnations recorded_;
  monotonic_time opened_{};  // when it got its first endpoints
  bool closed_ = false;
  absl::flat_hash_map<request_id, job_state> jobs_;
  std::set<request_id> gangs_;     // that have not ended
  std::set<request_id> services_;  // that have not ended
  identity_memory identities_;     // of work that a caller waits for, beyond its job_state
  part_keeper parts_;              // of the jobs whose home this is
  std::set<std::pair<monotonic_time, request_id>> untold_;  // when each is told accepted at last
  refusal_memory refusals_;
  evacuation_counts evacuated_;
  std::vector<held_place> held_;
  std::vector<request_id> restored_;  // not resumed yet: some endpoint is not listed
  std::set<std::pair<monotonic_time, request_id>> deadlines_;  // of work that runs for a caller
  std::set<std::pair<monotonic_time, request_id>> ended_;      // when each may be forgotten
  std::set<std::pair<monotonic_time, request_id>> unrecorded_jobs_;  // when to give each up
  // By job and index: where an end was told that is not in the store yet.
  absl::flat_hash_map<std::pair<request_id, uint32_t>, endpoint_index> unrecorded_;
  std::vector<shard_action> actions_;
  std::vector<command> commands_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SHARD_H_
