// The configuration at this entry: polled from the store, watched by one entry of each failure
// domain, exchanged between peers, changed by compare-and-swap.
#ifndef CATKINFORD_PROCESS_CONFIG_STORE_H_
#define CATKINFORD_PROCESS_CONFIG_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "connection/store_adapter.h"
#include "process/config_history_store.h"
#include "version/config_signature.h"
#include "version/config_version_tracker.h"

namespace catkinford {

// Outcome of a change at the store.
enum class change_outcome : uint8_t { kDone, kConflict, kUnavailable, kUnknown };

// Source of a new version.
enum class version_origin : uint8_t { kOwnChange, kStore, kPeer };

struct change_result {
  change_outcome end = change_outcome::kUnknown;
  uint64_t version = 0;  // of the change; on a conflict, of the stored value
  std::string text;      // on a conflict, the stored value
};

class config_store {
 public:
  // Posts a reply to the core thread; see node::Post.
  using poster = std::function<void(std::function<void(monotonic_time)>)>;
  // Called when a new version takes effect here.
  using on_version = std::function<void(version_origin, monotonic_time)>;

  config_store(store_adapter& store, std::chrono::milliseconds key_grace, history_limits bounds,
               poster post, on_version changed);

  // `is_watcher`: this entry runs the watch for its failure domain.
  void Tick(bool is_watcher, monotonic_time now);
  void Offer(uint64_t version, const std::string& text, version_origin origin, monotonic_time now);
  // Requires that `expect`, the version the operator read, is still current; it is saved as a past
  // version before it is superseded. The result is delivered on the core thread.
  void Change(uint64_t expect, const std::string& text, const config_signature& signature,
              std::function<void(change_result, monotonic_time)> done);

  const config_version_tracker& Order() const { return order_; }
  config_version_tracker& Order() { return order_; }
  // The stored past versions and the current one, oldest first, as the store has them now; absent
  // if the store did not answer.
  void History(std::function<void(std::optional<std::vector<past_version>>, monotonic_time)> done);
  // The text of the current version or of a stored past one.
  void TextOf(uint64_t version, config_history_store::on_text done, monotonic_time now);
  bool IsStoreUp() const { return store_up_; }

 private:
  // Reads from the store if it has a newer version; `done` gets whether the store answered.
  void Refresh(std::function<void(bool, monotonic_time)> done);
  void Read(monotonic_time now);
  void Watch(monotonic_time now);
  void OnItem(const store_item& item, monotonic_time now);
  void SaveCurrent(uint64_t version, const std::string& text);
  void OnChangeReply(const store_reply& reply, uint64_t expect, const std::string& text,
                     const std::string& write_id, int tries,
                     std::function<void(change_result, monotonic_time)> done, monotonic_time now);
  void SaveAndSend(uint64_t expect, const std::string& text, const std::string& write_id,
                   std::function<void(change_result, monotonic_time)> done);
  void SendChange(uint64_t expect, const std::string& text, const std::string& write_id, int tries,
                  std::function<void(change_result, monotonic_time)> done);

  store_adapter& store_;
  poster post_;
  on_version changed_;
  config_version_tracker order_;
  config_history_store history_;
  std::set<std::string> own_writes_;  // write ids of changes in flight here
  bool reading_ = false;
  bool watching_ = false;
  bool store_up_ = false;
  uint64_t watched_ = 0;  // the watch waits for revisions after this one
  monotonic_time next_read_{};
  monotonic_time next_watch_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_STORE_H_
