#include "process/config_keeper.h"

#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kConfigKey[] = "config";
constexpr milliseconds kWatchWait{20000};
// Every entry reads by itself now and then: news through the domain's watcher and the peers comes
// within a second, but a peer that keeps silent must not hold a version back for long.
constexpr milliseconds kReadInterval{5000};
constexpr milliseconds kFirstReadInterval{200};  // until a first version is known
constexpr milliseconds kRetry{500};
constexpr int kChangeTries = 4;
constexpr size_t kHistory = 20;

}  // namespace

config_keeper::config_keeper(store_adapter& store, milliseconds key_grace, poster post,
                             on_version changed)
    : store_(store), post_(std::move(post)), changed_(std::move(changed)), order_(key_grace) {}

void config_keeper::Tick(bool is_watcher, monotonic_time now) {
  if (!reading_ && now >= next_read_) Read(now);
  if (is_watcher && !watching_ && now >= next_watch_) Watch(now);
}

void config_keeper::Read(monotonic_time now) {
  reading_ = true;
  next_read_ = now + (order_.Version() == 0 ? kFirstReadInterval : kReadInterval);
  // A watch that does not wait: the whole document comes only when it is newer than ours.
  store_.Watch(kConfigKey, order_.Version(), milliseconds{0}, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      reading_ = false;
      store_answers_ = reply.status == store_status::kDone;
      if (!store_answers_) return;
      for (const store_item& item : reply.items) {
        if (item.key == kConfigKey) OnItem(item, at);
      }
      order_.Confirm(order_.Version(), at);
    });
  });
}

void config_keeper::Watch(monotonic_time now) {
  watching_ = true;
  next_watch_ = now + milliseconds{20};
  store_.Watch(kConfigKey, watched_, kWatchWait, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      watching_ = false;
      if (reply.status != store_status::kDone) {
        next_watch_ = at + kRetry;
        return;
      }
      for (const store_item& item : reply.items) {
        if (item.key != kConfigKey) continue;
        watched_ = std::max(watched_, item.revision);
        OnItem(item, at);
      }
    });
  });
}

void config_keeper::OnItem(const store_item& item, monotonic_time now) {
  Offer(item.revision, item.value, now);
  order_.Confirm(item.revision, now);
}

void config_keeper::Offer(uint64_t version, const std::string& text, monotonic_time now) {
  if (!order_.Offer(version, text, now)) return;
  history_.push_back({version, text});
  if (history_.size() > kHistory) history_.pop_front();
  changed_(now);
}

void config_keeper::Change(uint64_t expect, const std::string& text,
                           const config_signature& signature,
                           std::function<void(change_result, monotonic_time)> done) {
  // What was read from an entry still carries the signature of its last writer.
  const std::string signed_text = SignConfiguration(WithoutSignature(text), signature);
  SendChange(expect, signed_text, signature.write_id, kChangeTries, std::move(done));
}

void config_keeper::SendChange(uint64_t expect, const std::string& text,
                               const std::string& write_id, int tries,
                               std::function<void(change_result, monotonic_time)> done) {
  auto on_reply = [this, expect, text, write_id, tries,
                   done = std::move(done)](store_reply reply) mutable {
    post_([this, expect, text, write_id, tries, done = std::move(done),
           reply = std::move(reply)](monotonic_time now) mutable {
      OnChangeReply(reply, expect, text, write_id, tries, std::move(done), now);
    });
  };
  store_.CompareAndSwap(kConfigKey, expect, text, write_id, "", std::move(on_reply));
}

// A lost reply is followed by the same swap once more: it can only take effect once, and what then
// stands there tells whether it was ours.
void config_keeper::OnChangeReply(const store_reply& reply, uint64_t expect,
                                  const std::string& text, const std::string& write_id, int tries,
                                  std::function<void(change_result, monotonic_time)> done,
                                  monotonic_time now) {
  const bool was_lost = tries < kChangeTries;
  if (reply.status == store_status::kDone) {
    Offer(reply.revision, text, now);
    done({change_end::kDone, reply.revision, {}}, now);
    return;
  }
  if (reply.status == store_status::kConflict) {
    const store_item standing = reply.items.empty() ? store_item{} : reply.items.front();
    if (!standing.value.empty()) OnItem(standing, now);
    if (standing.value == text) {
      done({change_end::kDone, standing.revision, {}}, now);
      return;
    }
    // After a lost reply the standing value may have been written over ours.
    done({was_lost ? change_end::kUnknown : change_end::kConflict, standing.revision,
          standing.value},
         now);
    return;
  }
  if (tries <= 1) {
    const bool surely_not = reply.status == store_status::kUnavailable && !was_lost;
    done({surely_not ? change_end::kUnavailable : change_end::kUnknown, 0, {}}, now);
    return;
  }
  if (reply.status == store_status::kUnavailable && !was_lost) {
    done({change_end::kUnavailable, 0, {}}, now);
    return;
  }
  SendChange(expect, text, write_id, tries - 1, std::move(done));
}

}  // namespace catkinford
