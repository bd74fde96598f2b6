// Past versions of the configuration in the platform's store, so that they outlive every entry: one
// value for each text, `history/VERSION`, and one for the list of them, `history`.
//
// A version is kept before the swap that supersedes it, never after: an entry that dies in between
// leaves the version in force and listed, and no accepted version can be missing. A text that lost
// its swap was never in force, is never kept, and so never shows.
#ifndef CATKINFORD_PROCESS_HISTORY_KEEPER_H_
#define CATKINFORD_PROCESS_HISTORY_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "request/job_request.h"
#include "version/config_history.h"

namespace catkinford {

enum class keep_end : uint8_t {
  kKept,
  kSuperseded,   // a later version was in force already
  kUnavailable,  // the store did not take it; asking again does no harm
};

class history_keeper {
 public:
  // Hands a reply over to the core thread; see node::Post.
  using poster = std::function<void(std::function<void(monotonic_time)>)>;
  using on_kept = std::function<void(keep_end, monotonic_time)>;
  // Absent: the store gave no answer.
  using on_list = std::function<void(std::optional<config_history>, monotonic_time)>;
  // kDone with the text, kAbsent when it is not kept, else kUnavailable.
  using on_text = std::function<void(store_status, std::string, monotonic_time)>;

  history_keeper(store_adapter& store, history_limits bounds, poster post);

  // All results come on the core thread.
  void Keep(uint64_t version, const std::string& text, on_kept done);
  // This entry has kept it, so that it may be superseded without asking the store again.
  bool HasKept(uint64_t version) const { return version == kept_; }
  void List(on_list done);
  void Text(uint64_t version, on_text done);

 private:
  // One version on its way into the store.
  struct open_keep {
    past_version past;
    std::string text;
    std::vector<on_kept> done;
    config_history history;
    uint64_t expect = 0;  // revision of the list that `history` was read from
    bool is_new = false;  // the text was not there before
    int tries = 0;
  };
  using keep_state = std::shared_ptr<open_keep>;

  void Swap(const std::string& key, uint64_t expect, const std::optional<std::string>& value,
            std::function<void(const store_reply&, monotonic_time)> done);
  void ReadHistory(const keep_state& keep);
  void PutText(const keep_state& keep);
  void OnHistory(const keep_state& keep, monotonic_time now);
  void DeleteDropped(const keep_state& keep);
  void PutHistory(const keep_state& keep);
  void End(const keep_state& keep, keep_end end, monotonic_time now);
  void OnSuperseded(const keep_state& keep, monotonic_time now);
  void OnHistoryReply(const keep_state& keep, const store_reply& reply, monotonic_time now);

  store_adapter& store_;
  history_limits bounds_;
  poster post_;
  keep_state under_way_;
  uint64_t writes_ = 0;  // names each write
  uint64_t kept_ = 0;    // the highest version that this entry knows to be kept
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_HISTORY_KEEPER_H_
