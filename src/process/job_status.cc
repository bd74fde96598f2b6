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

void job_status::Ask(std::set<std::string> shards) {
  open_ = std::move(shards);
  heard_.clear();
}

void job_status::Hear(const status_answer& answer) {
  open_.erase(answer.shard);
  if (answer.known) heard_[answer.shard] = answer;
}

const status_answer* job_status::Home() const {
  const status_answer* home = nullptr;
  for (const auto& [shard, answer] : heard_) {
    // A request that one shard turned away and another took is known to both.
    const bool better = home == nullptr || (home->ended && !answer.ended);
    if (answer.home.empty() && better) home = &answer;
  }
  return home;
}

bool job_status::IsWhole() const {
  if (open_.empty()) return true;
  const status_answer* home = Home();
  return home != nullptr &&
         std::none_of(home->parts.begin(), home->parts.end(),
                      [&](const job_part& part) { return open_.contains(part.shard); });
}

std::vector<job_part> job_status::Parts() const {
  const status_answer* home = Home();
  if (home != nullptr) return home->parts;
  return heard_.empty() ? std::vector<job_part>{} : heard_.begin()->second.parts;
}

http_response job_status::Response(const request_id& id) const {
  const status_answer* home = Home();
  job_progress all;
  for (const auto& [shard, answer] : heard_) Add(answer.progress, all);
  json parts = json::array();
  for (const job_part& part : Parts()) {
    const auto heard = heard_.find(part.shard);
    json one = {{"shard", part.shard}, {"replicas", part.tasks}, {"heard", heard != heard_.end()}};
    if (heard != heard_.end()) one["tasks"] = ToJson(heard->second.progress);
    // Said for the replicas of a shard that was not heard: nothing is known of them.
    if (heard == heard_.end()) all.waiting += part.tasks;
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
