// Site membership and ownership. Each entry holds a lease at the store with a key under it; one
// more key names the owner. The entry that first writes that key with the next epoch owns the site.
//
// Safety does not rest on the lease alone: instances reject an epoch lower than one they have seen,
// and the owner's writes are conditional on the owner key being unchanged. The lease only limits
// how long an owner that is cut off keeps renewing running work.
#ifndef CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_
#define CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "process/site/claim_order.h"
#include "process/site/event_loop.h"
#include "process/site/owner_history.h"
#include "process/site/range_reader.h"
#include "process/site/read_pause.h"
#include "process/site/site_log.h"
#include "process/site/site_platform.h"
#include "process/site/site_records.h"
#include "process/site/site_view.h"
#include "process/site/store_health.h"

namespace catkinford {

// What the peers report about the store while this entry cannot reach it.
enum class outage_verdict : uint8_t {
  kDownForAll,   // no entry reaches it, so none can take the site over
  kUpElsewhere,  // others reach it and may take the site over
  kSomeSilent,   // a silent peer may reach it and take the site over unnoticed
  kOtherOwner    // a peer has seen a higher epoch
};

// A failure domain may be cut off while the store is down for all, so that its entries become
// silent. An owner that stopped then would cause all running work to be killed, so it continues for
// this long after all entries confirmed the outage. A next owner without confirmation that this did
// not happen waits this much longer for instances that it cannot list. Outages last four to five
// seconds.
inline constexpr std::chrono::milliseconds kIsolatedOwnerLimit{3500};

struct membership_hooks {
  std::function<void()> ownership_won;
  std::function<void(const std::string& why)> ownership_lost;
  std::function<void()> view_changed;
  std::function<void(std::function<void(outage_verdict)>)> poll_peers;
};

// Runs work that other threads post, and timers, one after the other.
template <typename Loop>
concept work_loop =
    requires(Loop loop, std::function<void()> work, std::chrono::milliseconds delay) {
      loop.Post(work);
      loop.After(delay, work);
      { loop.Now() } -> std::same_as<monotonic_time>;
    };

template <key_value_store Store, work_loop Loop = event_loop>
class site_membership {
 public:
  site_membership(Store& store, store_health& health, Loop& loop, site_log& log, site_entry self,
                  std::chrono::milliseconds ttl, std::chrono::milliseconds watch_wait,
                  membership_hooks hooks)
      : store_(store),
        health_(health),
        loop_(loop),
        log_(log),
        self_(std::move(self)),
        ttl_(ttl),
        watch_wait_(watch_wait),
        hooks_(std::move(hooks)),
        random_(self_.nonce) {}

  void Start() {
    KeepLease();
    ReadAll();
    CheckOwnership();
  }

  // Ends the lease, so that the next owner need not wait for its expiry. `done` is called once the
  // store has answered, or at once if there is no lease. The view is still followed: callers on
  // open connections ask for what only the owner knows.
  void Resign(std::function<void()> done) {
    resigning_ = true;
    if (owns_) EndOwnership("resigned");
    if (lease_.empty()) return done();
    store_.RevokeLease(std::exchange(lease_, {}),
                       OnLoop([done = std::move(done)](const store_reply&) { done(); }));
  }

  // Claims the site without waiting for the lease of this epoch's owner, which this entry and its
  // peers found dead.
  void ClaimFrom(uint64_t epoch) {
    if (!view_.owner || view_.owner->epoch != epoch || owns_ || claim_pending_) return;
    Claim(true);
  }

  // An instance or the store has reported a higher epoch.
  void OnSuperseded(const std::string& why) {
    if (owns_) EndOwnership(why);
    ReadOwner();
  }

  // Ends the ownership of an owner that the store does not answer, while it answers others. Its
  // lease can't be revoked; another entry claims before it ends, or this one claims again later.
  void LeaveToOthers(const std::string& why) {
    if (!owns_) return;
    claims_again_at_ = loop_.Now() + kLeavePause;
    EndOwnership(why);
  }

  const site_view& View() const { return view_; }
  const site_entry& Self() const { return self_; }
  // The owner that this one superseded.
  const std::optional<site_entry>& PreviousOwner() const { return previous_owner_; }
  bool Owns() const { return owns_; }
  site_place Place() const {
    return {view_.entries.size(), owns_ || ClaimsAmongFirst(view_, self_.name)};
  }
  // The earlier owner's lease had not ended, so it may act until it does.
  bool ClaimedEarly() const { return claimed_early_; }
  // An owner before the earlier one may still act too.
  bool EarlierOwnersMayAct() const { return earlier_owners_may_act_; }
  uint64_t Epoch() const { return epoch_; }
  uint64_t OwnerRevision() const { return owner_revision_; }
  // When the store last answered a call of this class.
  monotonic_time StoreAnswered() const { return store_answered_; }
  bool LeaseValid(monotonic_time now) const { return !lease_.empty() && now < renewed_ + ttl_; }
  // How long this entry has been registered in the store without a gap.
  std::chrono::milliseconds RegisteredFor(monotonic_time now) const {
    if (registered_since_ == monotonic_time::max()) return std::chrono::milliseconds{0};
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - registered_since_);
  }
  // Every other entry confirmed, within the last few seconds, that it cannot reach the store
  // either; starts need not wait for records that cannot be stored.
  bool OutageConfirmed(monotonic_time now) const { return owns_ && now < outage_confirmed_until_; }
  // No other entry can own the site now: the lease is valid, or the store was just confirmed to be
  // down for all.
  bool MayAct(monotonic_time now) const {
    return owns_ && (LeaseValid(now) || OutageConfirmed(now));
  }

 private:
  static constexpr std::chrono::milliseconds kCheckInterval{200};
  // Longer than one poll of the peers and the pause before it.
  static constexpr std::chrono::milliseconds kOutageValidFor{650};
  // How long an outage that all entries confirmed counts after some of them became silent.
  static constexpr std::chrono::milliseconds kPartialOutageValidFor = kIsolatedOwnerLimit;
  // After this time without any answer from the store the peers are polled about it.
  static constexpr std::chrono::milliseconds kStoreSilenceLimit{900};
  // Pause before the next watch when one returned at once without changes.
  static constexpr std::chrono::milliseconds kIdleWatchPause{200};
  static constexpr int kRenewalsPerLease = 4;
  // After an outage a store may have lost all leases. For this long after its return the other
  // entries let the process claim first that owned the site last.
  static constexpr std::chrono::milliseconds kStoreBackPeriod{1000};
  static constexpr std::chrono::milliseconds kFormerOwnerHeadStart{150};
  // Longer than a takeover after the end of the lease.
  static constexpr std::chrono::milliseconds kLeavePause{3000};
  // A weak owner continues for this long beside a strong entry: an entry that just started may end
  // again.
  static constexpr std::chrono::milliseconds kYieldDelay{2000};

  store_callback OnLoop(std::function<void(const store_reply&)> done) {
    const uint64_t call = health_.Sent(loop_.Now());
    return [this, call, done = std::move(done)](store_reply reply) {
      loop_.Post([this, call, done, reply = std::move(reply)] {
        health_.Answered(call, IsAnswer(reply), loop_.Now());
        OnStoreReply(reply);
        done(reply);
      });
    };
  }
  // For watches, which wait at the store on purpose: their duration says nothing about its health.
  store_callback OnLoopUntimed(std::function<void(const store_reply&)> done) {
    return [this, done = std::move(done)](store_reply reply) {
      loop_.Post([this, done, reply = std::move(reply)] {
        OnStoreReply(reply);
        done(reply);
      });
    };
  }

  void OnStoreReply(const store_reply& reply) {
    const bool answered = IsAnswer(reply);
    if (answered) store_answered_ = loop_.Now();
    if (answered == store_up_) return;
    store_up_ = answered;
    if (answered) store_back_at_ = loop_.Now();
    // The store may have dropped this entry's lease meanwhile, which the owner must know at once:
    // other entries claim the site as soon as they see it without an owner.
    if (answered && owns_) ConfirmOwnership();
    log_.Write(answered ? site_event::kStoreBack : site_event::kStoreLost, loop_.Now(),
               absl::StrCat("lease=", lease_, " owns=", owns_));
  }

  void KeepLease() {
    if (resigning_) return;
    loop_.After(ttl_ / kRenewalsPerLease, [this] { KeepLease(); });
    RenewLease();
  }

  void RenewLease() {
    if (resigning_) return;
    const monotonic_time sent = loop_.Now();
    if (renewal_in_flight_ && sent < renewal_sent_ + ttl_) return;
    renewal_in_flight_ = true;
    renewal_sent_ = sent;
    const uint64_t renewal = ++last_renewal_;
    if (lease_.empty()) {
      store_.GrantLease(ttl_, OnLoop([this, sent, renewal](const store_reply& reply) {
                          if (renewal == last_renewal_) renewal_in_flight_ = false;
                          // A second lease would replace the one that the owner key is bound to.
                          if (!lease_.empty()) return;
                          if (reply.status != store_status::kDone || resigning_) return;
                          lease_ = reply.lease;
                          renewed_ = sent;
                          Register();
                        }));
      return;
    }
    store_.RenewLease(
        lease_, OnLoop([this, sent, renewal, renewed_lease = lease_](const store_reply& reply) {
          if (renewal == last_renewal_) renewal_in_flight_ = false;
          if (renewed_lease != lease_) return;
          if (reply.status == store_status::kAbsent) return OnLeaseEnded();
          if (reply.status != store_status::kDone) return;
          renewed_ = std::max(renewed_, sent);
          if (lapsed_epoch_ != 0) ConsiderClaim();
        }));
  }

  void OnLeaseEnded() {
    log_.Write(site_event::kLeaseLost, loop_.Now(),
               absl::StrCat("lease=", lease_, " owns=", owns_));
    lease_.clear();
    registered_since_ = monotonic_time::max();
    const bool owned = owns_;
    if (owned) EndLapsedOwnership("the lease ended at the store");
    renewal_in_flight_ = false;
    RenewLease();
    // The owner key ended with the lease, which the watch may not have reported yet.
    if (owned) ReadOwner();
  }

  void Register() {
    store_write write;
    write.puts.push_back({kEntryPrefix + self_.name, EntryToText(self_), lease_});
    store_.Commit(write, OnLoop([this, lease = lease_](const store_reply& reply) {
                    if (reply.status == store_status::kDone || lease != lease_ || resigning_) {
                      if (reply.status == store_status::kDone && lease == lease_) {
                        registered_since_ = loop_.Now();
                      }
                      if (reply.status == store_status::kDone) ConsiderClaim();
                      return;
                    }
                    loop_.After(read_pause::kRetry, [this, lease] {
                      if (lease == lease_ && !resigning_) Register();
                    });
                  }));
  }

  double Random() { return absl::Uniform<double>(random_, 0, 1); }

  // Reads all keys of the site. The view stays in use, and the watch goes on, meanwhile.
  void ReadAll() {
    if (reading_all_) return;
    reading_all_ = true;
    const auto updated = std::make_shared<site_view>();
    ReadRange(
        "",
        [this](const std::string& after, std::function<void(store_reply)> page) {
          store_.Range(kSitePrefix, after, OnLoop(std::move(page)));
        },
        [updated](const store_reply& page) {
          for (const store_item& item : page.items) updated->Apply(item);
        },
        [this, updated](const store_reply& last) {
          reading_all_ = false;
          const bool outdated = last.revision < view_.owner_changed;  // read before its claim
          if (last.status != store_status::kDone || outdated) {
            loop_.After(reads_.AfterFailure(Place(), Random()), [this] {
              if (!watching_ || misses_changes_) ReadAll();
            });
            return;
          }
          reads_.OnSuccess();
          watches_.OnSuccess();
          view_ = std::move(*updated);
          view_read_ = true;
          misses_changes_ = false;
          OnView();
          WatchView(last.revision, ++watch_id_);
        });
  }

  // Reads the owner alone. Without a watch, one begins there.
  void ReadOwner() {
    if (!view_read_) return ReadAll();
    if (reading_owner_) return;
    reading_owner_ = true;
    store_.Range(kOwnerRange, "", OnLoop([this](const store_reply& reply) {
                   reading_owner_ = false;
                   if (reply.status != store_status::kDone) {
                     loop_.After(owner_reads_.AfterFailure(Place(), Random()),
                                 [this] { ReadOwner(); });
                     return;
                   }
                   owner_reads_.OnSuccess();
                   const bool absent = reply.items.empty();
                   view_.ApplyOwner(absent ? nullptr : &reply.items.front(), reply.revision);
                   OnView();
                   if (!watching_ && misses_changes_) WatchView(reply.revision, ++watch_id_);
                 }));
  }

  void WatchView(uint64_t after, uint64_t watch, bool fresh_connection = false) {
    watching_ = true;
    watched_after_ = after;
    const monotonic_time sent = loop_.Now();
    read_options way;
    way.limit_total_time =
        true;  // what a next owner may conclude depends on the maximum age of a view
    way.fresh_connection = fresh_connection;
    store_.Watch(kSitePrefix, after, watch_wait_,
                 OnLoopUntimed([this, after, watch, sent](const store_reply& reply) {
                   if (watch != watch_id_) return;
                   if (reply.status != store_status::kDone) {
                     return OnWatchFailed(reply.status, after, watch);
                   }
                   watches_.OnSuccess();
                   const uint64_t owner_changed = view_.owner_changed;
                   for (const store_item& item : reply.items) view_.Apply(item);
                   if (!reply.items.empty()) OnView();
                   const uint64_t next = std::max(after, reply.revision);
                   const bool idle = reply.items.empty() && loop_.Now() - sent < kIdleWatchPause;
                   std::chrono::milliseconds pause{0};
                   if (idle) pause = kIdleWatchPause;
                   if (!reply.items.empty() && owner_changed == view_.owner_changed) {
                     pause = read_pause::BetweenWatches(Place());
                   }
                   WatchAfter(pause, next, watch, false);
                 }),
                 way);
  }

  void WatchAfter(std::chrono::milliseconds pause, uint64_t after, uint64_t watch,
                  bool fresh_connection) {
    if (pause.count() == 0) return WatchView(after, watch, fresh_connection);
    loop_.After(pause, [this, after, watch, fresh_connection] {
      if (watch == watch_id_) WatchView(after, watch, fresh_connection);
    });
  }

  // A watch that broke off once goes on where it was: the store tells what has changed since.
  void OnWatchFailed(store_status status, uint64_t after, uint64_t watch) {
    const site_place place = Place();
    if (status != store_status::kHistoryCompacted) {
      const bool again = watches_.Failing();
      const auto pause = watches_.AfterFailure(place, Random());
      if (!again) {
        const bool unanswered = status == store_status::kUnknown;
        return WatchAfter(place.first ? std::chrono::milliseconds{0} : pause, after, watch,
                          unanswered);
      }
      // After an outage most keys have changed, many more than once: their content is shorter.
      watching_ = false;
      return loop_.After(pause, [this, watch] {
        if (watch == watch_id_) ReadAll();
      });
    }
    misses_changes_ = true;
    watching_ = false;
    loop_.After(read_pause::BeforeReread(place, Random()), [this] {
      if (misses_changes_) ReadAll();
    });
    if (!place.first) ReadOwner();
  }

  // The present watch may wait on a connection that is dead.
  void RestartWatch() {
    if (watching_) WatchView(watched_after_, ++watch_id_, true);
  }

  void OnView() {
    if (view_.owner) {
      last_owner_seen_ = view_.owner->entry;
      history_.OnOwner(*view_.owner, loop_.Now());
    }
    const uint64_t current_epoch = view_.owner ? view_.owner->epoch : 0;
    if (current_epoch != logged_epoch_) {
      logged_epoch_ = current_epoch;
      log_.Write(site_event::kOwnerSeen, loop_.Now(),
                 view_.owner
                     ? absl::StrCat("owner=", view_.owner->entry.name, " epoch=", current_epoch,
                                    " revision=", view_.owner_revision)
                     : std::string("owner=none"));
    }
    hooks_.view_changed();
    ConsiderClaim();
  }

  bool OwnerIsSelf() const { return view_.owner && view_.owner->entry.nonce == self_.nonce; }

  void ConsiderClaim() {
    if (resigning_ || !view_read_) return;
    if (owns_) {
      const bool unchanged = OwnerIsSelf() && view_.owner->epoch == epoch_;
      if (unchanged || view_.epoch < epoch_) return;
      if (view_.owner) return EndOwnership("the store names another owner");
      EndLapsedOwnership("the store names no owner");
      // The lease has probably ended too, and a claim under it would fail.
      return ConfirmOwnership();
    }
    // An owner record of this entry is from an earlier process, or from a claim whose answer was
    // lost. The site is claimed again, since the epoch of that record may have been used.
    const bool claimable = !view_.owner || view_.owner->entry.name == self_.name;
    if (!claimable || claim_pending_) return;
    claim_pending_ = true;
    const bool reclaims = MayReclaim();
    const bool leave_to_former = !reclaims && loop_.Now() - store_back_at_ < kStoreBackPeriod;
    const auto delay = reclaims ? std::chrono::milliseconds{0} : ClaimDelay(view_, self_.name);
    loop_.After(delay + (leave_to_former ? kFormerOwnerHeadStart : std::chrono::milliseconds{0}),
                [this] {
                  claim_pending_ = false;
                  Claim(false);
                });
  }

  void Claim(bool early) {
    const bool claimable = early || !view_.owner || view_.owner->entry.name == self_.name;
    if (resigning_ || owns_ || !claimable || !LeaseValid(loop_.Now())) return;
    if (!early && loop_.Now() < claims_again_at_) return;
    if (MayReclaim() && renewed_ < lapsed_at_) return;  // the lease may be gone at the store
    const owner_record record{self_, view_.epoch + 1, early};
    const bool earlier_owners_may_act = history_.EarlierOwnerMayAct(ttl_, loop_.Now());
    store_write write;
    write.expected = {{kOwnerKey, view_.owner_revision}, {kEpochKey, view_.epoch_revision}};
    write.puts.push_back({kOwnerKey, OwnerToText(record), lease_});
    write.puts.push_back({kEpochKey, absl::StrCat(record.epoch), {}});
    claim_pending_ = true;
    store_.Commit(write, OnLoop([this, record, early, earlier_owners_may_act,
                                 previous = last_owner_seen_](const store_reply& reply) {
                    claim_pending_ = false;
                    if (reply.status == store_status::kConflict) OnClaimRefused(reply);
                    if (reply.status != store_status::kDone || resigning_) {
                      // A claim without an answer may have been carried out.
                      loop_.After(read_pause::kRetry, [this] { ReadOwner(); });
                      return;
                    }
                    view_.owner = record;
                    view_.owner_revision = reply.revision;
                    view_.owner_changed = reply.revision;
                    view_.epoch = record.epoch;
                    view_.epoch_revision = reply.revision;
                    owns_ = true;
                    previous_owner_ = previous;
                    claimed_early_ = early;
                    earlier_owners_may_act_ = earlier_owners_may_act;
                    epoch_ = record.epoch;
                    owner_revision_ = reply.revision;
                    // Peers that this entry does not know could not be asked.
                    if (misses_changes_) ReadAll();
                    log_.Write(site_event::kOwnershipWon, loop_.Now(),
                               absl::StrCat("epoch=", epoch_, " early=", early,
                                            " others_may_act=", earlier_owners_may_act_));
                    hooks_.ownership_won();
                  }));
  }

  // The refusal holds the keys as they are now: the next claim does not rest on the view that was
  // refused, whatever a read of the site's keys brings.
  void OnClaimRefused(const store_reply& reply) {
    const uint64_t owner_before = view_.owner_revision;
    const uint64_t epoch_before = view_.epoch_revision;
    for (const store_item& item : reply.items) {
      if (item.revision > 0) view_.Apply(item);
    }
    log_.Write(site_event::kStoreRefusal, loop_.Now(),
               absl::StrCat("call=claim epoch=", view_.epoch + 1, " owner_revision=", owner_before,
                            " owner_revision_now=", view_.owner_revision, " epoch_revision=",
                            epoch_before, " epoch_revision_now=", view_.epoch_revision));
  }

  // The store dropped the ownership although this process lives, as a store that comes back without
  // its leases does. No other process knows all that runs: this one claims the site again at once.
  void EndLapsedOwnership(const std::string& why) {
    EndOwnership(why);
    lapsed_epoch_ = epoch_;
    lapsed_at_ = loop_.Now();
  }
  void ConfirmOwnership() {
    renewal_in_flight_ = false;
    RenewLease();
    ReadOwner();
    RestartWatch();
  }
  // True while no other process owned the site since this one did. The view may still name this
  // one.
  bool MayReclaim() const {
    return lapsed_epoch_ != 0 && (!view_.owner || OwnerIsSelf()) && view_.epoch == lapsed_epoch_;
  }

  void EndOwnership(const std::string& why) {
    owns_ = false;
    lapsed_epoch_ = 0;
    log_.Write(site_event::kOwnershipLost, loop_.Now(),
               absl::StrCat("epoch=", epoch_, " why=", LogField(why)));
    hooks_.ownership_lost(why);
  }

  // Hands the site to a much stronger entry: the lease ends and the owner key with it, and the
  // other entries claim before this one does.
  void YieldToStronger() {
    const monotonic_time now = loop_.Now();
    if (!MuchStrongerExists(view_, self_)) {
      stronger_since_ = monotonic_time::max();
      return;
    }
    stronger_since_ = std::min(stronger_since_, now);
    if (now - stronger_since_ < kYieldDelay || !LeaseValid(now)) return;
    stronger_since_ = monotonic_time::max();
    registered_since_ = monotonic_time::max();
    EndOwnership("a much stronger entry is there");
    store_.RevokeLease(std::exchange(lease_, {}), OnLoop([](const store_reply&) {}));
    renewal_in_flight_ = false;
    RenewLease();
  }

  // While the lease cannot be renewed, the peers are polled whether the store is down for all. If
  // it is, no entry can take over, and stopping would only kill running work.
  void CheckOwnership() {
    if (resigning_) return;
    loop_.After(kCheckInterval, [this] { CheckOwnership(); });
    if (!owns_) return ConsiderClaim();
    YieldToStronger();
    if (!owns_) return;
    const bool no_answer = loop_.Now() - store_answered_ > kStoreSilenceLimit;
    if ((LeaseValid(loop_.Now()) && !no_answer) || polling_peers_) return;
    polling_peers_ = true;
    hooks_.poll_peers([this, epoch = epoch_](outage_verdict verdict) {
      polling_peers_ = false;
      if (!owns_ || epoch != epoch_) return;
      const monotonic_time now = loop_.Now();
      // An entry that registered meanwhile was not asked.
      if (verdict == outage_verdict::kDownForAll && misses_changes_) {
        verdict = outage_verdict::kSomeSilent;
      }
      if (verdict == outage_verdict::kDownForAll) outage_last_confirmed_ = now;
      const bool still_valid = verdict == outage_verdict::kSomeSilent &&
                               now < outage_last_confirmed_ + kPartialOutageValidFor;
      if (verdict == outage_verdict::kDownForAll || still_valid) {
        outage_confirmed_until_ = now + kOutageValidFor;
        return;
      }
      if (LeaseValid(loop_.Now())) return;
      EndOwnership(verdict == outage_verdict::kOtherOwner ? "a peer has seen a higher epoch"
                   : verdict == outage_verdict::kUpElsewhere
                       ? "cut off from the store"
                       : "cut off from the store and from peers");
    });
  }

  Store& store_;
  store_health& health_;
  Loop& loop_;
  site_log& log_;
  site_entry self_;
  std::chrono::milliseconds ttl_;
  std::chrono::milliseconds watch_wait_;
  membership_hooks hooks_;
  site_view view_;
  bool view_read_ = false;
  bool reading_all_ = false;
  bool reading_owner_ = false;
  bool watching_ = false;        // or about to: the watch of `watch_id_`; if not, all keys are read
  uint64_t watched_after_ = 0;   // revision
  bool misses_changes_ = false;  // of entries: the store dropped them from its history
  uint64_t watch_id_ = 0;
  read_pause reads_;
  read_pause owner_reads_;
  read_pause watches_;
  std::mt19937_64 random_;
  uint64_t logged_epoch_ = 0;
  std::string lease_;
  monotonic_time renewed_{};  // the lease is valid for at least its length from here
  monotonic_time renewal_sent_{};
  bool renewal_in_flight_ = false;
  uint64_t last_renewal_ = 0;
  bool claim_pending_ = false;
  bool owns_ = false;
  bool claimed_early_ = false;
  bool earlier_owners_may_act_ = false;
  owner_history history_;
  std::optional<site_entry> last_owner_seen_;  // the last owner named in the store
  std::optional<site_entry> previous_owner_;   // the owner that this one superseded
  bool polling_peers_ = false;
  bool resigning_ = false;
  bool store_up_ = true;
  monotonic_time store_answered_{};
  monotonic_time store_back_at_{};  // the latest end of an outage
  uint64_t lapsed_epoch_ = 0;       // of this process's ownership, if the store dropped it; or 0
  monotonic_time lapsed_at_{};
  monotonic_time claims_again_at_{};
  monotonic_time registered_since_ = monotonic_time::max();  // when the registration was stored
  monotonic_time outage_last_confirmed_{};                   // by all entries
  monotonic_time outage_confirmed_until_{};
  monotonic_time stronger_since_ = monotonic_time::max();
  uint64_t epoch_ = 0;
  uint64_t owner_revision_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_MEMBERSHIP_H_
