// The messages between entries. Each is idempotent: lost or doubled ones are mended end to end, by
// the entry that waits for the outcome, so that the mailbox promises nothing but speed.
#ifndef CATKINFORD_PROCESS_MESSAGE_H_
#define CATKINFORD_PROCESS_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "connection/instance_adapter.h"
#include "process/decision_core.h"
#include "request/job_part.h"
#include "request/job_request.h"
#include "request/outcome.h"
#include "version/config_version_tracker.h"

namespace catkinford {

// Entry to owner: run this. Sent again until an outcome comes.
struct place_message {
  request_id id;
  std::string shard;
  std::string team;
  workload_kind kind = workload_kind::kInteractive;
  bool urgent = false;
  bool repeatable = true;
  bool wait = false;   // the caller waits for the end, also of durable work
  bool fresh = false;  // surely never sent to any owner before, by any entry
  uint32_t tasks = 1;
  resources each;
  std::chrono::milliseconds run_time{0};
  std::chrono::milliseconds deadline_left{0};  // at the time of sending
  std::string payload;
  // Of a job that is spread over shards: where each task lives, empty when all are in `shard`.
  std::vector<job_part> parts;
  std::string home;   // the shard that answers for the whole; empty when that is `shard`
  uint64_t send = 0;  // from a home to the owner of a part: which sending this is
  uint64_t ask = 0;   // from an entry: which of the identity's asks this is, in all its sendings
  uint64_t plan = 0;  // how often `parts` has changed
};

// Owner to entry. kAccepted may be followed by the end of the job.
struct outcome_message {
  outcome result;
};

// Entry to owner, or home to the owner of a part.
struct cancel_message {
  request_id id;
  std::string shard;
  std::string home;   // empty: from an entry
  uint64_t send = 0;  // from a home: which sending this is
};

// The owner of a part to the home of its job.
struct part_answer_message {
  request_id id;
  std::string home;
  std::string shard;             // the part's
  uint64_t send = 0;             // the last message about the part that this answer has seen
  bool cancelled = false;        // it was told to end
  bool ran = false;              // something of it has run
  std::vector<uint32_t> failed;  // of a part that is over: its tasks that failed
  outcome result;                // accepted: its record is durable
};

struct job_progress {
  uint32_t waiting = 0;
  uint32_t running = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
};

// Entry to owner: how is this job?
struct status_query {
  request_id id;
  std::string shard;
  uint64_t query = 0;  // names the question at the entry that asks
};

struct status_answer {
  uint64_t query = 0;
  std::string owner;  // who answers
  std::string shard;
  std::string home;             // of a part: the shard that answers for the whole
  std::vector<job_part> parts;  // of a spread job
  bool known = false;
  std::string team;  // whose job it is
  job_progress progress;
  std::string waits_for;
  std::optional<outcome> ended;
};

// What an owner says of one of its shards.
struct shard_report {
  std::string shard;
  uint64_t epoch = 0;
  uint32_t endpoints = 0;
  shard_summary summary;
};

// What an entry says of itself: by itself, or passed on by another entry of its failure domain.
struct entry_word {
  std::string name;
  std::string address;               // of the peer port; empty where the platform's list has it
  uint64_t incarnation = 0;          // grows with each start of the process
  uint64_t beat = 0;                 // grows with each word of one process
  std::chrono::milliseconds age{0};  // a duration, so that clocks need not agree
  uint64_t config_version = 0;
  bool leaving = false;
  std::vector<shard_report> shards;
};

struct heartbeat_message {
  std::string failure_domain;     // of all that it tells of
  bool wants_reply = false;       // the call's answer brings the other failure domain's words
  std::vector<entry_word> words;  // the sender's own first
};

// Running work of one team, for shares over the whole cell.
struct team_report {
  std::string team;
  resources running;
};

// What has changed of the teams' use since the sender's last message of the kind.
struct usage_message {
  uint64_t incarnation = 0;  // of the sender
  uint64_t sequence = 0;     // older ones are ignored
  bool whole = false;        // forget what was said before
  std::vector<team_report> teams;
};

// Reader of the instance list to its neighbours: what has changed since it read last.
struct instances_message {
  uint64_t digest = 0;            // of the whole list as read
  std::vector<instance> changed;  // without address where that is as before
  std::vector<std::string> gone;
};

// A call to this process of a neighbour was refused: others need not wait for its next heartbeat.
struct silent_message {
  std::string name;
  uint64_t incarnation = 0;
  uint64_t beat = 0;  // its last word that the sender has heard
};

struct config_message {
  uint64_t version = 0;
  std::string text;
};

// The same for a peer that has the version before.
struct config_step_message {
  version_delta step;
};

// To an owner that looks lapsed, before its shard is taken over.
struct ask_owner_message {
  uint32_t shard = 0;  // number within the failure domain
};

struct owner_alive_message {
  uint32_t shard = 0;
  bool holds = false;
};

// To the entry that sent a place here: this entry does not own the shard, and has not started it.
struct not_owner_message {
  request_id id;
  std::string shard;
};

// Leaving owner to its heir: the shard is free, take it now.
struct release_message {};

using message_body =
    std::variant<place_message, outcome_message, cancel_message, part_answer_message, status_query,
                 status_answer, heartbeat_message, config_message, config_step_message,
                 ask_owner_message, owner_alive_message, not_owner_message, release_message,
                 usage_message, silent_message, instances_message>;

struct peer_message {
  std::string from;  // entry
  message_body body;
};

// One text for a batch from one sender.
std::string EncodeBatch(const std::string& from, const std::vector<message_body>& batch);
// Messages that cannot be read are left out; a text that is no batch gives none.
std::vector<peer_message> DecodeBatch(const std::string& text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_MESSAGE_H_
