#include "process/job_status.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "request/caller_call.h"

namespace catkinford {
namespace {

using json = nlohmann::json;

json ToJson(const job_progress& progress) {
  return {{"waiting", progress.waiting},
          {"running", progress.running},
          {"done", progress.done},
          {"failed", progress.failed}};
}

void Add(const job_progress& more, job_progress& sum) {
  sum.waiting += more.waiting;
  sum.running += more.running;
  sum.done += more.done;
  sum.failed += more.failed;
}

}  // namespace

void job_status::Start(std::set<std::string> shards) {
  unanswered_ = std::move(shards);
  answers_.clear();
}

void job_status::OnAnswer(const status_answer& answer) {
  unanswered_.erase(answer.shard);
  if (answer.known) answers_[answer.shard] = answer;
}

const status_answer* job_status::Home() const {
  const status_answer* home = nullptr;
  for (const auto& [shard, answer] : answers_) {
    // A request that one shard rejected and another accepted is known to both.
    const bool better = home == nullptr || (home->ended && !answer.ended);
    if (answer.home.empty() && better) home = &answer;
  }
  return home;
}

bool job_status::IsComplete() const {
  if (unanswered_.empty()) return true;
  const status_answer* home = Home();
  return home != nullptr &&
         std::none_of(home->parts.begin(), home->parts.end(),
                      [&](const job_part& part) { return unanswered_.contains(part.shard); });
}

std::vector<job_part> job_status::Parts() const {
  const status_answer* home = Home();
  if (home != nullptr) return home->parts;
  return answers_.empty() ? std::vector<job_part>{} : answers_.begin()->second.parts;
}

http_response job_status::Response(const request_id& id) const {
  const status_answer* home = Home();
  job_progress all;
  for (const auto& [shard, answer] : answers_) Add(answer.progress, all);
  json parts = json::array();
  for (const job_part& part : Parts()) {
    const auto found = answers_.find(part.shard);
    json one = {
        {"shard", part.shard}, {"replicas", part.tasks}, {"heard", found != answers_.end()}};
    if (found != answers_.end()) one["tasks"] = ToJson(found->second.progress);
    // The shard has not answered: the state of its replicas is unknown, and they count as waiting.
    if (found == answers_.end()) all.waiting += part.tasks;
    parts.push_back(std::move(one));
  }
  const bool ended = home != nullptr && home->ended;
  const char* state = all.running > 0 ? "running" : "waiting";
  if (!IsKnown()) state = "unknown";
  if (ended) state = "finished";
  json body = {{"id", ToHex(id)},
               {"state", state},
               {"waits_for", home != nullptr ? home->waits_for : ""},
               {"tasks", ToJson(all)}};
  if (!parts.empty()) body["parts"] = std::move(parts);
  if (ended) body["outcome"] = json::parse(ToResponse(*home->ended).body, nullptr, false);
  return {IsKnown() ? 200 : 404, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

}  // namespace catkinford
