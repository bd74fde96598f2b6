// Stand-ins of the platform for the cases of this review: the store, workers, a consumer and the
// start of the system's own processes. All listen on loopback addresses and speak the pages' wire
// protocol. Header-only; each case is one program.
#ifndef CATKINFORD_REVIEW_STANDINS_STANDINS_H_
#define CATKINFORD_REVIEW_STANDINS_STANDINS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

inline int64_t MillisSince(clock::time_point from) {
  return std::chrono::duration_cast<milliseconds>(clock::now() - from).count();
}

// What was sent, answered and run, with the time since the start of the case.
class recorder {
 public:
  explicit recorder(const std::string& file) : out_(file) {}
  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    out_ << MillisSince(began_) << " ms " << line << "\n" << std::flush;
  }
  int64_t Now() const { return MillisSince(began_); }

 private:
  clock::time_point began_ = clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

// --- HTTP ----------------------------------------------------------------------------------------

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Query(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  }
  uint64_t Number(const std::string& name) const {
    return std::strtoull(Query(name).c_str(), nullptr, 10);
  }
};

struct http_response {
  int status = 200;
  std::string body = "{}";
  bool dropped = false;  // the connection ends without an answer
};

inline http_response Answer(int status, const json& body) { return {status, body.dump(), false}; }

// Reads one message; returns false at the end of the connection.
class http_reader {
 public:
  explicit http_reader(int socket) : socket_(socket) {}

  bool ReadMessage(std::string& first_line, std::map<std::string, std::string>& headers,
                   std::string& body) {
    size_t head = 0;
    while ((head = data_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore()) return false;
    }
    headers.clear();
    size_t at = data_.find("\r\n");
    first_line = data_.substr(0, at);
    while (at < head) {
      const size_t end = data_.find("\r\n", at + 2);
      const std::string line = data_.substr(at + 2, end - at - 2);
      at = end;
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    const auto length = headers.find("content-length");
    const size_t wanted =
        length == headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
    while (data_.size() < head + 4 + wanted) {
      if (!ReadMore()) return false;
    }
    body = data_.substr(head + 4, wanted);
    data_.erase(0, head + 4 + wanted);
    return true;
  }

 private:
  bool ReadMore() {
    char buffer[16384];
    const ssize_t got = recv(socket_, buffer, sizeof buffer, 0);
    if (got <= 0) return false;
    data_.append(buffer, static_cast<size_t>(got));
    return true;
  }

  int socket_;
  std::string data_;
};

inline bool SendAll(int socket, std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent = send(socket, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

inline sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

// One thread for each connection: handlers may block.
class http_server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  explicit http_server(handler handle) : handle_(std::move(handle)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf("127.0.0.1", 0);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(listener_, 128);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    accepter_ = std::thread([this] { Accept(); });
  }
  ~http_server() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    accepter_.join();
    close(listener_);
    std::list<connection> all;
    {
      const std::lock_guard lock(mutex_);
      for (const connection& each : connections_) shutdown(each.socket, SHUT_RDWR);
      all.swap(connections_);
    }
    for (connection& each : all) {
      each.server.join();
      close(each.socket);
    }
  }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  struct connection {
    int socket = -1;
    std::thread server;
  };

  void Accept() {
    while (!stopping_) {
      const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      connections_.push_back({accepted, {}});
      connections_.back().server = std::thread([this, accepted] { Serve(accepted); });
    }
  }

  void Serve(int socket) {
    http_reader in(socket);
    std::string line;
    http_request request;
    while (in.ReadMessage(line, request.headers, request.body)) {
      const size_t first = line.find(' ');
      const size_t second = line.find(' ', first + 1);
      request.method = line.substr(0, first);
      ParseTarget(line.substr(first + 1, second - first - 1), request);
      const http_response response = handle_(request);
      if (response.dropped) break;
      const std::string head = "HTTP/1.1 " + std::to_string(response.status) +
                               " -\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(response.body.size()) + "\r\n\r\n";
      if (!SendAll(socket, head + response.body)) break;
    }
    shutdown(socket, SHUT_RDWR);
  }

  static void ParseTarget(const std::string& target, http_request& out) {
    const size_t mark = target.find('?');
    out.path = target.substr(0, mark);
    out.query.clear();
    if (mark == std::string::npos) return;
    size_t at = mark + 1;
    while (at < target.size()) {
      const size_t end = std::min(target.find('&', at), target.size());
      const std::string pair = target.substr(at, end - at);
      const size_t equals = std::min(pair.find('='), pair.size());
      out.query[pair.substr(0, equals)] =
          equals < pair.size() ? pair.substr(equals + 1) : std::string();
      at = end + 1;
    }
  }

  handler handle_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread accepter_;
  std::mutex mutex_;
  std::list<connection> connections_;
};

// A call on a connection of its own; nothing if it got no answer.
inline std::optional<http_response> Call(const std::string& address, const std::string& method,
                                         const std::string& path, const std::string& headers,
                                         const std::string& body, milliseconds limit) {
  const size_t colon = address.find(':');
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(limit).count();
  const timeval timeout{micros / 1000000, micros % 1000000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  const sockaddr_in to =
      AddressOf(address.substr(0, colon),
                static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
  std::optional<http_response> out;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    const std::string head = method + " " + path + " HTTP/1.1\r\n" + headers +
                             "Content-Type: application/json\r\nConnection: close\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    std::string line;
    std::map<std::string, std::string> answer_headers;
    http_response answer;
    http_reader in(socket);
    if (SendAll(socket, head + body) && in.ReadMessage(line, answer_headers, answer.body)) {
      answer.status = std::atoi(line.c_str() + line.find(' ') + 1);
      out = std::move(answer);
    }
  }
  close(socket);
  return out;
}

// --- the store -----------------------------------------------------------------------------------

inline std::string ToBase64(const std::string& data) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < data.size(); i += 3) {
    uint32_t group = 0;
    const size_t bytes = std::min<size_t>(3, data.size() - i);
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < bytes ? static_cast<unsigned char>(data[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += k <= bytes ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  const auto value_of = [](char c) -> uint32_t {
    if (c >= 'A' && c <= 'Z') return static_cast<uint32_t>(c - 'A');
    if (c >= 'a' && c <= 'z') return static_cast<uint32_t>(c - 'a') + 26;
    if (c >= '0' && c <= '9') return static_cast<uint32_t>(c - '0') + 52;
    return c == '+' ? 62 : 63;
  };
  std::string out;
  for (size_t i = 0; i + 3 < text.size(); i += 4) {
    const size_t bytes = text[i + 2] == '=' ? 1 : (text[i + 3] == '=' ? 2 : 3);
    uint32_t group = 0;
    for (size_t k = 0; k < 4; ++k)
      group = group << 6 | (text[i + k] == '=' ? 0 : value_of(text[i + k]));
    for (size_t k = 0; k < bytes; ++k) out += static_cast<char>(group >> (16 - 8 * k) & 255);
  }
  return out;
}

class store {
 public:
  // `items_per_page`: of a range; the pages allow about 500 at most.
  explicit store(size_t items_per_page = 500)
      : items_per_page_(items_per_page),
        server_([this](const http_request& request) { return Handle(request); }) {
    expiry_ = std::thread([this] {
      while (!stopping_) {
        std::this_thread::sleep_for(milliseconds(5));
        EndLeases();
      }
    });
  }
  ~store() {
    stopping_ = true;
    changed_.notify_all();
    expiry_.join();
  }
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  std::string Address() const { return server_.Address(); }

  // One transaction of the operator or of a worker; returns its revision.
  uint64_t Put(const std::vector<std::pair<std::string, std::string>>& puts) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    for (const auto& [key, value] : puts) Write(key, value, 0);
    changed_.notify_all();
    return revision_;
  }
  // Discards the history; watches that wait are cut.
  void DropHistory() {
    const std::lock_guard lock(mutex_);
    history_.clear();
    history_from_ = revision_;
    changed_.notify_all();
  }
  size_t Keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    size_t count = 0;
    for (auto at = items_.lower_bound(prefix); at != items_.end(); ++at, ++count) {
      if (!at->first.starts_with(prefix)) break;
    }
    return count;
  }
  std::optional<std::string> Value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional(found->second.value);
  }

 private:
  static constexpr size_t kMostEntries = 32;

  struct item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct change {
    uint64_t revision = 0;
    std::string key;
    std::optional<item> written;  // none: deleted
  };
  struct lease {
    milliseconds ttl{0};
    clock::time_point ends;
  };

  void Write(const std::string& key, const std::string& value, uint64_t lease_id) {
    item& written = items_[key];
    const uint64_t created = written.created == 0 ? revision_ : written.created;
    written = {value, revision_, created, lease_id};
    history_.push_back({revision_, key, written});
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) history_.push_back({revision_, key, std::nullopt});
  }
  static json ToJson(const std::string& key, const item& of) {
    return {{"key", key},
            {"value", ToBase64(of.value)},
            {"revision", of.revision},
            {"created", of.created},
            {"lease", of.lease}};
  }

  void EndLeases() {
    const std::lock_guard lock(mutex_);
    const auto now = clock::now();
    for (auto at = leases_.begin(); at != leases_.end();) {
      if (now < at->second.ends) {
        ++at;
        continue;
      }
      EndLease(at->first);
      at = leases_.erase(at);
    }
  }
  void EndLease(uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, of] : items_) {
      if (of.lease == id) keys.push_back(key);
    }
    if (keys.empty()) return;
    ++revision_;
    for (const std::string& key : keys) Delete(key);
    changed_.notify_all();
  }

  json EventsAfter(const std::string& prefix, uint64_t after) const {
    json out = json::array();
    auto at = std::upper_bound(
        history_.begin(), history_.end(), after,
        [](uint64_t revision, const change& each) { return revision < each.revision; });
    for (; at != history_.end(); ++at) {
      if (!at->key.starts_with(prefix)) continue;
      if (at->written) {
        out.push_back(ToJson(at->key, *at->written));
      } else {
        out.push_back({{"key", at->key}, {"revision", at->revision}, {"deleted", true}});
      }
    }
    return out;
  }

  http_response Handle(const http_request& request) {
    std::unique_lock lock(mutex_);
    if (request.path == "/v1/kv-key") {
      const auto found = items_.find(request.Query("key"));
      if (found == items_.end()) return Answer(404, {{"at-rev", revision_}});
      json out = ToJson(found->first, found->second);
      out["at-rev"] = revision_;
      return Answer(200, out);
    }
    if (request.path == "/v1/kv-range") return Range(request);
    if (request.path == "/v1/kv-watch") {
      const std::string prefix = request.Query("prefix");
      const uint64_t after = request.Number("after");
      const auto until = clock::now() + milliseconds(request.Number("wait-ms"));
      json events = EventsAfter(prefix, after);
      const uint64_t history_from = history_from_;
      while (events.empty() && !stopping_ && clock::now() < until) {
        if (after < history_from_ || history_from != history_from_) break;
        changed_.wait_until(lock, until);
        events = EventsAfter(prefix, after);
      }
      if (after < history_from_ || history_from != history_from_) {
        return Answer(410, {{"at-rev", revision_}});
      }
      return Answer(200, {{"events", std::move(events)}, {"at-rev", revision_}});
    }
    if (request.path == "/v1/kv-txn") return Change(json::parse(request.body));
    if (request.path == "/v1/kv-lease") {
      const milliseconds ttl(json::parse(request.body).at("ttl-ms").get<int64_t>());
      leases_[++last_lease_] = {ttl, clock::now() + ttl};
      return Answer(200, {{"lease", last_lease_}, {"ttl-ms", ttl.count()}});
    }
    const std::string keep = "/v1/kv-keep/";
    if (request.path.starts_with(keep)) {
      const auto found = leases_.find(std::strtoull(&request.path[keep.size()], nullptr, 10));
      if (found == leases_.end()) return Answer(404, json::object());
      found->second.ends = clock::now() + found->second.ttl;
      return Answer(200, {{"ttl-ms", found->second.ttl.count()}});
    }
    const std::string end = "/v1/kv-lease-end/";
    if (request.path.starts_with(end)) {
      const uint64_t id = std::strtoull(&request.path[end.size()], nullptr, 10);
      if (leases_.erase(id) == 0) return Answer(404, json::object());
      EndLease(id);
      return Answer(200, json::object());
    }
    return Answer(404, json::object());
  }

  http_response Range(const http_request& request) const {
    const std::string prefix = request.Query("prefix");
    json rows = json::array();
    bool more = false;
    for (auto at = items_.upper_bound(std::max(prefix, request.Query("after"))); at != items_.end();
         ++at) {
      if (!at->first.starts_with(prefix)) break;
      more = rows.size() == items_per_page_;
      if (more) break;
      rows.push_back(ToJson(at->first, at->second));
    }
    return Answer(200, {{"items", std::move(rows)}, {"has-more", more}, {"at-rev", revision_}});
  }

  http_response Change(const json& body) {
    const json expected = body.value("expected-rev", json::array());
    const json puts = body.value("puts", json::array());
    const json deletes = body.value("deletes", json::array());
    if (expected.size() + puts.size() + deletes.size() > kMostEntries) {
      return Answer(400, json::object());
    }
    const auto system_may_write = [](const std::string& key) {
      return !key.starts_with("op/") && !key.starts_with("servers/");
    };
    json present = json::array();
    bool met = true;
    for (const json& row : expected) {
      const auto key = row.at("key").get<std::string>();
      const auto found = items_.find(key);
      const uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      met = met && revision == row.at("revision").get<uint64_t>();
      present.push_back(found == items_.end() ? json{{"key", key}, {"revision", 0}}
                                              : ToJson(key, found->second));
    }
    if (!met) return Answer(412, {{"items", present}});
    for (const json& put : puts) {
      if (!system_may_write(put.at("key").get<std::string>())) return Answer(403, json::object());
      const uint64_t id = put.value("lease", uint64_t{0});
      if (id != 0 && !leases_.contains(id)) return Answer(404, json::object());
    }
    ++revision_;
    for (const json& put : puts) {
      Write(put.at("key").get<std::string>(), FromBase64(put.at("value").get<std::string>()),
            put.value("lease", uint64_t{0}));
    }
    for (const json& key : deletes) Delete(key.get<std::string>());
    changed_.notify_all();
    return Answer(200, {{"revision", revision_}});
  }

  size_t items_per_page_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::map<uint64_t, lease> leases_;
  uint64_t history_from_ = 0;  // changes up to this revision are forgotten
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread expiry_;
  http_server server_;
};

// --- workers -------------------------------------------------------------------------------------

struct worker_terms {
  std::string id;
  std::string service = "booking";
  std::string zone;
  std::string rack;
  uint32_t cpu = 16000;
  uint32_t mem_mb = 32768;
  milliseconds max_hold{6000};
};

// How a run ends by itself.
struct run_plan {
  std::optional<milliseconds> after;  // none: it lasts
  const char* how = "done";
};

// A run that a worker began or refused, for the check of a rule.
struct run_event {
  int64_t at = 0;  // ms since the start of the case
  std::string worker;
  std::string zone;
  std::string task;
  uint32_t run = 0;
  std::string what;  // "start", "old", "late", "fence" or how it ended
};

class run_log {
 public:
  explicit run_log(recorder& record) : record_(record) {}
  void Add(run_event event) {
    event.at = record_.Now();
    record_.Write("worker " + event.worker + " (" + event.zone + ") task " + event.task + " run " +
                  std::to_string(event.run) + ": " + event.what);
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  std::vector<run_event> Events() const {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  recorder& record_;
  mutable std::mutex mutex_;
  std::vector<run_event> events_;
};

class worker {
 public:
  using planner = std::function<run_plan(const std::string& task, uint32_t run)>;

  worker(store& at, run_log& log, worker_terms terms, planner plan)
      : store_(at), log_(log), terms_(std::move(terms)), plan_(std::move(plan)) {
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    server_ = std::make_unique<http_server>(
        [this](const http_request& request) { return Handle(request); });
    timer_ = std::thread([this] { Run(); });
  }
  ~worker() {
    stopping_ = true;
    changed_.notify_all();
    timer_.join();
    server_.reset();
  }
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  // Crashes right after the next answer to a hold, is dark for that time, and starts again under
  // the same id: it holds and knows nothing of before, and its clock starts anew.
  void CrashAfterHold(milliseconds dark) { restart_ = dark; }
  bool Restarting() const { return restart_.load().count() > 0; }
  // Cut off from all machines: nothing is answered, and what runs goes on under its lease.
  void CutOff(bool cut) { cut_off_ = cut; }

 private:
  static constexpr milliseconds kHeartbeat{1500};
  static constexpr milliseconds kStopTakes{50};
  static constexpr size_t kEndsPerListing = 500;

  struct run {
    uint32_t number = 0;
    clock::time_point began = clock::now();
    std::optional<clock::time_point> ends;
    std::string how;
  };

  int64_t ClockMs() const { return 1000 + MillisSince(began_); }

  void Register() {
    const json entry{{"service", terms_.service},
                     {"address", server_->Address()},
                     {"zone", terms_.zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold-left-ms", 0},
                     {"seq-no", ++heartbeats_},
                     {"born", born_},
                     {"labels", {"a", terms_.rack}},
                     {"capacity", {{"cpu", terms_.cpu}, {"mem-mb", terms_.mem_mb}, {"gpu", 0}}}};
    store_.Put({{"servers/" + terms_.id, entry.dump()}});
  }

  void Run() {
    auto heartbeat = clock::now();
    while (!stopping_) {
      if (clock::now() >= heartbeat) {
        if (!cut_off_ && clock::now() >= up_at_) Register();
        heartbeat += kHeartbeat;
      }
      {
        const std::lock_guard lock(mutex_);
        Advance();
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  void Log(const std::string& task, uint32_t number, const std::string& what) {
    log_.Add({0, terms_.id, terms_.zone, task, number, what});
  }

  void Advance() {
    const bool lapsed = ClockMs() > lease_until_;
    for (auto at = runs_.begin(); at != runs_.end();) {
      const bool ended = at->second.ends && clock::now() >= *at->second.ends;
      if (!ended && !lapsed) {
        ++at;
        continue;
      }
      const std::string how = ended ? at->second.how : "lapsed";
      ended_.push_back({++last_end_, at->first, at->second.number, how, ""});
      uint32_t& highest = highest_ended_[at->first];
      highest = std::max(highest, at->second.number);
      Log(at->first, at->second.number, how);
      at = runs_.erase(at);
      changed_.notify_all();
    }
  }

  // A run that lasts is at work.
  static int64_t PercentOf(const run& each) {
    if (!each.ends) return 100;
    const auto whole = std::chrono::duration_cast<milliseconds>(*each.ends - each.began).count();
    return std::min<int64_t>(99, 100 * MillisSince(each.began) / std::max<int64_t>(1, whole));
  }

  json Listing() const {
    json running = json::array();
    for (const auto& [task, each] : runs_) {
      running.push_back({task, each.number, "", PercentOf(each), 0});
    }
    json ended = json::array();
    for (const json& each : ended_) {
      if (ended.size() < kEndsPerListing) ended.push_back(each);
    }
    return {{"clock-ms", ClockMs()}, {"born", born_}, {"running", running}, {"ended", ended}};
  }

  http_response Refuse(const char* reason) const {
    return Answer(409, {{"clock-ms", ClockMs()}, {"reason", reason}});
  }

  void ExtendLease(const json& body) {
    if (!body.contains("deadline-ms")) return;
    lease_until_ = std::max(lease_until_, std::min(body.at("deadline-ms").get<int64_t>(),
                                                   ClockMs() + terms_.max_hold.count()));
  }

  http_response Start(const json& body) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run-id").get<uint32_t>();
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.number == number) {
      return Answer(200, {{"clock-ms", ClockMs()}});
    }
    const auto ended = highest_ended_.find(task);
    if (ended != highest_ended_.end() && number <= ended->second) {
      ExtendLease(body);
      Log(task, number, "refused, old");
      return Refuse("old");
    }
    if (body.at("deadline-ms").get<int64_t>() <= ClockMs()) return Refuse("late");
    ExtendLease(body);
    const run_plan plan = plan_(task, number);
    run begun;
    begun.number = number;
    if (plan.after) begun.ends = clock::now() + *plan.after;
    begun.how = plan.how;
    runs_[task] = begun;
    Log(task, number, "start");
    return Answer(200, {{"clock-ms", ClockMs()}});
  }

  http_response Stop(const json& body) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run-id").get<uint32_t>();
    uint32_t& highest = highest_ended_[task];
    highest = std::max(highest, number);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.number <= number) {
      found->second.ends = clock::now() + kStopTakes;
      found->second.how = "stopped";
    }
    return Answer(200, {{"clock-ms", ClockMs()}});
  }

  void Restart() {
    for (const auto& [task, each] : runs_) Log(task, each.number, "ended by a crash");
    runs_.clear();
    highest_ended_.clear();
    ended_.clear();
    last_end_ = 0;
    fence_ = 0;
    lease_until_ = 0;
    began_ = up_at_;
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch() + (up_at_ - clock::now()))
                .count();
  }

  http_response Handle(const http_request& request) {
    std::unique_lock lock(mutex_);
    if (cut_off_) {
      // What is sent over the cut is lost.
      while (cut_off_ && !stopping_) changed_.wait_for(lock, milliseconds(20));
      return {0, "", true};
    }
    if (clock::now() < up_at_) {
      // What reaches a dark machine is lost; its connections are reset once it is up.
      lock.unlock();
      std::this_thread::sleep_until(up_at_);
      return {0, "", true};
    }
    const auto target = request.headers.find("x-catkinford-target-instance");
    if (target != request.headers.end() && target->second != terms_.id) {
      return Answer(421, json::object());
    }
    const json body = json::parse(request.body);
    const uint64_t fence = body.value("fencing-token", uint64_t{0});
    if (fence < fence_) return Refuse("fence");
    fence_ = fence;
    Advance();
    if (request.path == "/v1/run-start") return Start(body);
    if (request.path == "/v1/run-stop") return Stop(body);
    if (request.path != "/v1/hold") return Answer(200, {{"clock-ms", ClockMs()}});
    const uint64_t seen = body.value("last-seen", uint64_t{0});
    while (!ended_.empty() && ended_.front()[0].get<uint64_t>() <= seen) ended_.pop_front();
    ExtendLease(body);
    const auto until = clock::now() + milliseconds(body.value("wait-ms", int64_t{0}));
    while (ended_.empty() && !stopping_ && clock::now() < until) changed_.wait_until(lock, until);
    if (cut_off_) {
      while (cut_off_ && !stopping_) changed_.wait_for(lock, milliseconds(20));
      return {0, "", true};
    }
    http_response out = Answer(200, Listing());
    const milliseconds dark = restart_.exchange(milliseconds(0));
    if (dark.count() == 0) return out;
    up_at_ = clock::now() + dark;
    Restart();
    return out;
  }

  store& store_;
  run_log& log_;
  worker_terms terms_;
  planner plan_;
  clock::time_point began_ = clock::now();
  int64_t born_ = 0;
  uint64_t heartbeats_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, run> runs_;  // by task
  std::map<std::string, uint32_t> highest_ended_;
  std::list<json> ended_;
  uint64_t last_end_ = 0;
  uint64_t fence_ = 0;
  int64_t lease_until_ = 0;
  clock::time_point up_at_{};
  std::atomic<milliseconds> restart_{milliseconds(0)};
  std::atomic<bool> cut_off_{false};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<http_server> server_;
  std::thread timer_;
};

// --- the system's processes ----------------------------------------------------------------------

inline uint16_t FreePort(const std::string& ip) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return ntohs(address.sin_port);
}

// One process of catkinford-site, with the settings that the template of the deploy file gives for
// the deployment kitamura-sapporo.
class entry {
 public:
  entry(std::string name, const std::string& zone, const std::string& ip,
        const std::string& store_address, const std::filesystem::path& folder,
        const json& bounds = json::object())
      : name_(std::move(name)),
        settings_(folder / (name_ + ".json")),
        log_(folder / (name_ + ".log")) {
    callers_ = ip + ":" + std::to_string(FreePort(ip));
    ready_ = ip + ":" + std::to_string(FreePort(ip));
    json settings{
        {"name", name_},
        {"failure_domain", zone},
        {"listen",
         {{"callers", callers_},
          {"ready", ready_},
          {"address", ip},
          {"peer_port", FreePort(ip)},
          {"metrics_port", FreePort(ip)}}},
        {"machine", {{"cpu_share", 0.25}, {"link_mbps", 1000.0}}},
        {"platform", {{"store", store_address}, {"advice", ""}, {"shortest_lease_ms", 1000}}},
        {"overload", {{"enabled", false}}},
        {"bounds",
         {{"config_limit_ms", 2000},
          {"longest_run_lease_ms", 6000},
          {"stop_limit_ms", 900},
          {"gang_limit_ms", 3000},
          {"early_limit_ms", 250},
          {"keep_final_s", 120},
          {"shutdown_limit_s", 6},
          {"remote_factor", 3}}}};
    settings["bounds"].update(bounds);
    std::ofstream(settings_) << settings.dump(1);
  }
  ~entry() { Kill(); }
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  bool Start() {
    const std::string program = "target/bin/catkinford-site";
    if (access(program.c_str(), X_OK) != 0) return false;
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(program.c_str(), program.c_str(), "--settings", settings_.c_str(), nullptr);
      _exit(127);
    }
    return pid_ > 0;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  bool Alive() const { return pid_ > 0; }
  bool Ready() const {
    const auto answer = Call(ready_, "GET", "/v1/readiness", "", "", milliseconds(500));
    return answer && answer->status == 200;
  }
  const std::string& Name() const { return name_; }
  const std::string& Callers() const { return callers_; }

 private:
  std::string name_;
  std::filesystem::path settings_;
  std::filesystem::path log_;
  std::string callers_;
  std::string ready_;
  pid_t pid_ = -1;
};

// Calls of a consumer with its tenant's key.
class consumer {
 public:
  consumer(recorder& record, std::string host, std::string key)
      : record_(record),
        headers_("Host: " + std::move(host) + "\r\nAuthorization: Bearer " + std::move(key) +
                 "\r\nX-Catkinford-Deadline-Ms: 3000\r\n") {}

  // The status, 0 without an answer.
  int Send(const entry& to, const std::string& method, const std::string& path,
           const std::string& body, std::string* answer_body = nullptr) {
    const auto answer = Call(to.Callers(), method, path, headers_, body, milliseconds(3000));
    const int status = answer ? answer->status : 0;
    if (answer && answer_body != nullptr) *answer_body = answer->body;
    record_.Write("consumer " + method + " " + path + " at " + to.Name() + ": " +
                  std::to_string(status) + (answer ? " " + answer->body : std::string()));
    return status;
  }

 private:
  recorder& record_;
  std::string headers_;
};

template <typename Condition>
bool WaitFor(milliseconds limit, Condition condition) {
  const auto until = clock::now() + limit;
  while (!condition()) {
    if (clock::now() >= until) return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

// The entry that last wrote to the store as the owner of the site; null: none is named.
inline entry* OwnerAmong(const std::vector<std::unique_ptr<entry>>& entries, store& at) {
  const auto text = at.Value("site/owner");
  const json owner = text ? json::parse(*text, nullptr, false) : json();
  if (!owner.is_object()) return nullptr;
  for (const auto& each : entries) {
    if (owner.at("entry").value("name", "") == each->Name()) return each.get();
  }
  return nullptr;
}

inline bool TroubleWanted() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_STANDINS_H_
