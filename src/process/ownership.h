// Who owns the shards of this entry's failure domain.
//
// A shard's record in the platform's store names its owner and an epoch that only grows; it is
// changed by compare-and-swap alone. An entry is alive while its member key hangs on its lease.
// Nothing lapses by itself: an owner goes on until it hears that another has taken its place, and
// endpoints refuse the lower epoch. Pure: replies, peers' signs of life and time come in, store
// calls and changes of ownership go out. docs/design/ tells what was weighed.
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
  uint64_t incarnation = 0;  // of this process; higher than that of any earlier one of its name
  std::string failure_domain;
  std::string address;  // for peers
  std::string caller_address;
  uint32_t shards = 1;  // of this failure domain, numbered from zero
  std::chrono::milliseconds member_lease{1500};
  bool endpoints_fence = true;
  // Without fencing: how much earlier than the store an owner counts its lease as lapsed, and how
  // long a new owner waits for the starts that the old one had under way.
  std::chrono::milliseconds clock_margin{150};
  std::chrono::milliseconds flight_margin{500};
  // A leaving owner that for this long had no answer of the store, or no member to hand a shard to,
  // stops waiting for one. As long as a call to the store may take: one more would time out, too.
  std::chrono::milliseconds hand_over_timeout{2000};
};

enum class ownership_event_kind : uint8_t {
  kGained,           // fence and list the shard's endpoints under `epoch`, then start there
  kLost,             // start nothing there any more; `peer` is the new owner, if known
  kQueryOwner,       // ask `peer` whether it still owns `shard`: answer by OnOwnerAnswer()
  kNotifySuccessor,  // tell `peer` that it owns `shard` now: it calls OnHandedOver()
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

// As last seen in the store; empty owner: nobody has ever owned it.
struct shard_owner {
  std::string owner;
  uint64_t epoch = 0;
};

// The answer to a peer that asks before it takes a shard over.
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

  // From heartbeats between entries.
  void OnPeerAlive(const std::string& peer, monotonic_time now);
  void OnPeerSilent(const std::string& peer, monotonic_time now);
  // From the peer mailbox.
  owner_answer OnOwnerQuery(uint32_t shard, monotonic_time now);
  void OnOwnerAnswer(const std::string& peer, uint32_t shard, bool holds, monotonic_time now);
  void OnHandedOver(monotonic_time now);
  // An endpoint refused our epoch for a higher one.
  void OnFenced(uint32_t shard, uint64_t epoch, monotonic_time now, ownership_actions& out);

  // Hands every shard to another member and leaves. Goes on owning what nobody can take.
  void Release(monotonic_time now, ownership_actions& out);
  bool Releasing() const { return releasing_; }
  bool Released() const { return registration_.Left(); }
  // Leaving, and nobody can be given the shards: the store does not answer, or has no other member
  // of the domain.
  bool CannotHandOver(monotonic_time now) const;

  // Whether a start may be sent now. Asked immediately before the send, not when the request came.
  bool MayStart(uint32_t shard, monotonic_time now) const;
  bool Owns(uint32_t shard) const;
  // Our epoch; zero when the shard is not ours.
  uint64_t Epoch(uint32_t shard) const;
  shard_owner OwnerOf(uint32_t shard) const;
  // The domain's members as last read, by name.
  const absl::btree_map<std::string, member_record>& Members() const { return members_; }
  // When the store last answered with anything definite.
  monotonic_time LastStoreAnswer() const;

 private:
  // What this entry knows of one shard.
  struct shard_state {
    shard_record record;
    uint64_t revision = 0;         // of the record; zero: there is none
    uint64_t fenced_epoch = 0;     // the highest that an endpoint has told of
    uint64_t held_epoch = 0;       // zero: not ours
    std::string held_lease;        // our lease when it was last confirmed ours
    monotonic_time start_after{};  // without fencing: when the old owner's starts have arrived
    uint64_t swap_tag = 0;         // of a compare-and-swap under way
    shard_record swap_record;      // what it writes
    std::string swap_lease;        // our lease when it was sent
    bool unresolved = false;       // a swap's reply was lost, so it may still take effect
    monotonic_time free_since{};   // when it was first seen without a living owner
    bool is_free = false;
    monotonic_time first_query{};  // when its owner was first asked; zero: not asked
    monotonic_time next_query{};
    monotonic_time confirmed{};  // when its owner last answered that it holds it
    uint64_t yielded_epoch = 0;  // the owner said that it no longer holds this epoch
    monotonic_time first_query_received{};
    monotonic_time last_query_received{};
  };

  struct peer_state {
    bool silent = false;
  };

  struct poll_state {
    uint64_t shards_tag = 0;   // first the shards are read,
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

  // Deciding, always on a fresh poll.
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
  // What a claim of the shard writes.
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
  monotonic_time
      no_successor_since_{};  // epoch of the clock: there is an heir, or none was looked for
  bool releasing_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_OWNERSHIP_H_
