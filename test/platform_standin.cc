#include "platform_standin.h"

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{5};
constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kStopDuration{50};
constexpr int64_t kMaxLeaseMs = 6000;
// Longer than a test: an instance does not notice that a client's machine has lost power.
constexpr std::chrono::seconds kIdleTimeout{300};
constexpr std::chrono::hours kEndless{24};
// Longer than callers wait for a start. A request that is never answered keeps its connection
// counted for good, even after its caller has closed it.
constexpr std::chrono::seconds kDroppedResponseDelay{5};

monotonic_time Now() { return std::chrono::steady_clock::now(); }

int64_t ClockMs() {
  return std::chrono::duration_cast<milliseconds>(Now().time_since_epoch()).count();
}

uint64_t NumberOf(const std::string& text) {
  uint64_t number = 0;
  return absl::SimpleAtoi(text, &number) ? number : 0;
}

std::unique_ptr<http_server> Serve(http_server::handler handler,
                                   const http_server_options& options = {}) {
  auto server = std::make_unique<http_server>(options, std::move(handler));
  server->Start();
  return server;
}

http_response Answer(int status, const json& body) {
  http_response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::string LoopbackAddress(const http_server& server) {
  return absl::StrCat("127.0.0.1:", server.Port());
}

}  // namespace

// --- the store -----------------------------------------------------------------------------------

standin_metadata_store::standin_metadata_store() {
  server_ = Serve(
      [this](http_server::token token, const http_request& request) { Handle(token, request); });
  ticker_ = std::thread([this] {
    while (!stop_) {
      std::this_thread::sleep_for(kTickInterval);
      Tick();
    }
  });
}

standin_metadata_store::~standin_metadata_store() {
  stop_ = true;
  ticker_.join();
  server_->Stop();
}

std::string standin_metadata_store::Address() const { return LoopbackAddress(*server_); }

uint16_t standin_metadata_store::Port() const { return server_->Port(); }

void standin_metadata_store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0);
}

void standin_metadata_store::PutAll(const std::vector<std::pair<std::string, std::string>>& puts) {
  const std::lock_guard lock(mutex_);
  bool together = false;
  for (const auto& [key, value] : puts) Write(key, value, 0, std::exchange(together, true));
}

void standin_metadata_store::DropHistory() {
  const std::lock_guard lock(mutex_);
  history_from_ = ++revision_;
  changes_.clear();
}

void standin_metadata_store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Write(key, std::nullopt, 0);
}

std::optional<std::string> standin_metadata_store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt : std::optional(found->second.value);
}

void standin_metadata_store::Write(const std::string& key, const std::optional<std::string>& value,
                                   uint64_t lease, bool together) {
  if (!together) ++revision_;
  changes_.push_back({revision_, key});
  if (value) {
    items_[key] = {*value, revision_, lease};
  } else {
    items_.erase(key);
  }
}

json standin_metadata_store::ItemOf(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return {{"key", key}, {"revision", 0}};
  return {{"key", key},
          {"value", absl::Base64Escape(found->second.value)},
          {"revision", found->second.revision},
          {"lease", found->second.lease}};
}

json standin_metadata_store::EventsSince(const std::string& prefix, uint64_t after) const {
  json events = json::array();
  for (const key_change& each : changes_) {
    if (each.revision <= after || !each.key.starts_with(prefix)) continue;
    const auto found = items_.find(each.key);
    if (found == items_.end()) {
      events.push_back({{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
    } else if (found->second.revision == each.revision) {
      events.push_back(ItemOf(each.key));
    }
  }
  return events;
}

http_response standin_metadata_store::Change(const json& body) {
  json present = json::array();
  bool matches = true;
  for (const json& row : body.at("expected-rev")) {
    const auto key = row.at("key").get<std::string>();
    const json now = ItemOf(key);
    matches = matches && now.at("revision") == row.at("revision");
    present.push_back(now);
  }
  if (!matches) return Answer(412, {{"items", present}});
  for (const json& put : body.at("puts")) {
    const uint64_t lease = put.value("lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return Answer(404, json::object());
  }
  for (const json& put : body.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    Write(put.at("key").get<std::string>(), value, put.value("lease", uint64_t{0}));
  }
  for (const json& key : body.at("deletes")) Write(key.get<std::string>(), std::nullopt, 0);
  // All puts of a transaction share one revision.
  for (const json& put : body.at("puts")) {
    items_[put.at("key").get<std::string>()].revision = revision_;
    changes_.push_back({revision_, put.at("key").get<std::string>()});
  }
  return Answer(200, {{"revision", revision_}});
}

void standin_metadata_store::Handle(http_server::token token, const http_request& request) {
  ++calls_;
  if (down_) return server_->Respond(token, Answer(503, json::object()));
  const std::lock_guard lock(mutex_);
  if (request.path == "/v1/kv-key") {
    const std::string key = request.Query("key");
    if (!items_.contains(key)) return server_->Respond(token, Answer(404, {{"at-rev", revision_}}));
    json item = ItemOf(key);
    item["at-rev"] = revision_;
    return server_->Respond(token, Answer(200, item));
  }
  if (request.path == "/v1/kv-range") {
    json items = json::array();
    for (const auto& [key, value] : items_) {
      if (key.starts_with(request.Query("prefix")) && key > request.Query("after")) {
        items.push_back(ItemOf(key));
      }
    }
    return server_->Respond(
        token, Answer(200, {{"items", items}, {"has-more", false}, {"at-rev", revision_}}));
  }
  if (request.path == "/v1/kv-watch") {
    watches_.push_back({token, request.Query("prefix"), NumberOf(request.Query("after")),
                        Now() + milliseconds(NumberOf(request.Query("wait-ms")))});
    return;
  }
  if (request.path == "/v1/kv-txn") {
    const http_response response = Change(json::parse(request.body));
    // Applied but not answered: the caller's timeout ends its wait.
    if (response.status == 200 && responses_to_drop_ > 0 && responses_to_drop_-- > 0) return;
    return server_->Respond(token, response);
  }
  if (request.path == "/v1/kv-lease") {
    const milliseconds ttl(json::parse(request.body).at("ttl-ms").get<int64_t>());
    const uint64_t id = 1000 + leases_.size() + revision_;
    leases_[id] = {ttl, Now() + ttl};
    return server_->Respond(token, Answer(200, {{"lease", id}, {"ttl-ms", ttl.count()}}));
  }
  const std::string keep = "/v1/kv-keep/";
  const std::string end = "/v1/kv-lease-end/";
  if (request.path.starts_with(keep)) {
    const auto found = leases_.find(NumberOf(request.path.substr(keep.size())));
    if (found == leases_.end()) return server_->Respond(token, Answer(404, json::object()));
    found->second.ends = Now() + found->second.ttl;
    return server_->Respond(token, Answer(200, {{"ttl-ms", found->second.ttl.count()}}));
  }
  if (request.path.starts_with(end)) {
    const auto found = leases_.find(NumberOf(request.path.substr(end.size())));
    if (found != leases_.end()) found->second.ends = Now();
    return server_->Respond(token, Answer(200, json::object()));
  }
  server_->Respond(token, Answer(404, json::object()));
}

void standin_metadata_store::Tick() {
  const std::lock_guard lock(mutex_);
  const monotonic_time now = Now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.ends > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> expired_keys;
    for (const auto& [key, value] : items_) {
      if (value.lease == lease->first) expired_keys.push_back(key);
    }
    for (const std::string& key : expired_keys) Write(key, std::nullopt, 0);
    lease = leases_.erase(lease);
  }
  for (size_t i = 0; i < watches_.size();) {
    if (watches_[i].after < history_from_) {
      server_->Respond(watches_[i].token, Answer(410, {{"at-rev", revision_}}));
      watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    const json events = EventsSince(watches_[i].prefix, watches_[i].after);
    if (events.empty() && now < watches_[i].ends && !down_) {
      ++i;
      continue;
    }
    server_->Respond(watches_[i].token,
                     down_ ? Answer(503, json::object())
                           : Answer(200, {{"events", events}, {"at-rev", revision_}}));
    watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

// --- instances -----------------------------------------------------------------------------------

standin_instances::standin_instances(standin_metadata_store& store, size_t count,
                                     milliseconds run_time, unsigned connection_limit)
    : store_(store), run_time_(run_time) {
  http_server_options options;
  options.connection_limit = connection_limit;
  options.idle_timeout = kIdleTimeout;
  for (size_t i = 0; i < count; ++i) {
    auto created = std::make_unique<instance>();
    created->id = absl::StrCat("i-", i);
    created->server = Serve([this, i](http_server::token token,
                                      const http_request& request) { Handle(i, token, request); },
                            options);
    created->address = LoopbackAddress(*created->server);
    Register(*created);
    instances_.push_back(std::move(created));
  }
  advice_ = Serve([this](http_server::token token, const http_request& request) {
    json allowed = json::array();
    const json query = json::parse(request.body);
    for (const json& id : query.at("workers")) {
      allowed.push_back({id, "ticket"});
    }
    advice_->Respond(token, Answer(200, {{"allowed", allowed}, {"valid-ms", 2000}}));
  });
  ticker_ = std::thread([this] {
    while (!stop_) {
      std::this_thread::sleep_for(kTickInterval);
      Tick();
    }
  });
}

standin_instances::~standin_instances() {
  stop_ = true;
  ticker_.join();
  advice_->Stop();
  for (const auto& each : instances_) each->server->Stop();
}

std::string standin_instances::AdviceAddress() const { return LoopbackAddress(*advice_); }

std::vector<standin_start> standin_instances::Starts() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

std::vector<std::string> standin_instances::DuplicateRuns() {
  const std::lock_guard lock(mutex_);
  return duplicate_runs_;
}

std::vector<std::string> standin_instances::StartsAfterDone() {
  const std::lock_guard lock(mutex_);
  return starts_after_done_;
}

void standin_instances::SetRegisteredAddress(size_t at, const std::string& address) {
  const std::lock_guard lock(mutex_);
  instances_[at]->address = address;
  Register(*instances_[at]);
}

size_t standin_instances::Running(const std::string& job) {
  const std::lock_guard lock(mutex_);
  size_t count = 0;
  for (const auto& each : instances_) {
    for (const auto& [task, run] : each->runs) count += task.starts_with(job) ? 1 : 0;
  }
  return count;
}

std::set<std::string> standin_instances::RunningTasks() {
  const std::lock_guard lock(mutex_);
  std::set<std::string> tasks;
  for (const auto& each : instances_) {
    Advance(*each);
    for (const auto& [task, run] : each->runs) {
      if (!run.stopping) tasks.insert(task);
    }
  }
  return tasks;
}

void standin_instances::Register(instance& target) {
  const json entry{{"service", "svc"},
                   {"address", target.address},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold-left-ms", 0},
                   {"capacity", {{"cpu", 8000}, {"mem-mb", 16384}, {"gpu", 0}}},
                   {"labels", {"a", "r1-1"}},
                   {"clock-ms", ClockMs()},
                   {"born", 1},
                   {"seq-no", ++target.heartbeats}};
  store_.Put("servers/" + target.id, entry.dump());
}

void standin_instances::End(instance& target, const std::string& task, const char* result) {
  const auto found = target.runs.find(task);
  target.ended.push_back({++target.last_end, task, found->second.number, result, ""});
  target.last_ended_run[task] = std::max(target.last_ended_run[task], found->second.number);
  target.runs.erase(found);
}

void standin_instances::Advance(instance& target) {
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, each] : target.runs) {
    if (ClockMs() > target.lease_until) {
      ends.emplace_back(task, "lapsed");
    } else if (each.ends <= Now()) {
      ends.emplace_back(task, each.stopping ? "stopped" : "done");
    }
  }
  for (const auto& [task, result] : ends) End(target, task, result);
}

json standin_instances::Start(instance& target, const json& body, int& status) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run-id").get<uint32_t>();
  const auto deadline_ms = body.at("deadline-ms").get<int64_t>();
  const auto reject = [&](const char* reason) {
    status = 409;
    return json{{"clock-ms", ClockMs()}, {"reason", reason}};
  };
  if (body.value("ticket", std::string()) != "ticket") return reject("ticket");
  const auto running = target.runs.find(task);
  if (running != target.runs.end() && running->second.number == number) {
    return {{"clock-ms", ClockMs()}};
  }
  if (target.last_ended_run.contains(task) && number <= target.last_ended_run[task])
    return reject("old");
  if (deadline_ms <= ClockMs()) return reject("late");
  for (const auto& other : instances_) {
    Advance(*other);
    if (other->runs.contains(task)) duplicate_runs_.push_back(task);
  }
  if (done_.contains(task)) starts_after_done_.push_back(task);
  target.lease_until = std::max(target.lease_until, std::min(deadline_ms, ClockMs() + kMaxLeaseMs));
  const bool service = body.value("task-spec", std::string()) == kServicePayload;
  target.runs[task] = {task, number, Now() + (service ? kEndless : run_time_), false};
  starts_.push_back({task, number, target.id});
  return {{"clock-ms", ClockMs()}};
}

json standin_instances::Stop(instance& target, const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run-id").get<uint32_t>();
  target.last_ended_run[task] = std::max(target.last_ended_run[task], number);
  const auto found = target.runs.find(task);
  if (found != target.runs.end() && found->second.number <= number) {
    found->second.stopping = true;
    found->second.ends = Now() + kStopDuration;
  }
  return {{"clock-ms", ClockMs()}};
}

json standin_instances::Listing(instance& target) {
  json running = json::array();
  for (const auto& [task, each] : target.runs) running.push_back({task, each.number, "", 50, 0});
  return {{"clock-ms", ClockMs()}, {"born", 1}, {"running", running}, {"ended", target.ended}};
}

void standin_instances::Handle(size_t at, http_server::token token, const http_request& request) {
  const std::lock_guard lock(mutex_);
  instance& target = *instances_[at];
  const json body = json::parse(request.body);
  const auto fence = body.at("fencing-token").get<uint64_t>();
  if (fence < target.fence) {
    const json rejection{{"clock-ms", ClockMs()}, {"reason", "fence"}};
    return target.server->Respond(token, Answer(409, rejection));
  }
  target.fence = fence;
  Advance(target);
  int status = 200;
  json answer;
  if (request.path == "/v1/run-start") {
    answer = Start(target, body, status);
    if (responses_to_drop_ > 0 && responses_to_drop_-- > 0) {
      delayed_responses_.push_back(
          {at, token, Answer(status, answer), Now() + kDroppedResponseDelay});
      return;
    }
  } else if (request.path == "/v1/run-stop") {
    answer = Stop(target, body);
  } else if (request.path == "/v1/hold") {
    const auto acknowledged = body.at("last-seen").get<uint64_t>();
    while (!target.ended.empty() && target.ended[0][0].get<uint64_t>() <= acknowledged) {
      if (target.ended[0][3] == "done") done_.insert(target.ended[0][1].get<std::string>());
      target.ended.erase(0);
    }
    if (body.contains("deadline-ms")) {
      target.lease_until =
          std::max(target.lease_until,
                   std::min(body.at("deadline-ms").get<int64_t>(), ClockMs() + kMaxLeaseMs));
    }
    pending_polls_.push_back({at, token, Now() + milliseconds(body.value("wait-ms", int64_t{0}))});
    return;
  } else {
    status = 404;
  }
  target.server->Respond(token, Answer(status, answer));
}

void standin_instances::Tick() {
  const std::lock_guard lock(mutex_);
  static thread_local monotonic_time next_heartbeat{};
  const bool heartbeat_due = Now() >= next_heartbeat;
  if (heartbeat_due) next_heartbeat = Now() + kHeartbeatInterval;
  for (const auto& each : instances_) {
    Advance(*each);
    if (heartbeat_due) Register(*each);
  }
  for (size_t i = 0; i < pending_polls_.size();) {
    instance& target = *instances_[pending_polls_[i].at];
    if (target.ended.empty() && Now() < pending_polls_[i].ends) {
      ++i;
      continue;
    }
    target.server->Respond(pending_polls_[i].token, Answer(200, Listing(target)));
    pending_polls_.erase(pending_polls_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  std::erase_if(delayed_responses_, [this](const delayed_response& each) {
    if (Now() < each.due) return false;
    instances_[each.at]->server->Respond(each.token, each.response);
    return true;
  });
}

}  // namespace catkinford
