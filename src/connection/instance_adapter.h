// Client for the platform's list of instances, which may be stale. Its HTTP protocol
// (docs/PROTOCOL.md) is implemented only here and in instance_adapter.cc.
#ifndef CATKINFORD_CONNECTION_INSTANCE_ADAPTER_H_
#define CATKINFORD_CONNECTION_INSTANCE_ADAPTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "request/job_request.h"

namespace catkinford {

enum class instance_role : uint8_t { kEntry, kEndpoint };

struct instance {
  std::string name;
  instance_role role = instance_role::kEndpoint;
  std::string failure_domain;
  std::string rack;
  std::string address;  // entry: its peer port's address; endpoint: the base URL of its process
  bool leaving = false;
  resources shape;  // of an endpoint
};

struct instance_reply {
  bool ok = false;                   // false: no list received; the previous one stays in use
  std::chrono::milliseconds age{0};  // staleness of the list
  std::vector<instance> instances;
};

class instance_adapter {
 public:
  using callback = std::function<void(instance_reply)>;  // runs on the HTTP client's thread

  instance_adapter(http_client& http, std::string base_url, std::chrono::milliseconds timeout);
  void List(callback done);

 private:
  http_client& http_;
  std::string base_url_;
  std::chrono::milliseconds timeout_;
};

instance_reply DecodeInstances(const http_result& result);

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_INSTANCE_ADAPTER_H_
