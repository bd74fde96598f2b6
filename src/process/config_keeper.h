// The configuration at this entry: read from the store, watched by one entry of each failure
// domain, passed on between peers, changed by compare-and-swap.
#ifndef CATKINFORD_PROCESS_CONFIG_KEEPER_H_
#define CATKINFORD_PROCESS_CONFIG_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "connection/store_adapter.h"
#include "process/history_keeper.h"
#include "version/config_signature.h"
#include "version/config_version_tracker.h"

namespace catkinford {

// How a change ended at the store.
enum class change_end : uint8_t { kDone, kConflict, kUnavailable, kUnknown };

// Where a new version came from.
enum class version_origin : uint8_t { kOwnChange, kStore, kPeer };

struct change_result {
  change_end end = change_end::kUnknown;
  uint64_t version = 0;  // of the change, or of what stands there for a conflict
  std::string text;      // what stands there, for a conflict
};

class config_keeper {
 public:
  // Hands a reply over to the core thread; see node::Post.
  using poster = std::function<void(std::function<void(monotonic_time)>)>;
  // A new version is in force here.
  using on_version = std::function<void(version_origin, monotonic_time)>;

  config_keeper(store_adapter& store, std::chrono::milliseconds key_grace, history_limits bounds,
                poster post, on_version changed);

  // `is_watcher`: this entry holds the watch of its failure domain.
  void Tick(bool is_watcher, monotonic_time now);
  void Offer(uint64_t version, const std::string& text, version_origin origin, monotonic_time now);
  // The version that the operator read must still stand; it is kept as a past version before it is
  // superseded. The result comes on the core thread.
  void Change(uint64_t expect, const std::string& text, const config_signature& signature,
              std::function<void(change_result, monotonic_time)> done);

  const config_version_tracker& Order() const { return order_; }
  config_version_tracker& Order() { return order_; }
  // What is kept and what is in force, oldest first, as the store has it now; absent: no answer.
  void History(std::function<void(std::optional<std::vector<past_version>>, monotonic_time)> done);
  // The text of a version that is in force or kept.
  void TextOf(uint64_t version, history_keeper::on_text done, monotonic_time now);
  bool StoreAnswers() const { return store_answers_; }

 private:
  // Asks the store for what is newer than our version; `done` hears whether it answered.
  void Refresh(std::function<void(bool, monotonic_time)> done);
  void Read(monotonic_time now);
  void Watch(monotonic_time now);
  void OnItem(const store_item& item, monotonic_time now);
  void KeepAhead(uint64_t version, const std::string& text);
  void OnChangeReply(const store_reply& reply, uint64_t expect, const std::string& text,
                     const std::string& write_id, int tries,
                     std::function<void(change_result, monotonic_time)> done, monotonic_time now);
  void KeepAndSend(uint64_t expect, const std::string& text, const std::string& write_id,
                   std::function<void(change_result, monotonic_time)> done);
  void SendChange(uint64_t expect, const std::string& text, const std::string& write_id, int tries,
                  std::function<void(change_result, monotonic_time)> done);

  store_adapter& store_;
  poster post_;
  on_version changed_;
  config_version_tracker order_;
  history_keeper history_;
  std::set<std::string> own_writes_;  // of changes that are under way here
  bool reading_ = false;
  bool watching_ = false;
  bool store_answers_ = false;
  uint64_t watched_ = 0;  // revision after which the watch asks
  monotonic_time next_read_{};
  monotonic_time next_watch_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_KEEPER_H_
