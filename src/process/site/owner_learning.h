// Run times and speeds that owners learn: taken over from an earlier owner's record, and written
// again once they differ from it.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_LEARNING_H_
#define CATKINFORD_PROCESS_SITE_OWNER_LEARNING_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/learned/learned_record.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/site_log.h"
#include "process/site/site_platform.h"
#include "process/site/site_records.h"
#include "request/text_compression.h"

namespace catkinford {

class owner_learning {
 public:
  owner_learning(bool enabled, site_log& log) : enabled_(enabled), log_(log) {}

  // The record in the store, uncompressed.
  void OnRecord(const std::string& text, wall_time wall, monotonic_time now) {
    if (!enabled_) return;
    loaded_ = LearnedFromText(text, wall);
    if (loaded_) return;
    log_.Write(site_event::kRecordUnreadable, now,
               absl::StrCat("key=", kLearnedKey, " bytes=", text.size()));
  }
  // `own`: what this process learned as the previous owner, which is newer than the record.
  void Load(const std::optional<learned_record>& own, job_scheduler& scheduler, wall_time wall,
            monotonic_time now) {
    if (own && !own->Empty()) loaded_ = own;
    if (!loaded_) return;
    const learned_record used = scheduler.LoadLearned(*loaded_, now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(wall - used.written);
    log_.Write(site_event::kLearnedLoaded, now,
               absl::StrCat("epoch=", used.epoch, " queues=", used.queues.size(),
                            " kinds=", used.kinds.size(), " instances=", used.instances.size(),
                            " age_ms=", age.count(), " own=", own.has_value()));
    loaded_.reset();
  }
  // For the next owner in this process.
  std::optional<learned_record> Learned(const job_scheduler& scheduler, wall_time wall) const {
    if (!enabled_) return std::nullopt;
    return scheduler.Learned(wall);
  }
  // Adds the record to a change that is sent for another reason: it is worth no change of its own.
  void AddTo(store_write& change, const job_scheduler& scheduler, wall_time wall,
             monotonic_time now) {
    if (!enabled_ || !writer_.Due(now)) return;
    learned_record record = scheduler.Learned(wall);
    if (!writer_.Differs(record, now)) return;
    change.puts.push_back({kLearnedKey, CompressText(LearnedToText(record)), {}});
    in_flight_ = std::move(record);
  }
  // That change is stored, or is not.
  void OnCommitted(bool stored, monotonic_time now) {
    std::optional<learned_record> written = std::exchange(in_flight_, std::nullopt);
    if (stored && written) writer_.OnWritten(std::move(*written), now);
  }

 private:
  bool enabled_;
  site_log& log_;
  std::optional<learned_record> loaded_;
  std::optional<learned_record> in_flight_;
  learned_writer writer_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_LEARNING_H_
