#include "connection/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <limits>
#include <mutex>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::steady_clock;

// A body of more than this many times the limit closes the connection.
constexpr unsigned kBodyDrainFactor = 4;
// A body of this size is given its whole buffer at once.
constexpr size_t kSmallBody = 16384;

// Per-request state, owned through libmicrohttpd's request closure.
struct exchange {
  MHD_Connection* connection = nullptr;
  http_server::token id = 0;
  connection_budget::connection_id account = 0;
  http_request request;
  http_response response;
  size_t body_limit = 0;
  size_t announced = 0;   // length of the body; 0: not known
  size_t head_bytes = 0;  // of the request without its body
  size_t received = 0;
  bool suspended = false;
  bool answered = false;
};

MHD_Result CollectQuery(void* closure, MHD_ValueKind /*kind*/, const char* name,
                        const char* value) {
  static_cast<exchange*>(closure)->request.query.emplace_back(name, value == nullptr ? "" : value);
  return MHD_YES;
}

std::string HeaderOf(MHD_Connection* connection, const char* name) {
  const char* header = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return header == nullptr ? std::string() : std::string(header);
}

std::string BearerOf(MHD_Connection* connection) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string text = HeaderOf(connection, "Authorization");
  if (!text.starts_with(kScheme)) return {};
  return text.substr(kScheme.size());
}

size_t DeclaredLength(MHD_Connection* connection) {
  const char* header = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
  size_t length = 0;
  if (header != nullptr && !absl::SimpleAtoi(header, &length)) return 0;
  return length;
}

MHD_Result QueueResponse(MHD_Connection* connection, const http_response& answer) {
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", answer.content_type.c_str());
  if (answer.retry_after) {
    MHD_add_response_header(response, "Retry-After",
                            absl::StrCat(answer.retry_after->count()).c_str());
  }
  if (answer.close) MHD_add_response_header(response, "Connection", "close");
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return queued;
}

http_response TooLarge() {
  return {413, R"({"error":"body_too_large"})", "application/json", {}, false};
}

// The request was not passed to the handler, so nothing was done.
http_response ShuttingDown() {
  return {503, R"({"error":"shutting_down"})", "application/json", std::chrono::seconds{1}, true};
}
http_response Overloaded() {
  return {503, R"({"error":"overloaded"})", "application/json", std::chrono::seconds{1}, false};
}

size_t HeadBytes(const http_request& request) {
  size_t out = sizeof(exchange) + request.path.size() + request.bearer.size() + request.host.size();
  for (const auto* list : {&request.headers, &request.query}) {
    for (const auto& pair : *list) out += sizeof(pair) + pair.first.size() + pair.second.size();
  }
  return out;
}

std::shared_ptr<connection_budget> Unlimited() {
  constexpr size_t kNoLimit = std::numeric_limits<size_t>::max() / 8;
  return std::make_shared<connection_budget>(budget_options{kNoLimit, std::chrono::hours(24 * 365)},
                                             [](int) {});
}

connection_budget::connection_id AccountOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  if (info == nullptr || info->socket_context == nullptr) return 0;
  return *static_cast<connection_budget::connection_id*>(info->socket_context);
}

}  // namespace

std::string http_request::Query(const std::string& name) const {
  for (const auto& [key, value] : query) {
    if (key == name) return value;
  }
  return {};
}

std::string http_request::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return {};
}

struct http_server::impl {
  impl(http_server_options server_options, handler handle)
      : options(std::move(server_options)),
        body_limit(options.body_limit),
        budget(options.budget == nullptr ? Unlimited() : options.budget),
        listener(budget->AddListener(options.budget == nullptr ? std::numeric_limits<size_t>::max()
                                                               : options.connection_limit)),
        on_request(std::move(handle)) {}

  static MHD_Result OnAccept(void* closure, const sockaddr* address, socklen_t size);
  static void OnConnection(void* closure, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
  static MHD_Result OnAccess(void* closure, MHD_Connection* connection, const char* url,
                             const char* method, const char* /*version*/, const char* data,
                             size_t* size, void** per_request);
  static void OnCompleted(void* closure, MHD_Connection* connection, void** per_request,
                          MHD_RequestTerminationCode code);

  MHD_Result Begin(MHD_Connection* connection, const char* url, const char* method,
                   void** per_request);
  MHD_Result Receive(exchange& current, const char* data, size_t* size);
  // False if there is no room for `size` more bytes of the body.
  bool Append(exchange& current, const char* data, size_t size);
  MHD_Result Dispatch(exchange& current);
  // Answers a request that is not passed to the handler.
  MHD_Result Reject(exchange& current, const http_response& response);
  void SetSocketBuffers() const;

  http_server_options options;
  std::atomic<size_t> body_limit;
  const std::shared_ptr<connection_budget> budget;
  const connection_budget::listener_id listener;
  tls_certificate_store certificates;
  handler on_request;
  MHD_Daemon* daemon = nullptr;
  std::mutex mutex;  // guards `waiting` and the exchanges in it
  absl::flat_hash_map<token, exchange*> waiting;
  size_t unfinished = 0;  // passed to `on_request` and not yet completed
  token next_token = 1;
  bool rejecting = false;
};

MHD_Result http_server::impl::OnAccess(void* closure, MHD_Connection* connection, const char* url,
                                       const char* method, const char* /*version*/,
                                       const char* data, size_t* size, void** per_request) {
  auto* self = static_cast<impl*>(closure);
  if (*per_request == nullptr) return self->Begin(connection, url, method, per_request);
  auto& current = *static_cast<exchange*>(*per_request);
  if (*size > 0) return self->Receive(current, data, size);
  return self->Dispatch(current);
}

MHD_Result http_server::impl::OnAccept(void* closure, const sockaddr* /*address*/,
                                       socklen_t /*size*/) {
  auto* self = static_cast<impl*>(closure);
  return self->budget->Admit(self->listener, steady_clock::now()) ? MHD_YES : MHD_NO;
}

// The library calls this before it closes the connection's descriptor.
void http_server::impl::OnConnection(void* closure, MHD_Connection* connection, void** context,
                                     MHD_ConnectionNotificationCode code) {
  auto* self = static_cast<impl*>(closure);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    const auto* account = static_cast<connection_budget::connection_id*>(*context);
    self->budget->Closed(*account);
    delete account;
    *context = nullptr;
    return;
  }
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  *context = new connection_budget::connection_id(
      self->budget->Open(self->listener, info->connect_fd, steady_clock::now()));
}

void http_server::impl::OnCompleted(void* closure, MHD_Connection* connection, void** per_request,
                                    MHD_RequestTerminationCode /*code*/) {
  auto* self = static_cast<impl*>(closure);
  auto* current = static_cast<exchange*>(*per_request);
  if (current == nullptr) return;
  {
    const std::lock_guard lock(self->mutex);
    self->waiting.erase(current->id);
    if (current->suspended) --self->unfinished;
  }
  delete current;
  *per_request = nullptr;
  const connection_budget::connection_id account = AccountOf(connection);
  const monotonic_time now = steady_clock::now();
  self->budget->Hold(account, 0, now);
  self->budget->Enter(account, connection_phase::kIdle, now);
}

MHD_Result http_server::impl::Begin(MHD_Connection* connection, const char* url, const char* method,
                                    void** per_request) {
  const size_t announced = DeclaredLength(connection);
  const size_t limit = body_limit;
  // Reject an oversized declared body at once, without reading it.
  if (announced > limit) return QueueResponse(connection, TooLarge());
  auto* current = new exchange;
  *per_request = current;
  current->connection = connection;
  current->account = AccountOf(connection);
  current->body_limit = limit;
  current->announced = announced;
  current->request.method = method;
  current->request.path = url;
  current->request.bearer = BearerOf(connection);
  current->request.host = HeaderOf(connection, "Host");
  for (const std::string& name : options.captured_headers) {
    std::string value = HeaderOf(connection, name.c_str());
    if (!value.empty()) current->request.headers.emplace_back(name, std::move(value));
  }
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery, current);
  current->head_bytes = HeadBytes(current->request);
  const monotonic_time now = steady_clock::now();
  budget->Enter(current->account, connection_phase::kReceiving, now);
  return budget->Hold(current->account, current->head_bytes, now) ? MHD_YES : MHD_NO;
}

bool http_server::impl::Append(exchange& current, const char* data, size_t size) {
  std::string& body = current.request.body;
  const size_t needed = body.size() + size;
  if (needed > body.capacity()) {
    const size_t most = current.announced > 0 ? current.announced : current.body_limit;
    const size_t step = most <= kSmallBody ? most : body.capacity() + body.capacity() / 2;
    const size_t capacity = std::max(needed, std::min(step, most));
    // The old buffer is copied into the new one.
    const size_t both = current.head_bytes + body.capacity() + capacity;
    if (!budget->Hold(current.account, both, steady_clock::now())) return false;
    std::string larger;
    larger.reserve(capacity);
    larger = body;
    body = std::move(larger);
    budget->Hold(current.account, current.head_bytes + body.capacity(), steady_clock::now());
  }
  body.append(data, size);
  return true;
}

MHD_Result http_server::impl::Receive(exchange& current, const char* data, size_t* size) {
  current.received += *size;
  // A chunked body declares no length. Beyond the limit it is read and discarded, and an endless
  // one is aborted.
  if (current.received > current.body_limit * kBodyDrainFactor) return MHD_NO;
  if (current.received <= current.body_limit) {
    if (!Append(current, data, *size)) return MHD_NO;
  } else if (current.request.body.capacity() > 0) {
    current.request.body = std::string();
    budget->Hold(current.account, current.head_bytes, steady_clock::now());
  }
  *size = 0;
  return MHD_YES;
}

MHD_Result http_server::impl::Reject(exchange& current, const http_response& response) {
  current.request = {};
  budget->BeginAnswer(current.account, response.body.size(), steady_clock::now());
  return QueueResponse(current.connection, response);
}

MHD_Result http_server::impl::Dispatch(exchange& current) {
  if (current.received > current.body_limit) return Reject(current, TooLarge());
  if (current.suspended) {
    if (!current.answered) return MHD_YES;
    const http_response response = std::move(current.response);
    return QueueResponse(current.connection, response);
  }
  std::optional<request_memory> memory = budget->Take(current.account);
  if (!memory) return Reject(current, Overloaded());
  current.request.memory = *std::move(memory);
  token id = 0;
  {
    const std::lock_guard lock(mutex);
    if (!rejecting) {
      id = next_token++;
      current.id = id;
      current.suspended = true;
      ++unfinished;
      waiting.emplace(id, &current);
      budget->Enter(current.account, connection_phase::kWaiting, steady_clock::now());
      MHD_suspend_connection(current.connection);
    }
  }
  if (id == 0) return Reject(current, ShuttingDown());
  // Once `on_request` runs, another thread may respond and end the exchange, so `current` is not
  // accessed afterwards.
  http_request request = std::move(current.request);
  on_request(id, std::move(request));
  return MHD_YES;
}

// Connections take them over from the socket that listens.
void http_server::impl::SetSocketBuffers() const {
  const MHD_DaemonInfo* const info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (info == nullptr || options.socket_buffer_bytes == 0) return;
  const int bytes = options.socket_buffer_bytes;
  for (const int direction : {SO_RCVBUF, SO_SNDBUF}) {
    setsockopt(info->listen_fd, SOL_SOCKET, direction, &bytes, sizeof(bytes));
  }
}

http_server::http_server(http_server_options options, handler on_request)
    : impl_(std::make_unique<impl>(std::move(options), std::move(on_request))) {}

http_server::~http_server() { Stop(); }

bool http_server::Start() {
  const http_server_options& options = impl_->options;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) return false;
  const bool has_certificate_text = !options.tls_certificate.empty();
  if (has_certificate_text &&
      SetCertificate(options.tls_certificate, options.tls_key) != tls_fault::kNone) {
    return false;
  }
  const bool tls = options.tls || has_certificate_text;
  if (tls && !impl_->certificates.HasCertificate()) return false;
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  if (tls) flags |= MHD_USE_TLS;
  std::vector<MHD_OptionItem> items = {
      {MHD_OPTION_SOCK_ADDR, 0, &address},
      // At the limit the next clients wait in the system's backlog.
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.connection_limit), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options.idle_timeout.count()), nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
  };
  if (options.threads > 1) {
    items.push_back({MHD_OPTION_THREAD_POOL_SIZE, options.threads, nullptr});
  }
  if (tls) {
    // A callback for each handshake rather than a fixed certificate, so that it can be replaced.
    items.push_back({MHD_OPTION_HTTPS_CERT_CALLBACK2, 0,
                     reinterpret_cast<void*>(tls_certificate_store::Callback())});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});
  impl_->daemon = MHD_start_daemon(
      flags, options.port, &impl::OnAccept, impl_.get(), &impl::OnAccess, impl_.get(),
      MHD_OPTION_ARRAY, items.data(), MHD_OPTION_NOTIFY_COMPLETED, &impl::OnCompleted, impl_.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &impl::OnConnection, impl_.get(), MHD_OPTION_END);
  if (impl_->daemon == nullptr) return false;
  impl_->SetSocketBuffers();
  if (tls) impl_->certificates.ServePort(Port());
  return true;
}

tls_fault http_server::SetCertificate(const std::string& certificate, const std::string& key) {
  return impl_->certificates.Set(certificate, key);
}

tls_fault http_server::SetCertificateFiles(const std::string& certificate, const std::string& key) {
  return impl_->certificates.SetFromFiles(certificate, key);
}

uint16_t http_server::Port() const {
  if (impl_->daemon == nullptr) return 0;
  return MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void http_server::Respond(token request, http_response response) {
  const std::lock_guard lock(impl_->mutex);
  const auto found = impl_->waiting.find(request);
  if (found == impl_->waiting.end()) return;
  exchange& current = *found->second;
  current.response = std::move(response);
  current.answered = true;
  impl_->budget->BeginAnswer(current.account, current.response.body.size(), steady_clock::now());
  impl_->waiting.erase(found);
  MHD_resume_connection(current.connection);
}

void http_server::SetBodyLimit(size_t bytes) { impl_->body_limit = bytes; }

size_t http_server::Waiting() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->unfinished;
}

void http_server::RejectNew() {
  const std::lock_guard lock(impl_->mutex);
  impl_->rejecting = true;
}

void http_server::StopAccepting() {
  if (impl_->daemon != nullptr) {
    const MHD_socket listener = MHD_quiesce_daemon(impl_->daemon);
    if (listener != MHD_INVALID_SOCKET) close(listener);
  }
}

void http_server::Stop() {
  if (impl_->daemon == nullptr) return;
  {
    // MHD_stop_daemon() waits forever for connections that are still suspended.
    const std::lock_guard lock(impl_->mutex);
    impl_->rejecting = true;
    // Not 503 shutting_down, which means that nothing was done: these requests were accepted and
    // may be executing.
    for (auto& [id, current] : impl_->waiting) {
      current->response = {
          500, R"({"error":"stopped_before_the_answer"})", "application/json", {}, false};
      current->answered = true;
      MHD_resume_connection(current->connection);
    }
    impl_->waiting.clear();
  }
  MHD_stop_daemon(impl_->daemon);
  impl_->daemon = nullptr;
}

}  // namespace catkinford
