// The work of the entry that owns the site: reads all records, then runs the scheduler, sends its
// commands, stores its progress and follows the inbox and the registry until the ownership ends.
//
// One object serves one ownership and runs on the loop's thread: answers that arrive after its end
// are dropped.
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

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "connection/thread_cpu_clock.h"
#include "process/admission/entry_admission.h"
#include "process/admission/figures_source.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/event_loop.h"
#include "process/site/fleet_record.h"
#include "process/site/instance_registry.h"
#include "process/site/listing_age.h"
#include "process/site/owner_budget.h"
#include "process/site/owner_learning.h"
#include "process/site/owner_options.h"
#include "process/site/range_reader.h"
#include "process/site/record_mode.h"
#include "process/site/site_log.h"
#include "process/site/site_membership.h"
#include "process/site/site_metrics.h"
#include "process/site/site_platform.h"
#include "process/site/site_records.h"
#include "process/site/site_settings.h"
#include "process/site/start_messages.h"
#include "request/text_compression.h"

namespace catkinford {

struct owner_hooks {
  // An instance or the store has reported a later owner, so this ownership is over.
  std::function<void(const std::string& why)> superseded;
  // False while another entry may own the site: a process that resumes after a pause still has
  // commands to send, and an instance that the next owner cannot reach would accept them.
  std::function<bool(monotonic_time now)> may_act;
  // True while the store is known to be down for all entries: no entry can take the site over, and
  // starts are sent without their records.
  std::function<bool(monotonic_time now)> store_down_for_all;
  // True while this entry's configuration is known to be in effect.
  std::function<bool(monotonic_time now)> version_confirmed;
  // Queries a queue's policy; the answer goes to OnAdvice().
  std::function<void(advice_query)> request_advice;
  // Sends a start to its instance, directly or through the entry that accepted the job.
  std::function<void(start_command, const std::string& accepted_by, command_callback)> start;
  // The registry was read.
  std::function<void(const std::vector<instance_report>&)> registry_read;
  // The load that this entry can still take, as of `now`.
  std::function<const owner_budget&(monotonic_time now)> budget;
  // The number of entries of the site.
  std::function<size_t()> entry_count;
};

// Processor time of the loop's thread, by part of a round of decisions.
struct decision_costs {
  std::chrono::microseconds plan{0};    // the decisions themselves
  std::chrono::microseconds send{0};    // handing the commands to their clients
  std::chrono::microseconds notes{0};   // log lines
  std::chrono::microseconds record{0};  // writing the progress and sending the change
};

// Writes the scheduler's notes to the log.
void WriteNotes(const std::vector<scheduler_event>& notes, site_log& log, monotonic_time now);

// Counts of what an owner has handled.
struct owner_work {
  uint64_t rounds = 0;    // of decisions
  uint64_t starts = 0;    // commands sent
  uint64_t listings = 0;  // answered
  uint64_t ends = 0;      // of runs, in listings
  uint64_t queries = 0;   // to policies
  uint64_t steps_seen = 0;
};

template <site_platform Platform>
class site_owner : public std::enable_shared_from_this<site_owner<Platform>> {
 public:
  site_owner(Platform& platform, event_loop& loop, site_log& log, site_metrics& metrics,
             const site_settings& settings, uint64_t epoch, uint64_t owner_revision,
             bool earlier_owner_may_act, owner_hooks hooks)
      : platform_(platform),
        loop_(loop),
        log_(log),
        metrics_(metrics),
        settings_(settings),
        epoch_(epoch),
        owner_revision_(owner_revision),
        hooks_(std::move(hooks)),
        max_starts_in_flight_(OwnerOptions(settings, earlier_owner_may_act).starts_in_flight),
        scheduler_(OwnerOptions(settings, earlier_owner_may_act), epoch, BootNow()),
        figures_(epoch),
        registry_(log, metrics),
        learning_(settings.learning.persist, log) {}

  // `handover`: of this process's own previous ownership, if no other owner was in between.
  void Start(std::shared_ptr<const site_configuration> version, scheduler_handover handover) {
    load_started_ = BootNow();
    handover_ = std::move(handover);
    handover_at_ = load_started_;
    version_ = version;
    scheduler_.SetVersion(std::move(version));
    LoadInbox();
  }
  // Called before Start(): scheduling begins once the former owner's answer is there, but at most
  // kHandoverWait after the records are read.
  void AwaitHandover() { handover_awaited_ = true; }
  // The answer of the former owner's process; nothing if there is none to use. Returns false if it
  // came too late.
  bool OnHandover(std::optional<scheduler_handover> handover) {
    if (handover) {
      if (loaded_) scheduler_.OnLeaseWaits(handover->waits, BootNow());
      if (!loaded_) handover_ = std::move(*handover);
      handover_at_ = BootNow();
    }
    if (!std::exchange(handover_awaited_, false)) return false;
    if (records_read_) BeginScheduling();
    return true;
  }
  // Ends the ownership: no more commands are sent, and pending answers are dropped.
  void End() { ownership_ended_ = true; }
  scheduler_handover HandOver() const {
    // An owner that has sent no command leaves what it was told.
    if (!loaded_) return {false, {}, {}, handover_.waits};
    scheduler_handover out = scheduler_.HandOver(BootNow());
    out.learned = learning_.Learned(scheduler_, WallNow());
    return out;
  }

  void SetVersion(std::shared_ptr<const site_configuration> version) {
    version_ = version;
    scheduler_.SetVersion(std::move(version));
    ScheduleDecision();
  }
  void SetEvacuated(const std::set<std::string>& domains) {
    scheduler_.SetEvacuated(domains);
    ScheduleDecision();
  }
  // Direct notifications of inbox changes, ahead of the watch.
  void OnJobStored(const std::string& id, const std::string& record) {
    if (!loaded_) return;
    ApplyInboxItem({kJobPrefix + id, record}, false);
    ScheduleDecision();
  }
  void OnCancelStored(const std::string& id) {
    if (!loaded_) return;
    ApplyInboxItem({kCancelPrefix + id, {}}, false);
    ScheduleDecision();
  }
  // This entry or another one has confirmed that no earlier owner sent unrecorded starts.
  void OnRecordsComplete() {
    records_confirmed_ = true;
    if (records_read_ && !loaded_ && !MustAwaitHandover()) BeginScheduling();
    UpdateRecordTrust();
  }
  void OnEarlierOwnerDead() {
    if (!earlier_owner_dead_at_) earlier_owner_dead_at_ = BootNow();
    UpdateRecordTrust();
  }
  bool Loaded() const { return loaded_; }
  // Empty while the records are still being read.
  std::optional<graph_phase> PhaseOf(const std::string& job) const {
    if (!loaded_) return std::nullopt;
    const job_entry* entry = scheduler_.Find(job);
    if (entry == nullptr) return std::nullopt;
    return entry->VisiblePhase();
  }
  size_t Pending(const std::string& queue) const { return scheduler_.Pending(queue); }
  void OnAdvice(const advice_query& request, const advice_answer& answer) {
    scheduler_.OnAdvice(request, answer, BootNow());
    ScheduleDecision();
  }
  bool RefreshQuery(advice_query& query) { return scheduler_.RefreshQuery(query, BootNow()); }
  // Time spent on decisions since the last call.
  std::chrono::milliseconds TakeDecideTime() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::exchange(decide_time_, monotonic_time::duration{0}));
  }
  // Where the processor time of decisions went since the last call.
  decision_costs TakeDecisionCosts() { return std::exchange(decision_costs_, {}); }
  // The longest age of a listing, when it was handled, since the last call.
  std::chrono::milliseconds TakeLongestListingAge() {
    return std::exchange(longest_listing_age_, std::chrono::milliseconds{0});
  }
  // What was handled since the last call, as log fields.
  std::string TakeWorkFields() {
    const owner_work now{work_.rounds, work_.starts,  work_.listings,
                         work_.ends,   work_.queries, scheduler_.StepsSeen()};
    const owner_work last = std::exchange(reported_work_, now);
    return absl::StrCat(" rounds=", now.rounds - last.rounds, " starts=", now.starts - last.starts,
                        " listings=", now.listings - last.listings, " ends=", now.ends - last.ends,
                        " queries=", now.queries - last.queries,
                        " steps_seen=", now.steps_seen - last.steps_seen);
  }
  // What that entry may accept; nothing while it is not known or admission is switched off.
  std::optional<admission_figures> FiguresFor(const std::string& entry) const {
    if (!loaded_ || !settings_.overload.enabled) return std::nullopt;
    return figures_.For(entry, BootNow());
  }
  // True when no change is being stored.
  bool Settled() const { return !commit_in_flight_; }

 private:
  using self_type = site_owner<Platform>;

  static constexpr std::chrono::milliseconds kRetry{150};
  // The timeout of calls between entries: an answer that takes longer is rarely there at all.
  static constexpr std::chrono::milliseconds kHandoverWait{400};
  static constexpr std::chrono::milliseconds kDecisionInterval{50};
  // Events that arrive within this time are handled in one round of decisions.
  static constexpr std::chrono::milliseconds kDecisionDelay{3};
  static constexpr int kIdlePerDecisionTime = 3;  // limits decisions to a quarter of the time
  // Ends of runs are stored in batches: a write for each would use up most of the store's rate.
  static constexpr std::chrono::milliseconds kCommitInterval{60};
  // Starts wait for their records, so a change that holds starts follows as soon as the one before
  // it is stored. A change takes about 10 ms, which makes this some 60 writes a second at most.
  static constexpr std::chrono::milliseconds kStartCommitInterval{6};
  // After this time without an answer the change is looked up in the store: the answer may be lost,
  // and everything that depends on it would otherwise wait for the call's timeout.
  static constexpr std::chrono::milliseconds kProbeDelay{150};
  static constexpr std::chrono::milliseconds kCommitRetry{150};
  static constexpr std::chrono::milliseconds kExpiryInterval{2000};
  static constexpr std::chrono::milliseconds kFleetCheckInterval{100};
  // Goes through the active jobs, so not per arrival; entries ask every 500 ms.
  static constexpr std::chrono::milliseconds kFiguresInterval{200};
  // Between two listings of an instance: ends within this time are reported together, and each
  // listing has a cost.
  static constexpr std::chrono::milliseconds kListingPause{120};
  // The local delay is added to the time limits for other processes, up to this value.
  static constexpr std::chrono::milliseconds kMaxLocalDelay{1500};
  static constexpr std::chrono::milliseconds kMinLocalDelay{40};
  // The store is not down for all if it has answered this owner within this time, whatever the
  // other entries have reported before: its answer may hold jobs that a next owner has started.
  static constexpr std::chrono::milliseconds kStoreSilence{700};
  static constexpr std::chrono::milliseconds kIdleWatchPause{50};
  // A read that was answered before a change may reach this process this much later.
  static constexpr std::chrono::milliseconds kReadsInFlight{10000};
  static constexpr size_t kMaxExpiredPerCommit = 8;  // jobs; three keys each
  // The owner's own conditions and keys in each change: two conditions, and the keys of the
  // commit, the fleet, asynchronous records and what was learned.
  static constexpr size_t kReservedEntries = 6;

  // Runs `done` on the loop's thread, unless this ownership is over by then.
  template <typename... Args>
  std::function<void(Args...)> OnLoop(std::function<void(self_type&, Args...)> done) {
    std::weak_ptr<self_type> weak = this->weak_from_this();
    event_loop& loop = loop_;
    // Called once, so that `done` and what it holds need no copy.
    return [weak, &loop, done = std::move(done)](Args... args) mutable {
      loop.Post([weak, done = std::move(done), ... held = std::move(args)]() mutable {
        const std::shared_ptr<self_type> self = weak.lock();
        if (self != nullptr && !self->ownership_ended_) done(*self, std::move(held)...);
      });
    };
  }
  store_callback OnReply(std::function<void(self_type&, store_reply)> done) {
    std::function<void(self_type&, store_reply)> noted = [done = std::move(done)](
                                                             self_type& self, store_reply reply) {
      if (IsAnswer(reply)) self.store_answered_ = BootNow();
      done(self, std::move(reply));
    };
    return OnLoop<store_reply>(std::move(noted));
  }
  command_callback OnAnswer(std::function<void(self_type&, command_answer)> done) {
    return OnLoop<command_answer>(std::move(done));
  }
  void RunAfter(std::chrono::milliseconds delay, std::function<void(self_type&)> task) {
    std::weak_ptr<self_type> weak = this->weak_from_this();
    loop_.After(delay, [weak, task = std::move(task)] {
      const std::shared_ptr<self_type> self = weak.lock();
      if (self != nullptr && !self->ownership_ended_) task(*self);
    });
  }

  // --- reading the records -------------------------------------------------------------------

  // A failed page is read again on a new connection: the pooled ones may all be dead, and each
  // would cost a timeout.
  void ReadPage(const std::string& prefix, const std::string& after,
                std::function<void(store_reply)> done, const read_options& way = {}) {
    platform_.Store().Range(prefix, after, OnReply([=](self_type& self, store_reply reply) {
                              if (IsPage(reply, after)) return done(std::move(reply));
                              read_options fresh;
                              fresh.fresh_connection = true;
                              self.RunAfter(kRetry, [=](self_type& again) {
                                again.ReadPage(prefix, after, done, fresh);
                              });
                            }),
                            way);
  }

  void ReadPages(const std::string& prefix,
                 std::function<void(self_type&, const store_reply&)> take,
                 std::function<void(self_type&)> done) {
    ReadRange(
        "",
        [=, this](const std::string& last, std::function<void(store_reply)> page) {
          ReadPage(prefix, last, std::move(page));
        },
        [take, this](const store_reply& page) { take(*this, page); },
        [done, this](const store_reply&) { done(*this); });
  }

  std::optional<std::string> Unpacked(const store_item& item) {
    auto text = DecompressText(item.value);
    if (!text) {
      log_.Write(site_event::kRecordUnreadable, BootNow(),
                 absl::StrCat("key=", LogField(item.key)));
    }
    return text;
  }

  void LoadInbox() {
    ReadPages(
        kInboxPrefix,
        [](self_type& self, const store_reply& reply) {
          self.inbox_revision_ = reply.revision;
          for (const store_item& item : reply.items) self.loaded_inbox_.push_back(item);
        },
        [](self_type& self) { self.LoadProgress(); });
  }

  void LoadProgress() {
    ReadPages(
        kProgressPrefix,
        [](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) {
            auto text = self.Unpacked(item);
            if (!text) continue;
            self.loaded_progress_[item.key.substr(std::string(kProgressPrefix).size())] =
                std::move(*text);
          }
        },
        [](self_type& self) { self.LoadOwnerRecords(); });
  }

  void LoadOwnerRecords() {
    ReadPages(
        "owner/",
        [](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) {
            if (item.key == kCommitKey) self.commit_revision_ = item.revision;
            if (item.key == kFleetKey) {
              const auto text = self.Unpacked(item);
              if (text) self.loaded_fleet_ = FleetFromText(*text);
            }
            if (item.key == kAsyncRecordsKey) self.inherited_async_ = true;
            if (item.key == kLearnedKey) {
              const auto text = self.Unpacked(item);
              if (text) self.learning_.OnRecord(*text, WallNow(), BootNow());
            }
          }
        },
        [](self_type& self) { self.LoadRegistry(); });
  }

  void LoadRegistry() {
    ReadRegistry([](self_type& self) {
      self.records_read_ = true;
      if (!self.MustAwaitHandover()) return self.BeginScheduling();
      self.RunAfter(kHandoverWait, [](self_type& late) {
        if (!late.loaded_) late.BeginScheduling();
      });
    });
  }

  // Records that are known to be complete need no handover.
  bool MustAwaitHandover() const {
    return handover_awaited_ && (!records_confirmed_ || inherited_async_);
  }

  void BeginScheduling() {
    const monotonic_time now = BootNow();
    handover_awaited_ = false;
    loaded_ = true;
    if (inherited_async_) record_mode_.OnInherited();
    if (!records_confirmed_ && !inherited_async_ && epoch_ > 1) record_mode_.OnUnconfirmedStarts();
    UpdateRecordTrust();
    // Holds also if records were declared asynchronous: this process sent the starts that they
    // lack.
    if (handover_.complete) scheduler_.SetRecordsComplete();
    for (auto& [id, progress] : handover_.progress) loaded_progress_[id] = std::move(progress);
    scheduler_.OnInherited(loaded_fleet_, now);
    scheduler_.OnLeaseWaits(handover_.waits, handover_at_);
    scheduler_.OnRegistry(registry_.Usable(), now);
    learning_.Load(handover_.learned, scheduler_, WallNow(), now);
    // In the order of acceptance, which the accounting of shares depends on.
    std::sort(loaded_inbox_.begin(), loaded_inbox_.end(),
              [](const store_item& a, const store_item& b) { return a.revision < b.revision; });
    for (const store_item& item : loaded_inbox_) ApplyInboxItem(item, true);
    for (const auto& [id, progress] : handover_.progress) scheduler_.OnUnstoredProgress(id);
    log_.Write(
        site_event::kOwnerLoaded, now,
        absl::StrCat(
            "epoch=", epoch_, " jobs=", scheduler_.JobCount(), " records=", loaded_inbox_.size(),
            " progress=", loaded_progress_.size(), " instances=", registry_.Usable().size(),
            " known_before=", loaded_fleet_.size(), " handed_over=", handover_.progress.size(),
            " all_known=", handover_.complete, " ms=",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - load_started_).count()));
    loaded_inbox_.clear();
    loaded_progress_.clear();
    loaded_fleet_.clear();
    handover_ = {};
    WatchInbox(inbox_revision_);
    RunAfter(settings_.timing.registry_poll, [](self_type& self) { self.PollRegistry(); });
    RunAfter(kExpiryInterval, [](self_type& self) { self.CollectExpired(); });
    if (settings_.overload.enabled) UpdateFigures();
    Tick();
  }

  // The records name all starts of earlier owners if no owner continued while the store was down
  // and none declared asynchronous records.
  void UpdateRecordTrust() {
    if (!loaded_ || inherited_async_) return;
    if (earlier_owner_dead_at_) scheduler_.OnEarlierOwnerDead(*earlier_owner_dead_at_);
    if (records_confirmed_) scheduler_.SetRecordsComplete();
    ScheduleDecision();
  }

  void ApplyInboxItem(const store_item& item, bool inherited) {
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
    if (deleting_.contains(id)) return;
    // Each job is reported at least twice, and its record is long.
    if (scheduler_.Find(id) != nullptr) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(job, JobFromText(item.value));
          if (job.id != id) return leaf::new_error(record_parse_error{});
          const auto progress = loaded_progress_.find(id);
          scheduler_.OnJob(std::move(job),
                           progress == loaded_progress_.end() ? std::string() : progress->second,
                           inherited, WallNow(), now);
          NoteArrival(id, inherited, now);
          // A cancellation may be read before its job: items arrive in the order of their keys.
          if (cancelled_.contains(id)) scheduler_.OnCancel(id, now);
          return {};
        },
        [&] {
          log_.Write(site_event::kRecordUnreadable, now, absl::StrCat("key=", LogField(item.key)));
        });
  }

  // --- admission: see admission/figures_source.h
  // ---------------------------------------------------

  void NoteArrival(const std::string& id, bool inherited, monotonic_time now) {
    const job_entry* entry = scheduler_.Find(id);
    if (!settings_.overload.enabled || entry == nullptr || entry->queue == nullptr) return;
    const graph_job& job = entry->job;
    const submission asked = SubmissionOf(job);
    if (!asked.time_bound) return;
    accepted_job arrived;
    arrived.id = job.id;
    arrived.queue = job.queue;
    arrived.service = entry->queue->jobs.service;
    arrived.workspace = job.workspace;
    arrived.entry = job.accepted_by;
    arrived.priority = entry->queue->jobs.priority;
    const workspace_config* workspace =
        version_ == nullptr ? nullptr : version_->WorkspaceNamed(job.workspace);
    if (workspace == nullptr || workspace->weight <= 0) return;
    arrived.share = workspace->weight;
    arrived.beyond = entry->beyond_share;
    arrived.inherited = inherited || entry->inherited;
    arrived.useful = asked.useful;
    arrived.work = scheduler_.ExpectedWork(job);
    arrived.step.need = asked.largest;
    for (const step_spec& step : job.steps) {
      arrived.step.tasks = std::max(arrived.step.tasks, step.count);
    }
    figures_.OnJob(arrived, now);
  }

  void UpdateFigures() {
    const monotonic_time now = BootNow();
    figures_.Update(scheduler_.LoadView(now), hooks_.entry_count(), now);
    for (const auto& [queue, wait] : figures_.Waits()) metrics_.SetForecastWait(queue, wait);
    RunAfter(kFiguresInterval, [](self_type& self) { self.UpdateFigures(); });
  }

  void NoteStart(const std::string& job) {
    const auto waited = figures_.OnStart(job, BootNow());
    if (!waited) return;
    const std::chrono::duration<double> error = waited->actual - waited->forecast;
    metrics_.forecast_error_seconds.Observe(error.count());
  }

  // Reads the record of a job of which an instance lists a run or an end.
  void ReadUnknownJob(const std::string& id) {
    if (!IsGraphId(id)) return scheduler_.OnJobAbsent(id, BootNow());
    platform_.Store().Get(
        kJobPrefix + id, OnReply([id](self_type& self, const store_reply& reply) {
          const bool found = reply.status == store_status::kDone && !reply.items.empty();
          if (found) return self.ReadUnknownCancel(id, reply.items.front());
          if (reply.status == store_status::kAbsent) {
            return self.scheduler_.OnJobAbsent(id, BootNow());
          }
          self.RunAfter(kRetry, [id](self_type& again) { again.ReadUnknownJob(id); });
        }));
  }

  void ReadUnknownCancel(const std::string& id, const store_item& job) {
    platform_.Store().Get(
        kCancelPrefix + id, OnReply([id, job](self_type& self, const store_reply& reply) {
          if (reply.status != store_status::kDone && reply.status != store_status::kAbsent) {
            self.RunAfter(kRetry,
                          [id, job](self_type& again) { again.ReadUnknownCancel(id, job); });
            return;
          }
          self.ApplyInboxItem(job, true);
          for (const store_item& item : reply.items) self.ApplyInboxItem(item, true);
          // Not known even now: its record is malformed, or about to be deleted.
          if (self.scheduler_.Find(id) == nullptr) self.scheduler_.OnJobAbsent(id, BootNow());
          self.ScheduleDecision();
        }));
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
      for (const store_item& item : reply.items) ApplyInboxItem(item, false);
      if (!reply.items.empty()) ScheduleDecision();
      const uint64_t next = std::max(after, reply.revision);
      if (!reply.items.empty() || BootNow() - sent >= kIdleWatchPause) return WatchInbox(next);
      return RunAfter(kIdleWatchPause, [next](self_type& self) { self.WatchInbox(next); });
    }
    if (reply.status != store_status::kHistoryCompacted) {
      return RunAfter(kRetry, [after](self_type& self) { self.WatchInbox(after); });
    }
    // The watch missed changes, so the whole inbox is read again; known jobs are left as they are.
    ReadPages(
        kInboxPrefix,
        [](self_type& self, const store_reply& page) {
          self.inbox_revision_ = page.revision;
          for (const store_item& item : page.items) self.ApplyInboxItem(item, false);
        },
        [](self_type& self) {
          self.ScheduleDecision();
          self.WatchInbox(self.inbox_revision_);
        });
  }

  void ReadRegistry(std::function<void(self_type&)> done) {
    registry_.Begin();
    ReadPages(
        Platform::kInstanceKeyPrefix,
        [](self_type& self, const store_reply& reply) {
          for (const store_item& item : reply.items) self.registry_.Add(item, BootNow());
        },
        [done](self_type& self) {
          self.registry_.End(BootNow());
          self.hooks_.registry_read(self.registry_.Usable());
          done(self);
        });
  }

  void PollRegistry() {
    ReadRegistry([](self_type& self) {
      self.scheduler_.OnRegistry(self.registry_.Usable(), BootNow());
      self.ScheduleDecision();
      const auto pause = self.hooks_.budget(BootNow()).RegistryPause(
          self.settings_.timing.registry_poll, self.registry_.Bytes());
      self.RunAfter(pause, [](self_type& again) { again.PollRegistry(); });
    });
  }

  // The instances that may run work are kept in the store: one that is cut off from the registry
  // disappears from it and keeps running.
  void UpdateFleetRecord(monotonic_time now) {
    if (now < next_fleet_check_) return;
    next_fleet_check_ = now + kFleetCheckInterval;
    auto fleet = fleet_record_.Update(scheduler_.InUse(), now);
    if (!fleet) return;
    fleet_text_ = FleetToText(*fleet);
    fleet_ = std::move(*fleet);
    fleet_unstored_ = true;
  }

  // --- decisions ---------------------------------------------------------------------------------

  void Tick() {
    Decide();
    RunAfter(kDecisionInterval, [](self_type& self) { self.Tick(); });
  }

  void ScheduleDecision() {
    if (decision_scheduled_ || !loaded_) return;
    decision_scheduled_ = true;
    const auto min_wait =
        std::chrono::ceil<std::chrono::milliseconds>(next_decision_at_ - BootNow());
    RunAfter(std::max(hooks_.budget(BootNow()).RoundPause(kDecisionDelay), min_wait),
             [](self_type& self) {
               self.decision_scheduled_ = false;
               self.Decide();
             });
  }

  void Decide() {
    const monotonic_time now = BootNow();
    if (now < next_decision_at_ || !hooks_.may_act(now)) return;
    if (commit_in_flight_) record_mode_.OnChangePending(MillisSince(last_commit_sent_, now));
    ApplyRecordMode(now);
    const owner_budget& budget = hooks_.budget(now);
    scheduler_.SetStartsInFlight(budget.StartsInFlight(max_starts_in_flight_));
    scheduler_.SetListingPause(budget.ListingPause(kListingPause));
    // Twice the delay: a call waits before it is sent, and its answer waits before it is read.
    const auto local_delay = 2 * std::max(loop_.Delay(), platform_.Instances().Delay());
    scheduler_.SetLocalDelay(local_delay < kMinLocalDelay ? std::chrono::milliseconds{0}
                                                          : std::min(local_delay, kMaxLocalDelay));
    ++work_.rounds;
    for (const std::string& job : scheduler_.TakeUnknownJobs()) ReadUnknownJob(job);
    const auto plan_from = CpuTimeOf(RUSAGE_THREAD);
    scheduler_commands requests = scheduler_.Decide(WallNow(), now);
    const auto send_from = CpuTimeOf(RUSAGE_THREAD);
    SendStartsAndStops(std::move(requests.starts), requests.stops);
    for (const speed_command& request : requests.speeds) SendSpeed(request);
    for (const list_command& request : requests.listings) SendListing(request);
    work_.queries += requests.advice.size();
    for (advice_query& request : requests.advice) hooks_.request_advice(std::move(request));
    const auto notes_from = CpuTimeOf(RUSAGE_THREAD);
    WriteNotes(scheduler_.TakeEvents(), log_, now);
    log_.CountDropped(scheduler_.TakeSkippedDetails());
    metrics_.CountCopies(scheduler_.TakeCopyCounts());
    scheduler_.SetDetailLimit(log_.RoomForDetails(now));
    const auto notes_until = CpuTimeOf(RUSAGE_THREAD);
    const auto spent = BootNow() - now;
    // A round takes longer the more jobs wait. Without a pause after it a backlog would take the
    // whole processor, answers would be read too late, and the calls they belong to would time out.
    next_decision_at_ = BootNow() + kIdlePerDecisionTime * spent;
    decide_time_ += spent;
    metrics_.decide_seconds.Observe(std::chrono::duration<double>(spent).count());
    metrics_.jobs.Set(static_cast<double>(scheduler_.JobCount()));
    metrics_.runs.Set(static_cast<double>(scheduler_.RunCount()));
    metrics_.unplaceable_steps.Set(static_cast<double>(scheduler_.UnplaceableSteps()));
    for (const speed_class speed : {speed_class::kFast, speed_class::kUsual, speed_class::kSlow}) {
      metrics_.SetInstances(speed, scheduler_.InstancesOf(speed));
    }
    for (const double ratio : scheduler_.TakeRunTimeRatios())
      metrics_.run_time_ratio.Observe(ratio);
    decision_costs_.plan += send_from - plan_from;
    decision_costs_.send += notes_from - send_from;
    decision_costs_.notes += notes_until - notes_from;
    const auto record_from = CpuTimeOf(RUSAGE_THREAD);
    Commit();
    decision_costs_.record += CpuTimeOf(RUSAGE_THREAD) - record_from;
  }

  static std::chrono::milliseconds MillisSince(monotonic_time since, monotonic_time now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
  }

  // True when the answer ends this ownership.
  bool CheckFenced(command_result result, const command_target& to) {
    if (result != command_result::kFenced) return false;
    hooks_.superseded(absl::StrCat("instance ", to.instance, " has seen a higher epoch"));
    return true;
  }

  void SendStart(start_command&& request) {
    start_command without_payload = WithoutPayload(request);
    ++work_.starts;
    const job_entry* entry = scheduler_.Find(request.key.job);
    NoteStart(request.key.job);
    hooks_.start(
        std::move(request), entry == nullptr ? std::string() : entry->job.accepted_by,
        OnAnswer([request = std::move(without_payload)](self_type& self, command_answer answer) {
          self.metrics_.CountCommand(site_command::kStart, answer.result);
          if (self.CheckFenced(answer.result, request.to)) return;
          self.scheduler_.OnStartAnswer(request, answer, BootNow());
          self.ScheduleStarts();
          if (answer.result != command_result::kDone) self.ScheduleDecision();
        }));
  }

  void SendStop(const stop_command& request) {
    platform_.Instances().Stop(request, epoch_,
                               OnAnswer([request](self_type& self, command_answer answer) {
                                 self.metrics_.CountCommand(site_command::kStop, answer.result);
                                 if (self.CheckFenced(answer.result, request.to)) return;
                                 self.scheduler_.OnStopAnswer(request, answer, BootNow());
                                 self.ScheduleStarts();
                               }));
  }

  void SendSpeed(const speed_command& request) {
    platform_.Instances().SetSpeed(request, epoch_,
                                   OnAnswer([request](self_type& self, command_answer answer) {
                                     self.metrics_.CountCommand(site_command::kPace, answer.result);
                                     if (self.CheckFenced(answer.result, request.to)) return;
                                     self.scheduler_.OnSpeedAnswer(request, answer, BootNow());
                                   }));
  }

  void SendListing(const list_command& request) {
    const monotonic_time sent = BootNow();
    std::function<void(self_type&, std::optional<instance_listing>, command_result)> done =
        [request, sent](self_type& self, std::optional<instance_listing> listing,
                        command_result result) {
          self.metrics_.CountCommand(site_command::kList, result);
          if (self.CheckFenced(result, request.to)) return;
          if (!listing) {
            self.scheduler_.OnNoListing(request, result, BootNow());
            return;
          }
          ++self.work_.listings;
          self.work_.ends += listing->ended.size();
          for (const ended_row& row : listing->ended) self.metrics_.CountRunEnd(row.how);
          const monotonic_time now = BootNow();
          const auto age = self.listing_age_.Age(request.to.instance, listing->clock_ms, now);
          self.longest_listing_age_ = std::max(self.longest_listing_age_, age);
          self.metrics_.listing_age_seconds.Observe(std::chrono::duration<double>(age).count());
          self.scheduler_.OnListing(request, *listing, sent, now);
          self.ScheduleDecision();
        };
    platform_.Instances().List(
        request, epoch_, OnLoop<std::optional<instance_listing>, command_result>(std::move(done)));
  }

  // --- storing -----------------------------------------------------------------------------------

  // Each change is conditional on this entry owning the site and on no other change of its own in
  // between, so a change that the store executes late has no effect.
  std::string CommitName() const { return absl::StrCat(epoch_, ".", commit_number_); }
  store_write GuardedWrite() const {
    store_write write;
    write.expected = {{kOwnerKey, owner_revision_}, {kCommitKey, commit_revision_}};
    write.puts.push_back({kCommitKey, CommitName(), {}});
    return write;
  }

  void Commit() {
    const monotonic_time now = BootNow();
    const owner_budget& budget = hooks_.budget(now);
    const auto pause =
        scheduler_.StartsPlanned() ? budget.RoundPause(kStartCommitInterval) : kCommitInterval;
    if (commit_in_flight_ || now < next_commit_at_ || now < last_commit_sent_ + pause) return;
    UpdateFleetRecord(now);
    const size_t most = Platform::kMaxEntriesPerChange - kReservedEntries;
    std::vector<job_progress_write> writes =
        scheduler_.TakeUnstored(most, budget.RecordBytesPerCommit());
    const bool declare_async = record_mode_.ShouldDeclareAsync();
    const bool withdraw_async =
        !declare_async && record_mode_.ShouldWithdrawAsync(true) && scheduler_.RecordsKnown();
    if (writes.empty() && !fleet_unstored_ && expired_.empty() && !declare_async && !withdraw_async)
      return;
    store_write change = GuardedWrite();
    if (declare_async) change.puts.push_back({kAsyncRecordsKey, absl::StrCat(epoch_), {}});
    if (withdraw_async) change.deletes.push_back(kAsyncRecordsKey);
    if (withdraw_async) record_mode_.OnWithdrawalSent();
    declares_async_ = declare_async;
    withdraws_async_ = withdraw_async;
    for (const job_progress_write& write : writes) {
      change.puts.push_back({kProgressPrefix + write.job, CompressText(write.text), {}});
    }
    std::optional<std::vector<instance_report>> fleet;
    if (std::exchange(fleet_unstored_, false)) {
      change.puts.push_back({kFleetKey, CompressText(fleet_text_), {}});
      fleet = fleet_;
    }
    // Deletes get their own change: three keys per job would leave no space for progress.
    std::vector<std::string> expired;
    if (writes.empty() && !withdraw_async) {
      const size_t count = std::min(expired_.size(), kMaxExpiredPerCommit);
      const auto end = expired_.begin() + static_cast<std::ptrdiff_t>(count);
      expired.assign(expired_.begin(), end);
      expired_.erase(expired_.begin(), end);
      for (const std::string& id : expired) {
        change.deletes.push_back(kJobPrefix + id);
        change.deletes.push_back(kCancelPrefix + id);
        change.deletes.push_back(kProgressPrefix + id);
      }
    }
    learning_.AddTo(change, scheduler_, WallNow(), now);
    commit_in_flight_ = true;
    last_commit_sent_ = now;
    in_flight_writes_ = std::move(writes);
    in_flight_expired_ = std::move(expired);
    in_flight_fleet_ = std::move(fleet);
    platform_.Store().Commit(
        change, OnReply([number = commit_number_](self_type& self, const store_reply& reply) {
          self.OnCommitted(number, reply);
        }));
    RunAfter(kProbeDelay, [number = commit_number_](self_type& self) { self.ProbeCommit(number); });
  }

  void ProbeCommit(uint64_t number) {
    if (!commit_in_flight_ || number != commit_number_) return;
    platform_.Store().Get(
        kCommitKey, OnReply([number](self_type& self, const store_reply& reply) {
          if (!self.commit_in_flight_ || number != self.commit_number_) return;
          const bool done = reply.status == store_status::kDone && !reply.items.empty() &&
                            reply.items.front().value == self.CommitName();
          if (!done) {
            self.RunAfter(kProbeDelay, [number](self_type& again) { again.ProbeCommit(number); });
            return;
          }
          store_reply found;
          found.status = store_status::kDone;
          found.revision = reply.items.front().revision;
          self.OnCommitted(number, found);
        }));
  }

  void OnCommitted(uint64_t number, const store_reply& reply) {
    // The probe may have found the change before its answer arrived.
    if (!commit_in_flight_ || number != commit_number_) return;
    commit_in_flight_ = false;
    ++commit_number_;
    const std::vector<job_progress_write> writes = std::move(in_flight_writes_);
    const std::vector<std::string> expired = std::move(in_flight_expired_);
    const std::optional<std::vector<instance_report>> fleet = std::move(in_flight_fleet_);
    const monotonic_time sent = last_commit_sent_;
    const monotonic_time now = BootNow();
    metrics_.CountStoreCall("commit", reply.status == store_status::kDone ? "done" : "not_done");
    learning_.OnCommitted(reply.status == store_status::kDone, now);
    if (reply.status == store_status::kDone) {
      commit_revision_ = reply.revision;
      for (const std::string& id : expired) {
        RunAfter(kReadsInFlight, [id](self_type& self) { self.deleting_.erase(id); });
      }
      OnRecordModeStored(MillisSince(sent, now), now);
      const std::vector<completed_job> completed = scheduler_.CompletedBy(writes, now);
      for (const completed_job& job : completed) metrics_.CountCompletedJob(job);
      scheduler_.OnStored(writes);
      if (fleet) scheduler_.OnFleetStored(*fleet);
      log_.Write(
          site_event::kProgressStored, now,
          absl::StrCat("jobs=", writes.size(), " revision=", reply.revision, " ms=",
                       std::chrono::duration_cast<std::chrono::milliseconds>(now - sent).count(),
                       " completed=", completed.size(), " final_ms=", LongestFinal(completed)));
      SendRecordedStarts(now);
      ScheduleDecision();
      return Commit();
    }
    scheduler_.OnNotStored(writes);
    expired_.insert(expired_.end(), expired.begin(), expired.end());
    fleet_unstored_ = fleet_unstored_ || fleet.has_value();
    next_commit_at_ = now + kCommitRetry;
    if (reply.status != store_status::kConflict) return;
    for (const store_item& item : reply.items) {
      // The previous change was executed although its answer was lost.
      if (item.key == kCommitKey) commit_revision_ = item.revision;
      if (item.key == kOwnerKey && item.revision != owner_revision_) {
        return hooks_.superseded("the store names another owner");
      }
    }
  }

  // The longest time, in milliseconds, that a completed job waited for its final phase to be
  // stored.
  static int64_t LongestFinal(const std::vector<completed_job>& completed) {
    int64_t longest = 0;
    for (const completed_job& job : completed) {
      longest = std::max(longest, job.stages.Of(job_stage::kFinal).count());
    }
    return longest;
  }

  void ApplyRecordMode(monotonic_time now) {
    const bool answered = now - store_answered_ < kStoreSilence;
    const bool store_down = hooks_.store_down_for_all(now) && !answered;
    scheduler_.SetUnrecordedStarts(!record_mode_.StartsAwaitRecords() || store_down);
    // While the store is down for all, no newer configuration can have been acknowledged.
    scheduler_.PauseStarts(!hooks_.version_confirmed(now) && !store_down);
  }

  void OnRecordModeStored(std::chrono::milliseconds took, monotonic_time now) {
    record_mode_.OnChangeStored(took, now);
    ApplyRecordMode(now);
    if (std::exchange(declares_async_, false)) {
      record_mode_.OnAsyncDeclared();
      log_.Write(site_event::kRecordsBehind, now, absl::StrCat("declared=1 ms=", took.count()));
    }
    if (std::exchange(withdraws_async_, false)) {
      inherited_async_ = false;
      record_mode_.OnAsyncWithdrawn();
      log_.Write(site_event::kRecordsBehind, now, absl::StrCat("declared=0 ms=", took.count()));
    }
  }

  // An answer makes room for another start or stop. All that are handled by then count, as each
  // look at those that wait takes time.
  void ScheduleStarts() {
    if (!scheduler_.StartsPlanned() && !scheduler_.StopsReleased()) return;
    if (std::exchange(starts_scheduled_, true)) return;
    std::weak_ptr<self_type> weak = this->weak_from_this();
    loop_.Post([weak] {
      const std::shared_ptr<self_type> self = weak.lock();
      if (self == nullptr || self->ownership_ended_) return;
      self->starts_scheduled_ = false;
      self->SendRecordedStarts(BootNow());
    });
  }

  void SendRecordedStarts(monotonic_time now) {
    if (!hooks_.may_act(now)) return;
    SendStartsAndStops(scheduler_.TakeStarts(now), scheduler_.TakeStops(now));
  }

  void SendStartsAndStops(std::vector<start_command> starts,
                          const std::vector<stop_command>& stops) {
    for (start_command& request : starts) SendStart(std::move(request));
    for (const stop_command& request : stops) SendStop(request);
  }

  void CollectExpired() {
    for (std::string& id : scheduler_.TakeExpired(BootNow(), kMaxExpiredPerCommit)) {
      cancelled_.erase(id);
      deleting_.insert(id);
      expired_.push_back(std::move(id));
    }
    RunAfter(kExpiryInterval, [](self_type& self) { self.CollectExpired(); });
  }

  Platform& platform_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& metrics_;
  const site_settings& settings_;
  const uint64_t epoch_;
  const uint64_t owner_revision_;
  owner_hooks hooks_;
  std::shared_ptr<const site_configuration> version_;
  const uint32_t max_starts_in_flight_;
  job_scheduler scheduler_;
  figures_source figures_;
  bool ownership_ended_ = false;
  bool loaded_ = false;
  bool decision_scheduled_ = false;
  bool starts_scheduled_ = false;
  monotonic_time load_started_{};
  monotonic_time next_decision_at_{};
  monotonic_time::duration decide_time_{0};
  decision_costs decision_costs_;
  owner_work work_;
  owner_work reported_work_;
  listing_age listing_age_;
  std::chrono::milliseconds longest_listing_age_{0};
  // Used while the records are read:
  std::vector<store_item> loaded_inbox_;
  std::map<std::string, std::string> loaded_progress_;
  std::vector<instance_report> loaded_fleet_;
  scheduler_handover handover_;
  monotonic_time handover_at_{};
  bool handover_awaited_ = false;  // of another process
  bool records_read_ = false;
  uint64_t inbox_revision_ = 0;

  instance_registry<Platform> registry_;
  std::set<std::string> cancelled_;  // until their jobs have expired
  uint64_t commit_revision_ = 0;
  monotonic_time store_answered_{};
  record_mode record_mode_;
  bool inherited_async_ = false;  // an earlier owner declared asynchronous records
  std::optional<monotonic_time> earlier_owner_dead_at_;  // when its process was found ended
  bool records_confirmed_ = false;  // no owner continued while the store was down
  bool declares_async_ = false;     // the change in flight declares asynchronous records
  bool withdraws_async_ = false;
  bool commit_in_flight_ = false;
  uint64_t commit_number_ = 1;  // of the change in flight, or of the next one
  monotonic_time last_commit_sent_{};
  monotonic_time next_commit_at_{};  // earliest retry after a failed change
  // Content of the change in flight:
  std::vector<job_progress_write> in_flight_writes_;
  std::vector<std::string> in_flight_expired_;
  std::optional<std::vector<instance_report>> in_flight_fleet_;
  owner_learning learning_;
  fleet_record fleet_record_;
  monotonic_time next_fleet_check_{};
  std::string fleet_text_;
  std::vector<instance_report> fleet_;  // the instances in fleet_text_
  bool fleet_unstored_ = false;
  std::vector<std::string> expired_;
  std::set<std::string> deleting_;  // forgotten jobs whose records may still be read
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_OWNER_H_
