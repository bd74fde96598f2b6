// The messages between entries. Each is idempotent: lost or duplicated ones are handled end to end
// by the entry that waits for the outcome, so the mailbox need not guarantee delivery.
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

// Entry to owner: run this job. Repeated until an outcome comes.
struct place_message {
  request_id id;
  std::string shard;
  std::string team;
  workload_kind kind = workload_kind::kInteractive;
  bool urgent = false;
  bool repeatable = true;
  bool wait = false;   // the caller waits for the end, also of durable work
  bool fresh = false;  // certain never to have been sent to an owner by any entry
  uint32_t tasks = 1;
  resources each;
  std::chrono::milliseconds run_time{0};
  std::chrono::milliseconds deadline_left{0};  // at the time of sending
  std::string payload;
  // For a job that is spread over shards: the shard of each task; empty when all are in `shard`.
  std::vector<job_part> parts;
  std::string home;   // the shard that answers for the whole job; empty when that is `shard`
  uint64_t send = 0;  // from a home to the owner of a part: number of this sending
  uint64_t ask = 0;   // from an entry: number of the caller's request, the same when repeated
  uint64_t plan = 0;  // how often `parts` has changed
};

// Owner to entry. The end of the job may follow after kAccepted.
struct outcome_message {
  outcome result;
};

// Entry to owner, or home to the owner of a part.
struct cancel_message {
  request_id id;
  std::string shard;
  std::string home;   // empty when sent by an entry
  uint64_t send = 0;  // from a home: number of this sending
};

// The owner of a part to the home of its job.
struct part_answer_message {
  request_id id;
  std::string home;
  std::string shard;             // of the part
  uint64_t send = 0;             // of the last message about the part that preceded this answer
  bool cancelled = false;        // the part was cancelled
  bool ran = false;              // some task of it has run
  std::vector<uint32_t> failed;  // tasks that failed, for a part that is over
  outcome result;                // kAccepted: the part's record is durable
};

struct job_progress {
  uint32_t waiting = 0;
  uint32_t running = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
};

// Entry to owner: asks for the status of a job.
struct status_query {
  request_id id;
  std::string shard;
  uint64_t query = 0;  // identifies the query at the entry that sends it
};

struct status_answer {
  uint64_t query = 0;
  std::string owner;  // entry that answers
  std::string shard;
  std::string home;             // of a part: the shard that answers for the whole job
  std::vector<job_part> parts;  // of a spread job
  bool known = false;
  std::string team;  // the job's team
  job_progress progress;
  std::string waits_for;
  std::optional<outcome> ended;
};

// State of one shard, reported by its owner.
struct shard_report {
  std::string shard;
  uint64_t epoch = 0;
  uint32_t endpoints = 0;
  shard_summary summary;
};

// State of an entry, reported by itself or forwarded by another entry of its failure domain.
struct entry_status {
  std::string name;
  std::string address;               // of the peer port; empty where the platform's list has it
  uint64_t incarnation = 0;          // grows with each start of the process
  uint64_t heartbeat = 0;            // sequence number, grows with each heartbeat of one process
  std::chrono::milliseconds age{0};  // a duration, so that clocks need not agree
  uint64_t config_version = 0;
  bool leaving = false;
  std::vector<shard_report> shards;
};

struct heartbeat_message {
  std::string failure_domain;  // of all entries in the message
  bool wants_reply = false;    // the reply to the call carries the other failure domain's statuses
  std::vector<entry_status> entries;  // the sender's own first
};

// Running work of one team, for shares over the whole cell.
struct team_report {
  std::string team;
  resources running;
};

// Changes of the teams' usage since the sender's last usage message.
struct usage_message {
  uint64_t incarnation = 0;  // of the sender
  uint64_t sequence = 0;     // older ones are ignored
  bool whole = false;        // replaces everything reported before
  std::vector<team_report> teams;
};

// Sent by the reader of the instance list to its neighbours: changes since it last read the list.
struct instances_message {
  uint64_t digest = 0;            // of the complete list as read
  std::vector<instance> changed;  // without address where that is unchanged
  std::vector<std::string> gone;
};

// A call to this process of a neighbour was refused: others need not wait for its next heartbeat.
struct silent_message {
  std::string name;
  uint64_t incarnation = 0;
  uint64_t heartbeat = 0;  // sequence number of the last one the sender has received
};

struct config_message {
  uint64_t version = 0;
  std::string text;
};

// The same for a peer that has the previous version.
struct config_step_message {
  version_delta step;
};

// Sent to an owner whose lease has expired, before its shard is taken over.
struct owner_query_message {
  uint32_t shard = 0;  // number within the failure domain
};

struct owner_answer_message {
  uint32_t shard = 0;
  bool holds = false;
};

// To the entry that sent a placement: this entry does not own the shard and has not started it.
struct not_owner_message {
  request_id id;
  std::string shard;
};

// Leaving owner to its successor: the shard has been handed over, take it now.
struct release_message {};

using message_body =
    std::variant<place_message, outcome_message, cancel_message, part_answer_message, status_query,
                 status_answer, heartbeat_message, config_message, config_step_message,
                 owner_query_message, owner_answer_message, not_owner_message, release_message,
                 usage_message, silent_message, instances_message>;

struct peer_message {
  std::string from;  // the entry
  message_body body;
};

// Encodes a batch of messages from one sender.
std::string EncodeBatch(const std::string& from, const std::vector<message_body>& batch);
// Skips messages that can't be read; returns none for a text that is not a batch.
std::vector<peer_message> DecodeBatch(const std::string& text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_MESSAGE_H_
