#include "platform.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr milliseconds kStoreAnswer{4};
constexpr size_t kItemsOfPage = 500;
constexpr size_t kBytesOfPage = 1000000;
constexpr size_t kMostOfChange = 32;
constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kStopTakes{30};
constexpr int64_t kMaxHold = 6000;
constexpr size_t kEndsOfAnswer = 500;
constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

uint64_t NumberOf(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

std::string QueryOf(const request& asked, const std::string& name) {
  const auto found = asked.query.find(name);
  return found == asked.query.end() ? std::string() : found->second;
}

response Status(int status, const json& body = json::object()) { return {status, body.dump()}; }

}  // namespace

std::string ToBase64(const std::string& bytes) {
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += k <= count ? kAlphabet[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::string FromBase64(const std::string& text) {
  static const std::array<int, 256> values = [] {
    std::array<int, 256> out{};
    out.fill(-1);
    for (int i = 0; i < 64; ++i) out[static_cast<unsigned char>(kAlphabet[i])] = i;
    return out;
  }();
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (const char each : text) {
    const int value = values[static_cast<unsigned char>(each)];
    if (value < 0) continue;
    group = group << 6 | static_cast<uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255U);
  }
  return out;
}

// --- the store
// ------------------------------------------------------------------------------------

store::store() {
  server_ = std::make_unique<server>([this](const request& asked) { return Handle(asked); });
  expiry_ = std::thread([this] { EndLeases(); });
}

store::~store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_->Stop();
  expiry_.join();
}

json store::ToJson(const std::string& key, const item& of) {
  return {{"key", key},
          {"value", ToBase64(of.value)},
          {"revision", of.revision},
          {"created", of.created},
          {"lease", of.lease}};
}

// At the present revision; the lock is held.
void store::Apply(const std::string& key, std::optional<item> now) {
  if (now) {
    const auto known = items_.find(key);
    now->revision = revision_;
    now->created = known == items_.end() ? revision_ : known->second.created;
    items_[key] = *now;
  } else if (items_.erase(key) == 0) {
    return;
  }
  changes_.push_back({revision_, key, std::move(now)});
}

void store::Put(const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    item now;
    now.value = value;
    Apply(key, now);
  }
  changed_.notify_all();
}

void store::Remove(const std::string& key) {
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    Apply(key, std::nullopt);
  }
  changed_.notify_all();
}

std::optional<std::string> store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  if (found == items_.end()) return std::nullopt;
  return found->second.value;
}

void store::EndLeases() {
  while (true) {
    std::this_thread::sleep_for(milliseconds(20));
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    for (auto at = leases_.begin(); at != leases_.end();) {
      if (at->second.ends > steady::now()) {
        ++at;
        continue;
      }
      ++revision_;
      std::vector<std::string> gone;
      for (const auto& [key, each] : items_) {
        if (each.lease == at->first) gone.push_back(key);
      }
      for (const std::string& key : gone) Apply(key, std::nullopt);
      at = leases_.erase(at);
      changed_.notify_all();
    }
  }
}

response store::Transact(const json& body) {
  const json expected = body.value("expected-rev", json::array());
  const json puts = body.value("puts", json::array());
  const json deletes = body.value("deletes", json::array());
  if (expected.size() + puts.size() + deletes.size() > kMostOfChange) return Status(400);
  json present = json::array();
  bool holds = true;
  for (const json& row : expected) {
    const auto key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("revision").get<uint64_t>();
    present.push_back(found == items_.end() ? json{{"key", key}, {"revision", 0}}
                                            : ToJson(key, found->second));
  }
  if (!holds) return Status(412, {{"items", present}});
  for (const json& row : puts) {
    const uint64_t bound = row.value("lease", uint64_t{0});
    if (bound != 0 && !leases_.contains(bound)) return Status(404);
  }
  ++revision_;
  for (const json& row : puts) {
    item now;
    now.value = FromBase64(row.at("value").get<std::string>());
    now.lease = row.value("lease", uint64_t{0});
    Apply(row.at("key").get<std::string>(), now);
  }
  for (const json& key : deletes) Apply(key.get<std::string>(), std::nullopt);
  changed_.notify_all();
  return Status(200, {{"revision", revision_}});
}

response store::Range(const request& asked) {
  const std::string prefix = QueryOf(asked, "prefix");
  const std::string after = QueryOf(asked, "after");
  json items = json::array();
  size_t bytes = 0;
  bool more = false;
  for (auto at = items_.lower_bound(prefix); at != items_.end(); ++at) {
    if (!at->first.starts_with(prefix)) break;
    if (at->first <= after) continue;
    if (items.size() >= kItemsOfPage || bytes >= kBytesOfPage) {
      more = true;
      break;
    }
    items.push_back(ToJson(at->first, at->second));
    bytes += at->second.value.size();
  }
  return Status(200, {{"items", items}, {"has-more", more}, {"at-rev", revision_}});
}

response store::Watch(const request& asked) {
  const std::string prefix = QueryOf(asked, "prefix");
  const uint64_t after = NumberOf(QueryOf(asked, "after"));
  const auto until = steady::now() + milliseconds(NumberOf(QueryOf(asked, "wait-ms")));
  std::unique_lock lock(mutex_);
  while (true) {
    json events = json::array();
    const auto from =
        std::partition_point(changes_.begin(), changes_.end(),
                             [after](const change& each) { return each.revision <= after; });
    for (auto at = from; at != changes_.end(); ++at) {
      if (!at->key.starts_with(prefix)) continue;
      if (at->now) {
        events.push_back(ToJson(at->key, *at->now));
      } else {
        events.push_back({{"key", at->key}, {"revision", at->revision}, {"deleted", true}});
      }
    }
    if (!events.empty() || steady::now() >= until || stopping_) {
      return Status(200, {{"events", events}, {"at-rev", std::max(after, revision_)}});
    }
    changed_.wait_until(lock, until);
  }
}

response store::Lease(const request& asked) {
  const std::string keep = "/v1/kv-keep/";
  const std::string end = "/v1/kv-lease-end/";
  if (asked.path == "/v1/kv-lease") {
    const milliseconds ttl(json::parse(asked.body).at("ttl-ms").get<int64_t>());
    leases_[++last_lease_] = {ttl, steady::now() + ttl};
    return Status(200, {{"lease", last_lease_}, {"ttl-ms", ttl.count()}});
  }
  const bool keeps = asked.path.starts_with(keep);
  if (!keeps && !asked.path.starts_with(end)) return Status(404);
  const auto found = leases_.find(NumberOf(asked.path.substr(keeps ? keep.size() : end.size())));
  if (found == leases_.end()) return Status(404);
  found->second.ends = steady::now() + (keeps ? found->second.ttl : milliseconds{0});
  return Status(200, {{"ttl-ms", found->second.ttl.count()}});
}

std::optional<response> store::Handle(const request& asked) {
  if (asked.path == "/v1/kv-watch") return Watch(asked);
  std::this_thread::sleep_for(kStoreAnswer);
  const std::lock_guard lock(mutex_);
  if (stopping_) return std::nullopt;
  if (asked.path == "/v1/kv-range") return Range(asked);
  if (asked.path == "/v1/kv-txn") return Transact(json::parse(asked.body));
  if (asked.path != "/v1/kv-key") return Lease(asked);
  const std::string key = QueryOf(asked, "key");
  const auto found = items_.find(key);
  if (found == items_.end()) return Status(404, {{"at-rev", revision_}});
  json out = ToJson(key, found->second);
  out["at-rev"] = revision_;
  return Status(200, out);
}

// --- workers
// --------------------------------------------------------------------------------------

worker::worker(worker_options options, store& registry, record& log)
    : options_(std::move(options)), registry_(registry), log_(log) {
  booted_ = steady::now();
  born_ =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  server_ = std::make_unique<server>([this](const request& asked) { return Handle(asked); });
  Register();
  working_ = std::thread([this] { Work(); });
}

worker::~worker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  ended_something_.notify_all();
  working_.join();
  if (server_ != nullptr) server_->Stop();
}

int64_t worker::Clock() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - booted_).count();
}

void worker::Register() {
  json entry;
  {
    const std::lock_guard lock(mutex_);
    entry = {{"service", options_.service},
             {"address", server_->Address()},
             {"zone", options_.zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"cold-left-ms", 0},
             {"capacity", {{"cpu", options_.cpu}, {"mem-mb", options_.memory_mb}, {"gpu", 0}}},
             {"labels", {options_.kind, options_.rack}},
             {"clock-ms", Clock()},
             {"born", born_},
             {"seq-no", ++beats_}};
  }
  registry_.Put("servers/" + options_.id, entry.dump());
}

void worker::Crash() {
  uint16_t port = 0;
  {
    const std::lock_guard lock(mutex_);
    up_ = false;
    runs_.clear();
    port = server_->Port();
    ++boot_;
  }
  log_.Line("worker " + options_.id + " crashes, port " + std::to_string(port));
  ended_something_.notify_all();
  server_->Stop();
}

bool worker::Up() {
  const std::lock_guard lock(mutex_);
  return up_;
}

std::vector<worker::running_task> worker::Running() {
  const std::lock_guard lock(mutex_);
  Advance();
  std::vector<running_task> out;
  out.reserve(runs_.size());
  for (const auto& [task, each] : runs_) out.push_back({task, each.number});
  return out;
}

std::vector<started_run> worker::Starts() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

// Ends what is over; the lock is held.
void worker::Advance() {
  if (!up_) return;
  const bool lapsed = Clock() > lease_until_;
  const auto now = steady::now();
  for (auto at = runs_.begin(); at != runs_.end();) {
    const run& each = at->second;
    const bool stopped = each.stopping && now >= each.stopped_at;
    const bool done = !each.stopping && each.ends && now >= *each.ends;
    if (!lapsed && !stopped && !done) {
      ++at;
      continue;
    }
    const std::string how = lapsed ? "lapsed" : (stopped ? "stopped" : "done");
    ends_.push_back({++last_end_, at->first, each.number, how});
    over_[at->first] = std::max(over_[at->first], each.number);
    log_.Line("end " + options_.id + " " + at->first + " run " + std::to_string(each.number) + " " +
              how);
    at = runs_.erase(at);
    ended_something_.notify_all();
  }
}

void worker::Work() {
  auto next_beat = steady::now() + kHeartbeat;
  while (true) {
    std::this_thread::sleep_for(milliseconds(5));
    bool beats = false;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      Advance();
      beats = up_ && steady::now() >= next_beat;
    }
    if (!beats) continue;
    next_beat = steady::now() + kHeartbeat;
    Register();
  }
}

response worker::Answer(int status, json body) {
  body["clock-ms"] = Clock();
  body["born"] = born_;
  return Status(status, body);
}

void worker::ExtendLease(const json& body) {
  const auto asked = body.value("deadline-ms", int64_t{0});
  lease_until_ = std::max(lease_until_, std::min(asked, Clock() + kMaxHold));
}

response worker::Start(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run-id").get<uint64_t>();
  const auto same = runs_.find(task);
  if (same != runs_.end() && same->second.number == number) return Answer(200, json::object());
  const auto over = over_.find(task);
  if ((over != over_.end() && number <= over->second) ||
      (same != runs_.end() && number < same->second.number)) {
    ExtendLease(body);
    return Answer(409, {{"reason", "old"}});
  }
  if (body.value("deadline-ms", int64_t{0}) <= Clock()) return Answer(409, {{"reason", "late"}});
  const bool ticket = body.value("ticket", std::string()) == "t-" + options_.id;
  if (options_.wants_ticket && !ticket) return Answer(409, {{"reason", "ticket"}});
  ExtendLease(body);
  const json spec = json::parse(body.value("task-spec", std::string()), nullptr, false);
  run begun;
  begun.number = number;
  begun.begun = steady::now();
  if (spec.is_object() && spec.contains("ms")) {
    begun.ends = steady::now() + milliseconds(spec.at("ms").get<int64_t>());
  }
  runs_[task] = begun;
  starts_.push_back({log_.Now(), task, number, options_.id, options_.kind});
  log_.Line("start " + options_.id + " kind " + options_.kind + " " + task + " run " +
            std::to_string(number));
  return Answer(200, json::object());
}

response worker::Stop(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto number = body.at("run-id").get<uint64_t>();
  const auto found = runs_.find(task);
  if (found == runs_.end() || found->second.number > number) {
    over_[task] = std::max(over_[task], number);
  } else if (!found->second.stopping) {
    found->second.stopping = true;
    found->second.stopped_at = steady::now() + kStopTakes;
  }
  return Answer(200, json::object());
}

int64_t worker::PercentOf(const run& of) {
  if (!of.ends) return 100;
  const auto whole =
      std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(*of.ends - of.begun));
  const auto passed = std::chrono::duration_cast<milliseconds>(steady::now() - of.begun);
  return std::min<int64_t>(99, 100 * passed / whole);
}

response worker::Hold(const json& body, std::unique_lock<std::mutex>& lock) {
  const uint64_t seen = body.value("last-seen", uint64_t{0});
  std::erase_if(ends_, [seen](const end& each) { return each.number <= seen; });
  if (body.contains("deadline-ms")) ExtendLease(body);
  const auto until = steady::now() + milliseconds(body.value("wait-ms", int64_t{0}));
  const uint64_t boot = boot_;
  while (ends_.empty() && boot == boot_ && !stopping_ && steady::now() < until) {
    ended_something_.wait_until(lock, until);
  }
  json running = json::array();
  for (const auto& [task, each] : runs_) {
    running.push_back({task, each.number, "", PercentOf(each), 0});
  }
  json ended = json::array();
  for (const end& each : ends_) {
    if (ended.size() >= kEndsOfAnswer) break;
    ended.push_back({each.number, each.task, each.run, each.how, ""});
  }
  return Answer(200, {{"running", running}, {"ended", ended}});
}

std::optional<response> worker::Handle(const request& asked) {
  std::unique_lock lock(mutex_);
  if (!up_) return std::nullopt;
  if (asked.path == "/health") return Status(200);
  const auto target = asked.headers.find("x-catkinford-target-instance");
  if (target != asked.headers.end() && target->second != options_.id) {
    return Answer(421, json::object());
  }
  const json body = json::parse(asked.body);
  const uint64_t fence = body.value("fencing-token", uint64_t{0});
  if (fence < fence_) return Answer(409, {{"reason", "fence"}});
  fence_ = fence;
  Advance();
  const uint64_t boot = boot_;
  response out = Status(404);
  if (asked.path == "/v1/run-start") out = Start(body);
  if (asked.path == "/v1/run-stop") out = Stop(body);
  if (asked.path == "/v1/pace") out = Answer(200, json::object());
  if (asked.path == "/v1/hold") out = Hold(body, lock);
  if (boot != boot_) return std::nullopt;
  return out;
}

// --- advice
// ---------------------------------------------------------------------------------------

advice_service::advice_service(milliseconds decision, double per_item_ms)
    : decision_(decision), per_item_ms_(per_item_ms) {
  server_ = std::make_unique<server>([this](const request& asked) -> std::optional<response> {
    const json workers = json::parse(asked.body).at("workers");
    const auto items = static_cast<int64_t>(per_item_ms_ * static_cast<double>(workers.size()));
    std::this_thread::sleep_for(decision_ + milliseconds(items));
    json allowed = json::array();
    for (const json& id : workers) allowed.push_back({id, "t-" + id.get<std::string>()});
    return Status(200, {{"allowed", allowed}, {"valid-ms", 2000}});
  });
}

}  // namespace review
