// One entry: its threads, its parts, and the loop that joins them.
//
// A thread for each duty: HTTP front, core, calls to endpoints, calls to the platform, calls to
// peers, log. Everything that decides runs on the core thread; the others hand it closures
// through one bounded ring.
#ifndef CATKINFORD_PROCESS_NODE_H_
#define CATKINFORD_PROCESS_NODE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
#include "process/config_keeper.h"
#include "process/event_log.h"
#include "process/gone_endpoints.h"
#include "process/grant_keeper.h"
#include "process/incarnation_keeper.h"
#include "process/job_keeper.h"
#include "process/job_status.h"
#include "process/metrics.h"
#include "process/ownership.h"
#include "process/peer_mailbox.h"
#include "process/request_table.h"
#include "process/router.h"
#include "process/settings.h"
#include "process/shard.h"
#include "process/team_names.h"
#include "process/timeline.h"
#include "request/caller_call.h"

namespace catkinford {

// How long a peer may still be on an older version before it is sent the new one again.
constexpr std::chrono::milliseconds kConfigResend{500};

enum class start_fault : uint8_t { kNone, kCallerPort, kPeerPort, kCertificate };

class node {
 public:
  explicit node(settings config);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  start_fault Start();
  // Reads the certificate's files again; new connections of callers get it, open ones go on. On a
  // fault the old one stays in use.
  tls_fault ReloadCertificate();
  // Graceful: not ready, refuses new work, hands its shards over, finishes what is in flight.
  void BeginShutdown();
  // Until the shutdown is done.
  void Wait();
  uint16_t CallerPort() const { return front_.Port(); }

 private:
  using core_task = std::function<void(monotonic_time)>;

  // An entry that this one knows of.
  struct peer_state {
    std::string failure_domain;
    std::string address;
    uint64_t incarnation = 0;
    uint64_t config_version = 0;
    bool leaving = false;
    bool up = false;
    bool listed = false;  // in the instance list
    monotonic_time heard{};
    monotonic_time next_beat{};
    monotonic_time next_config{};  // when it may be sent the configuration again
    std::vector<team_report> teams;
  };
  // A status question that waits for answers of owners.
  struct open_status {
    http_server::token token = 0;
    std::string team;  // of the caller; empty for an operator
    request_id id;
    job_status heard;
    monotonic_time give_up{};
    monotonic_time wait_until{};
    monotonic_time next_ask{};
    bool cancel = false;  // cancel it once it is found
  };
  // A service that came before this entry had heard of every failure domain.
  struct early_service {
    std::string from;
    place_message place;
  };
  // A change of the configuration whose operator waits to hear where it is in force.
  struct open_change {
    std::optional<http_server::token> token;  // absent: made by the entry itself
    uint64_t version = 0;                     // zero until the store has taken it
    monotonic_time give_up{};
    std::vector<std::string> warnings;
    // What the entry does to whatever version is in force; false when nothing is left to do. Absent
    // where the operator sent a whole document.
    std::function<bool(configuration&)> edit;
    std::string by;
    int tries = 0;
  };
  // A cancel whose outcome comes from the owner.
  struct open_cancel {
    http_server::token token = 0;
    monotonic_time give_up{};
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
  void OnHeartbeat(const std::string& from, const heartbeat_message& beat, monotonic_time now);
  void SendHeartbeats(monotonic_time now);
  heartbeat_message Heartbeat() const;
  void CheckPeers(monotonic_time now);
  void SetPeerUp(const std::string& name, peer_state& peer, bool up, monotonic_time now);
  void PollInstances(monotonic_time now);
  void OnInstances(const instance_reply& reply, monotonic_time now);
  void UpdateGauges(monotonic_time now);
  // node_metrics.cc: what is counted, and events about it.
  void UpdateCounters(monotonic_time now);
  void CountAnswer(const answered_call& answer, monotonic_time now);
  void CheckShutdown(monotonic_time now);
  std::vector<std::string> LiveDomainPeers() const;
  std::vector<version_member> VersionMembers() const;
  bool DomainsConfirm() const;

  bool IsReady() const;

  // node_config.cc: versions and their spread.
  void OnVersion(monotonic_time now);
  void CheckChanges(monotonic_time now);
  void OnChanged(uint64_t change, const change_result& result, monotonic_time now);
  void Respond(const open_change& open, http_response response);
  std::chrono::milliseconds GiveUpOfChange() const;
  // `next` is what `text` says.
  void MakeChange(uint64_t change, uint64_t expect, const std::string& text,
                  const configuration& next);

  // node_drains.cc: endpoints that operators drain.
  void SetDrained(http_server::token token, const std::string& key, const drain_call& call,
                  monotonic_time now);
  void ForgetDrains(monotonic_time now);
  void EditConfig(open_change open, monotonic_time now);
  void MakeEdit(uint64_t change, monotonic_time now);

  // node_shards.cc: ownership, shards, their actions.
  void TakeOwnership(const ownership_actions& actions, monotonic_time now);
  void SendStoreRequest(const store_request& call,
                        std::function<void(store_reply, monotonic_time)> done);
  void OnOwnershipEvent(const ownership_event& event, monotonic_time now);
  void OpenShards(monotonic_time now);
  void GainShard(opened_log log, monotonic_time now);
  void LoseShard(uint32_t number, monotonic_time now);
  void GiveEndpoints(shard& to, monotonic_time now);
  void ShareUsage(monotonic_time now);
  void ActShards(monotonic_time now);
  void TakeShardActions(uint32_t number, shard& from, std::vector<shard_action> actions,
                        monotonic_time now);
  void Do(uint32_t number, shard& from, const fence_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const sync_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const start_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const stop_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, answer_action action, monotonic_time now);
  void Do(uint32_t number, shard& from, status_action action, monotonic_time now);
  void Do(uint32_t number, shard& from, const record_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const part_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, part_answer_action action, monotonic_time now);
  void Do(uint32_t number, shard& from, const withdraw_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const complete_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, const superseded_action& action, monotonic_time now);
  void Do(uint32_t number, shard& from, event_action action, monotonic_time now);
  // The shard under this number if we still own it under this epoch, else null: a late answer for
  // an earlier ownership must not reach the present one.
  shard* Held(uint32_t number, uint64_t epoch);
  shard* FindShard(const std::string& name);

  // node_services.cc: services that are spread over failure domains.
  void TakePlace(const std::string& from, shard& to, place_message place, monotonic_time now);
  void RetryEarlyServices(monotonic_time now);
  void PlacePart(uint32_t number, shard& from, const part_call& call, monotonic_time now);

  // node_calls.cc: callers and operators.
  void OnHttp(http_server::token token, http_request request);
  void PostCall(http_server::token token, std::string key, caller_call call);
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
  bool IsOperator(http_server::token token, const std::string& key, monotonic_time now);
  std::optional<key_holder> HolderOf(const std::string& key, monotonic_time now) const;
  void SubmitJob(http_server::token token, size_t slot, const key_holder& holder, job_spec spec,
                 monotonic_time now);
  void TakeTable(table_actions actions, monotonic_time now);
  // node_status.cc: status and cancel.
  void OpenStatus(const std::string& key, open_status question, monotonic_time now);
  void AskStatus(uint64_t query, open_status& open, monotonic_time now);
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
  peer_mailbox mailbox_;
  http_server front_;

  // The core thread's.
  team_names teams_;
  router routes_;
  request_table table_;
  ownership ownership_;
  config_keeper versions_;
  grant_keeper grants_;
  job_keeper jobs_;
  incarnation_keeper lives_;
  std::vector<opened_log> opened_;  // of shards that wait for their parts of the limits
  std::map<uint32_t, std::unique_ptr<shard>> shards_;
  std::map<std::string, peer_state> peers_;
  std::set<std::string> endpoint_names_;  // of the whole fleet, as last listed
  gone_endpoints gone_;                   // drained ones that left the list
  std::vector<instance> own_endpoints_;   // of this failure domain
  resources cell_capacity_;
  std::vector<message_body> local_;  // messages to ourselves
  std::vector<early_service> early_services_;
  absl::flat_hash_map<uint64_t, open_status> statuses_;
  absl::flat_hash_map<request_id, std::vector<open_cancel>> cancels_;
  std::map<uint64_t, open_change> changes_;
  uint64_t next_query_ = 1;
  monotonic_time started_{};
  monotonic_time next_ownership_tick_{};
  monotonic_time next_instance_poll_{};
  monotonic_time next_gauges_{};
  monotonic_time shutdown_deadline_{};
  bool has_instances_ = false;
  bool store_was_up_ = false;  // nothing is said before the first answer
  bool was_ready_ = false;
  uint64_t grant_moves_ = 0;        // that were told
  uint64_t refused_version_ = 0;    // that was told
  bool version_from_peer_ = false;  // while a peer's version is taken in
  bool shutting_down_ = false;
  bool done_ = false;
  std::thread core_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_NODE_H_
