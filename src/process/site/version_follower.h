// Keeps what operators have decided up to date at this entry: the configuration and the evacuated
// failure domains. Reads and watches both in the store, and gets them from other entries while the
// store does not answer. Never returns to a lower version.
// version_refresh decides when to query and how far the configuration may be trusted; this class
// does the I/O.
#ifndef CATKINFORD_PROCESS_SITE_VERSION_FOLLOWER_H_
#define CATKINFORD_PROCESS_SITE_VERSION_FOLLOWER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "process/site/event_loop.h"
#include "process/site/peer_messages.h"
#include "process/site/range_reader.h"
#include "process/site/read_pause.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_platform.h"
#include "process/site/version_refresh.h"
#include "version/evacuated_domains.h"

namespace catkinford {

using byte_counter = std::shared_ptr<std::atomic<uint64_t>>;

struct version_hooks {
  std::function<void()> changed;              // another configuration is in effect
  std::function<void()> evacuations_changed;  // other failure domains are evacuated
  // The store answers this entry's other calls.
  std::function<bool()> store_up;
  std::function<site_place()> place;
  // Queries another entry for a version newer than `have`, with its text if `text` is set. The
  // callback runs once, with nothing if there is no answer. `arrived` counts bytes received.
  std::function<void(uint64_t have, bool text, byte_counter received_bytes,
                     std::function<void(std::optional<peer_version_reply>)>)>
      ask_peer;
};

template <site_platform Platform>
class version_follower {
 public:
  // `propagation_limit`: how long after its acknowledgement a change must be in effect everywhere.
  version_follower(Platform& platform, event_loop& loop, site_log& log, site_metrics& metrics,
                   std::chrono::milliseconds propagation_limit, version_hooks hooks)
      : platform_(platform),
        loop_(loop),
        log_(log),
        metrics_(metrics),
        hooks_(std::move(hooks)),
        longest_pause_(propagation_limit / kPausesInLimit),
        refresh_(propagation_limit, BootNow()) {}

  void Start() { Tick(); }

  // Null until the first configuration is read.
  const std::shared_ptr<const site_configuration>& Version() const { return version_; }
  const std::string& Text() const { return text_; }
  // As current as the configuration: what confirms one confirms the other.
  const evacuated_domains& Evacuated() const { return evacuated_; }
  version_trust Trust(monotonic_time now) const { return refresh_.Trust(now); }
  // The time as of which the configuration held here was the newest.
  monotonic_time AsOf() const { return refresh_.AsOf(); }
  // What this entry reports to others about its configuration.
  peer_version PeerVersion(monotonic_time now) const {
    peer_version out;
    if (version_ != nullptr) out.number = version_->Number();
    out.revision = refresh_.Revision();
    out.age = std::chrono::ceil<std::chrono::milliseconds>(now - refresh_.AsOf());
    return out;
  }

 private:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  static constexpr int kPausesInLimit = 5;  // a pause leaves time for peers to confirm the version

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
    loop_.After(kTickInterval, [this] { Tick(); });
    SendDueCalls();
  }

  void SendDueCalls() {
    const monotonic_time now = BootNow();
    while (const auto query = refresh_.NextStoreCall(hooks_.store_up(), Arriving(), now))
      Send(*query);
    if (refresh_.ShouldQueryPeer(now)) AskPeer();
    LogTrustChange(now);
  }

  // A reply has arrived in part. A small reply arrives complete and never counts here.
  bool Arriving() const {
    return std::any_of(received_.begin(), received_.end(),
                       [](const auto& item) { return *item.second > 0; });
  }

  byte_counter Count(uint64_t call) {
    return received_.emplace(call, std::make_shared<std::atomic<uint64_t>>(0)).first->second;
  }

  void Send(const version_query& query) {
    read_options options;
    options.fresh_connection = query.fresh_connection;
    options.received_bytes = Count(query.id);
    const store_callback done = [this, query](const store_reply& reply) {
      received_.erase(query.id);
      OnReply(query, reply);
      SendDueCalls();
    };
    if (query.call == version_call::kRead) {
      ReadOperatorKeys(options, done);
    } else {
      platform_.Store().Watch(Platform::kOperatorKeyPrefix, query.after, query.wait,
                              loop_.OnLoop(done), options);
    }
  }

  // `done` is called on the loop's thread.
  void ReadOperatorKeys(const read_options& options, const store_callback& done) {
    const auto items = std::make_shared<std::vector<store_item>>();
    ReadRange(
        "",
        [this, options](const std::string& after, store_callback page) {
          platform_.Store().Range(Platform::kOperatorKeyPrefix, after,
                                  loop_.OnLoop(std::move(page)), options);
        },
        [items](store_reply& page) {
          items->insert(items->end(), std::make_move_iterator(page.items.begin()),
                        std::make_move_iterator(page.items.end()));
        },
        [items, done](store_reply& last) {
          last.items = std::move(*items);
          done(std::move(last));
        });
  }

  void OnReply(const version_query& query, const store_reply& reply) {
    LogRead(query, reply);
    version_reply summary;
    summary.status = reply.status;
    summary.revision = reply.revision;
    summary.idle = query.call != version_call::kRead && reply.items.empty();
    const store_item* newest = nullptr;
    for (const store_item& item : reply.items) {
      if (item.key != Platform::kVersionKeyName || item.deleted) continue;
      newest = &item;
      ++summary.versions;
    }
    if (reply.status == store_status::kDone) ApplyEvacuations(query, reply);
    if (reply.status == store_status::kDone && newest != nullptr) {
      Apply(newest->value, NameOf(query.call));
    }
    refresh_.OnStoreReply(query, summary, BootNow(), PauseAfter(reply.status));
  }

  std::chrono::milliseconds PauseAfter(store_status status) {
    if (status == store_status::kDone) pauses_.OnSuccess();
    if (status == store_status::kDone) return std::chrono::milliseconds{0};
    const double random = absl::Uniform<double>(random_, 0, 1);
    const site_place place = hooks_.place();
    const auto pause = status == store_status::kHistoryCompacted
                           ? read_pause::BeforeReread(place, random)
                           : pauses_.AfterFailure(place, random);
    return std::min(pause, longest_pause_);
  }

  void ApplyEvacuations(const version_query& query, const store_reply& reply) {
    bool changed = false;
    if (query.call == version_call::kRead) {
      std::set<std::string> names;
      for (const store_item& item : reply.items) {
        if (auto name = Platform::DecodeEvacuation(item.key)) names.insert(std::move(*name));
      }
      changed = evacuated_.Replace(std::move(names), reply.revision);
    } else {
      for (const store_item& item : reply.items) {
        const auto name = Platform::DecodeEvacuation(item.key);
        if (name && evacuated_.Apply(*name, !item.deleted, item.revision)) changed = true;
      }
      evacuated_.Advance(reply.revision);
    }
    if (changed) OnEvacuationsChanged(NameOf(query.call));
  }

  void OnEvacuationsChanged(const char* source) {
    const monotonic_time now = BootNow();
    log_.Write(site_event::kEvacuationsTaken, now,
               absl::StrCat("domains=", LogField(absl::StrJoin(evacuated_.Names(), ",")),
                            " revision=", evacuated_.Revision(), " source=", source, " ",
                            VersionFields(now)));
    metrics_.evacuated_domains.Set(static_cast<double>(evacuated_.Names().size()));
    hooks_.evacuations_changed();
  }

  void AskPeer() {
    const uint64_t have = version_ == nullptr ? 0 : version_->Number();
    const bool text = !Arriving();
    hooks_.ask_peer(
        have, text, Count(kPeerCall), [this](const std::optional<peer_version_reply>& peer_reply) {
          received_.erase(kPeerCall);
          metrics_.CountVersionRead("peer", peer_reply ? "done" : "unanswered");
          if (peer_reply && !peer_reply->text.empty()) Apply(peer_reply->text, "peer");
          // Before the configuration is confirmed as of the peer's revision: the next watch begins
          // there.
          if (peer_reply &&
              evacuated_.Replace(peer_reply->evacuated.Names(), peer_reply->evacuated.Revision())) {
            OnEvacuationsChanged("peer");
          }
          refresh_.OnPeerReply(peer_reply ? std::optional(peer_reply->version) : std::nullopt,
                               BootNow());
        });
  }

  // Logs why a read failed and how many bytes had arrived: this tells a timeout that is too short
  // for the text from a dead connection and from a store that rejects calls.
  void LogRead(const version_query& query, const store_reply& reply) {
    metrics_.CountVersionRead(NameOf(query.call), OutcomeOf(reply.status));
    if (reply.status == store_status::kDone) return;
    const monotonic_time now = BootNow();
    log_.Write(site_event::kVersionUnread, now,
               absl::StrCat("source=", NameOf(query.call), " outcome=", OutcomeOf(reply.status),
                            " bytes=", reply.bytes, " ms=", MillisSince(query.sent, now), " ",
                            VersionFields(now)));
  }

  void LogTrustChange(monotonic_time now) {
    const bool confirmed = refresh_.Trust(now) != version_trust::kUnconfirmed;
    if (std::exchange(confirmed_, confirmed) == confirmed) return;
    log_.Write(confirmed ? site_event::kVersionConfirmed : site_event::kVersionUnconfirmed, now,
               absl::StrCat(VersionFields(now), " heard=", refresh_.HighestKnown()));
  }

  std::string VersionFields(monotonic_time now) const {
    if (version_ == nullptr) return "version=0 age_ms=-1";
    return absl::StrCat("version=", version_->Number(),
                        " age_ms=", MillisSince(refresh_.AsOf(), now));
  }

  void Apply(const std::string& text, const char* source) {
    if (text == text_) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(version, Platform::DecodeVersion(text));
          if (version_ != nullptr && version->Number() <= version_->Number()) return {};
          version_ = std::move(version);
          text_ = text;
          refresh_.OnApplied(version_->Number());
          metrics_.version_bytes.Set(static_cast<double>(text_.size()));
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
  site_metrics& metrics_;
  version_hooks hooks_;
  std::chrono::milliseconds longest_pause_;
  version_refresh refresh_;
  read_pause pauses_;
  absl::BitGen random_;
  std::map<uint64_t, byte_counter> received_;  // bytes received, by call in flight
  std::shared_ptr<const site_configuration> version_;
  std::string text_;
  evacuated_domains evacuated_;
  bool confirmed_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_VERSION_FOLLOWER_H_
