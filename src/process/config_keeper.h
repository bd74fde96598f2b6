// The configuration at this entry: read from the store, watched by one entry of each failure
// domain, passed on between peers, changed by compare-and-swap.
#ifndef CATKINFORD_PROCESS_CONFIG_KEEPER_H_
#define CATKINFORD_PROCESS_CONFIG_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "connection/store_adapter.h"
#include "version/config_signature.h"
#include "version/version_order.h"

namespace catkinford {

// How a change ended at the store.
enum class change_end : uint8_t { kDone, kConflict, kUnavailable, kUnknown };

struct change_result {
  change_end end = change_end::kUnknown;
  uint64_t version = 0;  // of the change, or of what stands there for a conflict
  std::string text;      // what stands there, for a conflict
};

// One version that was in force here; its text says who made it and when.
struct past_version {
  uint64_t version = 0;
  std::string text;
};

class config_keeper {
 public:
  // Hands a reply over to the core thread; see node::Post.
  using poster = std::function<void(std::function<void(monotonic_time)>)>;
  using on_version = std::function<void(monotonic_time)>;  // a new version is in force here

  config_keeper(store_adapter& store, std::chrono::milliseconds key_grace, poster post,
                on_version changed);

  // `is_watcher`: this entry holds the watch of its failure domain.
  void Tick(bool is_watcher, monotonic_time now);
  // From a peer.
  void Offer(uint64_t version, const std::string& text, monotonic_time now);
  // The version that the operator read must still stand. The result comes on the core thread.
  void Change(uint64_t expect, const std::string& text, const config_signature& signature,
              std::function<void(change_result, monotonic_time)> done);

  const version_order& Order() const { return order_; }
  version_order& Order() { return order_; }
  const std::deque<past_version>& History() const { return history_; }
  bool StoreAnswers() const { return store_answers_; }

 private:
  void Read(monotonic_time now);
  void Watch(monotonic_time now);
  void OnItem(const store_item& item, monotonic_time now);
  void OnChangeReply(const store_reply& reply, uint64_t expect, const std::string& text,
                     const std::string& write_id, int tries,
                     std::function<void(change_result, monotonic_time)> done, monotonic_time now);
  void SendChange(uint64_t expect, const std::string& text, const std::string& write_id, int tries,
                  std::function<void(change_result, monotonic_time)> done);

  store_adapter& store_;
  poster post_;
  on_version changed_;
  version_order order_;
  std::deque<past_version> history_;
  bool reading_ = false;
  bool watching_ = false;
  bool store_answers_ = false;
  uint64_t watched_ = 0;  // revision after which the watch asks
  monotonic_time next_read_{};
  monotonic_time next_watch_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_KEEPER_H_
