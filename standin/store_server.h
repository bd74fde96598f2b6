// HTTP server for the store model.
#ifndef CATKINFORD_STANDIN_STORE_SERVER_H_
#define CATKINFORD_STANDIN_STORE_SERVER_H_

#include <cstdint>
#include <mutex>

#include "connection/http_server.h"
#include "standin/store_model.h"
#include "standin/timer_thread.h"

namespace catkinford {

class store_server {
 public:
  store_server(uint16_t port, store_options options);
  ~store_server();
  store_server(const store_server&) = delete;
  store_server& operator=(const store_server&) = delete;

  bool Start();
  uint16_t Port() const { return http_.Port(); }
  void Stop();

 private:
  void OnRequest(http_server::token token, const http_request& request);
  http_response Control(const nlohmann::json& body, store_model::due_replies& replies);
  monotonic_time OnWake();
  void Send(store_model::due_replies& replies);

  std::mutex mutex_;  // guards model_
  store_model model_;
  http_server http_;
  timer_thread timer_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_STORE_SERVER_H_
