// The incarnations of a shard's endpoints, as one value in the platform's store.
//
// What an endpoint retains of finished work is the durable part of the history that keeps a request
// from running twice, and an endpoint that restarts loses it. A new owner sees only the current
// incarnation; this value gives it the one under which earlier owners may have started work. An
// outdated value is harmless: it differs from the endpoint's incarnation, and what may have run
// there counts as unknown. See docs/design/041-at-most-once.md.
#ifndef CATKINFORD_PROCESS_INCARNATION_STORE_H_
#define CATKINFORD_PROCESS_INCARNATION_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "connection/store_adapter.h"
#include "process/registration.h"
#include "process/shard.h"

namespace catkinford {

class incarnation_store {
 public:
  // Sends a call to the store; the reply arrives on the core thread.
  using sender =
      std::function<void(const store_request&, std::function<void(store_reply, monotonic_time)>)>;

  incarnation_store(std::string writer, sender send);

  // Reads the shard's value.
  void OnGained(const shard& owned, monotonic_time now);
  void OnLost(const std::string& shard_name) { values_.erase(shard_name); }
  // Passes the value to the shard once read, and writes what the shard wants recorded.
  void Tick(shard& owned, monotonic_time now);

 private:
  struct shard_value {
    uint64_t generation = 0;
    uint64_t revision = 0;
    incarnations known;
    incarnations written;  // by the call in flight
    bool read = false;
    bool in_flight = false;
    bool delivered = false;  // the shard has `known`
    monotonic_time next_call{};
  };

  void Call(const std::string& shard_name, shard_value& value, store_request call);
  void OnReply(const std::string& shard_name, shard_value& value, const store_reply& reply,
               monotonic_time now);

  std::string writer_;
  sender send_;
  call_tags tags_;
  uint64_t generation_ = 0;
  std::map<std::string, shard_value> values_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_INCARNATION_STORE_H_
