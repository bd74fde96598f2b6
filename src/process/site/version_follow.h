// The configuration in force at this entry: read from the store, watched, and taken from other
// entries while the store does not answer. It never goes back to a lower version.
#ifndef CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_
#define CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/site/event_loop.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_ports.h"

namespace catkinford {

template <site_platform Platform>
class version_follow {
 public:
  // `ask_peer`: gets the text of the configuration that some other entry has; empty: none.
  using peer_question = std::function<void(std::function<void(std::string)>)>;

  version_follow(Platform& platform, event_loop& loop, site_log& log, site_metrics& numbers,
                 std::chrono::milliseconds watch_wait, std::function<void()> changed,
                 peer_question ask_peer)
      : platform_(platform),
        loop_(loop),
        log_(log),
        numbers_(numbers),
        watch_wait_(watch_wait),
        changed_(std::move(changed)),
        ask_peer_(std::move(ask_peer)) {}

  void Start() {
    Read();
    AskPeers();
  }

  // Null before the first one was read.
  const std::shared_ptr<const site_version>& Version() const { return version_; }
  const std::string& Text() const { return text_; }
  // When the store last said what is in force, or a peer did.
  monotonic_time Confirmed() const { return confirmed_; }

 private:
  static constexpr std::chrono::milliseconds kRetry{250};
  static constexpr std::chrono::milliseconds kIdleWatchPause{200};
  // Without word from the store for this long, another entry is asked, this often.
  static constexpr std::chrono::milliseconds kPeerPause{500};
  static constexpr std::chrono::milliseconds kPeerSlack{700};

  store_callback Here(std::function<void(const store_reply&)> done) {
    return [this, done = std::move(done)](store_reply reply) {
      loop_.Post([done, reply = std::move(reply)] { done(reply); });
    };
  }

  void Read() {
    const monotonic_time sent = BootNow();
    platform_.Store().Get(Platform::kVersionKeyName, Here([this, sent](const store_reply& reply) {
                            NoteRead("store", reply, sent);
                            if (reply.status == store_status::kDone && !reply.items.empty()) {
                              confirmed_ = BootNow();
                              Take(reply.items.front().value, "store");
                              return Watch(reply.revision);
                            }
                            loop_.After(kRetry, [this] { Read(); });
                          }));
  }

  void Watch(uint64_t after) {
    const monotonic_time sent = BootNow();
    platform_.Store().Watch(
        Platform::kVersionKeyPrefix, after, watch_wait_,
        Here([this, after, sent](const store_reply& reply) { OnWatched(reply, after, sent); }));
  }

  void OnWatched(const store_reply& reply, uint64_t after, monotonic_time sent) {
    NoteRead("watch", reply, sent);
    if (reply.status != store_status::kDone) {
      loop_.After(kRetry, [this] { Read(); });
      return;
    }
    confirmed_ = BootNow();
    for (const store_item& item : reply.items) {
      if (item.key == Platform::kVersionKeyName && !item.deleted) Take(item.value, "watch");
    }
    const uint64_t next = std::max(after, reply.revision);
    if (!reply.items.empty() || BootNow() - sent >= kIdleWatchPause) return Watch(next);
    loop_.After(kIdleWatchPause, [this, next] { Watch(next); });
  }

  void AskPeers() {
    loop_.After(kPeerPause, [this] { AskPeers(); });
    if (BootNow() - confirmed_ < watch_wait_ + kPeerSlack) return;
    ask_peer_([this](const std::string& text) {
      numbers_.CountVersionRead("peer", text.empty() ? "broken_off" : "done");
      if (!text.empty()) Take(text, "peer");
    });
  }

  static const char* OutcomeOf(store_status status) {
    switch (status) {
      case store_status::kDone:
        return "done";
      case store_status::kAbsent:
        return "absent";
      case store_status::kHistoryGone:
        return "history_gone";
      case store_status::kUnknown:
        return "broken_off";
      default:
        return "refused";
    }
  }

  // What ended a read, and how far it had come: a limit that is too short for the text looks
  // different from a silent connection or a store that refuses.
  void NoteRead(const char* source, const store_reply& reply, monotonic_time sent) {
    numbers_.CountVersionRead(source, OutcomeOf(reply.status));
    if (reply.status == store_status::kDone) return;
    const monotonic_time now = BootNow();
    const auto millis = [now](monotonic_time since) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    };
    log_.Write(site_event::kVersionUnread, now,
               absl::StrCat("source=", source, " outcome=", OutcomeOf(reply.status),
                            " bytes=", reply.bytes, " ms=", millis(sent),
                            " version=", version_ == nullptr ? 0 : version_->Number(),
                            " age_ms=", version_ == nullptr ? -1 : millis(confirmed_)));
  }

  void Take(const std::string& text, const char* source) {
    if (text == text_) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(version, Platform::DecodeVersion(text));
          if (version_ != nullptr && version->Number() <= version_->Number()) return {};
          version_ = std::move(version);
          text_ = text;
          numbers_.version_bytes.Set(static_cast<double>(text_.size()));
          log_.Write(site_event::kVersionTaken, BootNow(),
                     absl::StrCat("version=", version_->Number(), " source=", source,
                                  " queues=", version_->Queues().size(),
                                  " workspaces=", version_->Workspaces().size()));
          changed_();
          return {};
        },
        [&] {
          log_.Write(site_event::kVersionRefused, BootNow(),
                     absl::StrCat("source=", source, " bytes=", text.size()));
        });
  }

  Platform& platform_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& numbers_;
  std::chrono::milliseconds watch_wait_;
  std::function<void()> changed_;
  peer_question ask_peer_;
  std::shared_ptr<const site_version> version_;
  std::string text_;
  monotonic_time confirmed_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_
