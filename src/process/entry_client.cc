#include "process/entry_client.h"

#include <utility>

#include "nlohmann/json.hpp"
#include "request/bounded_json.h"
#include "request/outcome.h"

namespace catkinford {
namespace {

constexpr int kUnavailable = 503;

// Whether the entry answered that it is shutting down; the call then goes to another one.
bool IsLeaving(const http_result& result) {
  if (result.code != kUnavailable) return false;
  const auto body = ParseJson(result.body);
  if (!body.is_object()) return false;
  const std::string reason(ToText(rejection_reason::kShuttingDown));
  return body.value("reason", nlohmann::json()) == reason ||
         body.value("error", nlohmann::json()) == reason;
}

}  // namespace

std::optional<std::string> BaseUrl(const std::string& entry) {
  for (const std::string scheme : {"http://", "https://"}) {
    if (entry.compare(0, scheme.size(), scheme) != 0) continue;
    const size_t end = entry.find_last_not_of('/');
    if (end < scheme.size()) return std::nullopt;
    return entry.substr(0, end + 1);
  }
  return std::nullopt;
}

entry_client::entry_client(http_client& http, entry_client_options options)
    : http_(http), options_(std::move(options)) {}

http_call entry_client::CallTo(const std::string& entry, const std::string& method,
                               const std::string& path, const std::string& body) const {
  http_call call;
  call.method = method;
  call.url = entry + path;
  call.body = body;
  call.bearer = options_.key;
  call.timeout = options_.timeout;
  return call;
}

http_result entry_client::Call(const std::string& method, const std::string& path,
                               const std::string& body) {
  http_result last;
  bool maybe_sent = false;
  for (const std::string& entry : options_.entries) {
    http_result result = http_.SendAndWait(CallTo(entry, method, path, body));
    if (result.status == transfer_status::kDone) {
      last = std::move(result);
      if (!IsLeaving(last)) return last;
    } else if (result.status == transfer_status::kMaybeSent) {
      maybe_sent = true;
    }
  }
  // The rejection by an entry that is shutting down does not cover another one that received the
  // call and did not answer.
  if (maybe_sent) return {transfer_status::kMaybeSent, 0, ""};
  return last;
}

http_result entry_client::CallAt(size_t entry, const std::string& method, const std::string& path,
                                 const std::string& body) {
  return http_.SendAndWait(CallTo(options_.entries[entry], method, path, body));
}

}  // namespace catkinford
