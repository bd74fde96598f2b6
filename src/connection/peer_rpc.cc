#include "connection/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <utility>

namespace catkinford {
namespace {

// Placeholder response for a client that is only used to encode a request.
constexpr char kEmptyResponse[] = "{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":\"\"}";

// The library exposes its codec only through a blocking client. This connector replaces the
// transport: it captures the request and returns a response that is already available.
class codec_connector : public jsonrpc::IClientConnector {
 public:
  explicit codec_connector(const std::string& response) : response_(response) {}

  void SendRPCMessage(const std::string& message, std::string& result) noexcept override {
    request_ = message;
    result = response_;
  }
  const std::string& Request() const { return request_; }

 private:
  const std::string& response_;
  std::string request_;
};

// Returns each response to the caller of OnRequest().
class direct_connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* out) override {
    *static_cast<std::string*>(out) = response;
    return true;
  }
};

class deliver_server : public jsonrpc::AbstractServer<deliver_server> {
 public:
  deliver_server(jsonrpc::AbstractServerConnector& connector, rpc_dispatcher::handler on_deliver)
      : AbstractServer<deliver_server>(connector), on_deliver_(std::move(on_deliver)) {
    bindAndAddMethod(jsonrpc::Procedure("deliver", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                                        "text", jsonrpc::JSON_STRING, NULL),
                     &deliver_server::Deliver);
  }

 private:
  void Deliver(const Json::Value& request, Json::Value& response) {
    response = on_deliver_(request["text"].asString());
  }

  rpc_dispatcher::handler on_deliver_;
};

}  // namespace

std::string EncodeRpcRequest(const std::string& method, const std::string& text) {
  const std::string response = kEmptyResponse;
  codec_connector connector(response);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value params(Json::objectValue);
  params["text"] = text;
  client.CallMethod(method, params);
  return connector.Request();
}

bool DecodeRpcResponse(const std::string& response, std::string& answer) {
  codec_connector connector(response);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    answer = client.CallMethod("", Json::Value(Json::objectValue)).asString();
    return true;
  } catch (const jsonrpc::JsonRpcException&) {
    return false;
  } catch (const Json::Exception&) {
    return false;
  }
}

struct rpc_dispatcher::impl {
  explicit impl(handler on_deliver) : server(connector, std::move(on_deliver)) {}

  direct_connector connector;
  deliver_server server;
};

rpc_dispatcher::rpc_dispatcher(handler on_deliver) : impl_(new impl(std::move(on_deliver))) {}

rpc_dispatcher::~rpc_dispatcher() = default;

std::string rpc_dispatcher::Dispatch(const std::string& request) {
  std::string response;
  impl_->connector.OnRequest(request, &response);
  return response;
}

}  // namespace catkinford
