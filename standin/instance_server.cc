#include "standin/instance_server.h"

#include <utility>

#include "standin/json_fields.h"

namespace catkinford {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

instance_list::instance_list(milliseconds lag, nlohmann::json instances) : lag_(lag) {
  // The initial list is visible from the start.
  versions_.push_back({monotonic_time::min(), std::move(instances)});
}

nlohmann::json instance_list::Visible(monotonic_time now) {
  while (versions_.size() > 1 && versions_[1].at + lag_ <= now) versions_.pop_front();
  return {{"age_ms", lag_.count()}, {"instances", versions_.front().instances}};
}

bool instance_list::Apply(const nlohmann::json& change, monotonic_time now) {
  nlohmann::json next = versions_.back().instances;
  if (const nlohmann::json& all = ChildOf(change, "instances"); all.is_array()) {
    next = all;
  } else if (const std::string removed_name = TextOf(change, "remove", ""); !removed_name.empty()) {
    nlohmann::json remaining = nlohmann::json::array();
    for (const nlohmann::json& instance : next) {
      if (TextOf(instance, "name", "") != removed_name) remaining.push_back(instance);
    }
    next = std::move(remaining);
  } else if (const std::string name = TextOf(change, "name", ""); !name.empty()) {
    for (nlohmann::json& instance : next) {
      if (TextOf(instance, "name", "") == name) instance["state"] = TextOf(change, "state", "live");
    }
  } else {
    return false;
  }
  versions_.push_back({now, std::move(next)});
  return true;
}

instance_server::instance_server(uint16_t port, milliseconds lag, nlohmann::json instances)
    : list_(lag, std::move(instances)),
      http_(
          [&] {
            http_server_options options;
            options.port = port;
            return options;
          }(),
          [this](http_server::token token, const http_request& request) {
            OnRequest(token, request);
          }) {}

instance_server::~instance_server() { Stop(); }

bool instance_server::Start() { return http_.Start(); }

void instance_server::Stop() { http_.Stop(); }

void instance_server::OnRequest(http_server::token token, const http_request& request) {
  http_response answer = ErrorReply(404, "no_such_call");
  if (request.path == "/v1/instances") {
    const std::lock_guard lock(mutex_);
    answer = JsonReply(200, list_.Visible(steady_clock::now()));
  } else if (request.path == "/control") {
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const std::lock_guard lock(mutex_);
    answer = list_.Apply(body, steady_clock::now()) ? JsonReply(200, nlohmann::json::object())
                                                    : ErrorReply(422, "bad_field");
  }
  http_.Respond(token, std::move(answer));
}

}  // namespace catkinford
