// Decides which entry owns the shards of this entry's failure domain.
//
// A shard's record in the platform's store names its owner and an epoch that only grows; it is
// changed only by compare-and-swap. An entry is alive while its member key is attached to its
// lease. Ownership does not expire by itself: an owner continues until it learns that another entry
// has taken over, and endpoints reject the lower epoch. Pure: takes replies, liveness of peers and
// time, and returns store calls and changes of ownership. See docs/design/ for the alternatives.
#ifndef CATKINFORD_PROCESS_OWNERSHIP_H_
#define CATKINFORD_PROCESS_OWNERSHIP_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "connection/store_adapter.h"
#include "process/ownership_record.h"
#include "process/registration.h"
#include "request/job_request.h"

namespace catkinford {

struct ownership_options {
  std::string name;          // of this entry
  uint64_t incarnation = 0;  // of this process; higher than that of any earlier one
  std::string failure_domain;
  std::string address;  // for peers
  std::string caller_address;
  uint32_t shards = 1;  // in this failure domain, numbered from zero
  std::chrono::milliseconds member_lease{1500};
  bool endpoints_fence = true;
  // Without fencing: how much earlier than the store an owner treats its lease as expired, and how
  // long a new owner waits for starts that the old one had in flight.
  std::chrono::milliseconds clock_margin{150};
  std::chrono::milliseconds in_flight_margin{500};
  // How long a leaving owner waits without an answer from the store, or without a member to hand a
  // shard to. As long as a call to the store may take: another one would time out too.
  std::chrono::milliseconds hand_over_timeout{2000};
};

enum class ownership_event_kind : uint8_t {
  kGained,           // fence and list the shard's endpoints under `epoch`, then start tasks
  kLost,             // start nothing there any more; `peer` is the new owner, if known
  kQueryOwner,       // query `peer` whether it still owns `shard`; answer with OnOwnerAnswer()
  kNotifySuccessor,  // notify `peer` that it owns `shard` now; it calls OnHandedOver()
};

struct ownership_event {
  ownership_event_kind kind = ownership_event_kind::kGained;
  uint32_t shard = 0;
  uint64_t epoch = 0;
  std::string peer;
};

struct ownership_actions {
  std::vector<store_request> calls;
  std::vector<ownership_event> events;
};

// As last read from the store; an empty owner means that the shard never had one.
struct shard_owner {
  std::string owner;
  uint64_t epoch = 0;
};

// The answer to a peer that queries this entry before it takes a shard over.
struct owner_answer {
  bool holds = false;
  uint64_t epoch = 0;
};

class ownership {
 public:
  explicit ownership(ownership_options options);

  void Tick(monotonic_time now, ownership_actions& out);
  void OnStoreReply(uint64_t tag, const store_reply& reply, monotonic_time now,
                    ownership_actions& out);

  // Liveness from heartbeats between entries.
  void OnPeerAlive(const std::string& peer, monotonic_time now);
  void OnPeerSilent(const std::string& peer, monotonic_time now);
  // Messages from the peer mailbox.
  owner_answer OnOwnerQuery(uint32_t shard, monotonic_time now);
  void OnOwnerAnswer(const std::string& peer, uint32_t shard, bool holds, monotonic_time now);
  void OnHandedOver(monotonic_time now);
  // An endpoint rejected our epoch because it has seen a higher one.
  void OnFenced(uint32_t shard, uint64_t epoch, monotonic_time now, ownership_actions& out);

  // Hands every shard to another member and leaves. Keeps the shards that no member can take.
  void Release(monotonic_time now, ownership_actions& out);
  bool Releasing() const { return releasing_; }
  bool Released() const { return registration_.Left(); }
  // Leaving, but the shards can't be handed over: the store does not answer, or has no other member
  // of the domain.
  bool CannotHandOver(monotonic_time now) const;

  // Whether a start may be sent now. Must be checked immediately before each send.
  bool MayStart(uint32_t shard, monotonic_time now) const;
  bool Owns(uint32_t shard) const;
  // Our epoch; zero when this entry does not own the shard.
  uint64_t Epoch(uint32_t shard) const;
  shard_owner OwnerOf(uint32_t shard) const;
  // Members of the domain as last read, by name.
  const absl::btree_map<std::string, member_record>& Members() const { return members_; }
  // When the store last gave a definite answer.
  monotonic_time LastStoreAnswer() const;

 private:
  // State of one shard as this entry knows it.
  struct shard_state {
    shard_record record;
    uint64_t revision = 0;         // of the record; zero: there is none
    uint64_t fenced_epoch = 0;     // the highest epoch reported by an endpoint
    uint64_t held_epoch = 0;       // zero: not owned by this entry
    std::string held_lease;        // our lease when ownership was last confirmed
    monotonic_time start_after{};  // without fencing: when the old owner's starts have arrived
    uint64_t swap_tag = 0;         // of a compare-and-swap in flight
    shard_record swap_record;      // what it writes
    std::string swap_lease;        // our lease when it was sent
    bool unresolved = false;       // a swap's reply was lost, so it may still take effect
    monotonic_time free_since{};   // when it was first seen without a live owner
    bool is_free = false;
    monotonic_time first_query{};  // when its owner was first queried; zero: not queried
    monotonic_time next_query{};
    monotonic_time confirmed{};  // when its owner last confirmed that it holds the shard
    uint64_t yielded_epoch = 0;  // the owner reported that it no longer holds this epoch
    monotonic_time first_query_received{};
    monotonic_time last_query_received{};
  };

  struct peer_state {
    bool silent = false;
  };

  struct poll_state {
    uint64_t shards_tag = 0;   // the shards are read first,
    uint64_t members_tag = 0;  // then the members
    monotonic_time sent{};
    std::vector<store_item> shards;
  };

  // Reading.
  void StartPoll(monotonic_time now, ownership_actions& out);
  bool OnPollReply(uint64_t tag, const store_reply& reply, monotonic_time now,
                   ownership_actions& out);
  void ReadMembers(const std::vector<store_item>& items, monotonic_time now);
  void ReadShards(monotonic_time now, ownership_actions& out);
  void ApplyRecord(uint32_t shard, const shard_record& record, uint64_t revision,
                   const std::string& lease, monotonic_time now, ownership_actions& out);
  bool NeedsFastPoll() const;

  // Decisions, always based on a fresh poll.
  void Decide(monotonic_time now, ownership_actions& out);
  bool OwnerIsLost(uint32_t shard, monotonic_time now, ownership_actions& out);
  bool OwnerIsSilent(uint32_t shard, monotonic_time now, ownership_actions& out);
  void ClaimFree(monotonic_time now, ownership_actions& out);
  void ReconfirmHeld(ownership_actions& out);
  void Balance(monotonic_time now, ownership_actions& out);
  std::vector<member_load> Loads(bool with_self) const;

  // Writing.
  void Swap(uint32_t shard, const shard_record& record, ownership_actions& out);
  void OnSwapReply(uint32_t shard, const store_reply& reply, monotonic_time now,
                   ownership_actions& out);
  void Gain(uint32_t shard, bool from_self, const std::string& lease, monotonic_time now,
            ownership_actions& out);
  void Lose(uint32_t shard, ownership_actions& out);

  bool IsSelf(const shard_record& record) const;
  // The record that a claim of the shard writes.
  shard_record ClaimOf(const shard_state& state) const;

  ownership_options options_;
  registration registration_;
  call_tags tags_;
  std::vector<shard_state> shards_;
  absl::btree_map<std::string, member_record> members_;
  absl::flat_hash_map<std::string, peer_state> peers_;
  poll_state poll_;
  monotonic_time last_tick_{};
  monotonic_time next_poll_{};
  monotonic_time members_changed_{};
  monotonic_time last_poll_done_{};
  monotonic_time release_begun_{};
  monotonic_time no_successor_since_{};  // zero: there is one, or none is needed
  bool releasing_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_OWNERSHIP_H_
