#include "connection/store_adapter.h"

#include <curl/curl.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "connection/json_fields.h"

namespace catkinford {
namespace {

using nlohmann::json;

// Determines what a lost reply means.
enum class call_effect : uint8_t { kReads, kWrites };

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflictCode = 409;
constexpr int kServerFault = 500;
constexpr int kServiceUnavailable = 503;

std::string UrlEscaped(const std::string& text) {
  char* escaped = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = escaped == nullptr ? std::string{} : std::string{escaped};
  curl_free(escaped);
  return result;
}

// A write whose reply is lost may have taken effect: assuming that it failed would let the writer
// act on an old value, and assuming that it succeeded on a value that is not stored. A read without
// a reply is equivalent to an outage.
store_status StatusOfLostReply(call_effect effect) {
  return effect == call_effect::kWrites ? store_status::kUnknown : store_status::kUnavailable;
}

store_status StatusOf(const http_result& result, call_effect effect) {
  if (result.status == transfer_status::kNotSent) return store_status::kUnavailable;
  if (result.status == transfer_status::kMaybeSent) return StatusOfLostReply(effect);
  if (result.code == kOk) return store_status::kDone;
  if (result.code == kNotFound) return store_status::kAbsent;
  if (result.code == kConflictCode) return store_status::kConflict;
  if (result.code >= kServerFault && result.code != kServiceUnavailable)
    return StatusOfLostReply(effect);
  return store_status::kUnavailable;
}

store_item ReadItem(const json& object) {
  return {TextAt(object, "key"), TextAt(object, "value"), NumberAt(object, "revision")};
}

store_reply ReadReply(const http_result& result, call_effect effect) {
  store_reply reply;
  reply.status = StatusOf(result, effect);
  const bool has_body = reply.status == store_status::kDone ||
                        reply.status == store_status::kConflict ||
                        reply.status == store_status::kAbsent;
  if (!has_body) return reply;
  const json body = ParseObject(result.body);
  if (body.is_discarded()) {
    reply.status = StatusOfLostReply(effect);
    return reply;
  }
  reply.revision = NumberAt(body, "revision");
  reply.lease = TextAt(body, "lease");
  if (body.contains("value")) reply.items.push_back(ReadItem(body));
  for (const json& item : ArrayAt(body, "items")) reply.items.push_back(ReadItem(item));
  return reply;
}

http_client::callback ReadCallback(store_adapter::callback done) {
  return [done = std::move(done)](const http_result& result) {
    done(ReadReply(result, call_effect::kReads));
  };
}

http_client::callback WriteCallback(store_adapter::callback done) {
  return [done = std::move(done)](const http_result& result) {
    done(ReadReply(result, call_effect::kWrites));
  };
}

}  // namespace

store_adapter::store_adapter(http_client& http, std::string base_url,
                             std::chrono::milliseconds timeout)
    : http_(http), base_url_(std::move(base_url)), timeout_(timeout) {}

void store_adapter::Get(const std::string& key, callback done) {
  http_call call{"GET", absl::StrCat(base_url_, "/v1/kv?key=", UrlEscaped(key))};
  call.timeout = timeout_;
  call.stall_timeout = timeout_;
  http_.Send(std::move(call), ReadCallback(std::move(done)));
}

void store_adapter::Range(const std::string& prefix, callback done) {
  http_call call{"GET", absl::StrCat(base_url_, "/v1/range?prefix=", UrlEscaped(prefix))};
  call.timeout = timeout_;
  call.stall_timeout = timeout_;
  http_.Send(std::move(call), ReadCallback(std::move(done)));
}

void store_adapter::CompareAndSwap(const std::string& key, uint64_t expect,
                                   const std::optional<std::string>& value,
                                   const std::string& write_id, const std::string& lease,
                                   callback done) {
  std::string body = absl::StrCat("{\"key\":", Quoted(key), ",\"expect\":", expect, ",\"value\":");
  absl::StrAppend(&body, value ? Quoted(*value) : std::string{"null"});
  absl::StrAppend(&body, ",\"write_id\":", Quoted(write_id));
  if (!lease.empty()) absl::StrAppend(&body, ",\"lease\":", Quoted(lease));
  body.push_back('}');
  http_call call{"POST", base_url_ + "/v1/cas", std::move(body)};
  call.timeout = timeout_;
  call.stall_timeout = timeout_;
  http_.Send(std::move(call), [key, done = std::move(done)](const http_result& result) {
    store_reply reply = ReadReply(result, call_effect::kWrites);
    if (!reply.items.empty() && reply.items.front().key.empty()) reply.items.front().key = key;
    done(std::move(reply));
  });
}

void store_adapter::GrantLease(std::chrono::milliseconds ttl, callback done) {
  http_call call{"POST", base_url_ + "/v1/leases", absl::StrCat("{\"ttl_ms\":", ttl.count(), "}")};
  call.timeout = timeout_;
  http_.Send(std::move(call), WriteCallback(std::move(done)));
}

void store_adapter::KeepLease(const std::string& lease, callback done) {
  http_call call{"POST", base_url_ + "/v1/leases/keepalive",
                 absl::StrCat("{\"lease\":", Quoted(lease), "}")};
  call.timeout = timeout_;
  http_.Send(std::move(call), WriteCallback(std::move(done)));
}

void store_adapter::Watch(const std::string& prefix, uint64_t after, std::chrono::milliseconds wait,
                          callback done) {
  http_call call{"GET", absl::StrCat(base_url_, "/v1/watch?prefix=", UrlEscaped(prefix),
                                     "&after=", after, "&wait_ms=", wait.count())};
  call.timeout = timeout_ + wait;
  call.stall_timeout = timeout_;
  http_.Send(std::move(call), ReadCallback(std::move(done)));
}

}  // namespace catkinford
