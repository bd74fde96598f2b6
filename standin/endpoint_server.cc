#include "standin/endpoint_server.h"

#include <optional>

#include "absl/strings/str_split.h"
#include "standin/json_fields.h"

namespace catkinford {
namespace {

using std::chrono::steady_clock;

constexpr int kHttpThreads = 2;
constexpr size_t kBodyLimit = size_t{16} << 20;

std::optional<endpoint_mode> ParseMode(const std::string& text) {
  if (text == "up") return endpoint_mode::kUp;
  if (text == "dead") return endpoint_mode::kDead;
  if (text == "silent") return endpoint_mode::kSilent;
  if (text == "lose_replies") return endpoint_mode::kLoseReplies;
  if (text == "fail_all") return endpoint_mode::kFailAll;
  if (text == "broken") return endpoint_mode::kBroken;
  if (text == "leaving") return endpoint_mode::kLeaving;
  return std::nullopt;
}

http_server_options HttpOptions(const endpoint_server_options& options) {
  http_server_options http;
  http.port = options.port;
  http.threads = kHttpThreads;
  http.body_limit = kBodyLimit;
  http.connection_limit = 16384;
  http.idle_timeout = std::chrono::seconds{300};
  return http;
}

}  // namespace

endpoint_server::endpoint_server(endpoint_server_options options)
    : options_(std::move(options)),
      http_(HttpOptions(options_),
            [this](http_server::token token, const http_request& request) {
              OnRequest(token, request);
            }),
      timer_([this] { return OnWake(); }) {
  for (const std::string& name : options_.names) {
    endpoint_options endpoint{name, options_.shape, 64, options_.fencing, options_.incarnation};
    index_by_name_[name] = endpoints_.size();
    endpoints_.push_back({std::make_unique<endpoint_model>(std::move(endpoint), record_)});
  }
}

endpoint_server::~endpoint_server() { Stop(); }

bool endpoint_server::Start() {
  if (!http_.Start()) return false;
  timer_.Start();
  return true;
}

void endpoint_server::Stop() {
  timer_.Stop();
  http_.Stop();
}

void endpoint_server::OnRequest(http_server::token token, const http_request& request) {
  if (request.path == "/record") {
    std::string text;
    {
      const std::lock_guard lock(mutex_);
      text = record_.Text();
    }
    return http_.Respond(token, {200, std::move(text), "application/x-ndjson"});
  }
  const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (request.method == "POST" && body.is_discarded()) {
    return http_.Respond(token, ErrorReply(400, "bad_json"));
  }
  due_replies replies;
  if (request.path == "/control") {
    const std::lock_guard lock(mutex_);
    replies.emplace_back(token, Control(body, replies));
  } else {
    const std::vector<std::string> parts = absl::StrSplit(request.path, '/');
    const bool well_formed = parts.size() == 5 && parts[1] == "v1" && parts[2] == "endpoints";
    const std::lock_guard lock(mutex_);
    const auto found = well_formed ? index_by_name_.find(parts[3]) : index_by_name_.end();
    if (found == index_by_name_.end()) {
      replies.emplace_back(token, ErrorReply(404, "no_such_endpoint"));
    } else {
      endpoints_[found->second].model->Handle(parts[4], token, body, steady_clock::now(), replies);
      Schedule(found->second);
    }
  }
  Send(replies);
}

http_response endpoint_server::Control(const nlohmann::json& body, due_replies& replies) {
  const auto found = index_by_name_.find(TextOf(body, "endpoint", ""));
  const std::optional<endpoint_mode> mode = ParseMode(TextOf(body, "mode", ""));
  if (found == index_by_name_.end() || !mode) return ErrorReply(422, "bad_field");
  endpoints_[found->second].model->SetMode(*mode, steady_clock::now(), replies);
  Schedule(found->second);
  return JsonReply(200, nlohmann::json::object());
}

// Requires mutex_. Queue entries whose time differs from the endpoint's `next_wake` are stale and
// are skipped by OnWake().
void endpoint_server::Schedule(size_t index) {
  scheduled_endpoint& endpoint = endpoints_[index];
  const monotonic_time next = endpoint.model->NextWake();
  if (next >= endpoint.next_wake) return;
  endpoint.next_wake = next;
  wake_queue_.emplace(next, index);
  timer_.WakeBy(next);
}

monotonic_time endpoint_server::OnWake() {
  due_replies replies;
  monotonic_time next = monotonic_time::max();
  {
    const std::lock_guard lock(mutex_);
    const monotonic_time now = steady_clock::now();
    while (!wake_queue_.empty() && wake_queue_.top().first <= now) {
      const auto [at, index] = wake_queue_.top();
      wake_queue_.pop();
      scheduled_endpoint& endpoint = endpoints_[index];
      if (endpoint.next_wake != at) continue;
      endpoint.next_wake = monotonic_time::max();
      endpoint.model->Tick(now, replies);
      Schedule(index);
    }
    if (!wake_queue_.empty()) next = wake_queue_.top().first;
  }
  Send(replies);
  return next;
}

void endpoint_server::Send(due_replies& replies) {
  for (auto& [token, response] : replies) http_.Respond(token, std::move(response));
}

}  // namespace catkinford
