// The configuration in force at this entry: read from the store, watched, and taken from other
// entries while the store does not answer. It never goes back to a lower version. When to ask, and
// how far the configuration may be trusted, version_plan says; this carries it out.
#ifndef CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_
#define CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/site/event_loop.h"
#include "process/site/peer_words.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_ports.h"
#include "process/site/version_plan.h"

namespace catkinford {

using byte_counter = std::shared_ptr<std::atomic<uint64_t>>;

struct version_hooks {
  std::function<void()> changed;  // another configuration is in force
  // The store answers this entry's other calls.
  std::function<bool()> store_up;
  // Asks some other entry for what is newer than `have`, and for its text if `text`; answered once,
  // with nothing when it does not say. `arrived` counts the bytes of the answer.
  std::function<void(uint64_t have, bool text, byte_counter received_bytes,
                     std::function<void(std::optional<told_version>)>)>
      ask_peer;
};

template <site_platform Platform>
class version_follow {
 public:
  // `in_force`: how long after its acknowledgement a change has to be in force everywhere.
  version_follow(Platform& platform, event_loop& loop, site_log& log, site_metrics& numbers,
                 std::chrono::milliseconds in_force, version_hooks hooks)
      : platform_(platform),
        loop_(loop),
        log_(log),
        numbers_(numbers),
        hooks_(std::move(hooks)),
        plan_(in_force, BootNow()) {}

  void Start() { Tick(); }

  // Null before the first one was read.
  const std::shared_ptr<const site_version>& Version() const { return version_; }
  const std::string& Text() const { return text_; }
  version_trust Trust(monotonic_time now) const { return plan_.Trust(now); }
  // The configuration here was the newest at this time.
  monotonic_time AsOf() const { return plan_.AsOf(); }
  // What this entry tells another one.
  peer_version Word(monotonic_time now) const {
    peer_version word;
    if (version_ != nullptr) word.number = version_->Number();
    word.revision = plan_.Revision();
    word.age = std::chrono::ceil<std::chrono::milliseconds>(now - plan_.AsOf());
    return word;
  }

 private:
  static constexpr std::chrono::milliseconds kTick{100};

  static const char* NameOf(version_call call) {
    switch (call) {
      case version_call::kRead:
        return "store";
      case version_call::kWatch:
        return "watch";
    }
    return "";
  }

  static const char* OutcomeOf(store_status status) {
    switch (status) {
      case store_status::kDone:
        return "done";
      case store_status::kAbsent:
        return "absent";
      case store_status::kHistoryCompacted:
        return "history_gone";
      case store_status::kUnknown:
        return "broken_off";
      default:
        return "refused";
    }
  }

  static int64_t MillisSince(monotonic_time since, monotonic_time now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
  }

  void Tick() {
    loop_.After(kTick, [this] { Tick(); });
    Drive();
  }

  void Drive() {
    const monotonic_time now = BootNow();
    while (const auto query = plan_.NextStoreCall(hooks_.store_up(), Arriving(), now)) Send(*query);
    if (plan_.AsksPeer(now)) AskPeer();
    NoteTrust(now);
  }

  // Some bytes of an answer are there, and not all of them: a small one is whole at once.
  bool Arriving() const {
    return std::any_of(arrived_.begin(), arrived_.end(),
                       [](const auto& item) { return *item.second > 0; });
  }

  byte_counter Count(uint64_t call) {
    return arrived_.emplace(call, std::make_shared<std::atomic<uint64_t>>(0)).first->second;
  }

  void Send(const version_query& query) {
    read_options way;
    way.fresh_connection = query.fresh_connection;
    way.received_bytes = Count(query.id);
    const store_callback done = [this, query](store_reply reply) {
      loop_.Post([this, query, reply = std::move(reply)] {
        arrived_.erase(query.id);
        OnReply(query, reply);
        Drive();
      });
    };
    if (query.call == version_call::kRead) {
      platform_.Store().Get(Platform::kVersionKeyName, done, way);
    } else {
      platform_.Store().Watch(Platform::kVersionKeyPrefix, query.after, query.wait, done, way);
    }
  }

  void OnReply(const version_query& query, const store_reply& reply) {
    NoteRead(query, reply);
    version_news news;
    news.status = reply.status;
    news.revision = reply.revision;
    news.idle = query.call != version_call::kRead && reply.items.empty();
    const store_item* newest = nullptr;
    for (const store_item& item : reply.items) {
      if (item.key != Platform::kVersionKeyName || item.deleted) continue;
      newest = &item;
      ++news.versions;
    }
    if (reply.status == store_status::kDone && newest != nullptr) {
      Take(newest->value, NameOf(query.call));
    }
    plan_.OnNews(query, news, BootNow());
  }

  void AskPeer() {
    const uint64_t have = version_ == nullptr ? 0 : version_->Number();
    const bool text = !Arriving();
    hooks_.ask_peer(have, text, Count(kPeerCall), [this](const std::optional<told_version>& told) {
      arrived_.erase(kPeerCall);
      numbers_.CountVersionRead("peer", told ? "done" : "unanswered");
      if (told && !told->text.empty()) Take(told->text, "peer");
      plan_.OnPeer(told ? std::optional(told->version) : std::nullopt, BootNow());
    });
  }

  // What ended a read, and how far it had come: a limit that is too short for the text looks
  // different from a silent connection or a store that refuses.
  void NoteRead(const version_query& query, const store_reply& reply) {
    numbers_.CountVersionRead(NameOf(query.call), OutcomeOf(reply.status));
    if (reply.status == store_status::kDone) return;
    const monotonic_time now = BootNow();
    log_.Write(
        site_event::kVersionUnread, now,
        absl::StrCat("source=", NameOf(query.call), " outcome=", OutcomeOf(reply.status),
                     " bytes=", reply.bytes, " ms=", MillisSince(query.sent, now), " ", Held(now)));
  }

  void NoteTrust(monotonic_time now) {
    const bool confirmed = plan_.Trust(now) != version_trust::kUnconfirmed;
    if (std::exchange(confirmed_, confirmed) == confirmed) return;
    log_.Write(confirmed ? site_event::kVersionConfirmed : site_event::kVersionUnconfirmed, now,
               absl::StrCat(Held(now), " heard=", plan_.Heard()));
  }

  std::string Held(monotonic_time now) const {
    if (version_ == nullptr) return "version=0 age_ms=-1";
    return absl::StrCat("version=", version_->Number(), " age_ms=", MillisSince(plan_.AsOf(), now));
  }

  void Take(const std::string& text, const char* source) {
    if (text == text_) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(version, Platform::DecodeVersion(text));
          if (version_ != nullptr && version->Number() <= version_->Number()) return {};
          version_ = std::move(version);
          text_ = text;
          plan_.OnTaken(version_->Number());
          numbers_.version_bytes.Set(static_cast<double>(text_.size()));
          log_.Write(site_event::kVersionTaken, BootNow(),
                     absl::StrCat("version=", version_->Number(), " source=", source,
                                  " queues=", version_->Queues().size(),
                                  " workspaces=", version_->Workspaces().size()));
          hooks_.changed();
          return {};
        },
        [&] {
          log_.Write(site_event::kVersionRefused, BootNow(),
                     absl::StrCat("source=", source, " bytes=", text.size()));
        });
  }

  static constexpr uint64_t kPeerCall = 0;  // calls to the store count from 1

  Platform& platform_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& numbers_;
  version_hooks hooks_;
  version_plan plan_;
  std::map<uint64_t, byte_counter> arrived_;  // of the calls under way
  std::shared_ptr<const site_version> version_;
  std::string text_;
  bool confirmed_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_VERSION_FOLLOW_H_
