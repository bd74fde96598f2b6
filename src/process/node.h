// One entry: its threads, its components and the main loop.
//
// Separate threads serve HTTP, the core loop, calls to endpoints, calls to the platform, calls to
// peers and the log. All decisions are made on the core thread; the other threads post closures to
// it through one bounded ring.
#ifndef CATKINFORD_PROCESS_NODE_H_
#define CATKINFORD_PROCESS_NODE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/bounded_ring.h"
#include "connection/endpoint_adapter.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/instance_adapter.h"
#include "connection/store_adapter.h"
#include "process/config_store.h"
#include "process/evacuation.h"
#include "process/event_log.h"
#include "process/grant_store.h"
#include "process/incarnation_store.h"
#include "process/instance_polling.h"
#include "process/job_status.h"
#include "process/job_store.h"
#include "process/membership.h"
#include "process/metrics.h"
#include "process/ownership.h"
#include "process/peer_mailbox.h"
#include "process/removed_endpoints.h"
#include "process/request_table.h"
#include "process/router.h"
#include "process/settings.h"
#include "process/shard.h"
#include "process/team_names.h"
#include "process/timeline.h"
#include "process/usage_propagation.h"
#include "request/caller_call.h"

namespace catkinford {

enum class start_fault : uint8_t { kNone, kCallerPort, kPeerPort, kCertificate, kPeerSecrets };

class node {
 public:
  explicit node(settings config);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  start_fault Start();
  // Reloads the certificate files. New caller connections use the new certificate; open ones are
  // kept. On failure the previous certificate stays in use.
  tls_fault ReloadCertificate();
  // Reloads the secrets that sign calls between entries; on failure the previous ones stay in use.
  secret_fault ReloadPeerSecrets();
  // Starts a graceful shutdown: reports not ready, rejects new work, hands over its shards and
  // finishes requests in flight.
  void BeginShutdown();
  // Blocks until the shutdown is complete.
  void Wait();
  uint16_t CallerPort() const { return front_.Port(); }

 private:
  using core_task = std::function<void(monotonic_time)>;

  // State kept per peer in addition to its membership record.
  struct peer_state {
    uint64_t incarnation = 0;
    uint64_t config_sent = 0;           // last version sent to the peer
    monotonic_time lagging_since{};     // since when its configuration is older than ours
    monotonic_time next_config_send{};  // earliest time of the next send
  };
  // A status request that waits for answers of shard owners.
  struct open_status {
    http_server::token token = 0;
    std::string team;  // the caller's; empty for an operator
    request_id id;
    job_status status;
    monotonic_time deadline{};
    monotonic_time wait_until{};
    monotonic_time next_poll{};
    bool cancel = false;  // cancel the job once it is found
  };
  // A service job deferred until this entry has reports of every failure domain.
  struct deferred_service {
    std::string from;
    place_message place;
  };
  // A configuration change whose operator waits for the list of domains where it is in effect.
  struct open_change {
    std::optional<http_server::token> token;  // absent: made by this entry
    uint64_t version = 0;                     // zero until the store has accepted it
    monotonic_time deadline{};
    std::vector<std::string> warnings;
    // Edit applied to the current version; returns false when there is nothing to change. Absent
    // where the operator sent a full document.
    std::function<bool(configuration&)> edit;
    std::string by;
    int attempts_left = 0;
  };
  // A cancel request that waits for the outcome from the owner.
  struct open_cancel {
    http_server::token token = 0;
    monotonic_time deadline{};
  };
  // A failure domain being evacuated on request of an operator.
  struct open_evacuation {
    evacuation work;
    std::vector<open_cancel> waiting;  // requests of operators
    monotonic_time next_move{};
    std::vector<uint32_t> numbers;  // of the shards taken over here
    bool begin_logged = false;
  };

  // node.cc: the loop, ticks, peers.
  void Run();
  void Post(core_task task);
  void Tick(monotonic_time now);
  monotonic_time NextWake(monotonic_time now) const;
  void OnMessages(std::vector<peer_message> messages);
  void OnMessage(const std::string& from, message_body body, monotonic_time now);
  void OnSendFailed(const std::string& peer, transfer_status status,
                    std::vector<message_body> lost);
  void Send(const std::string& entry, message_body body, monotonic_time now);
  void DeliverLocal(monotonic_time now);
  void OnHeartbeat(const std::string& from, const heartbeat_message& heartbeat, monotonic_time now);
  void OnEntryStatus(const member& of, monotonic_time now);
  void OnSilent(const std::string& peer, monotonic_time now);
  void OnSilent(const silent_message& silent, monotonic_time now);
  void SendHeartbeats(monotonic_time now);
  // Sends our status to every other entry at once: the shards owned and whether this entry is
  // leaving. Scheduled heartbeats would take many seconds to reach them all.
  void Announce(monotonic_time now);
  entry_status OwnStatus();
  void PrepareHeartbeatReply(monotonic_time now);
  std::optional<heartbeat_message> HeartbeatReply();
  void UpdatePeers(monotonic_time now);
  void TickMembers(monotonic_time now);
  void ApplyMemberChanges(monotonic_time now);
  usage_view UsageView() const;
  void PollInstances(monotonic_time now);
  void OnInstances(const instance_reply& reply, monotonic_time now);
  void ApplyInstanceList(monotonic_time now);
  void UpdateGauges(monotonic_time now);
  // node_metrics.cc: counters and related events.
  void UpdateCounters(monotonic_time now);
  void CountAnswer(const answered_call& answer, monotonic_time now);
  void CheckShutdown(monotonic_time now);
  std::vector<version_member> VersionMembers() const;
  // The latest time at which every other failure domain was known to have our version.
  std::optional<monotonic_time> DomainsConfirmed() const;

  bool IsReady() const;

  // node_config.cc: configuration versions and their propagation.
  void OnVersion(version_origin origin, monotonic_time now);
  void OnVersionStep(const version_delta& step, monotonic_time now);
  // Sends the current version to a peer that has `known`.
  void SendVersion(const member& to, uint64_t known, monotonic_time now);
  void ResendToLagging(const member& other, monotonic_time now);
  std::chrono::milliseconds ResendDelay(const member& other) const;
  // Confirms to the sender of a version that it is in effect here.
  void ConfirmVersion(const std::string& to, monotonic_time now);
  void CheckChanges(monotonic_time now);
  void OnChanged(uint64_t change, const change_result& result, monotonic_time now);
  void Respond(const open_change& open, http_response response);
  std::chrono::milliseconds ChangeTimeout() const;
  // `next` is the parsed form of `text`.
  void SubmitChange(uint64_t change, uint64_t expect, const std::string& text,
                    const configuration& next);

  // node_drains.cc: endpoints drained by operators.
  void SetDrained(http_server::token token, const std::string& key, const drain_call& call,
                  monotonic_time now);
  void RemoveStaleDrains(monotonic_time now);
  void EditConfig(open_change open, monotonic_time now);
  void SubmitEdit(uint64_t change, monotonic_time now);

  // node_shards.cc: ownership, shards and their actions.
  void ApplyOwnershipActions(const ownership_actions& actions, monotonic_time now);
  void SendStoreRequest(const store_request& call,
                        std::function<void(store_reply, monotonic_time)> done);
  void OnOwnershipEvent(const ownership_event& event, monotonic_time now);
  void OpenShards(monotonic_time now);
  void AddShard(opened_log log, monotonic_time now);
  void RemoveShard(uint32_t number, monotonic_time now);
  void AssignEndpoints(shard& to, monotonic_time now);
  void PropagateUsage(monotonic_time now);
  void RunShardActions(monotonic_time now);
  void TakeShardActions(uint32_t number, shard& from, std::vector<shard_action> actions,
                        monotonic_time now);
  void Execute(uint32_t number, shard& from, const fence_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const sync_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const start_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const stop_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, answer_action action, monotonic_time now);
  void Execute(uint32_t number, shard& from, status_action action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const record_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const part_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, part_answer_action action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const withdraw_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const complete_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, const superseded_action& action, monotonic_time now);
  void Execute(uint32_t number, shard& from, event_action action, monotonic_time now);
  // Returns the shard if it is still owned under this epoch, else null: a late answer for an
  // earlier ownership must not reach the current one.
  shard* FindOwnedShard(uint32_t number, uint64_t epoch);
  shard* FindShard(const std::string& name);

  // node_services.cc: services spread over failure domains.
  void OnPlace(const std::string& from, shard& to, place_message place, monotonic_time now);
  void RetryDeferredServices(monotonic_time now);
  void NotifyNewOwners(monotonic_time now);
  void PlacePart(uint32_t number, shard& from, const part_call& call, monotonic_time now);

  // node_evacuate.cc: shards of lost failure domains.
  std::string FindLiveEntry(const std::string& domain, monotonic_time now) const;
  void TickEvacuations(monotonic_time now);
  void AddEvacuatedShards(open_evacuation& open, monotonic_time now);
  void RemoveEvacuatedShards(open_evacuation& open, monotonic_time now);
  void MoveEvacuatedJobs(open_evacuation& open, monotonic_time now);
  void AnswerEvacuation(open_evacuation& open, monotonic_time now);
  std::string EvacuationText(const open_evacuation& open, monotonic_time now) const;
  std::string ShardNameOf(uint32_t number) const;
  bool MayActFor(uint32_t number) const;

  // node_calls.cc: calls of callers and operators.
  void OnHttp(http_server::token token, http_request request);
  void PostCall(http_server::token token, std::string key, caller_call call, request_memory memory);
  void OnCall(http_server::token token, const std::string& key, caller_call call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, submit_call call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const status_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const cancel_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const get_config_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const put_config_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const config_history_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const drain_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const evacuate_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const members_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const timeline_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const health_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const ready_call& call,
              monotonic_time now);
  void Handle(http_server::token token, const std::string& key, const metrics_call& call,
              monotonic_time now);
  bool RequireOperator(http_server::token token, const std::string& key, monotonic_time now);
  std::optional<key_holder> HolderOf(const std::string& key, monotonic_time now) const;
  void SubmitJob(http_server::token token, size_t slot, const key_holder& holder, job_spec spec,
                 monotonic_time now);
  void ApplyTableActions(table_actions actions, monotonic_time now);
  // node_status.cc: status and cancel.
  void OpenStatus(const std::string& key, open_status request, monotonic_time now);
  void QueryOwners(uint64_t query, open_status& open, monotonic_time now);
  void OnStatusAnswer(const status_answer& answer, monotonic_time now);
  void TickStatus(monotonic_time now);
  void AnswerStatus(uint64_t query, monotonic_time now);
  void SendCancel(const open_status& open, const status_answer& home, monotonic_time now);
  void OnOutcome(const outcome& result, monotonic_time now);

  settings config_;
  uint64_t incarnation_;
  timeline timeline_;
  event_log log_;
  metrics metrics_;
  bounded_ring<core_task> ring_;
  http_client endpoint_http_;
  http_client platform_http_;
  store_adapter store_;
  endpoint_adapter endpoints_;
  instance_adapter instances_;
  peer_auth peer_auth_;
  std::shared_ptr<connection_budget> budget_;  // of callers and peers
  peer_mailbox mailbox_;
  http_server front_;

  // Used only on the core thread.
  team_names teams_;
  router routes_;
  request_table table_;
  ownership ownership_;
  config_store versions_;
  grant_store grants_;
  membership members_;
  usage_propagation usage_;
  instance_polling instance_polling_;
  job_store jobs_;
  incarnation_store incarnations_;
  std::vector<opened_log> opened_logs_;  // shards that wait for their parts of the limits
  std::map<uint32_t, std::unique_ptr<shard>> shards_;
  std::map<std::string, peer_state> peer_states_;
  std::set<std::string> endpoint_names_;  // all endpoints of the fleet in the latest list
  removed_endpoints removed_endpoints_;   // drained endpoints that left the list
  std::vector<instance> own_endpoints_;   // of this failure domain
  resources cell_capacity_;
  std::vector<message_body> local_messages_;  // messages to this entry
  std::vector<deferred_service> deferred_services_;
  std::map<std::string, uint64_t> notified_epochs_;  // by shard, as reported to shards here
  absl::flat_hash_map<uint64_t, open_status> statuses_;
  absl::flat_hash_map<request_id, std::vector<open_cancel>> cancels_;
  std::map<uint64_t, open_change> changes_;
  call_tags evacuation_tags_;
  std::map<std::string, open_evacuation> evacuations_;
  std::map<uint32_t, std::string> evacuated_names_;
  uint64_t next_query_ = 1;
  monotonic_time started_{};
  monotonic_time next_ownership_tick_{};
  monotonic_time next_store_members_{};
  monotonic_time next_heartbeat_reply_{};
  monotonic_time next_usage_{};
  uint64_t heartbeat_seq_ = 0;
  monotonic_time next_gauges_{};
  monotonic_time shutdown_deadline_{};
  bool store_was_up_ = false;  // no event before the first answer of the store
  bool was_ready_ = false;
  uint64_t grant_moves_ = 0;        // last value reported in an event
  uint64_t connections_ended_ = 0;  // by the budget; last value reported in an event
  uint64_t rejected_batches_ = 0;   // last value reported in an event
  uint64_t rejected_version_ = 0;   // last value reported in an event
  bool shutting_down_ = false;
  bool done_ = false;
  std::thread core_;

  // The reply to calls from entries of other domains; written by the core thread, read by the
  // mailbox threads.
  std::mutex heartbeat_reply_mutex_;
  heartbeat_message heartbeat_reply_;
  monotonic_time heartbeat_reply_time_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_NODE_H_
