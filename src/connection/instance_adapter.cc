#include "connection/instance_adapter.h"

#include <utility>

#include "connection/json_fields.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

instance ReadInstance(const json& object) {
  instance result;
  result.name = TextAt(object, "name");
  result.role =
      TextAt(object, "role") == "entry" ? instance_role::kEntry : instance_role::kEndpoint;
  result.failure_domain = TextAt(object, "failure_domain");
  result.rack = TextAt(object, "rack");
  result.address = TextAt(object, "address");
  result.leaving = TextAt(object, "state") == "leaving";
  const auto shape = object.find("shape");
  if (shape == object.end() || !shape->is_object()) return result;
  result.shape = {NumberAt<uint32_t>(*shape, "cpu_milli"), NumberAt<uint32_t>(*shape, "memory_mb"),
                  NumberAt<uint32_t>(*shape, "accelerators"), NumberAt<uint32_t>(*shape, "slots")};
  return result;
}

}  // namespace

instance_reply DecodeInstances(const http_result& result) {
  instance_reply reply;
  if (result.status != transfer_status::kDone || result.code != kOk) return reply;
  const json body = ParseObject(result.body);
  if (body.is_discarded() || !body.contains("instances")) return reply;
  reply.ok = true;
  reply.age = MillisecondsAt(body, "age_ms");
  for (const json& object : ArrayAt(body, "instances")) {
    if (!object.is_object()) continue;
    instance read = ReadInstance(object);
    if (!read.name.empty()) reply.instances.push_back(std::move(read));
  }
  return reply;
}

instance_adapter::instance_adapter(http_client& http, std::string base_url,
                                   std::chrono::milliseconds timeout)
    : http_(http), base_url_(std::move(base_url)), timeout_(timeout) {}

void instance_adapter::List(callback done) {
  http_call call{"GET", base_url_ + "/v1/instances"};
  call.timeout = timeout_;
  http_.Send(std::move(call), [done = std::move(done)](const http_result& result) {
    done(DecodeInstances(result));
  });
}

}  // namespace catkinford
