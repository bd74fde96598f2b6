#include "connection/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <queue>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "connection/recent_delay.h"
#include "connection/thread_cpu_clock.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kMaxEvents = 512;
constexpr milliseconds kMaxWait{1000};
constexpr size_t kMaxIdleHandles = 256;        // easy handles kept for reuse
constexpr milliseconds kMinOwnDelay{20};       // shorter ones are not told from ordinary work
constexpr milliseconds kConnectTimeout{2000};  // bounds calls to an unresponsive address
constexpr long kMaxPooledConnections = 8192;   // NOLINT(google-runtime-int): libcurl's type
constexpr size_t kPools = 32;

struct connection_pool;

// A socket's registration with epoll. An idle connection stays registered, so that its next call
// needs no system call for it.
struct watched_socket {
  uint32_t events = 0;  // 0: not registered
  bool idle = false;    // not wanted by libcurl
  connection_pool* pool = nullptr;
};

class socket_watcher {
 public:
  void Open() { epoll_ = epoll_create1(EPOLL_CLOEXEC); }
  void Close() const { close(epoll_); }
  watched_socket& Of(curl_socket_t socket) {
    const auto at = static_cast<size_t>(socket);
    if (at >= watched_.size()) watched_.resize(at + 1);
    return watched_[at];
  }
  // `events` 0: removes the socket.
  void Watch(curl_socket_t socket, uint32_t events) {
    watched_socket& known = Of(socket);
    known.idle = false;
    if (known.events == events) return;
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    const int operation =
        events == 0 ? EPOLL_CTL_DEL : (known.events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD);
    epoll_ctl(epoll_, operation, socket, &event);
    known.events = events;
  }
  int Wait(std::span<epoll_event> events, int wait_ms) const {
    return epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait_ms);
  }

 private:
  int epoll_ = -1;
  std::vector<watched_socket> watched_;  // by socket
};

// A part of the hosts. Once a second libcurl checks all idle connections of a multi handle and
// begins again after each closed one that it finds: with all hosts in one handle, some tens that
// leave together would hold up the calls to all others for seconds.
struct connection_pool {
  socket_watcher* sockets = nullptr;
  CURLM* multi = nullptr;  // null until its first call
  steady_clock::time_point timer = steady_clock::time_point::max();
};

struct transfer {
  http_call call;
  connection_pool* pool = nullptr;
  http_client::callback on_done;
  std::string answer;
  curl_slist* headers = nullptr;
  steady_clock::time_point queued;                      // when Send() was called
  std::atomic<uint64_t>* connections_opened = nullptr;  // points into the client
  bool opened_connection = false;
  uint32_t tries = 0;  // times that the request was begun
  std::string host;    // with the port; empty while no limit applies
  uint64_t number = 0;
  steady_clock::time_point limit_from;         // when the call's limit began to run
  steady_clock::duration own_delay_before{0};  // the client's total delay at `limit_from`
  // Only for calls with a stall timeout:
  steady_clock::time_point last_progress;  // when a byte was last sent or received
  curl_off_t bytes_sent = 0;
  curl_off_t bytes_received = 0;
  steady_clock::time_point* next_stall_check = nullptr;  // points into the client

  // When the transfer times out unless a byte is sent or received before.
  steady_clock::time_point StallDeadline() const {
    return last_progress + (bytes_received > 0 ? call.stall_timeout : call.timeout);
  }
  // When the call times out, unless it has begun and has a stall timeout. `own_delay`: the client's
  // total delay. The limit is at most doubled, so that a client that is always late notices dead
  // hosts.
  steady_clock::time_point Deadline(steady_clock::duration own_delay) const {
    const steady_clock::duration delayed = own_delay - own_delay_before;
    return limit_from + call.timeout + std::min<steady_clock::duration>(delayed, call.timeout);
  }
};

// Far above any response; a server that sends without end must not use up the memory.
constexpr size_t kMaxResponseBytes = size_t{64} << 20;

size_t AppendBody(char* data, size_t size, size_t count, void* closure) {
  auto* self = static_cast<transfer*>(closure);
  if (self->answer.size() + size * count > kMaxResponseBytes) return 0;  // ends the call
  self->answer.append(data, size * count);
  if (self->call.received_bytes != nullptr) *self->call.received_bytes += size * count;
  return size * count;
}

int OnProgress(void* closure, curl_off_t /*download_total*/, curl_off_t bytes_received,
               curl_off_t /*upload_total*/, curl_off_t bytes_sent) {
  auto* self = static_cast<transfer*>(closure);
  if (bytes_received == self->bytes_received && bytes_sent == self->bytes_sent) return 0;
  self->bytes_received = bytes_received;
  self->bytes_sent = bytes_sent;
  self->last_progress = steady_clock::now();
  *self->next_stall_check = std::min(*self->next_stall_check, self->StallDeadline());
  return 0;
}

// The earliest time at which an active call may time out.
struct call_deadline {
  steady_clock::time_point time;
  CURL* easy;
  uint64_t number;  // of the call: the handle may serve another one by then
  bool operator>(const call_deadline& other) const { return time > other.time; }
};

// Calls to one host. Those over the limit of connections wait here and not in libcurl, whose one
// queue for all hosts lets calls to a free host wait behind those to a busy one.
struct host_calls {
  size_t active = 0;
  std::deque<std::unique_ptr<transfer>> waiting;
};

curl_socket_t OpenSocket(void* closure, curlsocktype /*purpose*/, curl_sockaddr* address) {
  const int opened = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (opened >= 0) {
    auto* self = static_cast<transfer*>(closure);
    self->opened_connection = true;
    ++*self->connections_opened;
  }
  return opened;
}

int OnRequest(void* closure, char* /*to*/, char* /*from*/, int /*to_port*/, int /*from_port*/) {
  ++static_cast<transfer*>(closure)->tries;
  return CURL_PREREQFUNC_OK;
}

// libcurl repeats a request whose reused connection was closed without a response. The server may
// have executed the first one, and a refusal of the second one says nothing of it.
bool OnlyRepetitionRefused(const transfer& done, int code) {
  constexpr int kFirstRefusal = 300;
  return done.tries > 1 && done.call.method != "GET" && code >= kFirstRefusal;
}

// A transfer that failed before any byte of the request was sent did not reach the server.
transfer_status StatusOf(CURL* easy, CURLcode code) {
  if (code == CURLE_OK) return transfer_status::kDone;
  long sent = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent == 0 ? transfer_status::kNotSent : transfer_status::kMaybeSent;
}

call_fault FaultOf(CURL* easy, CURLcode code) {
  if (code == CURLE_OK) return call_fault::kNone;
  curl_off_t connect_time = 0;
  long sent = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_time);
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
  // A reused connection has no connect time.
  if (connect_time == 0 && sent == 0) return call_fault::kNotConnected;
  return code == CURLE_OPERATION_TIMEDOUT ? call_fault::kTimedOut : call_fault::kClosed;
}

}  // namespace

std::string_view HostOf(std::string_view url) {
  const size_t scheme = url.find("://");
  if (scheme != std::string_view::npos) url.remove_prefix(scheme + 3);
  return url.substr(0, url.find('/'));
}

struct http_client::impl {
  impl(size_t connections, std::string authorities, traffic_counter* counts, size_t extra)
      : connections_per_host(connections),
        extra_per_host(extra),
        ca_file(std::move(authorities)),
        traffic_counts(counts) {}

  static int CloseSocket(void* closure, curl_socket_t closed);
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* closure, void* known);
  static int OnTimer(CURLM* multi, long wait_ms, void* closure);  // NOLINT(google-runtime-int)

  void Run();
  connection_pool& PoolOf(std::string_view host);
  void OpenPool(connection_pool& pool);
  void ClosePools();
  void WakeThread() const;
  void BeginIncoming();
  void BeginOrWait(std::unique_ptr<transfer> next, steady_clock::time_point now);
  void Begin(std::unique_ptr<transfer> next);
  void EndOverdueWaiting(steady_clock::time_point now);
  void Release(const std::string& host);
  static void SocketAction(const connection_pool& pool, curl_socket_t socket, int events);
  // Lets libcurl begin the calls that were added and handle its time limits, where it is time.
  void RunTimers();
  void CompleteFinished();
  void CompleteFinished(const connection_pool& pool);
  // `read_until`: all that had arrived by then has been read.
  void EndStalled(steady_clock::time_point read_until);
  void EndOverdue(steady_clock::time_point read_until);
  // Drops the deadlines of completed calls that come before any other.
  void DropCompletedDeadlines();
  void EndTimedOut(CURL* easy);
  void RecordOwnDelay(steady_clock::duration late);
  void Complete(CURL* easy, transfer_status status, call_fault fault);
  void Count(CURL* easy, const transfer& done, call_fault fault);
  int WaitMs() const;
  CURL* NewHandle();

  size_t connections_per_host;
  size_t extra_per_host;
  std::string ca_file;
  traffic_counter* traffic_counts;  // may be null
  recent_delay delay;
  thread_cpu_clock cpu_clock;
  std::atomic<uint64_t> connections_opened{0};
  std::atomic<uint64_t> connections_closed{0};
  std::atomic<bool> close_idle{false};
  std::array<connection_pool, kPools> pools;  // by the hash of the host
  int wake = -1;
  std::thread thread;
  std::mutex mutex;  // guards the three below
  std::deque<std::unique_ptr<transfer>> incoming;
  bool stopping = false;
  bool stopped = true;
  // Accessed only by the client's thread:
  absl::flat_hash_map<CURL*, std::unique_ptr<transfer>> active;
  socket_watcher sockets;
  // Only if the connections to a host are limited:
  absl::flat_hash_map<std::string, host_calls> hosts;
  // No later than the earliest deadline of the waiting calls.
  steady_clock::time_point next_waiting_check = steady_clock::time_point::max();
  // Of calls without a stall timeout, and of completed calls.
  std::priority_queue<call_deadline, std::vector<call_deadline>, std::greater<>> deadlines;
  uint64_t calls_begun = 0;
  // Time in which this thread could not send or read: it was busy or did not run.
  steady_clock::duration own_delay{0};
  std::vector<CURL*> idle;
  std::vector<CURL*> stall_limited;  // active transfers with a stall timeout
  // No later than the earliest deadline of `stall_limited`; extended deadlines are found then.
  steady_clock::time_point next_stall_check = steady_clock::time_point::max();
};

int http_client::impl::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* closure,
                                void* /*known*/) {
  auto* pool = static_cast<connection_pool*>(closure);
  watched_socket& known = pool->sockets->Of(socket);
  known.pool = pool;
  if (what == CURL_POLL_REMOVE) {
    if (known.events == EPOLLIN) {
      known.idle = true;
    } else {
      pool->sockets->Watch(socket, 0);
    }
    return 0;
  }
  uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) events |= EPOLLIN;
  if ((what & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
  pool->sockets->Watch(socket, events);
  return 0;
}

int http_client::impl::CloseSocket(void* closure, curl_socket_t closed) {
  auto* self = static_cast<impl*>(closure);
  ++self->connections_closed;
  self->sockets.Watch(closed, 0);
  return close(closed);
}

// NOLINTNEXTLINE(google-runtime-int): libcurl's type
int http_client::impl::OnTimer(CURLM* /*multi*/, long wait_ms, void* closure) {
  auto* pool = static_cast<connection_pool*>(closure);
  pool->timer =
      wait_ms < 0 ? steady_clock::time_point::max() : steady_clock::now() + milliseconds(wait_ms);
  return 0;
}

CURL* http_client::impl::NewHandle() {
  if (!idle.empty()) {
    CURL* easy = idle.back();
    idle.pop_back();
    curl_easy_reset(easy);
    return easy;
  }
  return curl_easy_init();
}

void http_client::impl::BeginOrWait(std::unique_ptr<transfer> next, steady_clock::time_point now) {
  next->limit_from = now;
  next->own_delay_before = own_delay;
  if (connections_per_host == 0) return Begin(std::move(next));
  next->host = std::string(HostOf(next->call.url));
  host_calls& calls = hosts[next->host];
  const size_t limit = connections_per_host + (next->call.uses_extra ? extra_per_host : 0);
  if (calls.active >= limit) {
    next_waiting_check = std::min(next_waiting_check, now + next->call.timeout);
    calls.waiting.push_back(std::move(next));
    return;
  }
  ++calls.active;
  Begin(std::move(next));
}

// `host` has one call less in flight: the next one begins.
void http_client::impl::Release(const std::string& host) {
  if (host.empty()) return;
  const auto found = hosts.find(host);
  host_calls& calls = found->second;
  if (calls.waiting.empty()) {
    if (--calls.active == 0) hosts.erase(found);
    return;
  }
  std::unique_ptr<transfer> next = std::move(calls.waiting.front());
  calls.waiting.pop_front();
  Begin(std::move(next));
}

void http_client::impl::EndOverdueWaiting(steady_clock::time_point now) {
  if (now < next_waiting_check) return;
  next_waiting_check = steady_clock::time_point::max();
  std::vector<std::unique_ptr<transfer>> overdue;
  for (auto& [host, calls] : hosts) {
    std::deque<std::unique_ptr<transfer>> still_waiting;
    for (std::unique_ptr<transfer>& each : calls.waiting) {
      const steady_clock::time_point deadline = each->Deadline(own_delay);
      if (deadline <= now) {
        overdue.push_back(std::move(each));
        continue;
      }
      next_waiting_check = std::min(next_waiting_check, deadline);
      still_waiting.push_back(std::move(each));
    }
    calls.waiting = std::move(still_waiting);
  }
  for (const std::unique_ptr<transfer>& each : overdue) {
    if (traffic_counts != nullptr) {
      traffic_counts->Count(each->call.url, 0, 0, call_fault::kNoFreeConnection);
    }
    each->on_done({});
  }
}

connection_pool& http_client::impl::PoolOf(std::string_view host) {
  connection_pool& pool = pools[absl::HashOf(host) % kPools];
  if (pool.multi == nullptr) OpenPool(pool);
  return pool;
}

void http_client::impl::Begin(std::unique_ptr<transfer> next) {
  CURL* easy = NewHandle();
  const http_call& call = next->call;
  next->pool = &PoolOf(HostOf(call.url));
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");  // peers are addressed directly, never through a proxy
  if (call.stall_timeout.count() == 0) {
    // Not by CURLOPT_TIMEOUT_MS: when this thread is late, libcurl would end the transfer and close
    // its connection before it reads the answer that has arrived.
    next->number = ++calls_begun;
    deadlines.push({next->Deadline(own_delay), easy, next->number});
  } else {
    next->last_progress = next->limit_from;
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, next.get());
    next->next_stall_check = &next_stall_check;
    next_stall_check = std::min(next_stall_check, next->StallDeadline());
    stall_limited.push_back(easy);
  }
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
  next->connections_opened = &connections_opened;
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, next.get());
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(kConnectTimeout.count()));  // NOLINT
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, next.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, next.get());
  // libcurl walks its whole cache of addresses at the end of each call. Ours are literal.
  curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
  if (!ca_file.empty()) curl_easy_setopt(easy, CURLOPT_CAINFO, ca_file.c_str());
  if (call.close_connection) curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  if (call.fresh_connection) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  if (call.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));  // NOLINT
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  }
  next->headers = curl_slist_append(next->headers, "Content-Type: application/json");
  next->headers = curl_slist_append(next->headers, "Expect:");
  if (!call.bearer.empty()) {
    const std::string header = absl::StrCat("Authorization: Bearer ", call.bearer);
    next->headers = curl_slist_append(next->headers, header.c_str());
  }
  for (const auto& [name, value] : call.headers) {
    next->headers = curl_slist_append(next->headers, absl::StrCat(name, ": ", value).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, next->headers);
  CURLM* multi = next->pool->multi;
  active.emplace(easy, std::move(next));
  curl_multi_add_handle(multi, easy);
}

void http_client::impl::Count(CURL* easy, const transfer& done, call_fault fault) {
  if (traffic_counts == nullptr) return;
  long head_sent = 0;      // NOLINT(google-runtime-int): libcurl's type
  long head_received = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_off_t body_sent = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &head_sent);
  curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head_received);
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &body_sent);
  // libcurl includes a small body that was sent with the header in the request size.
  const auto head = static_cast<uint64_t>(head_sent);
  traffic_counts->Count(done.call.url, std::max(head, static_cast<uint64_t>(body_sent)),
                        static_cast<uint64_t>(head_received) + done.answer.size(), fault);
}

void http_client::impl::Complete(CURL* easy, transfer_status status, call_fault fault) {
  auto node = active.extract(easy);
  std::erase(stall_limited, easy);
  const std::unique_ptr<transfer> done = std::move(node.mapped());
  http_result result;
  result.status = status;
  long code = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
  result.code = static_cast<int>(code);
  if (OnlyRepetitionRefused(*done, result.code)) result.status = transfer_status::kMaybeSent;
  Count(easy, *done, fault);
  result.body = std::move(done->answer);
  curl_multi_remove_handle(done->pool->multi, easy);
  curl_slist_free_all(done->headers);
  if (idle.size() < kMaxIdleHandles) {
    idle.push_back(easy);
  } else {
    curl_easy_cleanup(easy);
  }
  Release(done->host);
  done->on_done(std::move(result));
}

void http_client::impl::CompleteFinished() {
  for (const connection_pool& pool : pools) {
    if (pool.multi != nullptr) CompleteFinished(pool);
  }
}

void http_client::impl::CompleteFinished(const connection_pool& pool) {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(pool.multi, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    // libcurl closes a connection that could not be opened in time without the callback.
    const bool unopened =
        code == CURLE_OPERATION_TIMEDOUT && FaultOf(easy, code) == call_fault::kNotConnected;
    if (unopened && active.at(easy)->opened_connection) ++connections_closed;
    Complete(easy, StatusOf(easy, code), FaultOf(easy, code));
  }
}

void http_client::impl::EndStalled(steady_clock::time_point read_until) {
  if (read_until < next_stall_check) return;
  std::vector<CURL*> stalled;
  next_stall_check = steady_clock::time_point::max();
  for (CURL* easy : stall_limited) {
    const steady_clock::time_point deadline = active.at(easy)->StallDeadline();
    if (deadline <= read_until) {
      stalled.push_back(easy);
    } else {
      next_stall_check = std::min(next_stall_check, deadline);
    }
  }
  for (CURL* easy : stalled) EndTimedOut(easy);
}

void http_client::impl::DropCompletedDeadlines() {
  while (!deadlines.empty()) {
    const auto found = active.find(deadlines.top().easy);
    if (found != active.end() && found->second->number == deadlines.top().number) return;
    deadlines.pop();
  }
}

void http_client::impl::EndOverdue(steady_clock::time_point read_until) {
  for (DropCompletedDeadlines(); !deadlines.empty() && deadlines.top().time <= read_until;
       DropCompletedDeadlines()) {
    const call_deadline due = deadlines.top();
    deadlines.pop();
    const steady_clock::time_point extended = active.at(due.easy)->Deadline(own_delay);
    if (extended <= read_until) {
      EndTimedOut(due.easy);
    } else {
      deadlines.push({extended, due.easy, due.number});
    }
  }
}

void http_client::impl::EndTimedOut(CURL* easy) {
  const call_fault fault = FaultOf(easy, CURLE_OPERATION_TIMEDOUT);
  // libcurl closes a connection that could not be opened in time without the callback.
  if (fault == call_fault::kNotConnected && active.at(easy)->opened_connection) {
    ++connections_closed;
  }
  Complete(easy, StatusOf(easy, CURLE_OPERATION_TIMEDOUT), fault);
}

void http_client::impl::RecordOwnDelay(steady_clock::duration late) {
  if (late >= kMinOwnDelay) own_delay += late;
}

void http_client::impl::SocketAction(const connection_pool& pool, curl_socket_t socket,
                                     int events) {
  int running = 0;
  curl_multi_socket_action(pool.multi, socket, events, &running);
}

void http_client::impl::RunTimers() {
  const steady_clock::time_point now = steady_clock::now();
  for (connection_pool& pool : pools) {
    if (now < pool.timer) continue;
    pool.timer = steady_clock::time_point::max();
    SocketAction(pool, CURL_SOCKET_TIMEOUT, 0);
  }
}

void http_client::impl::BeginIncoming() {
  std::deque<std::unique_ptr<transfer>> taken;
  {
    const std::lock_guard lock(mutex);
    taken.swap(incoming);
  }
  if (taken.empty()) return;
  const steady_clock::time_point now = steady_clock::now();
  delay.Record(std::chrono::duration_cast<milliseconds>(now - taken.front()->queued), now);
  for (auto& next : taken) BeginOrWait(std::move(next), now);
}

// libcurl closes its pooled connections only together with their handle.
void http_client::impl::ClosePools() {
  for (connection_pool& pool : pools) {
    if (pool.multi != nullptr) curl_multi_cleanup(pool.multi);
    pool = {};
  }
}

void http_client::impl::OpenPool(connection_pool& pool) {
  CURLM* multi = curl_multi_init();
  pool.sockets = &sockets;
  pool.multi = multi;
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, &pool);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, &pool);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxPooledConnections);
  curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(  // NOLINT(google-runtime-int)
                        connections_per_host + extra_per_host));
}

void http_client::impl::WakeThread() const {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = write(wake, &one, sizeof one);
}

int http_client::impl::WaitMs() const {
  steady_clock::time_point next = std::min(next_stall_check, next_waiting_check);
  for (const connection_pool& pool : pools) next = std::min(next, pool.timer);
  if (!deadlines.empty()) next = std::min(next, deadlines.top().time);
  if (next == steady_clock::time_point::max()) return static_cast<int>(kMaxWait.count());
  const auto left = std::chrono::ceil<milliseconds>(next - steady_clock::now());
  return static_cast<int>(std::clamp(left, milliseconds{0}, kMaxWait).count());
}

void http_client::impl::Run() {
  std::array<epoll_event, kMaxEvents> events{};
  steady_clock::time_point reads_from = steady_clock::now();
  while (true) {
    {
      const std::lock_guard lock(mutex);
      if (stopping) break;
    }
    BeginIncoming();
    DropCompletedDeadlines();
    const int wait_ms = WaitMs();
    const steady_clock::time_point waits_from = steady_clock::now();
    RecordOwnDelay(waits_from - reads_from);
    const int count = sockets.Wait(events, wait_ms);
    reads_from = steady_clock::now();
    cpu_clock.Note(reads_from);
    RecordOwnDelay(reads_from - waits_from - milliseconds{wait_ms});
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.fd == wake) {
        uint64_t ignored = 0;
        [[maybe_unused]] const ssize_t got = read(wake, &ignored, sizeof ignored);
        continue;
      }
      // The server closed an idle connection: libcurl notices at the next call.
      const watched_socket known = sockets.Of(event.data.fd);
      if (known.idle) {
        sockets.Watch(event.data.fd, 0);
        continue;
      }
      int what = 0;
      if ((event.events & EPOLLIN) != 0) what |= CURL_CSELECT_IN;
      if ((event.events & EPOLLOUT) != 0) what |= CURL_CSELECT_OUT;
      if ((event.events & (EPOLLERR | EPOLLHUP)) != 0) what |= CURL_CSELECT_ERR;
      if (known.events != 0) SocketAction(*known.pool, event.data.fd, what);
    }
    // Read all responses that have arrived before timing out any call: after a stall of this
    // process there are many of both.
    if (count < kMaxEvents) RunTimers();
    CompleteFinished();
    if (count < kMaxEvents) {
      EndStalled(reads_from);
      EndOverdue(reads_from);
    }
    EndOverdueWaiting(reads_from);
    if (active.empty() && close_idle.exchange(false)) ClosePools();
  }
  BeginIncoming();
  for (auto& [host, calls] : hosts) {
    for (const std::unique_ptr<transfer>& each : calls.waiting) each->on_done({});
    calls.waiting.clear();
  }
  while (!active.empty()) {
    Complete(active.begin()->first, transfer_status::kMaybeSent, call_fault::kNone);
  }
}

http_client::http_client(size_t connections_per_host, std::string ca_file,
                         traffic_counter* traffic_counts, size_t extra_per_host)
    : impl_(std::make_unique<impl>(connections_per_host, std::move(ca_file), traffic_counts,
                                   extra_per_host)) {}

http_client::~http_client() { Stop(); }

void http_client::Start() {
  [[maybe_unused]] static const CURLcode global_init = curl_global_init(CURL_GLOBAL_DEFAULT);
  impl& self = *impl_;
  self.sockets.Open();
  self.wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  self.sockets.Watch(self.wake, EPOLLIN);
  self.stopped = false;
  self.thread = std::thread([&self] { self.Run(); });
}

void http_client::Send(http_call call, callback on_done) {
  auto next = std::make_unique<transfer>();
  next->call = std::move(call);
  next->on_done = std::move(on_done);
  next->queued = steady_clock::now();
  bool first = false;
  bool taken = false;
  {
    const std::lock_guard lock(impl_->mutex);
    taken = !impl_->stopping && !impl_->stopped;
    if (taken) {
      first = impl_->incoming.empty();
      impl_->incoming.push_back(std::move(next));
    }
  }
  if (!taken) {
    next->on_done({});  // NOLINT(bugprone-use-after-move): moved only when accepted
    return;
  }
  if (first) impl_->WakeThread();
}

milliseconds http_client::Delay() const { return impl_->delay.Max(steady_clock::now()); }

std::chrono::microseconds http_client::CpuTime() const { return impl_->cpu_clock.Used(); }

connection_counts http_client::Connections() const {
  // Closed ones are read first: a connection is opened before it is closed.
  const uint64_t closed = impl_->connections_closed;
  const uint64_t opened = impl_->connections_opened;
  return {opened - closed, opened};
}

void http_client::CloseIdleConnections() {
  impl_->close_idle = true;
  impl_->WakeThread();
}

http_result http_client::SendAndWait(http_call call) {
  std::mutex mutex;
  std::condition_variable ready;
  bool done = false;
  http_result result;
  Send(std::move(call), [&](http_result answer) {
    const std::lock_guard lock(mutex);
    result = std::move(answer);
    done = true;
    ready.notify_one();
  });
  std::unique_lock lock(mutex);
  ready.wait(lock, [&] { return done; });
  return result;
}

void http_client::Stop() {
  impl& self = *impl_;
  {
    const std::lock_guard lock(self.mutex);
    if (self.stopped) return;
    self.stopping = true;
  }
  self.WakeThread();
  self.thread.join();
  {
    const std::lock_guard lock(self.mutex);
    self.stopped = true;
  }
  for (CURL* easy : self.idle) curl_easy_cleanup(easy);
  self.idle.clear();
  self.ClosePools();
  self.sockets.Close();
  close(self.wake);
}

}  // namespace catkinford
