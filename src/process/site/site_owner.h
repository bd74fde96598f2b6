// The work of the entry that owns the site: reads all records, then runs the scheduler, sends its
// orders, stores its progress and follows the inbox and the registry, until the ownership ends.
//
// All of it lives on the loop's thread, and only as long as one ownership: answers that come after
// its end find nobody and change nothing.
#ifndef CATKINFORD_PROCESS_SITE_SITE_OWNER_H_
#define CATKINFORD_PROCESS_SITE_SITE_OWNER_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/event_loop.h"
#include "process/site/fleet_record.h"
#include "process/site/owner_budget.h"
#include "process/site/record_mode.h"
#include "process/site/site_log.h"
#include "process/site/site_membership.h"
#include "process/site/site_metrics.h"
#include "process/site/site_ports.h"
#include "process/site/site_records.h"
#include "process/site/site_settings.h"
#include "request/packed_text.h"

namespace catkinford {

struct owner_hooks {
  // The ownership is over: an instance or the store knows a later one.
  std::function<void(const std::string& why)> superseded;
  // False while it is not sure that no other entry owns the site: a process that was paused wakes
  // up with orders at hand, and an instance that the next owner cannot reach would take them.
  std::function<bool(monotonic_time now)> may_act;
  // True while the store is known to be down for all entries: nobody can take the site over, and
  // starts go out without their records.
  std::function<bool(monotonic_time now)> store_down_for_all;
  // True while the configuration here is known to be in force.
  std::function<bool(monotonic_time now)> version_confirmed;
  // A question to a queue's policy; answered by OnAdvice().
  std::function<void(advice_order)> ask_advice;
  // Brings a start to its instance, from here or by the entry that accepted the job.
  std::function<void(start_order, const std::string& accepted_by, order_callback)> start;
  // What this entry still bears.
  std::function<const owner_budget&(monotonic_time now)> budget;
};

// Writes a scheduler's notes to the log and counts them.
void WriteNotes(const std::vector<scheduler_note>& notes, site_log& log, monotonic_time now);

template <site_platform Platform>
class site_owner : public std::enable_shared_from_this<site_owner<Platform>> {
 public:
  site_owner(Platform& platform, event_loop& loop, site_log& log, site_metrics& numbers,
             const site_settings& settings, uint64_t epoch, uint64_t owner_revision, bool early,
             owner_hooks hooks)
      : platform_(platform),
        loop_(loop),
        log_(log),
        numbers_(numbers),
        settings_(settings),
        epoch_(epoch),
        owner_revision_(owner_revision),
        hooks_(std::move(hooks)),
        most_starts_(OptionsOf(settings, early).starts_in_flight),
        scheduler_(OptionsOf(settings, early), epoch, BootNow()) {}

  void Start(std::shared_ptr<const site_version> version) {
    began_ = BootNow();
    scheduler_.SetVersion(std::move(version));
    LoadInbox("");
  }
  // Ends it: no more orders. Answers under way are dropped.
  void End() { ended_ = true; }

  void SetVersion(std::shared_ptr<const site_version> version) {
    scheduler_.SetVersion(std::move(version));
    Soon();
  }
  // News of the inbox that came before the watch told it.
  void OnJobStored(const std::string& id, const std::string& record) {
    if (!loaded_) return;
    TakeInbox({kJobPrefix + id, record}, false);
    Soon();
  }
  void OnCancelStored(const std::string& id) {
    if (!loaded_) return;
    TakeInbox({kCancelPrefix + id, {}}, false);
    Soon();
  }
  // Another entry, or this one, vouches that no earlier owner sent starts without records.
  void OnRecordsComplete() {
    vouched_ = true;
    TrustRecords();
  }
  void OnEarlierOwnerDead() {
    earlier_dead_ = true;
    TrustRecords();
  }
  bool Loaded() const { return loaded_; }
  // Nothing while the records are still being read.
  std::optional<graph_phase> PhaseOf(const std::string& job) const {
    if (!loaded_) return std::nullopt;
    const job_entry* entry = scheduler_.Find(job);
    if (entry == nullptr) return std::nullopt;
    return entry->VisiblePhase();
  }
  size_t Pending(const std::string& queue) const { return scheduler_.Pending(queue); }
  void OnAdvice(const advice_order& order, const advice_answer& answer) {
    scheduler_.OnAdvice(order, answer, BootNow());
    Soon();
  }
  // What deciding took since the last time.
  std::chrono::milliseconds TakeDecideTime() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::exchange(decide_time_, monotonic_time::duration{0}));
  }
  // True when nothing is on its way to the store and nothing waits for it.
  bool Settled() const { return !committing_; }

 private:
  using self_type = site_owner<Platform>;

  static constexpr std::chrono::milliseconds kRetry{150};
  static constexpr std::chrono::milliseconds kTick{50};
  // Events that come together are decided together.
  static constexpr std::chrono::milliseconds kSoon{3};
  static constexpr int kRestPerRound = 3;  // deciding takes a quarter of the time at most
  // Ends are stored together: a write for each would be most of the store's rate.
  static constexpr std::chrono::milliseconds kBetweenCommits{60};
  // But starts wait for their records: these go out as soon as the change before them is done. Each
  // change takes about 10 ms, so this is some 60 writes a second at most.
  static constexpr std::chrono::milliseconds kBetweenStartCommits{6};
  // A change without an answer after this time is looked for in the store: its answer may be lost,
  // and all that waits for it would wait for the call's timeout.
  static constexpr std::chrono::milliseconds kProbeAfter{150};
  static constexpr std::chrono::milliseconds kCommitRetry{150};
  static constexpr std::chrono::milliseconds kExpiryEvery{2000};
  static constexpr std::chrono::milliseconds kFleetLook{100};
  // After a listing: ends that come together are told together, and each look costs.
  static constexpr std::chrono::milliseconds kListingPause{120};
  // What this process is late by is added to the patience with others, up to this.
  static constexpr std::chrono::milliseconds kMostOwnDelay{1500};
  static constexpr std::chrono::milliseconds kOwnDelayMatters{40};
  static constexpr std::chrono::milliseconds kIdleWatchPause{50};
  static constexpr size_t kItemBytes = 150;   // of an item on the wire, beside its key and value
  static constexpr size_t kExpireAtOnce = 8;  // jobs; three keys each
  // Conditions and keys of the owner's own in each change.
  static constexpr size_t kOwnEntries = 5;

  // `early`: the earlier owner's lease has not ended, and it may go on until then.
  static scheduler_options OptionsOf(const site_settings& settings, bool early) {
    scheduler_options out;
    out.run_lease = std::min(settings.timing.run_lease, settings.bounds.longest_run_lease);
    out.stop_limit = settings.bounds.stop_limit;
    out.gang_limit = settings.bounds.gang_limit;
    out.keep_final = settings.bounds.keep_final;
    if (early) out.earlier_owner += settings.timing.owner_lease;
    out.unvouched_owner = kOwnerGoesOnAlone;
    out.early_limit = settings.bounds.early_limit;
    out.remote_factor = settings.bounds.remote_factor;
    return out;
  }

  // Brings an answer to the loop's thread, and drops it once this ownership is over.
  template <typename... Args>
  std::function<void(Args...)> Here(std::function<void(self_type&, Args...)> done) {
    std::weak_ptr<self_type> weak = this->weak_from_this();
    event_loop& loop = loop_;
    return [weak, &loop, done = std::move(done)](Args... args) {
      loop.Post([weak, done, ... held = std::move(args)]() mutable {
        const std::shared_ptr<self_type> self = weak.lock();
        if (self != nullptr && !self->ended_) done(*self, std::move(held)...);
      });
    };
  }
  store_callback OnReply(std::function<void(self_type&, store_reply)> done) {
    return Here<store_reply>(std::move(done));
  }
  order_callback OnAnswer(std::function<void(self_type&, order_answer)> done) {
    return Here<order_answer>(std::move(done));
  }
  void Later(std::chrono::milliseconds delay, std::function<void(self_type&)> task) {
    std::weak_ptr<self_type> weak = this->weak_from_this();
    loop_.After(delay, [weak, task = std::move(task)] {
      const std::shared_ptr<self_type> self = weak.lock();
      if (self != nullptr && !self->ended_) task(*self);
    });
  }

  // --- reading the records -------------------------------------------------------------------

  // Reads a whole range page by page; a page that fails is asked for again, on a connection of its
  // own: the kept ones may all have gone silent, and each would cost a timeout.
  void ReadPages(const std::string& prefix, const std::string& after,
                 std::function<void(self_type&, const store_reply&)> take,
                 std::function<void(self_type&)> done, const read_options& way = {}) {
    platform_.Store().Range(prefix, after, OnReply([=](self_type& self, const store_reply& reply) {
                              if (reply.status != store_status::kDone) {
                                read_options fresh;
                                fresh.fresh_connection = true;
                                self.Later(kRetry, [=](self_type& again) {
                                  again.ReadPages(prefix, after, take, done, fresh);
                                });
                                return;
                              }
                              take(self, reply);
                              if (!reply.more || reply.items.empty()) return done(self);
                              self.ReadPages(prefix, reply.items.back().key, take, done);
                            }),
                            way);
  }

  std::optional<std::string> Unpacked(const store_item& item) {
    auto text = UnpackText(item.value);
    if (!text) {
      log_.Write(site_event::kRecordUnreadable, BootNow(),
                 absl::StrCat("key=", LogField(item.key)));
    }
    return text;
  }

  void LoadInbox(const std::string& after) {
    ReadPages(
        kInboxPrefix, after,
        [](self_type& self, const store_reply& reply) {
          // Watched from the first page on: what comes while the others are read is seen twice.
          if (self.inbox_revision_ == 0) self.inbox_revision_ = reply.revision;
          for (const store_item& item : reply.items) self.loaded_inbox_.push_back(item);
        },
        [](self_type& self) { self.LoadProgress(); });
  }

  void LoadProgress() {
    ReadPages(
        kProgressPrefix, "",
        [](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) {
            auto text = self.Unpacked(item);
            if (!text) continue;
            self.loaded_progress_[item.key.substr(std::string(kProgressPrefix).size())] =
                std::move(*text);
          }
        },
        [](self_type& self) { self.LoadOwn(); });
  }

  void LoadOwn() {
    ReadPages(
        "owner/", "",
        [](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) {
            if (item.key == kCommitKey) self.commit_revision_ = item.revision;
            if (item.key == kFleetKey) {
              const auto text = self.Unpacked(item);
              if (text) self.loaded_fleet_ = FleetFromText(*text);
            }
            if (item.key == kBehindKey) self.records_behind_ = true;
          }
        },
        [](self_type& self) { self.LoadRegistry(); });
  }

  void LoadRegistry() {
    ReadRegistry([](self_type& self) { self.Begin(); });
  }

  void Begin() {
    const monotonic_time now = BootNow();
    loaded_ = true;
    if (records_behind_) mode_.OnInherited();
    if (!vouched_ && !records_behind_ && epoch_ > 1) mode_.OnUnvouched();
    TrustRecords();
    scheduler_.OnInherited(loaded_fleet_, now);
    scheduler_.OnRegistry(registry_, now);
    // In the order of their acceptance: shares are counted along it.
    std::sort(loaded_inbox_.begin(), loaded_inbox_.end(),
              [](const store_item& a, const store_item& b) { return a.revision < b.revision; });
    for (const store_item& item : loaded_inbox_) TakeInbox(item, true);
    log_.Write(site_event::kOwnerLoaded, now,
               absl::StrCat(
                   "epoch=", epoch_, " jobs=", scheduler_.JobCount(),
                   " records=", loaded_inbox_.size(), " progress=", loaded_progress_.size(),
                   " instances=", registry_.size(), " known_before=", loaded_fleet_.size(), " ms=",
                   std::chrono::duration_cast<std::chrono::milliseconds>(now - began_).count()));
    loaded_inbox_.clear();
    loaded_progress_.clear();
    loaded_fleet_.clear();
    WatchInbox(inbox_revision_);
    Later(settings_.timing.registry_poll, [](self_type& self) { self.PollRegistry(); });
    Later(kExpiryEvery, [](self_type& self) { self.Expire(); });
    Tick();
  }

  // The records name all starts of earlier owners if none of them went on while the store was down,
  // and none has declared its records to run behind.
  void TrustRecords() {
    if (!loaded_ || records_behind_) return;
    if (earlier_dead_) scheduler_.OnEarlierOwnerDead();
    if (vouched_) scheduler_.SetRecordsComplete();
    Soon();
  }

  void TakeInbox(const store_item& item, bool inherited) {
    if (item.deleted) return;
    const monotonic_time now = BootNow();
    const std::string jobs = kJobPrefix;
    const std::string cancels = kCancelPrefix;
    if (item.key.starts_with(cancels)) {
      const std::string id = item.key.substr(cancels.size());
      cancelled_.insert(id);
      scheduler_.OnCancel(id, now);
      return;
    }
    if (!item.key.starts_with(jobs)) return;
    const std::string id = item.key.substr(jobs.size());
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(job, JobFromText(item.value));
          if (job.id != id) return leaf::new_error(durable_fault{});
          const auto progress = loaded_progress_.find(id);
          scheduler_.OnJob(std::move(job),
                           progress == loaded_progress_.end() ? std::string() : progress->second,
                           inherited, WallNow(), now);
          // A cancelling may be read before its job: the keys come in their order.
          if (cancelled_.contains(id)) scheduler_.OnCancel(id, now);
          return {};
        },
        [&] {
          log_.Write(site_event::kRecordUnreadable, now, absl::StrCat("key=", LogField(item.key)));
        });
  }

  // --- following the inbox and the registry ----------------------------------------------------

  void WatchInbox(uint64_t after) {
    const monotonic_time sent = BootNow();
    platform_.Store().Watch(kInboxPrefix, after, settings_.timing.watch_wait,
                            OnReply([after, sent](self_type& self, const store_reply& reply) {
                              self.OnInbox(reply, after, sent);
                            }));
  }

  void OnInbox(const store_reply& reply, uint64_t after, monotonic_time sent) {
    if (reply.status == store_status::kDone) {
      for (const store_item& item : reply.items) TakeInbox(item, false);
      if (!reply.items.empty()) Soon();
      const uint64_t next = std::max(after, reply.revision);
      if (!reply.items.empty() || BootNow() - sent >= kIdleWatchPause) return WatchInbox(next);
      return Later(kIdleWatchPause, [next](self_type& self) { self.WatchInbox(next); });
    }
    if (reply.status != store_status::kHistoryCompacted) {
      return Later(kRetry, [after](self_type& self) { self.WatchInbox(after); });
    }
    // What the watch missed is read in whole; jobs that are known already are left as they are.
    inbox_revision_ = 0;
    ReadPages(
        kInboxPrefix, "",
        [](self_type& self, const store_reply& page) {
          if (self.inbox_revision_ == 0) self.inbox_revision_ = page.revision;
          for (const store_item& item : page.items) self.TakeInbox(item, false);
        },
        [](self_type& self) {
          self.Soon();
          self.WatchInbox(self.inbox_revision_);
        });
  }

  void ReadRegistry(std::function<void(self_type&)> done) {
    auto reports = std::make_shared<std::vector<instance_report>>();
    registry_bytes_ = 0;
    ReadPages(
        Platform::kInstanceKeyPrefix, "",
        [reports](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) {
            self.registry_bytes_ += item.key.size() + item.value.size() + kItemBytes;
            auto report = Platform::DecodeRegistration(item.key, item.value);
            if (report) reports->push_back(std::move(*report));
          }
        },
        [reports, done](self_type& self) {
          self.registry_ = std::move(*reports);
          done(self);
        });
  }

  void PollRegistry() {
    ReadRegistry([](self_type& self) {
      self.scheduler_.OnRegistry(self.registry_, BootNow());
      self.Soon();
      const auto pause = self.hooks_.budget(BootNow()).RegistryPause(
          self.settings_.timing.registry_poll, self.registry_bytes_);
      self.Later(pause, [](self_type& again) { again.PollRegistry(); });
    });
  }

  // The instances that may run work are kept in the store: the registry loses those that are cut
  // off from it and run on.
  void NoteFleet(monotonic_time now) {
    if (now < next_fleet_look_) return;
    next_fleet_look_ = now + kFleetLook;
    auto fleet = fleet_record_.Update(scheduler_.Fleet(), now);
    if (!fleet) return;
    fleet_text_ = FleetToText(*fleet);
    fleet_ = std::move(*fleet);
    fleet_unstored_ = true;
  }

  // --- decisions ---------------------------------------------------------------------------------

  void Tick() {
    Decide();
    Later(kTick, [](self_type& self) { self.Tick(); });
  }

  void Soon() {
    if (soon_ || !loaded_) return;
    soon_ = true;
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(next_decide_ - BootNow());
    Later(std::max(hooks_.budget(BootNow()).RoundPause(kSoon), rest), [](self_type& self) {
      self.soon_ = false;
      self.Decide();
    });
  }

  void Decide() {
    const monotonic_time now = BootNow();
    if (now < next_decide_ || !hooks_.may_act(now)) return;
    if (committing_) mode_.OnWaiting(WaitedSince(last_commit_, now));
    FollowMode(now);
    const owner_budget& budget = hooks_.budget(now);
    scheduler_.SetStartsInFlight(budget.StartsInFlight(most_starts_));
    scheduler_.SetListingPause(budget.ListingPause(kListingPause));
    // A call waits for its turn, and its answer to be read.
    const auto late = 2 * std::max(loop_.Delay(), platform_.Instances().Delay());
    scheduler_.SetOwnDelay(late < kOwnDelayMatters ? std::chrono::milliseconds{0}
                                                   : std::min(late, kMostOwnDelay));
    scheduler_orders orders = scheduler_.Decide(WallNow(), now);
    for (const start_order& order : orders.starts) SendStart(order);
    for (const stop_order& order : orders.stops) SendStop(order);
    for (const pace_order& order : orders.paces) SendPace(order);
    for (const list_order& order : orders.listings) SendListing(order);
    for (advice_order& order : orders.advice) hooks_.ask_advice(std::move(order));
    WriteNotes(scheduler_.TakeNotes(), log_, now);
    const auto spent = BootNow() - now;
    // A round costs more the more waits. Without a pause after it, a backlog would take all the
    // processor, answers would be read too late, and what they were about would be given up.
    next_decide_ = BootNow() + kRestPerRound * spent;
    decide_time_ += spent;
    numbers_.decide_seconds.Observe(std::chrono::duration<double>(spent).count());
    numbers_.jobs.Set(static_cast<double>(scheduler_.JobCount()));
    numbers_.runs.Set(static_cast<double>(scheduler_.RunCount()));
    Commit();
  }

  static std::chrono::milliseconds WaitedSince(monotonic_time since, monotonic_time now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
  }

  // True when the answer ends this ownership.
  bool Fenced(order_result result, const order_target& to) {
    if (result != order_result::kFenced) return false;
    hooks_.superseded(absl::StrCat("instance ", to.instance, " has seen a higher epoch"));
    return true;
  }

  void SendStart(const start_order& order) {
    start_order remembered = order;
    remembered.payload.clear();
    const job_entry* entry = scheduler_.Find(order.key.job);
    hooks_.start(order, entry == nullptr ? std::string() : entry->job.accepted_by,
                 OnAnswer([order = std::move(remembered)](self_type& self, order_answer answer) {
                   self.numbers_.CountOrder("start", std::string(ToText(answer.result)));
                   if (self.Fenced(answer.result, order.to)) return;
                   self.scheduler_.OnStartAnswer(order, answer, BootNow());
                   if (self.scheduler_.StartsPlanned()) self.SendRecordedStarts(BootNow());
                   if (answer.result != order_result::kDone) self.Soon();
                 }));
  }

  void SendStop(const stop_order& order) {
    platform_.Instances().Stop(
        order, epoch_, OnAnswer([order](self_type& self, order_answer answer) {
          self.numbers_.CountOrder("stop", std::string(ToText(answer.result)));
          if (self.Fenced(answer.result, order.to)) return;
          self.scheduler_.OnStopAnswer(order, answer, BootNow());
        }));
  }

  void SendPace(const pace_order& order) {
    platform_.Instances().Pace(
        order, epoch_, OnAnswer([order](self_type& self, order_answer answer) {
          self.numbers_.CountOrder("pace", std::string(ToText(answer.result)));
          if (self.Fenced(answer.result, order.to)) return;
          self.scheduler_.OnPaceAnswer(order, answer, BootNow());
        }));
  }

  void SendListing(const list_order& order) {
    const monotonic_time sent = BootNow();
    std::function<void(self_type&, std::optional<instance_listing>, order_result)> done =
        [order, sent](self_type& self, std::optional<instance_listing> listing,
                      order_result result) {
          self.numbers_.CountOrder("list", std::string(ToText(result)));
          if (self.Fenced(result, order.to)) return;
          if (!listing) {
            self.scheduler_.OnNoListing(order, result, BootNow());
            return;
          }
          for (const ended_row& row : listing->ended) {
            self.numbers_.CountEnd(std::string(ToText(row.how)));
          }
          self.scheduler_.OnListing(order, *listing, sent, BootNow());
          self.Soon();
        };
    platform_.Instances().List(
        order, epoch_, Here<std::optional<instance_listing>, order_result>(std::move(done)));
  }

  // --- storing -----------------------------------------------------------------------------------

  // Each change holds only while this entry owns the site and no other change of its own came
  // between: one that the store carries out late finds that and does nothing.
  std::string CommitName() const { return absl::StrCat(epoch_, ".", commit_number_); }
  store_write Guarded() const {
    store_write write;
    write.expected = {{kOwnerKey, owner_revision_}, {kCommitKey, commit_revision_}};
    write.puts.push_back({kCommitKey, CommitName(), {}});
    return write;
  }

  void Commit() {
    const monotonic_time now = BootNow();
    const owner_budget& budget = hooks_.budget(now);
    const auto pause =
        scheduler_.StartsPlanned() ? budget.RoundPause(kBetweenStartCommits) : kBetweenCommits;
    if (committing_ || now < next_commit_ || now < last_commit_ + pause) return;
    NoteFleet(now);
    const size_t most = Platform::kMostInOneChange - kOwnEntries;
    std::vector<job_progress_write> writes = scheduler_.TakeUnstored(most, budget.RecordBytes());
    const bool declares = mode_.WantsDeclared();
    const bool withdraws = !declares && mode_.WantsWithdrawn(scheduler_.RecordsKnown());
    if (writes.empty() && !fleet_unstored_ && expired_.empty() && !declares && !withdraws) return;
    store_write change = Guarded();
    if (declares) change.puts.push_back({kBehindKey, absl::StrCat(epoch_), {}});
    if (withdraws) change.deletes.push_back(kBehindKey);
    declares_ = declares;
    withdraws_ = withdraws;
    for (const job_progress_write& write : writes) {
      change.puts.push_back({kProgressPrefix + write.job, PackText(write.text), {}});
    }
    std::optional<std::vector<instance_report>> fleet;
    if (std::exchange(fleet_unstored_, false)) {
      change.puts.push_back({kFleetKey, PackText(fleet_text_), {}});
      fleet = fleet_;
    }
    // Deletes go alone: three keys a job would not leave room for progress.
    std::vector<std::string> expired;
    if (writes.empty() && !withdraws) {
      const size_t count = std::min(expired_.size(), kExpireAtOnce);
      const auto end = expired_.begin() + static_cast<std::ptrdiff_t>(count);
      expired.assign(expired_.begin(), end);
      expired_.erase(expired_.begin(), end);
      for (const std::string& id : expired) {
        change.deletes.push_back(kJobPrefix + id);
        change.deletes.push_back(kCancelPrefix + id);
        change.deletes.push_back(kProgressPrefix + id);
      }
    }
    committing_ = true;
    last_commit_ = now;
    committed_writes_ = std::move(writes);
    committed_expired_ = std::move(expired);
    committed_fleet_ = std::move(fleet);
    platform_.Store().Commit(
        change, OnReply([number = commit_number_](self_type& self, const store_reply& reply) {
          self.OnCommitted(number, reply);
        }));
    Later(kProbeAfter, [number = commit_number_](self_type& self) { self.ProbeCommit(number); });
  }

  void ProbeCommit(uint64_t number) {
    if (!committing_ || number != commit_number_) return;
    platform_.Store().Get(
        kCommitKey, OnReply([number](self_type& self, const store_reply& reply) {
          if (!self.committing_ || number != self.commit_number_) return;
          const bool done = reply.status == store_status::kDone && !reply.items.empty() &&
                            reply.items.front().value == self.CommitName();
          if (!done) {
            self.Later(kProbeAfter, [number](self_type& again) { again.ProbeCommit(number); });
            return;
          }
          store_reply found;
          found.status = store_status::kDone;
          found.revision = reply.items.front().revision;
          self.OnCommitted(number, found);
        }));
  }

  void OnCommitted(uint64_t number, const store_reply& reply) {
    // A probe may have told it before the answer came.
    if (!committing_ || number != commit_number_) return;
    committing_ = false;
    ++commit_number_;
    const std::vector<job_progress_write> writes = std::move(committed_writes_);
    const std::vector<std::string> expired = std::move(committed_expired_);
    const std::optional<std::vector<instance_report>> fleet = std::move(committed_fleet_);
    const monotonic_time sent = last_commit_;
    const monotonic_time now = BootNow();
    numbers_.CountStoreCall("commit", reply.status == store_status::kDone ? "done" : "not_done");
    if (reply.status == store_status::kDone) {
      commit_revision_ = reply.revision;
      OnModeStored(WaitedSince(sent, now), now);
      scheduler_.OnStored(writes);
      if (fleet) scheduler_.OnFleetStored(*fleet);
      log_.Write(
          site_event::kProgressStored, now,
          absl::StrCat("jobs=", writes.size(), " revision=", reply.revision, " ms=",
                       std::chrono::duration_cast<std::chrono::milliseconds>(now - sent).count()));
      SendRecordedStarts(now);
      Soon();
      return Commit();
    }
    scheduler_.OnNotStored(writes);
    expired_.insert(expired_.end(), expired.begin(), expired.end());
    fleet_unstored_ = fleet_unstored_ || fleet.has_value();
    next_commit_ = now + kCommitRetry;
    if (reply.status != store_status::kConflict) return;
    for (const store_item& item : reply.items) {
      // The change before this one was carried out though its answer was lost.
      if (item.key == kCommitKey) commit_revision_ = item.revision;
      if (item.key == kOwnerKey && item.revision != owner_revision_) {
        return hooks_.superseded("the store names another owner");
      }
    }
  }

  void FollowMode(monotonic_time now) {
    const bool store_down = hooks_.store_down_for_all(now);
    scheduler_.SetUnrecordedStarts(!mode_.StartsWait() || store_down);
    // With the store down for all, nothing newer can have been acknowledged.
    scheduler_.HoldStarts(!hooks_.version_confirmed(now) && !store_down);
  }

  void OnModeStored(std::chrono::milliseconds took, monotonic_time now) {
    mode_.OnChange(took, now);
    FollowMode(now);
    if (std::exchange(declares_, false)) {
      mode_.OnDeclared();
      log_.Write(site_event::kRecordsBehind, now, absl::StrCat("declared=1 ms=", took.count()));
    }
    if (std::exchange(withdraws_, false)) {
      records_behind_ = false;
      mode_.OnWithdrawn();
      log_.Write(site_event::kRecordsBehind, now, absl::StrCat("declared=0 ms=", took.count()));
    }
  }

  void SendRecordedStarts(monotonic_time now) {
    if (!hooks_.may_act(now)) return;
    for (const start_order& order : scheduler_.TakeStarts(now)) SendStart(order);
  }

  void Expire() {
    for (std::string& id : scheduler_.TakeExpired(BootNow(), kExpireAtOnce)) {
      cancelled_.erase(id);
      expired_.push_back(std::move(id));
    }
    Later(kExpiryEvery, [](self_type& self) { self.Expire(); });
  }

  Platform& platform_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& numbers_;
  const site_settings& settings_;
  const uint64_t epoch_;
  const uint64_t owner_revision_;
  owner_hooks hooks_;
  const uint32_t most_starts_;
  job_scheduler scheduler_;
  bool ended_ = false;
  bool loaded_ = false;
  bool soon_ = false;
  monotonic_time began_{};
  monotonic_time next_decide_{};
  monotonic_time::duration decide_time_{0};
  // While the records are read:
  std::vector<store_item> loaded_inbox_;
  std::map<std::string, std::string> loaded_progress_;
  std::vector<instance_report> loaded_fleet_;
  uint64_t inbox_revision_ = 0;

  std::vector<instance_report> registry_;
  size_t registry_bytes_ = 0;        // of its last read
  std::set<std::string> cancelled_;  // until their jobs are forgotten
  uint64_t commit_revision_ = 0;
  record_mode mode_;
  bool records_behind_ = false;  // as an earlier owner declared
  bool earlier_dead_ = false;    // its process is gone
  bool vouched_ = false;         // that no owner went on while the store was down
  bool declares_ = false;        // the change on its way does
  bool withdraws_ = false;
  bool committing_ = false;
  uint64_t commit_number_ = 1;  // of the change on its way, or of the next one
  monotonic_time last_commit_{};
  monotonic_time next_commit_{};  // not before, after one that failed
  // What the change on its way holds:
  std::vector<job_progress_write> committed_writes_;
  std::vector<std::string> committed_expired_;
  std::optional<std::vector<instance_report>> committed_fleet_;
  fleet_record fleet_record_;
  monotonic_time next_fleet_look_{};
  std::string fleet_text_;
  std::vector<instance_report> fleet_;  // what fleet_text_ says
  bool fleet_unstored_ = false;
  std::vector<std::string> expired_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_OWNER_H_
