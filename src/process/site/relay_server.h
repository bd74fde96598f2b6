// Makes calls to instances for the owner of the site and returns their results in groups.
//
// Makes no decisions: a call is begun at once, or not at all. An exchange is held until some
// results can be returned together, so that an owner that has one exchange open at a time learns of
// each result soon, with few messages.
#ifndef CATKINFORD_PROCESS_SITE_RELAY_SERVER_H_
#define CATKINFORD_PROCESS_SITE_RELAY_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "process/site/call_messages.h"
#include "process/site/event_loop.h"

namespace catkinford {

class relay_server {
 public:
  using responder = std::function<void(http_response)>;

  // An exchange is answered after this time, even without any result.
  static constexpr std::chrono::milliseconds kMaxHold{100};

  // `calls`: to instances. `nonce`: of this process. `epoch`: the highest one known to this entry.
  relay_server(http_client& calls, event_loop& loop, uint64_t nonce,
               std::function<uint64_t()> epoch);

  // On the loop's thread.
  void Exchange(const std::string& bytes, responder respond, monotonic_time now);

 private:
  // The calls of one owner, in one of its ownerships.
  struct session {
    uint64_t epoch = 0;
    // On the loop's thread:
    responder held;  // of the exchange that is not answered yet; may be empty
    uint64_t exchange = 0;
    std::mutex mutex;  // guards the following: results arrive on the client's thread
    std::vector<relayed_result> results;
    size_t in_flight = 0;
    bool wants_result = false;  // the next result is returned at once
  };

  void Begin(const std::shared_ptr<session>& of, relayed_calls& message, monotonic_time now);
  void OnResult(const std::shared_ptr<session>& of, uint64_t number, http_result result);
  // If this exchange is still held: answers it, or waits for the next result if there is none.
  void AnswerSoon(session& of, uint64_t exchange);
  void Answer(session& of);
  void CloseIfUnused(uint64_t exchanges);

  http_client& calls_;
  event_loop& loop_;
  const uint64_t nonce_;
  std::function<uint64_t()> epoch_;
  std::shared_ptr<session> session_;  // of the latest owner
  uint64_t exchanges_ = 0;
  bool close_check_scheduled_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RELAY_SERVER_H_
