#include "standin/store_server.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "standin/json_fields.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::optional<store_mode> ParseMode(const std::string& text) {
  if (text == "up") return store_mode::kUp;
  if (text == "down") return store_mode::kDown;
  if (text == "slow") return store_mode::kSlow;
  if (text == "lose_replies") return store_mode::kLoseReplies;
  return std::nullopt;
}

http_server_options HttpOptions(uint16_t port) {
  http_server_options http;
  http.port = port;
  http.body_limit = size_t{8} << 20;
  http.idle_timeout = std::chrono::seconds{300};
  return http;
}

uint64_t QueryNumber(const http_request& request, const char* name) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(request.Query(name), &number)) return 0;
  return number;
}

store_call ParseCall(const http_request& request, nlohmann::json body) {
  store_call call;
  call.method = request.method;
  call.path = request.path;
  call.key = request.path == "/v1/kv" ? request.Query("key") : request.Query("prefix");
  call.after_revision = QueryNumber(request, "after");
  call.wait = milliseconds{QueryNumber(request, "wait_ms")};
  call.body = std::move(body);
  return call;
}

}  // namespace

store_server::store_server(uint16_t port, store_options options)
    : model_(options),
      http_(HttpOptions(port), [this](http_server::token token,
                                      const http_request& request) { OnRequest(token, request); }),
      timer_([this] { return OnWake(); }) {}

store_server::~store_server() { Stop(); }

bool store_server::Start() {
  if (!http_.Start()) return false;
  timer_.Start();
  return true;
}

void store_server::Stop() {
  timer_.Stop();
  http_.Stop();
}

void store_server::OnRequest(http_server::token token, const http_request& request) {
  nlohmann::json body;
  if (request.method == "POST") {
    body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded()) return http_.Respond(token, ErrorReply(400, "bad_json"));
  }
  store_model::due_replies replies;
  monotonic_time next;
  {
    const std::lock_guard lock(mutex_);
    if (request.path == "/control/counters") {
      replies.emplace_back(token, JsonReply(200, model_.Counters()));
    } else if (request.path == "/control") {
      replies.emplace_back(token, Control(body, replies));
    } else {
      model_.Handle(token, ParseCall(request, std::move(body)), steady_clock::now(), replies);
    }
    next = model_.NextWake();
  }
  timer_.WakeBy(next);
  Send(replies);
}

http_response store_server::Control(const nlohmann::json& body, store_model::due_replies& replies) {
  const std::optional<store_mode> mode = ParseMode(TextOf(body, "mode", ""));
  if (!mode) return ErrorReply(422, "bad_field");
  model_.SetMode(*mode, MillisecondsOf(body, "delay_ms", milliseconds{0}),
                 NumberOf(body, "ratio", 1.0), steady_clock::now(), replies);
  return JsonReply(200, nlohmann::json::object());
}

monotonic_time store_server::OnWake() {
  store_model::due_replies replies;
  monotonic_time next;
  {
    const std::lock_guard lock(mutex_);
    model_.Tick(steady_clock::now(), replies);
    next = model_.NextWake();
  }
  Send(replies);
  return next;
}

void store_server::Send(store_model::due_replies& replies) {
  for (auto& [token, response] : replies) http_.Respond(token, std::move(response));
}

}  // namespace catkinford
