// Past versions of the configuration in the platform's store, so that they outlive every entry: one
// value per text, `history/VERSION`, and one for the list of versions, `history`.
//
// A version is saved before the swap that supersedes it, never after: an entry that is lost in
// between leaves the version current and listed, and no accepted version can be missing. A text
// whose swap failed was never in effect, is never saved, and never appears.
#ifndef CATKINFORD_PROCESS_CONFIG_HISTORY_STORE_H_
#define CATKINFORD_PROCESS_CONFIG_HISTORY_STORE_H_

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

enum class save_outcome : uint8_t {
  kSaved,
  kSuperseded,   // a later version was already in effect
  kUnavailable,  // the store did not accept it; retrying is safe
};

class config_history_store {
 public:
  // Posts a reply to the core thread; see node::Post.
  using poster = std::function<void(std::function<void(monotonic_time)>)>;
  using on_saved = std::function<void(save_outcome, monotonic_time)>;
  // Absent: the store did not answer.
  using on_list = std::function<void(std::optional<config_history>, monotonic_time)>;
  // kDone with the text, kAbsent if it is not stored, else kUnavailable.
  using on_text = std::function<void(store_status, std::string, monotonic_time)>;

  config_history_store(store_adapter& store, history_limits bounds, poster post);

  // All results are delivered on the core thread.
  void Save(uint64_t version, const std::string& text, on_saved done);
  // Whether this entry has saved the version, so that it may be superseded without another read of
  // the store.
  bool HasSaved(uint64_t version) const { return version == saved_; }
  void List(on_list done);
  void Text(uint64_t version, on_text done);

 private:
  // A save in progress.
  struct pending_save {
    past_version past;
    std::string text;
    std::vector<on_saved> done;
    config_history history;
    uint64_t expect = 0;  // revision of the list that `history` was read from
    bool is_new = false;  // the text was not stored before
    int tries = 0;
  };
  using save_handle = std::shared_ptr<pending_save>;

  void Swap(const std::string& key, uint64_t expect, const std::optional<std::string>& value,
            std::function<void(const store_reply&, monotonic_time)> done);
  void ReadHistory(const save_handle& pending);
  void PutText(const save_handle& pending);
  void OnHistory(const save_handle& pending, monotonic_time now);
  void DeleteDropped(const save_handle& pending);
  void PutHistory(const save_handle& pending);
  void End(const save_handle& pending, save_outcome end, monotonic_time now);
  void OnSuperseded(const save_handle& pending, monotonic_time now);
  void OnHistoryReply(const save_handle& pending, const store_reply& reply, monotonic_time now);

  store_adapter& store_;
  history_limits bounds_;
  poster post_;
  save_handle in_flight_;
  uint64_t writes_ = 0;  // counter for write ids
  uint64_t saved_ = 0;   // highest version known to be saved
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_HISTORY_STORE_H_
