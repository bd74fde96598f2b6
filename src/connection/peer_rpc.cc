#include "connection/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/connectors/httpserver.h>

#include <cstring>
#include <utility>

namespace catkinford {
namespace {

// libjsonrpccpp tells the kinds of a failed call apart by this text of libcurl alone.
bool IsRefusedConnection(const std::string& message) {
  return message.find("ouldn't connect") != std::string::npos ||
         message.find("ould not connect") != std::string::npos;
}

class deliver_server : public jsonrpc::AbstractServer<deliver_server> {
 public:
  deliver_server(jsonrpc::AbstractServerConnector& connector, rpc_server::handler on_deliver)
      : AbstractServer<deliver_server>(connector), on_deliver_(std::move(on_deliver)) {
    bindAndAddMethod(jsonrpc::Procedure("deliver", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                                        "text", jsonrpc::JSON_STRING, NULL),
                     &deliver_server::Deliver);
  }

 private:
  void Deliver(const Json::Value& request, Json::Value& response) {
    response = on_deliver_(request["text"].asString());
  }

  rpc_server::handler on_deliver_;
};

}  // namespace

struct rpc_client::impl {
  impl(const std::string& peer_url, std::chrono::milliseconds call_timeout)
      : url(peer_url), timeout(call_timeout) {}

  std::string url;
  std::chrono::milliseconds timeout;
  std::unique_ptr<jsonrpc::HttpClient> http;
  std::unique_ptr<jsonrpc::Client> client;
};

rpc_client::rpc_client(const std::string& url, std::chrono::milliseconds timeout)
    : impl_(new impl(url, timeout)) {
  Reconnect();
}

rpc_client::~rpc_client() = default;

void rpc_client::Reconnect() {
  impl_->client.reset();
  impl_->http.reset(new jsonrpc::HttpClient(impl_->url));
  impl_->http->SetTimeout(static_cast<long>(impl_->timeout.count()));  // NOLINT(google-runtime-int)
  impl_->client.reset(new jsonrpc::Client(*impl_->http, jsonrpc::JSONRPC_CLIENT_V2));
}

rpc_status rpc_client::Call(const std::string& method, const std::string& text,
                            std::string& answer) {
  Json::Value params(Json::objectValue);
  params["text"] = text;
  try {
    answer = impl_->client->CallMethod(method, params).asString();
    return rpc_status::kDone;
  } catch (const jsonrpc::JsonRpcException& error) {
    return IsRefusedConnection(error.GetMessage()) ? rpc_status::kNotSent : rpc_status::kMaybeSent;
  } catch (const Json::Exception&) {
    return rpc_status::kMaybeSent;
  }
}

struct rpc_server::impl {
  impl(int port, int threads, handler on_deliver)
      : http(port, "", "", threads), server(http, std::move(on_deliver)) {}

  jsonrpc::HttpServer http;
  deliver_server server;
};

rpc_server::rpc_server(int port, int threads, handler on_deliver)
    : impl_(new impl(port, threads, std::move(on_deliver))) {}

rpc_server::~rpc_server() { Stop(); }

bool rpc_server::Start() { return impl_->server.StartListening(); }

void rpc_server::Stop() { impl_->server.StopListening(); }

}  // namespace catkinford
