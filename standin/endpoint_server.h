// HTTP server that hosts many endpoint models on one port.
#ifndef CATKINFORD_STANDIN_ENDPOINT_SERVER_H_
#define CATKINFORD_STANDIN_ENDPOINT_SERVER_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/http_server.h"
#include "standin/endpoint_model.h"
#include "standin/run_record.h"
#include "standin/timer_thread.h"

namespace catkinford {

struct endpoint_server_options {
  uint16_t port = 0;
  std::vector<std::string> names;
  resources shape{16000, 32768, 0, 8};
  bool fencing = true;
  uint64_t incarnation = 1;
};

class endpoint_server {
 public:
  explicit endpoint_server(endpoint_server_options options);
  ~endpoint_server();
  endpoint_server(const endpoint_server&) = delete;
  endpoint_server& operator=(const endpoint_server&) = delete;

  bool Start();
  uint16_t Port() const { return http_.Port(); }
  void Stop();

 private:
  struct scheduled_endpoint {
    std::unique_ptr<endpoint_model> model;
    monotonic_time next_wake = monotonic_time::max();  // time of its valid entry in `wake_queue_`
  };
  using wake_entry = std::pair<monotonic_time, size_t>;

  void OnRequest(http_server::token token, const http_request& request);
  http_response Control(const nlohmann::json& body, due_replies& replies);
  void Schedule(size_t index);
  monotonic_time OnWake();
  void Send(due_replies& replies);

  endpoint_server_options options_;
  std::mutex mutex_;  // guards the members from here to http_
  run_record record_;
  std::vector<scheduled_endpoint> endpoints_;
  absl::flat_hash_map<std::string, size_t> index_by_name_;
  std::priority_queue<wake_entry, std::vector<wake_entry>, std::greater<>> wake_queue_;
  http_server http_;
  timer_thread timer_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_ENDPOINT_SERVER_H_
