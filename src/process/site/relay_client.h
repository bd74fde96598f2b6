// Makes the calls of a busy owner to instances through relays, in groups: one entry of each failure
// domain makes them and returns their results. A call costs the owner a row in two messages in
// place of a transfer of its own, which takes several times the processor time of its decision.
//
// A relayed call fails as a direct one does, and one more failure is possible: the relay is lost.
// Its calls are then repeated through another one. As with any call that is repeated, a refusal of
// the repetition says nothing of the first attempt.
#ifndef CATKINFORD_PROCESS_SITE_RELAY_CLIENT_H_
#define CATKINFORD_PROCESS_SITE_RELAY_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "process/site/call_messages.h"
#include "process/site/event_loop.h"
#include "process/site/relay_choice.h"
#include "process/site/site_log.h"

namespace catkinford {

// All functions are called on the loop's thread.
class relay_client {
 public:
  // `http`: for the exchanges with relays.
  relay_client(http_client& http, event_loop& loop, site_log& log);

  relay_choice& Choice() { return choice_; }
  // `epoch`: of the ownership that begins.
  void Begin(uint64_t epoch);
  // The ownership is over: calls in flight are dropped, and their callbacks are not called.
  void End();
  // While enabled, calls are taken.
  void Enable(bool enabled) { enabled_ = enabled; }
  bool Enabled() const { return enabled_; }
  // Takes the call and returns true, or leaves both arguments as they are and returns false: the
  // call must be made directly. `done` is called on the loop's thread.
  bool TryTake(http_call& call, http_client::callback& done, monotonic_time now);
  // The calls that TryTake() was offered.
  uint64_t Offered() const { return offered_; }

 private:
  // The exchanges with one relay.
  struct lane {
    site_entry relay;
    uint64_t nonce = 0;            // of the relay's process; 0: not known yet
    int64_t clock_ms = 0;          // of the relay
    monotonic_time clock_at{};     // no later than when the clock was read
    std::vector<uint64_t> unsent;  // numbers of calls
    size_t unanswered = 0;         // calls that were sent
    size_t exchanges = 0;          // in flight
    monotonic_time last_exchange{};
    bool flush_scheduled = false;
    bool lost = false;
  };
  using shared_lane = std::shared_ptr<lane>;
  struct pending_call {
    shared_lane through;
    http_call call;
    http_client::callback done;
    monotonic_time due{};  // without a result by then it counts as unanswered
    bool sent = false;
    bool repeated = false;
  };

  shared_lane LaneTo(const site_entry& relay);
  void Add(const shared_lane& to, uint64_t number);
  void ScheduleFlush(const shared_lane& to, std::chrono::milliseconds delay);
  void Flush(const shared_lane& to);
  void SendExchange(const shared_lane& to);
  void OnExchanged(const shared_lane& with, monotonic_time sent, const http_result& result);
  void ApplyResults(lane& from, relayed_results& results);
  void OnLost(const shared_lane& gone, const http_result& result);
  void Repeat(uint64_t number);
  void Complete(uint64_t number, http_result result);
  void EndOverdue();

  http_client& http_;
  event_loop& loop_;
  site_log& log_;
  relay_choice choice_;
  bool enabled_ = false;
  uint64_t epoch_ = 0;  // 0: no ownership
  uint64_t offered_ = 0;
  uint64_t last_number_ = 0;
  std::map<std::string, shared_lane> lanes_;  // by entry
  std::map<uint64_t, pending_call> pending_;  // by number
  bool sweep_scheduled_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RELAY_CLIENT_H_
