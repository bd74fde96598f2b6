#include "connection/rpc_server.h"

#include <utility>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

// Version, method, parameters and id, with their names.
constexpr size_t kMaxValues = 32;

}  // namespace

rpc_server::rpc_server(http_server_options options, rpc_dispatcher::handler on_deliver)
    : dispatcher_(std::move(on_deliver)),
      http_(std::move(options), [this](http_server::token token, const http_request& request) {
        http_.Respond(token, Answer(request));
      }) {}

http_response rpc_server::Answer(const http_request& request) {
  if (request.method != "POST") return {405, R"({"error":"wrong_method"})"};
  if (!HasFewValues(request.body, kMaxValues)) return {400, R"({"error":"bad_call"})"};
  // The library copies the text, and so does the handler.
  const auto copies = request.memory.Reserve(request.body.size());
  if (!copies) return {503, R"({"error":"overloaded"})"};
  return {200, dispatcher_.Dispatch(request.body)};
}

}  // namespace catkinford
