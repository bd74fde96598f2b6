#include "standin/store_model.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "standin/json_fields.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxValueBytes = size_t{1} << 20;
constexpr milliseconds kMaxWatchWait{60000};
// Time until a call with a lost reply gets its late error.
constexpr milliseconds kLostReplyHoldTime{30000};

bool IsWrite(const store_call& call) { return call.method == "POST"; }

nlohmann::json ItemOf(const std::string& key, const std::string& value, uint64_t revision,
                      const std::string& lease) {
  return {{"key", key}, {"value", value}, {"revision", revision}, {"lease", lease}};
}

}  // namespace

bool token_bucket::TryTake(monotonic_time now) {
  if (last_ != monotonic_time{}) {
    tokens_ += rate_ * std::chrono::duration<double>(now - last_).count();
  }
  last_ = now;
  tokens_ = std::min(tokens_, rate_);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

store_model::store_model(store_options options)
    : options_(options),
      read_bucket_(options.read_rate),
      write_bucket_(options.write_rate),
      random_(options.seed) {}

void store_model::Handle(http_server::token token, store_call call, monotonic_time now,
                         due_replies& replies) {
  Tick(now, replies);
  ++counters_[IsWrite(call) ? "writes" : "reads"];
  ++counters_[absl::StrCat(call.method, " ", call.path)];
  if (mode_ == store_mode::kDown) {
    ++counters_["unavailable"];
    replies.emplace_back(token, ErrorReply(503, "unavailable"));
    return;
  }
  if (!(IsWrite(call) ? write_bucket_ : read_bucket_).TryTake(now)) {
    ++counters_["rate_refused"];
    replies.emplace_back(token, ErrorReply(429, "rate"));
    return;
  }
  if (mode_ == store_mode::kSlow) {
    delayed_.push_back({now + call_delay_, token, std::move(call)});
    return;
  }
  Execute(token, call, now, replies);
}

void store_model::Execute(http_server::token token, const store_call& call, monotonic_time now,
                          due_replies& replies) {
  const bool is_write = IsWrite(call);
  http_response answer = ErrorReply(404, "no_such_call");
  if (is_write && call.path == "/v1/cas") answer = CompareAndSwap(call.body);
  if (is_write && call.path == "/v1/leases") answer = GrantLease(call.body, now);
  if (is_write && call.path == "/v1/leases/keepalive") answer = RenewLease(call.body, now);
  if (!is_write && call.path == "/v1/kv") answer = Get(call.key);
  if (!is_write && call.path == "/v1/range") answer = Range(call.key, 0);
  if (!is_write && call.path == "/v1/watch") {
    watches_.push_back(
        {token, call.key, call.after_revision, now + std::min(call.wait, kMaxWatchWait)});
    AnswerWatches(now, replies);
    return;
  }
  const bool lost = is_write && mode_ == store_mode::kLoseReplies &&
                    std::uniform_real_distribution<double>(0, 1)(random_) < lost_reply_ratio_;
  if (lost) {
    ++counters_["lost_replies"];
    unanswered_.push_back({now + kLostReplyHoldTime, token});
  } else {
    replies.emplace_back(token, std::move(answer));
  }
  AnswerWatches(now, replies);
}

http_response store_model::Get(const std::string& key) const {
  const auto found = values_.find(key);
  if (found == values_.end()) {
    return JsonReply(404, {{"error", "absent"}, {"revision", revision_}});
  }
  const stored_value& item = found->second;
  return JsonReply(200, ItemOf(key, item.value, item.revision, item.lease));
}

http_response store_model::Range(const std::string& prefix, uint64_t after_revision) const {
  nlohmann::json items = nlohmann::json::array();
  for (auto item = values_.lower_bound(prefix);
       item != values_.end() && item->first.compare(0, prefix.size(), prefix) == 0; ++item) {
    if (item->second.revision <= after_revision) continue;
    items.push_back(
        ItemOf(item->first, item->second.value, item->second.revision, item->second.lease));
  }
  return JsonReply(200, {{"revision", revision_}, {"items", std::move(items)}});
}

bool store_model::ChangedUnderPrefix(const std::string& prefix, uint64_t after_revision) const {
  for (auto item = values_.lower_bound(prefix);
       item != values_.end() && item->first.compare(0, prefix.size(), prefix) == 0; ++item) {
    if (item->second.revision > after_revision) return true;
  }
  for (auto item = deletion_revisions_.lower_bound(prefix);
       item != deletion_revisions_.end() && item->first.compare(0, prefix.size(), prefix) == 0;
       ++item) {
    if (item->second > after_revision) return true;
  }
  return false;
}

http_response store_model::CompareAndSwap(const nlohmann::json& body) {
  const std::string key = TextOf(body, "key", "");
  const nlohmann::json& value = ChildOf(body, "value");
  const std::string lease = TextOf(body, "lease", "");
  if (key.empty()) return ErrorReply(422, "bad_field");
  if (value.is_string() && value.get_ref<const std::string&>().size() > kMaxValueBytes) {
    return ErrorReply(413, "too_large");
  }
  const auto found = values_.find(key);
  const uint64_t current_revision = found == values_.end() ? 0 : found->second.revision;
  if (static_cast<uint64_t>(IntOf(body, "expect", 0)) != current_revision) {
    nlohmann::json conflict = {
        {"error", "conflict"}, {"revision", current_revision}, {"value", nullptr}};
    if (found != values_.end()) conflict["value"] = found->second.value;
    return JsonReply(409, conflict);
  }
  if (!lease.empty() && !leases_.contains(lease)) return ErrorReply(404, "no_lease");
  ++revision_;
  if (value.is_string()) {
    values_[key] = {value.get<std::string>(), revision_, lease};
    deletion_revisions_.erase(key);
  } else {
    values_.erase(key);
    deletion_revisions_[key] = revision_;
  }
  return JsonReply(200, {{"revision", revision_}});
}

http_response store_model::GrantLease(const nlohmann::json& body, monotonic_time now) {
  const milliseconds ttl = MillisecondsOf(body, "ttl_ms", milliseconds{0});
  if (ttl <= milliseconds{0}) return ErrorReply(422, "bad_field");
  const std::string name = absl::StrCat("lease-", next_lease_++);
  leases_[name] = {ttl, now + ttl};
  return JsonReply(200, {{"lease", name}});
}

http_response store_model::RenewLease(const nlohmann::json& body, monotonic_time now) {
  const auto found = leases_.find(TextOf(body, "lease", ""));
  if (found == leases_.end()) return ErrorReply(404, "no_lease");
  found->second.expires_at = now + found->second.ttl;
  return JsonReply(200, {{"ttl_ms", found->second.ttl.count()}});
}

void store_model::ExpireLeases(monotonic_time now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    ++counters_["leases_lapsed"];
    for (auto item = values_.begin(); item != values_.end();) {
      if (item->second.lease != lease->first) {
        ++item;
        continue;
      }
      deletion_revisions_[item->first] = ++revision_;
      item = values_.erase(item);
    }
    lease = leases_.erase(lease);
  }
}

void store_model::AnswerWatches(monotonic_time now, due_replies& replies) {
  std::erase_if(watches_, [&](const waiting_watch& watch) {
    if (ChangedUnderPrefix(watch.prefix, watch.after_revision)) {
      replies.emplace_back(watch.token, Range(watch.prefix, watch.after_revision));
      return true;
    }
    if (watch.expires_at > now) return false;
    replies.emplace_back(
        watch.token, JsonReply(200, {{"revision", revision_}, {"items", nlohmann::json::array()}}));
    return true;
  });
}

void store_model::SetMode(store_mode mode, milliseconds delay, double lost_reply_ratio,
                          monotonic_time now, due_replies& replies) {
  Tick(now, replies);
  if (mode_ == store_mode::kDown && mode != store_mode::kDown) {
    if (options_.freeze_leases_while_down) {
      for (auto& [name, lease] : leases_) lease.expires_at += now - down_since_;
    }
  }
  if (mode == store_mode::kDown && mode_ != store_mode::kDown) {
    down_since_ = now;
    for (const waiting_watch& watch : watches_) {
      replies.emplace_back(watch.token, ErrorReply(503, "unavailable"));
    }
    watches_.clear();
    for (const delayed_call& call : delayed_) {
      replies.emplace_back(call.token, ErrorReply(503, "unavailable"));
    }
    delayed_.clear();
  }
  mode_ = mode;
  call_delay_ = delay;
  lost_reply_ratio_ = lost_reply_ratio;
  Tick(now, replies);
}

void store_model::Tick(monotonic_time now, due_replies& replies) {
  std::erase_if(unanswered_, [&](const unanswered_call& call) {
    if (call.respond_at > now) return false;
    replies.emplace_back(call.token, ErrorReply(504, "lost"));
    return true;
  });
  if (mode_ == store_mode::kDown) return;
  ExpireLeases(now);
  std::vector<delayed_call> due;
  std::erase_if(delayed_, [&](delayed_call& call) {
    if (call.due > now) return false;
    due.push_back(std::move(call));
    return true;
  });
  for (const delayed_call& call : due) Execute(call.token, call.call, now, replies);
  AnswerWatches(now, replies);
}

monotonic_time store_model::NextWake() const {
  monotonic_time next = monotonic_time::max();
  for (const unanswered_call& call : unanswered_) next = std::min(next, call.respond_at);
  if (mode_ == store_mode::kDown) return next;
  for (const auto& [name, lease] : leases_) next = std::min(next, lease.expires_at);
  for (const waiting_watch& watch : watches_) next = std::min(next, watch.expires_at);
  for (const delayed_call& call : delayed_) next = std::min(next, call.due);
  return next;
}

nlohmann::json store_model::Counters() const {
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [name, count] : counters_) all[name] = count;
  all["revision"] = revision_;
  all["keys"] = values_.size();
  all["leases"] = leases_.size();
  all["watches_waiting"] = watches_.size();
  return all;
}

}  // namespace catkinford
