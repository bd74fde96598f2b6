// Job status and cancel.
#include <algorithm>
#include <set>
#include <utility>

#include "process/node.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOwnersAnswerTimeout{1000};  // for status queries to all owners
constexpr milliseconds kStatusPollInterval{100};    // between queries for a caller that waits
constexpr milliseconds kCancelAnswerTimeout{10000};
constexpr char kNoSuchJob[] = "no owner that answered knows this job";
constexpr char kHomeUnreachable[] = "the home shard of this job cannot be reached";

}  // namespace

void node::Handle(http_server::token token, const std::string& key, const status_call& call,
                  monotonic_time now) {
  open_status request;
  request.token = token;
  request.id = call.id;
  request.wait_until = now + std::min(call.wait, config_.timing.max_deadline);
  OpenStatus(key, std::move(request), now);
}

void node::Handle(http_server::token token, const std::string& key, const cancel_call& call,
                  monotonic_time now) {
  open_status request;
  request.token = token;
  request.id = call.id;
  request.cancel = true;
  OpenStatus(key, std::move(request), now);
}

void node::OpenStatus(const std::string& key, open_status request, monotonic_time now) {
  const std::optional<key_holder> holder = HolderOf(key, now);
  if (!holder) {
    front_.Respond(request.token, ErrorResponse(401, "unknown_key"));
    return;
  }
  request.team = holder->team;
  const uint64_t query = next_query_++;
  open_status& open = statuses_[query] = std::move(request);
  QueryOwners(query, open, now);
}

// Queries the owner of every shard: a request id does not determine the shard of a job placed by
// load, and the parts of a spread job are in several shards.
void node::QueryOwners(uint64_t query, open_status& open, monotonic_time now) {
  open.deadline = now + kOwnersAnswerTimeout;
  open.next_poll = monotonic_time::max();
  std::set<std::string> queried;
  for (const auto& [name, route] : routes_.Routes()) {
    if (routes_.OwnerOf(name, now)) queried.insert(name);
  }
  open.status.Start(queried);
  for (const std::string& name : queried) {
    Send(*routes_.OwnerOf(name, now), status_query{open.id, name, query}, now);
  }
}

void node::OnStatusAnswer(const status_answer& answer, monotonic_time now) {
  const auto found = statuses_.find(answer.query);
  if (found == statuses_.end()) return;
  open_status& open = found->second;
  status_answer status = answer;
  // A job of another team is reported like one that does not exist.
  status.known = answer.known && (open.team.empty() || open.team == answer.team);
  open.status.OnAnswer(status);
  const status_answer* home = open.status.Home();
  if (open.cancel && home != nullptr) {
    SendCancel(open, *home, now);
    statuses_.erase(found);
    return;
  }
  if (!open.status.IsComplete()) return;
  if (home != nullptr && !home->ended && now < open.wait_until) {
    open.next_poll = now + kStatusPollInterval;
    open.deadline = monotonic_time::max();
    return;
  }
  AnswerStatus(answer.query, now);
}

// The home shard of a spread job forwards the cancel to the other shards.
void node::SendCancel(const open_status& open, const status_answer& home, monotonic_time now) {
  cancels_[open.id].push_back({open.token, now + kCancelAnswerTimeout});
  Send(home.owner, cancel_message{open.id, home.shard, "", 0}, now);
}

void node::AnswerStatus(uint64_t query, monotonic_time /*now*/) {
  const auto found = statuses_.find(query);
  const open_status& open = found->second;
  if (!open.cancel) {
    front_.Respond(open.token, open.status.Response(open.id));
  } else {
    const char* why = open.status.IsKnown() ? kHomeUnreachable : kNoSuchJob;
    front_.Respond(open.token, ToResponse(UnknownOutcome(open.id, why)));
  }
  statuses_.erase(found);
}

void node::TickStatus(monotonic_time now) {
  std::vector<uint64_t> expired;
  for (auto& [query, open] : statuses_) {
    if (now >= open.next_poll) QueryOwners(query, open, now);
    if (now >= open.deadline) expired.push_back(query);
  }
  for (const uint64_t query : expired) {
    const auto found = statuses_.find(query);
    if (found->second.status.IsKnown()) {
      AnswerStatus(query, now);
      continue;
    }
    front_.Respond(found->second.token,
                   ErrorResponse(504, "unknown", "not every owner could be queried"));
    statuses_.erase(found);
  }
  std::vector<request_id> expired_cancels;
  for (const auto& [id, waiting] : cancels_) {
    if (now >= waiting.front().deadline) expired_cancels.push_back(id);
  }
  for (const request_id& id : expired_cancels) {
    OnOutcome(UnknownOutcome(id, "cancelled; the outcome is not known yet"), now);
  }
  CheckChanges(now);
}

}  // namespace catkinford
