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

}  // namespace

config_keeper::config_keeper(store_adapter& store, milliseconds key_grace, history_limits bounds,
                             poster post, on_version changed)
    : store_(store),
      post_(std::move(post)),
      changed_(std::move(changed)),
      order_(key_grace),
      history_(store, bounds, post_) {}

void config_keeper::Tick(bool is_watcher, monotonic_time now) {
  if (!reading_ && now >= next_read_) Read(now);
  if (is_watcher && !watching_ && now >= next_watch_) Watch(now);
}

void config_keeper::Read(monotonic_time now) {
  reading_ = true;
  next_read_ = now + (order_.Version() == 0 ? kFirstReadInterval : kReadInterval);
  Refresh([this](bool answered, monotonic_time) {
    reading_ = false;
    store_answers_ = answered;
  });
}

void config_keeper::Refresh(std::function<void(bool, monotonic_time)> done) {
  // A watch that does not wait: the whole document comes only when it is newer than ours.
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
  Offer(item.revision, item.value, version_origin::kStore, now);
  order_.Confirm(item.revision, now);
}

void config_keeper::Offer(uint64_t version, const std::string& text, version_origin origin,
                          monotonic_time now) {
  // The watch may bring our own change before the reply to it: taken for another's, nobody would
  // tell the peers of it.
  const bool is_ours = own_writes_.contains(SignatureOf(text).write_id);
  if (!order_.Offer(version, text, now)) return;
  changed_(is_ours ? version_origin::kOwnChange : origin, now);
}

// The next change then finds its predecessor kept, and costs one write between the operator and the
// version in force. Whether this one succeeds does not matter: the next change makes sure.
void config_keeper::KeepAhead(uint64_t version, const std::string& text) {
  history_.Keep(version, text, [](keep_end, monotonic_time) {});
}

void config_keeper::Change(uint64_t expect, const std::string& text,
                           const config_signature& signature,
                           std::function<void(change_result, monotonic_time)> done) {
  // What was read from an entry still carries the signature of its last writer.
  const std::string signed_text = SignConfiguration(WithoutSignature(text), signature);
  own_writes_.insert(signature.write_id);
  done = [this, write_id = signature.write_id, done = std::move(done)](const change_result& result,
                                                                       monotonic_time now) {
    own_writes_.erase(write_id);
    done(result, now);
  };
  if (expect <= order_.Version()) {
    KeepAndSend(expect, signed_text, signature.write_id, std::move(done));
    return;
  }
  // The operator read it from another entry, which is ahead of this one.
  Refresh([this, expect, signed_text, write_id = signature.write_id, done = std::move(done)](
              bool answered, monotonic_time now) mutable {
    if (!answered) {
      done({change_end::kUnavailable, 0, {}}, now);
      return;
    }
    KeepAndSend(expect, signed_text, write_id, std::move(done));
  });
}

// An expected version that is not the one in force loses its swap, and there is nothing to keep.
void config_keeper::KeepAndSend(uint64_t expect, const std::string& text,
                                const std::string& write_id,
                                std::function<void(change_result, monotonic_time)> done) {
  if (expect == 0 || expect != order_.Version() || history_.HasKept(expect)) {
    SendChange(expect, text, write_id, kChangeTries, std::move(done));
    return;
  }
  history_.Keep(expect, order_.Text(),
                [this, expect, text, write_id, done = std::move(done)](keep_end end,
                                                                       monotonic_time now) mutable {
                  if (end == keep_end::kUnavailable) {
                    done({change_end::kUnavailable, 0, {}}, now);
                    return;
                  }
                  // A superseded version loses its swap, whose answer tells what stands there.
                  SendChange(expect, text, write_id, kChangeTries, std::move(done));
                });
}

void config_keeper::History(
    std::function<void(std::optional<std::vector<past_version>>, monotonic_time)> done) {
  // First the version in force, then the list: one that is superseded in between is in the list.
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

void config_keeper::TextOf(uint64_t version, history_keeper::on_text done, monotonic_time now) {
  if (version == order_.Version() && version != 0) {
    done(store_status::kDone, order_.Text(), now);
    return;
  }
  history_.Text(version, std::move(done));
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
    Offer(reply.revision, text, version_origin::kStore, now);
    KeepAhead(reply.revision, text);
    done({change_end::kDone, reply.revision, {}}, now);
    return;
  }
  if (reply.status == store_status::kConflict) {
    const store_item standing = reply.items.empty() ? store_item{} : reply.items.front();
    if (!standing.value.empty()) OnItem(standing, now);
    if (standing.value == text) {
      KeepAhead(standing.revision, text);
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
