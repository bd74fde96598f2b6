// The part of an entry that answers how a job is, and cancels it.
#include <algorithm>
#include <set>
#include <utility>

#include "process/node.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOwnersAnswer{1000};   // for a status question to all owners
constexpr milliseconds kStatusInterval{100};  // between questions of one that waits
constexpr milliseconds kCancelAnswer{10000};
constexpr char kNoSuchJob[] = "no owner that answered knows this job";
constexpr char kHomeSilent[] = "the shard that answers for the whole job cannot be reached";

}  // namespace

void node::Handle(http_server::token token, const std::string& key, const status_call& call,
                  monotonic_time now) {
  open_status question;
  question.token = token;
  question.id = call.id;
  question.wait_until = now + std::min(call.wait, config_.timing.max_deadline);
  OpenStatus(key, std::move(question), now);
}

void node::Handle(http_server::token token, const std::string& key, const cancel_call& call,
                  monotonic_time now) {
  open_status question;
  question.token = token;
  question.id = call.id;
  question.cancel = true;
  OpenStatus(key, std::move(question), now);
}

void node::OpenStatus(const std::string& key, open_status question, monotonic_time now) {
  const std::optional<key_holder> holder = HolderOf(key, now);
  if (!holder) {
    front_.Respond(question.token, ErrorResponse(401, "unknown_key"));
    return;
  }
  question.team = holder->team;
  const uint64_t query = next_query_++;
  open_status& open = statuses_[query] = std::move(question);
  AskStatus(query, open, now);
}

// Asks the owner of each shard: an identity does not tell where it lives when it was placed by
// load, and a spread job lives in several.
void node::AskStatus(uint64_t query, open_status& open, monotonic_time now) {
  open.give_up = now + kOwnersAnswer;
  open.next_ask = monotonic_time::max();
  std::set<std::string> asked;
  for (const auto& [name, route] : routes_.Routes()) {
    if (routes_.OwnerOf(name, now)) asked.insert(name);
  }
  open.heard.Start(asked);
  for (const std::string& name : asked) {
    Send(*routes_.OwnerOf(name, now), status_query{open.id, name, query}, now);
  }
}

void node::OnStatusAnswer(const status_answer& answer, monotonic_time now) {
  const auto found = statuses_.find(answer.query);
  if (found == statuses_.end()) return;
  open_status& open = found->second;
  status_answer heard = answer;
  // Another team's job is as unknown to this caller as one that never was.
  heard.known = answer.known && (open.team.empty() || open.team == answer.team);
  open.heard.OnAnswer(heard);
  const status_answer* home = open.heard.Home();
  if (open.cancel && home != nullptr) {
    SendCancel(open, *home, now);
    statuses_.erase(found);
    return;
  }
  if (!open.heard.IsComplete()) return;
  if (home != nullptr && !home->ended && now < open.wait_until) {
    open.next_ask = now + kStatusInterval;
    open.give_up = monotonic_time::max();
    return;
  }
  AnswerStatus(answer.query, now);
}

// The home of a spread job tells the other shards.
void node::SendCancel(const open_status& open, const status_answer& home, monotonic_time now) {
  cancels_[open.id].push_back({open.token, now + kCancelAnswer});
  Send(home.owner, cancel_message{open.id, home.shard, "", 0}, now);
}

void node::AnswerStatus(uint64_t query, monotonic_time /*now*/) {
  const auto found = statuses_.find(query);
  const open_status& open = found->second;
  if (!open.cancel) {
    front_.Respond(open.token, open.heard.Response(open.id));
  } else {
    const char* why = open.heard.IsKnown() ? kHomeSilent : kNoSuchJob;
    front_.Respond(open.token, ToResponse(UnknownOutcome(open.id, why)));
  }
  statuses_.erase(found);
}

void node::TickStatus(monotonic_time now) {
  std::vector<uint64_t> over;
  for (auto& [query, open] : statuses_) {
    if (now >= open.next_ask) AskStatus(query, open, now);
    if (now >= open.give_up) over.push_back(query);
  }
  for (const uint64_t query : over) {
    const auto found = statuses_.find(query);
    if (found->second.heard.IsKnown()) {
      AnswerStatus(query, now);
      continue;
    }
    front_.Respond(found->second.token,
                   ErrorResponse(504, "unknown", "not every owner could be asked"));
    statuses_.erase(found);
  }
  std::vector<request_id> late;
  for (const auto& [id, waiting] : cancels_) {
    if (now >= waiting.front().give_up) late.push_back(id);
  }
  for (const request_id& id : late) {
    OnOutcome(UnknownOutcome(id, "cancelled, its end is not known yet"), now);
  }
  CheckChanges(now);
}

}  // namespace catkinford
