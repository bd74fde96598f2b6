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
#include "process/config_keeper.h"
#include "process/evacuation.h"
#include "process/event_log.h"
#include "process/gone_endpoints.h"
#include "process/grant_keeper.h"
#include "process/incarnation_keeper.h"
#include "process/instance_turns.h"
#include "process/job_keeper.h"
#include "process/job_status.h"
#include "process/membership.h"
#include "process/metrics.h"
#include "process/ownership.h"
#include "process/peer_mailbox.h"
#include "process/request_table.h"
#include "process/router.h"
#include "process/settings.h"
#include "process/shard.h"
#include "process/team_names.h"
#include "process/timeline.h"
#include "process/usage_spread.h"
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
  // Reads the certificate's files again; new connections of callers get it, open ones go on. On a
  // fault the old one stays in use.
  tls_fault ReloadCertificate();
  // The same for the secrets that calls between entries are signed with.
  secret_fault ReloadPeerSecrets();
  // Graceful: not ready, refuses new work, hands its shards over, finishes what is in flight.
  void BeginShutdown();
  // Until the shutdown is done.
  void Wait();
  uint16_t CallerPort() const { return front_.Port(); }

 private:
  using core_task = std::function<void(monotonic_time)>;

  // What this entry remembers of another one besides what the membership knows.
  struct peer_notes {
    uint64_t incarnation = 0;
    uint64_t config_sent = 0;      // the last version that it was sent
    monotonic_time lags_since{};   // has an older configuration than we
    monotonic_time next_config{};  // when it may be sent the configuration again
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
  // A failure domain that an operator has given up.
  struct open_evacuation {
    evacuation work;
    std::vector<open_cancel> waiting;  // operators
    monotonic_time next_move{};
    std::vector<uint32_t> numbers;  // of its shards here
    bool told = false;
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
  void OnWord(const member& of, monotonic_time now);
  void OnSilent(const std::string& peer, monotonic_time now);
  void OnSilent(const silent_message& silent, monotonic_time now);
  void SendHeartbeats(monotonic_time now);
  // To every other entry, at once: who owns what, that we leave. By turns they would hear of it
  // many seconds later.
  void Announce(monotonic_time now);
  entry_word OwnWord();
  void PrepareReply(monotonic_time now);
  std::optional<heartbeat_message> Reply();
  void FollowMembers(monotonic_time now);
  void TickMembers(monotonic_time now);
  void TakeChanges(monotonic_time now);
  usage_view UsageView() const;
  void PollInstances(monotonic_time now);
  void OnInstances(const instance_reply& reply, monotonic_time now);
  void TakeInstances(monotonic_time now);
  void UpdateGauges(monotonic_time now);
  // node_metrics.cc: what is counted, and events about it.
  void UpdateCounters(monotonic_time now);
  void CountAnswer(const answered_call& answer, monotonic_time now);
  void CheckShutdown(monotonic_time now);
  std::vector<version_member> VersionMembers() const;
  // The latest time at which every other failure domain was known to have our version.
  std::optional<monotonic_time> DomainsConfirmed() const;

  bool IsReady() const;

  // node_config.cc: versions and their spread.
  void OnVersion(version_origin origin, monotonic_time now);
  void OnStep(const version_delta& step, monotonic_time now);
  // Sends a peer that has `known` what is in force here.
  void SendVersion(const member& to, uint64_t known, monotonic_time now);
  void HelpLagging(const member& other, monotonic_time now);
  std::chrono::milliseconds HelpDelay(const member& other) const;
  // Whoever sends a version waits to hear that it is in force here.
  void SayVersion(const std::string& to, monotonic_time now);
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
  void FollowOwners(monotonic_time now);
  void PlacePart(uint32_t number, shard& from, const part_call& call, monotonic_time now);

  // node_evacuate.cc: shards of lost failure domains.
  std::string AliveIn(const std::string& domain, monotonic_time now) const;
  void TickEvacuations(monotonic_time now);
  void TakeEvacuated(open_evacuation& open, monotonic_time now);
  void LoseEvacuated(open_evacuation& open, monotonic_time now);
  void MoveEvacuated(open_evacuation& open, monotonic_time now);
  void AnswerEvacuation(open_evacuation& open, monotonic_time now);
  std::string EvacuationText(const open_evacuation& open, monotonic_time now) const;
  std::string NameOf(uint32_t number) const;
  bool MayActFor(uint32_t number) const;

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
  peer_auth peer_auth_;
  peer_mailbox mailbox_;
  http_server front_;

  // The core thread's.
  team_names teams_;
  router routes_;
  request_table table_;
  ownership ownership_;
  config_keeper versions_;
  grant_keeper grants_;
  membership members_;
  usage_spread usage_;
  instance_turns turns_;
  job_keeper jobs_;
  incarnation_keeper lives_;
  std::vector<opened_log> opened_;  // of shards that wait for their parts of the limits
  std::map<uint32_t, std::unique_ptr<shard>> shards_;
  std::map<std::string, peer_notes> notes_;
  std::set<std::string> endpoint_names_;  // of the whole fleet, as last listed
  gone_endpoints gone_;                   // drained ones that left the list
  std::vector<instance> own_endpoints_;   // of this failure domain
  resources cell_capacity_;
  std::vector<message_body> local_;  // messages to ourselves
  std::vector<early_service> early_services_;
  std::map<std::string, uint64_t> followed_epochs_;  // of shards, that homes here have heard of
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
  monotonic_time next_reply_{};
  monotonic_time next_usage_{};
  uint64_t beat_ = 0;
  monotonic_time next_gauges_{};
  monotonic_time shutdown_deadline_{};
  bool store_was_up_ = false;  // nothing is said before the first answer
  bool was_ready_ = false;
  uint64_t grant_moves_ = 0;      // that were told
  uint64_t refused_batches_ = 0;  // that was told
  uint64_t refused_version_ = 0;  // that was told
  bool shutting_down_ = false;
  bool done_ = false;
  std::thread core_;

  // What calls of other domains' entries are answered with; made by the core, read by the mailbox's
  // threads.
  std::mutex reply_mutex_;
  heartbeat_message reply_;
  monotonic_time reply_made_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_NODE_H_
