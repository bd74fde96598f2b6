// Who owns the site, and which entries live: a lease of this entry's own, a key under it, and one
// key that names the owner. Whoever writes that key first, with the next epoch, owns the site.
//
// No promise rests on the lease alone: instances refuse an epoch lower than they have seen, and the
// owner's writes hold only while the owner's key is as it was. The lease only bounds how long an
// owner that nobody hears of goes on renewing what runs.
#ifndef CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_
#define CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/site/event_loop.h"
#include "process/site/owner_history.h"
#include "process/site/site_log.h"
#include "process/site/site_ports.h"
#include "process/site/site_records.h"
#include "process/site/store_health.h"

namespace catkinford {

// What the other entries say of the store while this one cannot reach it.
enum class outage_verdict : uint8_t {
  kDownForAll,   // nobody reaches it, so nobody can take the site over
  kUpElsewhere,  // others reach it: the site is theirs to take
  kSomeSilent,   // another may reach the store, and take the site over unheard
  kOtherOwner    // another entry has seen a higher epoch
};

// A failure domain may be cut off while the store is down for all, and its entries fall silent. An
// owner that stopped then would let everything that runs be killed. It goes on for this long after
// all entries confirmed the outage; a next owner that finds nobody to vouch that this did not
// happen waits as much longer for instances that it cannot list. Outages last four to five seconds.
inline constexpr std::chrono::milliseconds kOwnerGoesOnAlone{3500};

// The present content of the keys under kSitePrefix.
struct site_view {
  std::optional<owner_word> owner;
  uint64_t owner_revision = 0;  // 0: no such key
  uint64_t owner_changed = 0;   // the store's revision when it was last written or removed
  uint64_t epoch = 0;           // the highest so far
  uint64_t epoch_revision = 0;
  std::map<std::string, site_entry> entries;

  // News older than what is known already changes nothing: answers may overtake each other.
  void Take(const store_item& item);
};

struct membership_hooks {
  std::function<void()> won;
  std::function<void(const std::string& why)> lost;
  std::function<void()> view_changed;
  std::function<void(std::function<void(outage_verdict)>)> ask_peers;
};

// Of a machine with this share of a processor and this link. An owner talks to every instance: with
// a small link or a small share its answers come too late, and what it asked for is given up.
double Strength(double cpu_share, double link_mbps);

// How long to wait before claiming a site without an owner: entries claim one after the other, so
// that mostly one call is made and not one from each, and the strong ones first.
std::chrono::milliseconds ClaimDelay(const site_view& view, const std::string& self);
// Whether this entry is one of those that watch the owner's process.
bool WatchesOwner(const site_view& view, const std::string& self);
// An entry lives that is much stronger than this one.
bool MuchStrongerLives(const site_view& view, const site_entry& self);
// One of the other entries, or of the strong ones among them, by `random`; nothing: there is none.
// Entries that choose alike would all ask the same one at the same time.
std::optional<site_entry> PickEntry(const site_view& view, const std::string& self, bool strong,
                                    uint64_t random);

template <key_value_store Store>
class site_membership {
 public:
  site_membership(Store& store, store_health& health, event_loop& loop, site_log& log,
                  site_entry self, std::chrono::milliseconds ttl,
                  std::chrono::milliseconds watch_wait, membership_hooks hooks)
      : store_(store),
        health_(health),
        loop_(loop),
        log_(log),
        self_(std::move(self)),
        ttl_(ttl),
        watch_wait_(watch_wait),
        hooks_(std::move(hooks)) {}

  void Start() {
    Keep();
    ReadView();
    Check();
  }

  // Gives the lease back: the next owner need not wait for its end. `done` once the store said so.
  void Resign(std::function<void()> done) {
    resigning_ = true;
    if (owns_) Lose("resigned");
    if (lease_.empty()) return done();
    store_.EndLease(std::exchange(lease_, {}),
                    Here([done = std::move(done)](const store_reply&) { done(); }));
  }

  // The owner of this epoch is dead, as this entry and others see it: its lease is not waited for.
  void ClaimFrom(uint64_t epoch) {
    if (!view_.owner || view_.owner->epoch != epoch || owns_ || claim_pending_) return;
    Claim(true);
  }

  // An instance or the store has told of a higher epoch.
  void OnSuperseded(const std::string& why) {
    if (owns_) Lose(why);
    ReadView();
  }

  const site_view& View() const { return view_; }
  const site_entry& Self() const { return self_; }
  // Whom this owner followed.
  const std::optional<site_entry>& Previous() const { return previous_; }
  bool Owns() const { return owns_; }
  // The earlier owner's lease had not ended: it may go on until it does.
  bool ClaimedEarly() const { return claimed_early_; }
  // One before the earlier owner may go on as well.
  bool OthersMayAct() const { return others_may_act_; }
  uint64_t Epoch() const { return epoch_; }
  uint64_t OwnerRevision() const { return owner_revision_; }
  // When the store last answered a call of this class.
  monotonic_time StoreAnswered() const { return answered_; }
  bool LeaseGood(monotonic_time now) const { return !lease_.empty() && now < kept_ + ttl_; }
  // How long the store has named this entry without a gap.
  std::chrono::milliseconds RegisteredFor(monotonic_time now) const {
    if (registered_ == monotonic_time::max()) return std::chrono::milliseconds{0};
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - registered_);
  }
  // Every other entry confirmed, just now or a few seconds ago, that it cannot reach the store
  // either; starts need not wait for records that cannot be stored.
  bool OutageTrusted(monotonic_time now) const { return owns_ && now < outage_trusted_until_; }
  // No other entry can own the site at this moment: the lease holds, or the store has just been
  // seen to be down for all.
  bool MayAct(monotonic_time now) const { return owns_ && (LeaseGood(now) || OutageTrusted(now)); }

 private:
  static constexpr std::chrono::milliseconds kRetry{250};
  static constexpr std::chrono::milliseconds kCheckEvery{200};
  // Longer than a round of questions to the peers and the pause before it.
  static constexpr std::chrono::milliseconds kOutageTrusted{650};
  // How long an outage that all entries confirmed is believed after some of them went silent.
  static constexpr std::chrono::milliseconds kOutageBelieved = kOwnerGoesOnAlone;
  // A store that has answered nothing for this long is asked about at the other entries.
  static constexpr std::chrono::milliseconds kStoreSilent{900};
  // A watch that answers at once with nothing new is asked again only after this.
  static constexpr std::chrono::milliseconds kIdleWatchPause{200};
  static constexpr int kKeepsPerLease = 4;
  // A weak owner goes on this long beside a strong entry: one that just started may end again.
  static constexpr std::chrono::milliseconds kYieldAfter{2000};

  store_callback Here(std::function<void(const store_reply&)> done) {
    const uint64_t call = health_.Sent(BootNow());
    return [this, call, done = std::move(done)](store_reply reply) {
      loop_.Post([this, call, done, reply = std::move(reply)] {
        health_.Answered(call, IsAnswer(reply), BootNow());
        Hear(reply);
        done(reply);
      });
    };
  }
  // A watch waits at the store on purpose: how long it takes says nothing.
  store_callback HereWatched(std::function<void(const store_reply&)> done) {
    return [this, done = std::move(done)](store_reply reply) {
      loop_.Post([this, done, reply = std::move(reply)] {
        Hear(reply);
        done(reply);
      });
    };
  }

  void Hear(const store_reply& reply) {
    const bool answered = IsAnswer(reply);
    if (answered) answered_ = BootNow();
    if (answered == store_up_) return;
    store_up_ = answered;
    log_.Write(answered ? site_event::kStoreBack : site_event::kStoreLost, BootNow(),
               absl::StrCat("lease=", lease_, " owns=", owns_));
  }

  void Keep() {
    if (resigning_) return;
    loop_.After(ttl_ / kKeepsPerLease, [this] { Keep(); });
    const monotonic_time sent = BootNow();
    if (keep_in_flight_ && sent < keep_sent_ + ttl_) return;
    keep_in_flight_ = true;
    keep_sent_ = sent;
    if (lease_.empty()) {
      store_.GrantLease(ttl_, Here([this, sent](const store_reply& reply) {
                          keep_in_flight_ = false;
                          if (reply.status != store_status::kDone || resigning_) return;
                          lease_ = reply.lease;
                          kept_ = sent;
                          Register();
                        }));
      return;
    }
    store_.KeepLease(lease_, Here([this, sent, kept = lease_](const store_reply& reply) {
                       keep_in_flight_ = false;
                       if (kept != lease_) return;
                       if (reply.status == store_status::kDone) kept_ = std::max(kept_, sent);
                       if (reply.status == store_status::kAbsent) OnLeaseEnded();
                     }));
  }

  void OnLeaseEnded() {
    log_.Write(site_event::kLeaseLost, BootNow(), absl::StrCat("lease=", lease_, " owns=", owns_));
    lease_.clear();
    registered_ = monotonic_time::max();
    if (owns_) Lose("the lease ended at the store");
    keep_in_flight_ = false;
    Keep();
  }

  void Register() {
    store_write write;
    write.puts.push_back({kEntryPrefix + self_.name, EntryToText(self_), lease_});
    store_.Commit(write, Here([this, lease = lease_](const store_reply& reply) {
                    if (reply.status == store_status::kDone || lease != lease_ || resigning_) {
                      if (reply.status == store_status::kDone && lease == lease_) {
                        registered_ = BootNow();
                      }
                      if (reply.status == store_status::kDone) Consider();
                      return;
                    }
                    loop_.After(kRetry, [this, lease] {
                      if (lease == lease_ && !resigning_) Register();
                    });
                  }));
  }

  void ReadView() {
    if (reading_ || resigning_) return;
    reading_ = true;
    const uint64_t watch = ++watch_number_;
    store_.Range(kSitePrefix, "", Here([this, watch](const store_reply& reply) {
                   reading_ = false;
                   if (watch != watch_number_) return;
                   const bool old =
                       reply.revision < view_.owner_changed;  // read before this entry's claim
                   if (reply.status != store_status::kDone || old) {
                     loop_.After(kRetry, [this, watch] {
                       if (watch == watch_number_) ReadView();
                     });
                     return;
                   }
                   site_view fresh;
                   for (const store_item& item : reply.items) fresh.Take(item);
                   view_ = std::move(fresh);
                   view_read_ = true;
                   OnView();
                   WatchView(reply.revision, watch);
                 }));
  }

  void WatchView(uint64_t after, uint64_t watch) {
    const monotonic_time sent = BootNow();
    read_options way;
    way.limit_total_time = true;  // what a next owner may conclude rests on how old a view can be
    store_.Watch(kSitePrefix, after, watch_wait_,
                 HereWatched([this, after, watch, sent](const store_reply& reply) {
                   if (watch != watch_number_ || resigning_) return;
                   if (reply.status != store_status::kDone) return ReadView();
                   for (const store_item& item : reply.items) view_.Take(item);
                   if (!reply.items.empty()) OnView();
                   const uint64_t next = std::max(after, reply.revision);
                   const bool idle = reply.items.empty() && BootNow() - sent < kIdleWatchPause;
                   if (!idle) return WatchView(next, watch);
                   loop_.After(kIdleWatchPause, [this, next, watch] {
                     if (watch == watch_number_) WatchView(next, watch);
                   });
                 }),
                 way);
  }

  void OnView() {
    if (view_.owner) {
      previous_seen_ = view_.owner->entry;
      history_.OnSeen(*view_.owner, BootNow());
    }
    const uint64_t seen = view_.owner ? view_.owner->epoch : 0;
    if (seen != logged_epoch_) {
      logged_epoch_ = seen;
      log_.Write(site_event::kOwnerSeen, BootNow(),
                 view_.owner ? absl::StrCat("owner=", view_.owner->entry.name, " epoch=", seen,
                                            " revision=", view_.owner_revision)
                             : std::string("owner=none"));
    }
    hooks_.view_changed();
    Consider();
  }

  bool MyRecord() const { return view_.owner && view_.owner->entry.nonce == self_.nonce; }

  void Consider() {
    if (resigning_ || !view_read_) return;
    if (owns_) {
      const bool still = MyRecord() && view_.owner->epoch == epoch_;
      if (!still && view_.epoch >= epoch_) Lose("the store names another owner");
      return;
    }
    // A record of this entry is an earlier process's, or a claim whose answer was lost: claimed
    // anew, since the epoch of that one may have been used.
    const bool free = !view_.owner || view_.owner->entry.name == self_.name;
    if (!free || claim_pending_) return;
    claim_pending_ = true;
    loop_.After(ClaimDelay(view_, self_.name), [this] {
      claim_pending_ = false;
      Claim(false);
    });
  }

  void Claim(bool early) {
    const bool free = early || !view_.owner || view_.owner->entry.name == self_.name;
    if (resigning_ || owns_ || !free || !LeaseGood(BootNow())) return;
    const owner_word word{self_, view_.epoch + 1, early};
    const bool others = history_.EarlierMayAct(ttl_, BootNow());
    store_write write;
    write.expected = {{kOwnerKey, view_.owner_revision}, {kEpochKey, view_.epoch_revision}};
    write.puts.push_back({kOwnerKey, OwnerToText(word), lease_});
    write.puts.push_back({kEpochKey, absl::StrCat(word.epoch), {}});
    claim_pending_ = true;
    store_.Commit(write, Here([this, word, early, others,
                               previous = previous_seen_](const store_reply& reply) {
                    claim_pending_ = false;
                    if (reply.status != store_status::kDone || resigning_) {
                      loop_.After(kRetry, [this] { ReadView(); });
                      return;
                    }
                    view_.owner = word;
                    view_.owner_revision = reply.revision;
                    view_.owner_changed = reply.revision;
                    view_.epoch = word.epoch;
                    view_.epoch_revision = reply.revision;
                    owns_ = true;
                    previous_ = previous;
                    claimed_early_ = early;
                    others_may_act_ = others;
                    epoch_ = word.epoch;
                    owner_revision_ = reply.revision;
                    log_.Write(site_event::kOwnershipWon, BootNow(),
                               absl::StrCat("epoch=", epoch_, " early=", early,
                                            " others_may_act=", others_may_act_));
                    hooks_.won();
                  }));
  }

  void Lose(const std::string& why) {
    owns_ = false;
    log_.Write(site_event::kOwnershipLost, BootNow(),
               absl::StrCat("epoch=", epoch_, " why=", LogField(why)));
    hooks_.lost(why);
  }

  // Gives the site to a much stronger entry: the lease ends, and with it the owner's key; the
  // others claim before this one does.
  void Yield() {
    const monotonic_time now = BootNow();
    if (!MuchStrongerLives(view_, self_)) {
      stronger_since_ = monotonic_time::max();
      return;
    }
    stronger_since_ = std::min(stronger_since_, now);
    if (now - stronger_since_ < kYieldAfter || !LeaseGood(now)) return;
    stronger_since_ = monotonic_time::max();
    registered_ = monotonic_time::max();
    Lose("a much stronger entry is there");
    store_.EndLease(std::exchange(lease_, {}), Here([](const store_reply&) {}));
    keep_in_flight_ = false;
    Keep();
  }

  // While the lease cannot be renewed, the others are asked whether the store is down for all. If
  // it is, nobody can take over, and stopping would only kill what runs.
  void Check() {
    if (resigning_) return;
    loop_.After(kCheckEvery, [this] { Check(); });
    if (!owns_) return Consider();
    Yield();
    if (!owns_) return;
    const bool silent = BootNow() - answered_ > kStoreSilent;
    if ((LeaseGood(BootNow()) && !silent) || asking_) return;
    asking_ = true;
    hooks_.ask_peers([this, epoch = epoch_](outage_verdict verdict) {
      asking_ = false;
      if (!owns_ || epoch != epoch_) return;
      const monotonic_time now = BootNow();
      if (verdict == outage_verdict::kDownForAll) outage_seen_ = now;
      const bool believed =
          verdict == outage_verdict::kSomeSilent && now < outage_seen_ + kOutageBelieved;
      if (verdict == outage_verdict::kDownForAll || believed) {
        outage_trusted_until_ = now + kOutageTrusted;
        return;
      }
      if (LeaseGood(BootNow())) return;
      Lose(verdict == outage_verdict::kOtherOwner    ? "a peer has seen a higher epoch"
           : verdict == outage_verdict::kUpElsewhere ? "cut off from the store"
                                                     : "cut off from the store and from peers");
    });
  }

  Store& store_;
  store_health& health_;
  event_loop& loop_;
  site_log& log_;
  site_entry self_;
  std::chrono::milliseconds ttl_;
  std::chrono::milliseconds watch_wait_;
  membership_hooks hooks_;
  site_view view_;
  bool view_read_ = false;
  bool reading_ = false;
  uint64_t watch_number_ = 0;
  uint64_t logged_epoch_ = 0;
  std::string lease_;
  monotonic_time kept_{};  // the lease surely holds for its length from here
  monotonic_time keep_sent_{};
  bool keep_in_flight_ = false;
  bool claim_pending_ = false;
  bool owns_ = false;
  bool claimed_early_ = false;
  bool others_may_act_ = false;
  owner_history history_;
  std::optional<site_entry> previous_seen_;  // the last owner that the store named
  std::optional<site_entry> previous_;       // whom this owner followed
  bool asking_ = false;
  bool resigning_ = false;
  bool store_up_ = true;
  monotonic_time answered_{};
  monotonic_time registered_ = monotonic_time::max();  // since when the store names this entry
  monotonic_time outage_seen_{};                       // when all entries last confirmed it
  monotonic_time outage_trusted_until_{};
  monotonic_time stronger_since_ = monotonic_time::max();
  uint64_t epoch_ = 0;
  uint64_t owner_revision_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_
