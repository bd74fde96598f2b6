#include "process/config_store.h"

#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kConfigKey[] = "config";
constexpr milliseconds kWatchWait{20000};
// Each entry also polls the store: updates from the watcher of its domain and from peers arrive
// within a second, but a peer that sends nothing must not delay a version for long.
constexpr milliseconds kReadInterval{5000};
constexpr milliseconds kFirstReadInterval{200};  // until a first version is known
constexpr milliseconds kRetryDelay{500};
constexpr int kChangeAttempts = 4;

}  // namespace

config_store::config_store(store_adapter& store, milliseconds key_grace, history_limits bounds,
                           poster post, on_version changed)
    : store_(store),
      post_(std::move(post)),
      changed_(std::move(changed)),
      order_(key_grace),
      history_(store, bounds, post_) {}

void config_store::Tick(bool is_watcher, monotonic_time now) {
  if (!reading_ && now >= next_read_) Read(now);
  if (is_watcher && !watching_ && now >= next_watch_) Watch(now);
}

void config_store::Read(monotonic_time now) {
  reading_ = true;
  next_read_ = now + (order_.Version() == 0 ? kFirstReadInterval : kReadInterval);
  Refresh([this](bool answered, monotonic_time) {
    reading_ = false;
    store_up_ = answered;
  });
}

void config_store::Refresh(std::function<void(bool, monotonic_time)> done) {
  // A watch with zero wait: returns the document only if it is newer than ours.
  store_.Watch(kConfigKey, order_.Version(), milliseconds{0},
               [this, done = std::move(done)](store_reply reply) mutable {
                 post_([this, done = std::move(done), reply = std::move(reply)](monotonic_time at) {
                   const bool answered = reply.status == store_status::kDone;
                   for (const store_item& item : reply.items) {
                     if (answered && item.key == kConfigKey) OnItem(item, at);
                   }
                   if (answered) order_.Confirm(order_.Version(), at);
                   done(answered, at);
                 });
               });
}

void config_store::Watch(monotonic_time now) {
  watching_ = true;
  next_watch_ = now + milliseconds{20};
  store_.Watch(kConfigKey, watched_, kWatchWait, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      watching_ = false;
      if (reply.status != store_status::kDone) {
        next_watch_ = at + kRetryDelay;
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

void config_store::OnItem(const store_item& item, monotonic_time now) {
  Offer(item.revision, item.value, version_origin::kStore, now);
  order_.Confirm(item.revision, now);
}

void config_store::Offer(uint64_t version, const std::string& text, version_origin origin,
                         monotonic_time now) {
  // The watch may deliver our own change before the reply to it. Taken for a change of another
  // entry, it would not be sent to the peers.
  const bool is_ours = own_writes_.contains(SignatureOf(text).write_id);
  if (!order_.Offer(version, text, now)) return;
  changed_(is_ours ? version_origin::kOwnChange : origin, now);
}

// The next change then finds its predecessor already saved, which leaves one write between the
// operator and the new version. A failure here is harmless: the next change saves it if needed.
void config_store::SaveCurrent(uint64_t version, const std::string& text) {
  history_.Save(version, text, [](save_outcome, monotonic_time) {});
}

void config_store::Change(uint64_t expect, const std::string& text,
                          const config_signature& signature,
                          std::function<void(change_result, monotonic_time)> done) {
  // Text read from an entry still carries the signature of its last writer.
  const std::string signed_text = SignConfiguration(WithoutSignature(text), signature);
  own_writes_.insert(signature.write_id);
  done = [this, write_id = signature.write_id, done = std::move(done)](const change_result& result,
                                                                       monotonic_time now) {
    own_writes_.erase(write_id);
    done(result, now);
  };
  if (expect <= order_.Version()) {
    SaveAndSend(expect, signed_text, signature.write_id, std::move(done));
    return;
  }
  // The operator read it from another entry that is ahead of this one.
  Refresh([this, expect, signed_text, write_id = signature.write_id, done = std::move(done)](
              bool answered, monotonic_time now) mutable {
    if (!answered) {
      done({change_outcome::kUnavailable, 0, {}}, now);
      return;
    }
    SaveAndSend(expect, signed_text, write_id, std::move(done));
  });
}

// If the expected version is not the current one, the swap will fail and there is nothing to save.
void config_store::SaveAndSend(uint64_t expect, const std::string& text,
                               const std::string& write_id,
                               std::function<void(change_result, monotonic_time)> done) {
  if (expect == 0 || expect != order_.Version() || history_.HasSaved(expect)) {
    SendChange(expect, text, write_id, kChangeAttempts, std::move(done));
    return;
  }
  history_.Save(expect, order_.Text(),
                [this, expect, text, write_id, done = std::move(done)](save_outcome end,
                                                                       monotonic_time now) mutable {
                  if (end == save_outcome::kUnavailable) {
                    done({change_outcome::kUnavailable, 0, {}}, now);
                    return;
                  }
                  // If superseded, the swap fails and its reply contains the stored version.
                  SendChange(expect, text, write_id, kChangeAttempts, std::move(done));
                });
}

void config_store::History(
    std::function<void(std::optional<std::vector<past_version>>, monotonic_time)> done) {
  // Read the current version first, then the list: a version superseded in between is in the list.
  Refresh([this, done = std::move(done)](bool answered, monotonic_time now) mutable {
    if (!answered) {
      done(std::nullopt, now);
      return;
    }
    const config_signature signature = SignatureOf(order_.Text());
    past_version newest{order_.Version(),     0,
                        order_.Text().size(), signature.changed_at,
                        signature.by,         signature.summary};
    history_.List([newest = std::move(newest), done = std::move(done)](
                      std::optional<config_history> history, monotonic_time at) {
      if (!history) {
        done(std::nullopt, at);
        return;
      }
      std::vector<past_version> versions = history->Versions();
      const bool is_listed = !versions.empty() && versions.back().version >= newest.version;
      if (!is_listed && newest.version != 0) versions.push_back(newest);
      done(std::move(versions), at);
    });
  });
}

void config_store::TextOf(uint64_t version, config_history_store::on_text done,
                          monotonic_time now) {
  if (version == order_.Version() && version != 0) {
    done(store_status::kDone, order_.Text(), now);
    return;
  }
  history_.Text(version, std::move(done));
}

void config_store::SendChange(uint64_t expect, const std::string& text, const std::string& write_id,
                              int tries, std::function<void(change_result, monotonic_time)> done) {
  auto on_reply = [this, expect, text, write_id, tries,
                   done = std::move(done)](store_reply reply) mutable {
    post_([this, expect, text, write_id, tries, done = std::move(done),
           reply = std::move(reply)](monotonic_time now) mutable {
      OnChangeReply(reply, expect, text, write_id, tries, std::move(done), now);
    });
  };
  store_.CompareAndSwap(kConfigKey, expect, text, write_id, "", std::move(on_reply));
}

// After a lost reply the same swap is sent again: it takes effect at most once, and the value
// stored then shows whether it was ours.
void config_store::OnChangeReply(const store_reply& reply, uint64_t expect, const std::string& text,
                                 const std::string& write_id, int tries,
                                 std::function<void(change_result, monotonic_time)> done,
                                 monotonic_time now) {
  const bool was_lost = tries < kChangeAttempts;
  if (reply.status == store_status::kDone) {
    Offer(reply.revision, text, version_origin::kStore, now);
    SaveCurrent(reply.revision, text);
    done({change_outcome::kDone, reply.revision, {}}, now);
    return;
  }
  if (reply.status == store_status::kConflict) {
    const store_item stored = reply.items.empty() ? store_item{} : reply.items.front();
    if (!stored.value.empty()) OnItem(stored, now);
    if (stored.value == text) {
      SaveCurrent(stored.revision, text);
      done({change_outcome::kDone, stored.revision, {}}, now);
      return;
    }
    // After a lost reply, the stored value may have overwritten ours.
    done({was_lost ? change_outcome::kUnknown : change_outcome::kConflict, stored.revision,
          stored.value},
         now);
    return;
  }
  if (tries <= 1) {
    const bool undelivered = reply.status == store_status::kUnavailable && !was_lost;
    done({undelivered ? change_outcome::kUnavailable : change_outcome::kUnknown, 0, {}}, now);
    return;
  }
  if (reply.status == store_status::kUnavailable && !was_lost) {
    done({change_outcome::kUnavailable, 0, {}}, now);
    return;
  }
  SendChange(expect, text, write_id, tries - 1, std::move(done));
}

}  // namespace catkinford
