#include "connection/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

// A body of more than this many times the limit closes the connection.
constexpr unsigned kBodyDrainFactor = 4;

// Per-request state, owned through libmicrohttpd's request closure.
struct exchange {
  MHD_Connection* connection = nullptr;
  http_server::token id = 0;
  http_request request;
  http_response response;
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
      : options(std::move(server_options)), on_request(std::move(handle)) {}

  static MHD_Result OnAccess(void* closure, MHD_Connection* connection, const char* url,
                             const char* method, const char* /*version*/, const char* data,
                             size_t* size, void** per_request);
  static void OnCompleted(void* closure, MHD_Connection* connection, void** per_request,
                          MHD_RequestTerminationCode code);

  MHD_Result Begin(MHD_Connection* connection, const char* url, const char* method,
                   void** per_request);
  MHD_Result Receive(exchange& current, const char* data, size_t* size);
  MHD_Result Dispatch(exchange& current);

  http_server_options options;
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

void http_server::impl::OnCompleted(void* closure, MHD_Connection* /*connection*/,
                                    void** per_request, MHD_RequestTerminationCode /*code*/) {
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
}

MHD_Result http_server::impl::Begin(MHD_Connection* connection, const char* url, const char* method,
                                    void** per_request) {
  // Reject an oversized declared body at once, without reading it.
  if (DeclaredLength(connection) > options.body_limit) return QueueResponse(connection, TooLarge());
  auto* current = new exchange;
  *per_request = current;
  current->connection = connection;
  current->request.method = method;
  current->request.path = url;
  current->request.bearer = BearerOf(connection);
  current->request.host = HeaderOf(connection, "Host");
  for (const std::string& name : options.captured_headers) {
    std::string value = HeaderOf(connection, name.c_str());
    if (!value.empty()) current->request.headers.emplace_back(name, std::move(value));
  }
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery, current);
  return MHD_YES;
}

MHD_Result http_server::impl::Receive(exchange& current, const char* data, size_t* size) {
  current.received += *size;
  // A chunked body declares no length. Beyond the limit it is read and discarded, and an endless
  // one is aborted.
  if (current.received > options.body_limit * kBodyDrainFactor) return MHD_NO;
  if (current.received <= options.body_limit) current.request.body.append(data, *size);
  *size = 0;
  return MHD_YES;
}

MHD_Result http_server::impl::Dispatch(exchange& current) {
  if (current.received > options.body_limit) return QueueResponse(current.connection, TooLarge());
  if (current.suspended) {
    if (current.answered) return QueueResponse(current.connection, current.response);
    return MHD_YES;
  }
  token id = 0;
  {
    const std::lock_guard lock(mutex);
    if (!rejecting) {
      id = next_token++;
      current.id = id;
      current.suspended = true;
      ++unfinished;
      waiting.emplace(id, &current);
      MHD_suspend_connection(current.connection);
    }
  }
  if (id == 0) return QueueResponse(current.connection, ShuttingDown());
  // Once `on_request` runs, another thread may respond and end the exchange, so `current` is not
  // accessed afterwards.
  http_request request = std::move(current.request);
  on_request(id, std::move(request));
  return MHD_YES;
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
      flags, options.port, nullptr, nullptr, &impl::OnAccess, impl_.get(), MHD_OPTION_ARRAY,
      items.data(), MHD_OPTION_NOTIFY_COMPLETED, &impl::OnCompleted, impl_.get(), MHD_OPTION_END);
  if (impl_->daemon == nullptr) return false;
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
  impl_->waiting.erase(found);
  MHD_resume_connection(current.connection);
}

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
