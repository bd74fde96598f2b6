// The platform's list of instances, which shows each change only after a fixed lag.
#ifndef CATKINFORD_STANDIN_INSTANCE_SERVER_H_
#define CATKINFORD_STANDIN_INSTANCE_SERVER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "connection/http_server.h"
#include "request/job_request.h"

namespace catkinford {

// The current list and the earlier versions that readers may still see. Does no I/O and reads no
// clock.
class instance_list {
 public:
  instance_list(std::chrono::milliseconds lag, nlohmann::json instances);

  // The version visible to readers: {age_ms, instances}.
  nlohmann::json Visible(monotonic_time now);
  // {"instances":[...]}, {"name":N,"state":S} or {"remove":N}; false for anything else.
  bool Apply(const nlohmann::json& change, monotonic_time now);

 private:
  struct version {
    monotonic_time at;
    nlohmann::json instances;
  };

  std::chrono::milliseconds lag_;
  std::deque<version> versions_;  // oldest first; the first is visible to readers
};

class instance_server {
 public:
  instance_server(uint16_t port, std::chrono::milliseconds lag, nlohmann::json instances);
  ~instance_server();
  instance_server(const instance_server&) = delete;
  instance_server& operator=(const instance_server&) = delete;

  bool Start();
  uint16_t Port() const { return http_.Port(); }
  void Stop();

 private:
  void OnRequest(http_server::token token, const http_request& request);

  std::mutex mutex_;  // guards list_
  instance_list list_;
  http_server http_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_INSTANCE_SERVER_H_
