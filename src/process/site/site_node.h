// One entry of a site: connects the event loop, the servers, the configuration, the membership, the
// callers' frontend and, while this entry owns the site, the owner's work.
#ifndef CATKINFORD_PROCESS_SITE_SITE_NODE_H_
#define CATKINFORD_PROCESS_SITE_SITE_NODE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/thread_cpu_clock.h"
#include "process/admission/admission_gate.h"
#include "process/admission/known_job_query.h"
#include "process/site/advice_dispatcher.h"
#include "process/site/advice_timeout.h"
#include "process/site/caller_frontend.h"
#include "process/site/cut_off_resignation.h"
#include "process/site/event_loop.h"
#include "process/site/handover_exchange.h"
#include "process/site/outage_scope.h"
#include "process/site/owner_budget.h"
#include "process/site/owner_failure_detector.h"
#include "process/site/peer_messages.h"
#include "process/site/relay_client.h"
#include "process/site/relay_server.h"
#include "process/site/shutdown_schedule.h"
#include "process/site/site_listeners.h"
#include "process/site/site_log.h"
#include "process/site/site_membership.h"
#include "process/site/site_metrics.h"
#include "process/site/site_owner.h"
#include "process/site/site_platform.h"
#include "process/site/site_settings.h"
#include "process/site/start_dispatcher.h"
#include "process/site/start_forwarder.h"
#include "process/site/store_health.h"
#include "process/site/takeover_backoff.h"
#include "process/site/text_rate_limiter.h"
#include "process/site/version_follower.h"

namespace catkinford {

uint64_t GenerateNonce();

template <site_platform Platform>
class site_node {
 public:
  // `peer_client` makes the calls to other entries, `start_client` those that forward starts and
  // calls, so that neither delays the other; `instance_client` those that this entry relays for the
  // owner. `link` counts the bytes of all calls.
  site_node(site_settings settings, Platform& platform, http_client& peer_client,
            http_client& start_client, http_client& instance_client, traffic_counter& link);
  ~site_node() { Stop(); }
  site_node(const site_node&) = delete;
  site_node& operator=(const site_node&) = delete;

  site_start_fault Start();
  void Reload();
  // Resigns the ownership, keeps answering while the load balancer takes this entry out of
  // rotation, and returns when every call in flight has its answer; near the limit it is answered
  // with what is known.
  void Shutdown();
  void Stop();

 private:
  static constexpr size_t kLoopCapacity = 65536;
  // Limit for answers to callers, below the shortest timeout that callers use.
  static constexpr std::chrono::milliseconds kAnswerTimeout{2300};
  static constexpr std::chrono::milliseconds kPeerTimeout{400};
  // Between two bytes of a peer's answer: a configuration takes a second and more on a narrow link.
  static constexpr std::chrono::milliseconds kPeerStall{1000};
  // The store counts as reachable at a peer that got an answer from it within this time.
  static constexpr std::chrono::milliseconds kMaxReachableStoreAge{900};

  // Instead of the nonce, by a process that gave up the site: to its watchers it is as if ended.
  static constexpr uint64_t kNoProcess = 0;
  static constexpr std::chrono::milliseconds kReadinessInterval{100};
  // A caller waits this long for its rejection while the owner is asked about its job.
  static constexpr std::chrono::milliseconds kKnownTimeout{100};
  static constexpr std::chrono::milliseconds kAliveTimeout{250};
  // A call that failed within this time was rejected by the host; an address that does not answer
  // uses up the whole timeout.
  static constexpr std::chrono::milliseconds kConnectionRefusedWithin{150};
  // The checks together cover the time for which an earlier owner, whose end was not observed, may
  // keep acting, and the leases of its runs.
  static constexpr std::chrono::milliseconds kPreviousOwnerCheckInterval{200};
  static constexpr int kPreviousOwnerChecks = 40;
  static constexpr size_t kMaxPeersQueried = 4;  // from different failure domains where possible

  using peer_callback = std::function<void(const std::optional<std::string>&)>;

  listener_handlers ListenerHandlers();
  frontend_hooks FrontendHooks();
  membership_hooks MembershipHooks();
  version_hooks VersionHooks();
  dispatcher_hooks DispatcherHooks();
  owner_hooks OwnerHooks();
  // Updated with the traffic up to `now`.
  const owner_budget& Budget(monotonic_time now);

  // Request handlers, called on the servers' threads.
  void OnCaller(http_server::token token, http_request request);
  void OnReady(http_server::token token);
  void OnPeer(http_server::token token, http_request request);
  void OnMetrics(http_server::token token);

  // On the loop's thread.
  void AnswerPeer(http_server::token token, const http_request& request);
  void AdviseForPeer(http_server::token token, const http_request& request);
  void OnVersion();
  void OnEvacuations();
  void OnOwnershipWon();
  void OnOwnershipLost();
  void OnViewChanged();
  void QueryPeer(const site_entry& peer, const std::string& path_and_query, peer_callback done,
                 byte_counter received_bytes = nullptr);
  struct peer_answer {
    site_entry peer;
    std::optional<std::string> text;  // none: it did not answer
    monotonic_time at{};
  };
  // Queries several entries; `done` runs when each has answered or timed out.
  void QueryPeers(const std::vector<site_entry>& peers, const std::string& path_and_query,
                  std::function<void(const std::vector<peer_answer>&)> done);
  // `done` may be null.
  void NotifyOwner(const std::string& path_and_query, const std::string& body, peer_callback done);
  // Admission of a submission; `done` gets nothing if it is accepted.
  using admission_callback = std::function<void(std::optional<shed_submission>)>;
  void AdmitJob(const graph_job& job, const admission_callback& done);
  void Shed(const submission& job, const admission_verdict& verdict,
            const admission_callback& done);
  // `done` gets true if the owner certainly does not know the job.
  void AskIfKnown(const std::string& job, std::function<void(bool)> done);
  void FollowFigures();
  std::string FiguresTextFor(const std::string& entry) const;
  const site_entry* Owner() const;
  void PhaseFromOwner(const std::string& job, std::function<void(std::optional<graph_phase>)> done);
  void PendingFromOwner(const std::string& queue, std::function<void(std::optional<size_t>)> done);
  peer_version_reply VersionForPeer(const http_request& request);
  void VersionFromPeer(uint64_t have, bool text, byte_counter received_bytes,
                       const std::function<void(std::optional<peer_version_reply>)>& done);
  void PollPeersOnOutage(const std::function<void(outage_verdict)>& done);
  // Asks other entries about the store if it does not answer this one.
  void AskAboutOutage(monotonic_time now);
  void LeaveIfCutOff(monotonic_time now);
  std::vector<site_entry> PeersOfAllDomains(size_t most, bool with_owner) const;
  // Failure detection for the owner's process.
  void WatchOwner();
  void CheckAlive(const site_entry& process, const std::function<void(liveness)>& done);
  void CheckPreviousOwner(int tries);
  peer_handover HandoverForPeer(const http_request& request);
  void RequestHandover();
  void CheckOwnerAlive(const std::function<void(liveness)>& done);
  void ReadOwnerCommit(uint64_t epoch);
  void EvaluateSuspicion(uint64_t epoch);
  void ConfirmSuspicion(uint64_t epoch);
  outage_report LocalOutageReport() const;
  void SeekConfirmation();
  void SendAdviceRequests();
  void RequestAdvice(const dispatched_query& next);
  void UpdateReadiness();
  void PollReadiness();
  void UpdateMetrics();
  void ReportConnections(monotonic_time now);
  void ReportLinkUse();
  // Processor time since the last call, as log fields.
  std::string TakeCpuFields();
  // How often threads of this process have waited since the last call.
  uint64_t TakeWaits();

  site_settings settings_;
  Platform& platform_;
  http_client& peer_client_;
  http_client& start_client_;
  traffic_counter& link_;
  site_metrics metrics_;
  site_log log_;
  event_loop loop_;
  store_health store_health_;
  outage_tracker outage_;
  cut_off_resignation resignation_;
  site_membership<std::remove_reference_t<decltype(std::declval<Platform>().Store())>> membership_;
  version_follower<Platform> versions_;
  caller_frontend<Platform> frontend_;
  owner_budget budget_;
  start_dispatcher<Platform> start_dispatcher_;  // for this entry's starts, while it owns the site
  start_forwarder<Platform> start_forwarder_;    // for starts of another entry that owns the site
  relay_client relay_client_;                    // for this entry's calls, while it owns the site
  relay_server relay_server_;                    // for calls of another entry that owns the site
  advice_dispatcher advice_;
  advice_timeout advice_timeout_;
  admission_gate gate_;
  bool follows_figures_ = false;  // a timer for the next question to the owner is set
  kept_handover handover_;        // of this process's last ownership
  std::shared_ptr<site_owner<Platform>> owner_;
  std::map<std::string, bool> peer_silent_;
  std::map<std::string, std::chrono::microseconds> cpu_time_;  // by thread, at the last report
  uint64_t connections_ended_ = 0;                             // at the last report
  uint64_t waits_ = 0;                                         // at the last report
  text_rate_limiter text_limiter_;  // limits how often the configuration's text is sent to peers
  absl::BitGen random_;
  bool query_strong_peer_ = false;  // alternates between any and strong entries
  owner_failure_detector owner_detector_;
  takeover_backoff takeover_backoff_;
  bool confirming_suspicion_ = false;  // peers are being asked whether the owner is dead
  uint64_t confirmed_epoch_ = 0;       // epoch of the last ownership confirmed by an outage report
  std::optional<monotonic_time> outage_confirmed_at_;  // last outage confirmed to an owner
  std::atomic<bool> ready_{false};
  std::atomic<bool> overloaded_{false};
  std::atomic<bool> left_site_{false};  // gave up the site and has not owned it since
  std::atomic<bool> stopping_{false};
  bool stopped_ = false;
  site_listeners listeners_;
};

template <site_platform Platform>
site_node<Platform>::site_node(site_settings settings, Platform& platform, http_client& peer_client,
                               http_client& start_client, http_client& instance_client,
                               traffic_counter& link)
    : settings_(std::move(settings)),
      platform_(platform),
      peer_client_(peer_client),
      start_client_(start_client),
      link_(link),
      log_(settings_.name, settings_.logs.lines_per_second),
      loop_(kLoopCapacity),
      membership_(
          platform.Store(), store_health_, loop_, log_,
          site_entry{settings_.name,
                     absl::StrCat(settings_.listen.address, ":", settings_.listen.peer_port),
                     settings_.failure_domain, GenerateNonce(),
                     Strength(settings_.machine.cpu_share, settings_.machine.link_mbps)},
          std::max(settings_.timing.owner_lease, settings_.platform.shortest_lease),
          settings_.timing.watch_wait, MembershipHooks()),
      versions_(platform, loop_, log_, metrics_, settings_.bounds.config_limit, VersionHooks()),
      frontend_(platform, store_health_, loop_, log_, metrics_, kAnswerTimeout, FrontendHooks()),
      budget_(settings_.machine.link_mbps, settings_.machine.cpu_share),
      start_dispatcher_(platform, start_client, budget_, loop_, log_, membership_.Self().address,
                        DispatcherHooks()),
      start_forwarder_(platform, start_client, loop_, log_,
                       [this] { return membership_.View().epoch; }),
      relay_client_(start_client, loop_, log_),
      relay_server_(instance_client, loop_, membership_.Self().nonce,
                    [this] { return membership_.View().epoch; }),
      gate_({settings_.name, settings_.overload.figures_valid, settings_.overload.max_retry_after}),
      text_limiter_(settings_.machine.link_mbps),
      listeners_(settings_, {Platform::kCallerTimeoutHeader}, ListenerHandlers()) {
  platform_.Instances().SetRoute([this](http_call& call, http_client::callback& done) {
    return relay_client_.TryTake(call, done, BootNow());
  });
}

template <site_platform Platform>
frontend_hooks site_node<Platform>::FrontendHooks() {
  frontend_hooks hooks;
  hooks.entry = settings_.name;
  hooks.known_epoch = [this] {
    const site_view& view = membership_.View();
    return view.owner ? view.owner->epoch : view.epoch + 1;
  };
  hooks.version = [this] { return versions_.Version(); };
  hooks.trust = [this](monotonic_time now) { return versions_.Trust(now); };
  hooks.outage = [this](monotonic_time now) {
    AskAboutOutage(now);
    return outage_.Scope(now);
  };
  hooks.phase = [this](const std::string& job,
                       std::function<void(std::optional<graph_phase>)> done) {
    PhaseFromOwner(job, std::move(done));
  };
  hooks.pending = [this](const std::string& queue,
                         std::function<void(std::optional<size_t>)> done) {
    PendingFromOwner(queue, std::move(done));
  };
  hooks.notify_job_stored = [this](const std::string& id, const std::string& record) {
    if (owner_ != nullptr) return owner_->OnJobStored(id, record);
    NotifyOwner(absl::StrCat(kPeerJobPath, "?id=", id, "&by=", settings_.name), record,
                [this](const std::optional<std::string>& text) {
                  if (text) gate_.OnFigures(AdmissionFiguresFromText(*text), BootNow());
                });
  };
  hooks.admit = [this](const graph_job& job, const admission_callback& done) {
    AdmitJob(job, done);
  };
  hooks.notify_cancel_stored = [this](const std::string& id) {
    if (owner_ != nullptr) return owner_->OnCancelStored(id);
    NotifyOwner(absl::StrCat(kPeerCancelPath, "?id=", id), {}, nullptr);
  };
  hooks.cache_payload = [this](const std::string& id, const std::string& payload) {
    start_forwarder_.CachePayload(id, payload);
  };
  hooks.stopping = [this] { return stopping_.load(); };
  return hooks;
}

template <site_platform Platform>
dispatcher_hooks site_node<Platform>::DispatcherHooks() {
  dispatcher_hooks hooks;
  hooks.address = [this](const std::string& name) {
    const auto found = membership_.View().entries.find(name);
    return found == membership_.View().entries.end() ? std::string() : found->second.address;
  };
  hooks.may_send = [this](uint64_t epoch, monotonic_time now) {
    return owner_ != nullptr && membership_.Epoch() == epoch && membership_.MayAct(now);
  };
  hooks.relays_calls = [this] { return relay_client_.Enabled(); };
  return hooks;
}

template <site_platform Platform>
membership_hooks site_node<Platform>::MembershipHooks() {
  membership_hooks hooks;
  hooks.ownership_won = [this] { OnOwnershipWon(); };
  hooks.ownership_lost = [this](const std::string&) { OnOwnershipLost(); };
  hooks.view_changed = [this] { OnViewChanged(); };
  hooks.poll_peers = [this](const std::function<void(outage_verdict)>& done) {
    PollPeersOnOutage(done);
  };
  return hooks;
}

template <site_platform Platform>
version_hooks site_node<Platform>::VersionHooks() {
  version_hooks hooks;
  hooks.changed = [this] { OnVersion(); };
  hooks.evacuations_changed = [this] { OnEvacuations(); };
  hooks.place = [this] { return membership_.Place(); };
  hooks.store_up = [this] { return store_health_.State(BootNow()) == store_state::kUp; };
  hooks.ask_peer = [this](uint64_t have, bool text, byte_counter received_bytes,
                          const std::function<void(std::optional<peer_version_reply>)>& done) {
    VersionFromPeer(have, text, std::move(received_bytes), done);
  };
  return hooks;
}

template <site_platform Platform>
listener_handlers site_node<Platform>::ListenerHandlers() {
  listener_handlers handlers;
  handlers.callers = [this](http_server::token token, http_request request) {
    OnCaller(token, std::move(request));
  };
  handlers.readiness = [this](http_server::token token, const http_request&) { OnReady(token); };
  handlers.peers = [this](http_server::token token, http_request request) {
    OnPeer(token, std::move(request));
  };
  handlers.metrics = [this](http_server::token token, const http_request&) { OnMetrics(token); };
  return handlers;
}

template <site_platform Platform>
site_start_fault site_node<Platform>::Start() {
  const site_start_fault fault = listeners_.Start();
  if (fault != site_start_fault::kNone) return fault;
  log_.Write(
      site_event::kStarted, BootNow(),
      absl::StrCat("domain=", settings_.failure_domain, " callers=", settings_.listen.callers,
                   " store=", settings_.platform.store, " metrics=", listeners_.HasMetrics()));
  loop_.Start();
  loop_.Post([this] {
    membership_.Start();
    versions_.Start();
    UpdateMetrics();
    PollReadiness();
    WatchOwner();
  });
  return site_start_fault::kNone;
}

template <site_platform Platform>
void site_node<Platform>::Reload() {
  log_.Write(site_event::kReloaded, BootNow(), "changed=none");
}

template <site_platform Platform>
void site_node<Platform>::Shutdown() {
  const monotonic_time begun = BootNow();
  log_.Write(site_event::kStopping, begun,
             absl::StrCat("waiting=", listeners_.Callers().Waiting()));
  stopping_ = true;
  ready_ = false;
  std::atomic<bool> resigned{false};
  loop_.Post([this, &resigned] { membership_.Resign([&resigned] { resigned = true; }); });
  // Polled by the clock that counts suspensions, which a condition variable's wait does not.
  constexpr std::chrono::milliseconds kPollInterval{20};
  shutdown_schedule schedule(begun, settings_.bounds.shutdown_limit);
  shutdown_phase phase = shutdown_phase::kServing;
  while (phase != shutdown_phase::kEnded) {
    std::this_thread::sleep_for(kPollInterval);
    const bool idle = listeners_.Callers().Waiting() == 0;
    const shutdown_phase next = schedule.Advance(idle, resigned, BootNow());
    if (next == std::exchange(phase, next)) continue;
    if (phase == shutdown_phase::kRejecting) listeners_.Callers().RejectNew();
    if (phase == shutdown_phase::kSettling) loop_.Post([this] { frontend_.SettleAll(); });
  }
  log_.Write(site_event::kStopped, BootNow(),
             absl::StrCat("waiting=", listeners_.Callers().Waiting()));
  // `resigned` is on this stack: no callback may run after this function returns.
  Stop();
}

template <site_platform Platform>
void site_node<Platform>::Stop() {
  if (std::exchange(stopped_, true)) return;
  listeners_.Stop();
  loop_.Stop();
}

template <site_platform Platform>
void site_node<Platform>::OnCaller(http_server::token token, http_request request) {
  const bool accepted = loop_.TryPost([this, token, request = std::move(request)]() mutable {
    frontend_.Handle(std::move(request), [this, token](http_response response) {
      listeners_.Callers().Respond(token, std::move(response));
    });
  });
  if (accepted) return;
  http_response busy;
  busy.status = http_status::kUnavailable;
  busy.body = Platform::EncodeError("overloaded");
  busy.retry_after = std::chrono::seconds(1);
  busy.close = stopping_;
  listeners_.Callers().Respond(token, std::move(busy));
}

template <site_platform Platform>
void site_node<Platform>::OnReady(http_server::token token) {
  http_response response;
  response.status = ready_ ? http_status::kOk : http_status::kUnavailable;
  response.body = "{}";
  listeners_.Readiness().Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::OnMetrics(http_server::token token) {
  http_response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = metrics_.Text();
  listeners_.Metrics().Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::OnPeer(http_server::token token, http_request request) {
  if (request.path == kPeerAlivePath) {
    return listeners_.Peers().Respond(
        token, {.body = PeerLivenessToText(
                    {left_site_ ? kNoProcess : membership_.Self().nonce, overloaded_.load()})});
  }
  const bool accepted =
      loop_.TryPost([this, token, request = std::move(request)] { AnswerPeer(token, request); });
  if (!accepted) listeners_.Peers().Respond(token, {.status = http_status::kUnavailable});
}

template <site_platform Platform>
void site_node<Platform>::AnswerPeer(http_server::token token, const http_request& request) {
  const auto parsed = request.memory.Reserve(PeerRequestBytes(request.body));
  if (!parsed) return listeners_.Peers().Respond(token, {.status = http_status::kUnavailable});
  const auto respond = [this, token, held = request.memory](http_response answer) {
    listeners_.Peers().Respond(token, std::move(answer));
  };
  http_response response;
  const bool owns = owner_ != nullptr && owner_->Loaded();
  if (request.path == kPeerStatePath) {
    peer_phase_reply state{owns, std::nullopt};
    if (owns) state.phase = owner_->PhaseOf(request.Query("id"));
    response.body = PeerPhaseReplyToText(state);
  } else if (request.path == kPeerPendingPath) {
    response.body =
        PeerPendingReplyToText({owns, owns ? owner_->Pending(request.Query("queue")) : size_t{0}});
  } else if (request.path == kPeerHealthPath || request.path == kPeerStorePath) {
    const monotonic_time now = BootNow();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - membership_.StoreAnswered());
    const bool owner_asks = request.path == kPeerHealthPath;
    if (owner_asks && age >= kMaxReachableStoreAge) outage_confirmed_at_ = now;
    response.body = PeerHealthToText({age, membership_.View().epoch});
  } else if (request.path == kPeerWitnessPath) {
    response.body = OutageReportToText(LocalOutageReport());
  } else if (request.path == kPeerLookPath) {
    return CheckOwnerAlive([this, token](liveness answer) {
      listeners_.Peers().Respond(token, {.body = OwnerLivenessToText(answer)});
    });
  } else if (request.path == kPeerVersionPath) {
    response.body = PeerVersionReplyToText(VersionForPeer(request));
  } else if (request.path == kPeerHandoverPath) {
    response.body = PeerHandoverToText(HandoverForPeer(request));
  } else if (request.path == kPeerJobPath) {
    if (owner_ != nullptr) owner_->OnJobStored(request.Query("id"), request.body);
    response.body = FiguresTextFor(request.Query("by"));
  } else if (request.path == kPeerAdmissionPath) {
    response.body = FiguresTextFor(request.Query("by"));
  } else if (request.path == kPeerCancelPath) {
    if (owner_ != nullptr) owner_->OnCancelStored(request.Query("id"));
  } else if (request.path == kPeerAdvisePath) {
    return AdviseForPeer(token, request);
  } else if (request.path == kPeerStartPath) {
    return start_forwarder_.Forward(request.body, respond);
  } else if (request.path == kPeerCallsPath) {
    return relay_server_.Exchange(request.body, respond, BootNow());
  } else if (request.path == kPeerStartedPath) {
    start_dispatcher_.OnStarted(request.body);
  } else {
    response.status = http_status::kNotFound;
  }
  listeners_.Peers().Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::AdviseForPeer(http_server::token token, const http_request& request) {
  const auto query = PeerAdviceRequestFromText(request.body);
  if (!query) return listeners_.Peers().Respond(token, {.status = http_status::kBadRequest});
  platform_.Advisor().QueryAdvice(query->order, query->timeout,
                                  [this, token, held = request.memory,
                                   compressed = query->compressed](const advice_answer& answer) {
                                    listeners_.Peers().Respond(
                                        token, {.body = PeerAdviceReplyToText(answer, compressed)});
                                  });
}

template <site_platform Platform>
void site_node<Platform>::OnVersion() {
  metrics_.version.Set(static_cast<double>(versions_.Version()->Number()));
  listeners_.SetCallerBodyLimit(versions_.Version()->Limits().body_bytes);
  UpdateReadiness();
  if (owner_ != nullptr) owner_->SetVersion(versions_.Version());
}

template <site_platform Platform>
void site_node<Platform>::OnEvacuations() {
  if (owner_ != nullptr) owner_->SetEvacuated(versions_.Evacuated().Names());
}

template <site_platform Platform>
void site_node<Platform>::UpdateReadiness() {
  // An entry that cannot reach the store sends its callers to another one.
  const bool reaches = store_health_.State(BootNow()) != store_state::kDown;
  // So does an entry whose configuration is not confirmed to be in effect.
  const bool confirmed = versions_.Trust(BootNow()) != version_trust::kUnconfirmed;
  const bool now = confirmed && !stopping_ && reaches;
  if (ready_.exchange(now) == now) return;
  log_.Write(site_event::kReadiness, BootNow(),
             absl::StrCat("ready=", now, " store=", reaches, " version_confirmed=", confirmed));
}

template <site_platform Platform>
void site_node<Platform>::PollReadiness() {
  loop_.After(kReadinessInterval, [this] { PollReadiness(); });
  AskAboutOutage(BootNow());
  LeaveIfCutOff(BootNow());
  UpdateReadiness();
}

template <site_platform Platform>
void site_node<Platform>::UpdateMetrics() {
  loop_.After(std::chrono::seconds(1), [this] { UpdateMetrics(); });
  const auto now = BootNow();
  const auto seconds = [&](monotonic_time since) {
    return std::chrono::duration<double>(now - since).count();
  };
  metrics_.store_age_seconds.Set(seconds(membership_.StoreAnswered()));
  metrics_.version_age_seconds.Set(seconds(versions_.AsOf()));
  const double left_out = static_cast<double>(log_.DroppedLines());
  metrics_.log_lines_left_out.Increment(left_out - metrics_.log_lines_left_out.Value());
  ReportConnections(now);
  ReportLinkUse();
}

template <site_platform Platform>
void site_node<Platform>::ReportConnections(monotonic_time now) {
  const budget_counts counts = listeners_.UpdateCounts();
  metrics_.SetConnections(counts);
  if (counts.Ended() == std::exchange(connections_ended_, counts.Ended())) return;
  log_.Write(site_event::kConnectionsClosed, now,
             absl::StrCat("for_room=", counts.closed_for_room, " late=", counts.closed_late,
                          " rejected=", counts.rejected, " bytes=", counts.bytes));
}

template <site_platform Platform>
std::string site_node<Platform>::TakeCpuFields() {
  std::map<std::string, std::chrono::microseconds> now{
      {"loop", loop_.CpuTime()},
      {"instances", platform_.Instances().CpuTime()},
      {"starts", start_client_.CpuTime()},
      {"peers", peer_client_.CpuTime()},
      {"store", platform_.Store().CpuTime()},
  };
  std::chrono::microseconds other = CpuTimeOf(RUSAGE_SELF);
  for (const auto& [thread, used] : now) other -= used;
  now["other"] = other;  // the servers and the log's writer
  std::string out;
  for (const auto& [thread, used] : now) {
    metrics_.SetCpuTime(thread, used);
    absl::StrAppend(
        &out, " cpu_", thread, "_ms=",
        std::chrono::duration_cast<std::chrono::milliseconds>(used - cpu_time_[thread]).count());
  }
  cpu_time_ = std::move(now);
  return out;
}

template <site_platform Platform>
uint64_t site_node<Platform>::TakeWaits() {
  const uint64_t now = WaitsOfProcess();
  return now - std::exchange(waits_, now);
}

template <site_platform Platform>
void site_node<Platform>::ReportLinkUse() {
  std::string kinds;
  uint64_t sent = 0;
  uint64_t received = 0;
  std::string faults;
  for (const auto& [kind, use] : link_.Take()) {
    metrics_.CountTraffic(kind, use);
    sent += use.sent;
    received += use.received;
    absl::StrAppend(&kinds, " ", kind, "=", use.calls, "/", use.sent, "/", use.received);
    for (const call_fault fault : kCallFaults) {
      if (use.Faults(fault) == 0) continue;
      absl::StrAppend(&faults, " ", kind, ".", std::string(ToText(fault)), "=", use.Faults(fault));
    }
  }
  const connection_counts connections = platform_.Instances().Connections();
  metrics_.instance_connections.Set(static_cast<double>(connections.open));
  metrics_.instance_connections_opened.Increment(static_cast<double>(connections.opened) -
                                                 metrics_.instance_connections_opened.Value());
  const std::string cpu = TakeCpuFields();
  // An entry that does not own the site only serves callers: its link use is not logged.
  if (owner_ == nullptr) return;
  const decision_costs costs = owner_->TakeDecisionCosts();
  const auto ms = [](std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  log_.Write(
      site_event::kLinkUse, BootNow(),
      absl::StrCat("sent=", sent, " received=", received, " decide_ms=",
                   owner_->TakeDecideTime().count(), " delay_ms=", loop_.Delay().count(),
                   " order_delay_ms=", platform_.Instances().Delay().count(),
                   " instance_connections=", connections.open, " opened=", connections.opened, cpu,
                   " plan_ms=", ms(costs.plan), " send_ms=", ms(costs.send),
                   " notes_ms=", ms(costs.notes), " record_ms=", ms(costs.record),
                   " listing_age_ms=", owner_->TakeLongestListingAge().count(),
                   owner_->TakeWorkFields(), " waits=", TakeWaits(), kinds, faults));
}

template <site_platform Platform>
void site_node<Platform>::CheckOwnerAlive(const std::function<void(liveness)>& done) {
  const site_entry* owner = Owner();
  if (owner == nullptr) return done(liveness::kAlive);  // no owner, or this entry is the owner
  CheckAlive(*owner, done);
}

// Sends one liveness check to another entry's process.
template <site_platform Platform>
void site_node<Platform>::CheckAlive(const site_entry& process,
                                     const std::function<void(liveness)>& done) {
  http_call call;
  call.url = absl::StrCat("http://", process.address, kPeerAlivePath);
  call.timeout = kAliveTimeout;
  const monotonic_time asked = BootNow();
  peer_client_.Send(std::move(call),
                    [this, done, asked, nonce = process.nonce](http_result result) {
                      loop_.Post([done, asked, nonce, result = std::move(result)] {
                        if (result.status == transfer_status::kDone) {
                          const auto alive = PeerLivenessFromText(result.body);
                          if (!alive || alive->nonce != nonce) return done(liveness::kOtherProcess);
                          return done(alive->busy ? liveness::kBusy : liveness::kAlive);
                        }
                        const bool refused = BootNow() - asked < kConnectionRefusedWithin;
                        done(refused ? liveness::kRefused : liveness::kSilent);
                      });
                    });
}

template <site_platform Platform>
void site_node<Platform>::WatchOwner() {
  const auto again = [this](std::chrono::milliseconds pause) {
    loop_.After(pause, [this] { WatchOwner(); });
  };
  const bool watches = WatchesOwner(membership_.View(), settings_.name) && !stopping_ &&
                       store_health_.State(BootNow()) == store_state::kUp;
  if (!watches) return again(owner_detector_.QueryInterval());
  const uint64_t epoch = membership_.View().owner->epoch;
  owner_detector_.Watch(epoch, BootNow());
  CheckOwnerAlive([this, epoch, again](liveness answer) {
    owner_detector_.OnAnswer(answer, BootNow());
    if (answer == liveness::kSilent) ReadOwnerCommit(epoch);
    EvaluateSuspicion(epoch);
    again(owner_detector_.QueryInterval());
  });
}

// A busy owner answers late, but its commits still reach the store.
template <site_platform Platform>
void site_node<Platform>::ReadOwnerCommit(uint64_t epoch) {
  platform_.Store().Get(kCommitKey, [this, epoch](const store_reply& reply) {
    loop_.Post([this, epoch, reply] {
      const auto& owner = membership_.View().owner;
      const bool same = owner && owner->epoch == epoch;
      const bool reported =
          reply.status == store_status::kDone || reply.status == store_status::kAbsent;
      if (!same || !reported) return;
      owner_detector_.OnCommit(reply.items.empty() ? 0 : reply.items.front().revision, BootNow());
      EvaluateSuspicion(epoch);
    });
  });
}

template <site_platform Platform>
void site_node<Platform>::EvaluateSuspicion(uint64_t epoch) {
  const monotonic_time now = BootNow();
  if (!owner_detector_.Suspected(now)) return;
  if (owner_detector_.OnlyTimeouts() && !takeover_backoff_.MayTakeOverOnSilence(now)) return;
  ConfirmSuspicion(epoch);
}

// Entries of different failure domains where possible.
template <site_platform Platform>
std::vector<site_entry> site_node<Platform>::PeersOfAllDomains(size_t most, bool with_owner) const {
  std::vector<site_entry> out;
  std::set<std::string> domains;
  for (const bool new_domain : {true, false}) {
    for (const auto& [name, entry] : membership_.View().entries) {
      const bool owner = Owner() != nullptr && name == Owner()->name;
      if (name == settings_.name || (owner && !with_owner) || out.size() >= most) continue;
      if (domains.insert(entry.failure_domain).second == new_domain) out.push_back(entry);
    }
  }
  return out;
}

template <site_platform Platform>
void site_node<Platform>::AskAboutOutage(monotonic_time now) {
  if (!outage_.ShouldAsk(store_health_.TroubleSince(now), now)) return;
  const auto judge = [this](const std::vector<peer_answer>& answers) {
    std::vector<outage_answer> reports;
    for (const peer_answer& answer : answers) {
      const bool other_domain = answer.peer.failure_domain != settings_.failure_domain;
      const auto health = answer.text ? PeerHealthFromText(*answer.text) : std::nullopt;
      reports.push_back({other_domain, std::nullopt});
      if (health) reports.back().store_answered = answer.at - health->store_age;
    }
    outage_.OnAnswers(reports, BootNow());
  };
  QueryPeers(PeersOfAllDomains(kMaxPeersQueried, true), kPeerStorePath, judge);
}

template <site_platform Platform>
void site_node<Platform>::LeaveIfCutOff(monotonic_time now) {
  if (!membership_.Owns()) return;
  if (!resignation_.ShouldResign(outage_.Scope(now), membership_.StoreAnswered(), now)) return;
  membership_.LeaveToOthers("the store answers others and not this entry");
  left_site_ = true;
}

// This entry may be the one that is cut off, so others are asked whether they reach the owner.
template <site_platform Platform>
void site_node<Platform>::ConfirmSuspicion(uint64_t epoch) {
  if (std::exchange(confirming_suspicion_, true)) return;
  log_.Write(site_event::kOwnerSuspected, BootNow(),
             absl::StrCat("epoch=", epoch, " only_silent=", owner_detector_.OnlyTimeouts()));
  const std::vector<site_entry> others = PeersOfAllDomains(kMaxPeersQueried, false);
  if (others.empty()) {
    confirming_suspicion_ = false;
    return;
  }
  QueryPeers(others, kPeerLookPath, [this, epoch](const std::vector<peer_answer>& answers) {
    std::vector<liveness> seen;
    for (const peer_answer& answer : answers) {
      const auto owner = answer.text ? OwnerLivenessFromText(*answer.text) : std::nullopt;
      if (owner) seen.push_back(*owner);
    }
    confirming_suspicion_ = false;
    const bool shared = SuspicionConfirmed(seen);
    log_.Write(site_event::kOwnerSuspected, BootNow(),
               absl::StrCat("epoch=", epoch, " answers=", seen.size(), " shared=", shared));
    if (shared && !stopping_) membership_.ClaimFrom(epoch);
  });
}

template <site_platform Platform>
owner_hooks site_node<Platform>::OwnerHooks() {
  owner_hooks hooks;
  hooks.superseded = [this](const std::string& why) { membership_.OnSuperseded(why); };
  hooks.may_act = [this](monotonic_time now) { return membership_.MayAct(now); };
  hooks.store_down_for_all = [this](monotonic_time now) {
    return membership_.OutageConfirmed(now);
  };
  hooks.version_confirmed = [this](monotonic_time now) {
    return versions_.Trust(now) != version_trust::kUnconfirmed;
  };
  hooks.request_advice = [this](advice_query order) {
    advice_.Add(std::move(order), BootNow());
    SendAdviceRequests();
  };
  const uint64_t epoch = membership_.Epoch();
  hooks.start = [this, epoch](start_command order, const std::string& accepted_by,
                              command_callback done) {
    start_dispatcher_.Send(std::move(order), accepted_by, epoch, std::move(done));
  };
  hooks.registry_read = [this](const std::vector<instance_report>& reports) {
    relay_client_.Choice().SetInstances(reports);
  };
  hooks.budget = [this](monotonic_time now) -> const owner_budget& { return Budget(now); };
  hooks.entry_count = [this] { return membership_.View().entries.size(); };
  return hooks;
}

template <site_platform Platform>
const owner_budget& site_node<Platform>::Budget(monotonic_time now) {
  budget_.OnTraffic(link_.Total(), now);
  budget_.OnInstanceCalls(relay_client_.Offered(), now);
  relay_client_.Enable(budget_.RelaysWanted());
  overloaded_ = budget_.Overloaded();
  return budget_;
}

template <site_platform Platform>
void site_node<Platform>::OnOwnershipWon() {
  left_site_ = false;
  relay_client_.Begin(membership_.Epoch());
  owner_ = std::make_shared<site_owner<Platform>>(
      platform_, loop_, log_, metrics_, settings_, membership_.Epoch(), membership_.OwnerRevision(),
      membership_.ClaimedEarly() || membership_.EarlierOwnersMayAct(), OwnerHooks());
  metrics_.owns_site.Set(1);
  metrics_.takeovers.Increment();
  OnViewChanged();
  owner_->SetEvacuated(versions_.Evacuated().Names());
  RequestHandover();
  owner_->Start(versions_.Version(), handover_.Begin(membership_.Epoch()));
  SeekConfirmation();
  CheckPreviousOwner(kPreviousOwnerChecks);
}

template <site_platform Platform>
peer_handover site_node<Platform>::HandoverForPeer(const http_request& request) {
  uint64_t epoch = 0;
  if (!absl::SimpleAtoi(request.Query("epoch"), &epoch)) epoch = 0;
  // Only the owner of the next epoch asks. It may know of its ownership before this entry does.
  if (membership_.Owns() && membership_.Epoch() == epoch) {
    membership_.OnSuperseded("the next owner asks for the handover");
  }
  return handover_.AnswerTo(epoch, membership_.Self().nonce, BootNow());
}

// Asks the previous owner's process once, while the records are read.
template <site_platform Platform>
void site_node<Platform>::RequestHandover() {
  const auto& previous = membership_.PreviousOwner();
  if (!previous || previous->name == settings_.name) return;
  // An owner before the previous one, of which the previous one may not know all, may still act.
  if (membership_.EarlierOwnersMayAct()) return;
  owner_->AwaitHandover();
  const monotonic_time asked = BootNow();
  const handover_request judge(membership_.Epoch(), previous->nonce, asked);
  const std::weak_ptr<site_owner<Platform>> weak_owner = owner_;
  QueryPeer(
      *previous, absl::StrCat(kPeerHandoverPath, "?epoch=", judge.FormerEpoch()),
      [this, weak_owner, judge, asked, from = previous->name,
       epoch = membership_.Epoch()](const std::optional<std::string>& bytes) {
        const monotonic_time now = BootNow();
        scheduler_handover handover;
        handover_outcome outcome = judge.Judge(bytes, now, handover);
        const bool taken = outcome == handover_outcome::kTaken;
        const size_t jobs = handover.progress.size();
        const auto owner = weak_owner.lock();
        if (owner == nullptr || owner != owner_) return;
        const bool usable = taken || outcome == handover_outcome::kIncomplete;
        const bool in_time = owner->OnHandover(
            usable ? std::optional<scheduler_handover>(std::move(handover)) : std::nullopt);
        if (!in_time) outcome = handover_outcome::kLate;
        metrics_.CountHandover(std::string(ToText(outcome)));
        log_.Write(
            site_event::kHandover, now,
            absl::StrCat("epoch=", epoch, " from=", from, " complete=", taken, " jobs=", jobs,
                         " bytes=", bytes ? bytes->size() : size_t{0}, " ms=",
                         std::chrono::duration_cast<std::chrono::milliseconds>(now - asked).count(),
                         " outcome=", std::string(ToText(outcome))));
      });
}

// An owner whose process has ended sends no more commands. Its machine may restart only after this
// entry took over, so it is checked until it answers or no earlier owner can act any more.
template <site_platform Platform>
void site_node<Platform>::CheckPreviousOwner(int tries) {
  const auto& previous = membership_.PreviousOwner();
  if (!previous || owner_ == nullptr || tries == 0) return;
  // The death of the previous owner says nothing about the owner before it.
  if (membership_.EarlierOwnersMayAct()) return;
  // This entry was restarted at the previous owner's address.
  const site_entry& self = membership_.Self();
  if (previous->name == self.name && previous->nonce != self.nonce) {
    return owner_->OnEarlierOwnerDead();
  }
  const std::weak_ptr<site_owner<Platform>> weak_owner = owner_;
  CheckAlive(*previous, [this, weak_owner, tries](liveness answer) {
    const auto owner = weak_owner.lock();
    if (owner == nullptr || owner != owner_) return;
    if (answer == liveness::kOtherProcess) return owner->OnEarlierOwnerDead();
    loop_.After(kPreviousOwnerCheckInterval, [this, tries] { CheckPreviousOwner(tries - 1); });
  });
}

template <site_platform Platform>
outage_report site_node<Platform>::LocalOutageReport() const {
  const monotonic_time now = BootNow();
  outage_report out;
  out.registered = membership_.RegisteredFor(now);
  if (outage_confirmed_at_) {
    out.confirmed_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *outage_confirmed_at_);
  }
  return out;
}

// One report that rules out unrecorded starts suffices: this entry's, or the first from a peer.
template <site_platform Platform>
void site_node<Platform>::SeekConfirmation() {
  const std::weak_ptr<site_owner<Platform>> weak_owner = owner_;
  const auto take = [this, weak_owner](const outage_report& report, const std::string& from) {
    const auto owner = weak_owner.lock();
    if (owner == nullptr || owner != owner_ || !RulesOutUnrecordedStarts(report)) return false;
    if (std::exchange(confirmed_epoch_, membership_.Epoch()) == membership_.Epoch()) return true;
    log_.Write(site_event::kRecordsComplete, BootNow(),
               absl::StrCat("epoch=", membership_.Epoch(), " witness=", from,
                            " registered_ms=", report.registered.count()));
    owner->OnRecordsComplete();
    return true;
  };
  if (take(LocalOutageReport(), settings_.name)) return;
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name == settings_.name) continue;
    QueryPeer(entry, kPeerWitnessPath, [take, name](const std::optional<std::string>& text) {
      const auto report = text ? OutageReportFromText(*text) : std::nullopt;
      if (report) take(*report, name);
    });
  }
}

template <site_platform Platform>
void site_node<Platform>::OnOwnershipLost() {
  metrics_.owns_site.Set(0);
  metrics_.ClearForecastWaits();
  overloaded_ = false;
  start_dispatcher_.Clear();
  relay_client_.End();
  if (owner_ == nullptr) return;
  handover_.Keep(membership_.Epoch(), owner_->HandOver(), BootNow());
  owner_->End();
  owner_.reset();
  // Instances serve a limited number of connections, which the next owner needs.
  platform_.Instances().CloseIdleConnections();
  advice_ = advice_dispatcher();
  OnViewChanged();
}

template <site_platform Platform>
void site_node<Platform>::OnViewChanged() {
  if (const auto& owner = membership_.View().owner)
    takeover_backoff_.OnOwner(owner->epoch, BootNow());
  if (owner_ == nullptr) return;  // the rest is for an owner
  std::vector<std::string> names;
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name != settings_.name) names.push_back(name);
  }
  start_dispatcher_.SetEntries(names);
  relay_client_.Choice().SetEntries(membership_.View().entries, membership_.Self());
  names.insert(names.begin(), settings_.name);
  advice_.SetEntries(names);
  SendAdviceRequests();
}

template <site_platform Platform>
void site_node<Platform>::QueryPeer(const site_entry& peer, const std::string& path_and_query,
                                    peer_callback done, byte_counter received_bytes) {
  http_call call;
  call.url = absl::StrCat("http://", peer.address, path_and_query);
  call.timeout = kPeerTimeout;
  call.stall_timeout = kPeerStall;
  call.received_bytes = std::move(received_bytes);
  const monotonic_time asked = BootNow();
  peer_client_.Send(std::move(call), [this, asked, name = peer.name,
                                      done = std::move(done)](http_result result) {
    loop_.Post([this, asked, name, done, result = std::move(result)] {
      const bool good = result.status == transfer_status::kDone && result.code == http_status::kOk;
      bool& silent = peer_silent_[name];
      if (silent == good) {
        silent = !good;
        log_.Write(
            good ? site_event::kPeerBack : site_event::kPeerLost, BootNow(),
            absl::StrCat(
                "peer=", name, " status=", result.code, " bytes=", result.body.size(), " ms=",
                std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - asked).count()));
      }
      done(good ? std::optional<std::string>(result.body) : std::nullopt);
    });
  });
}

template <site_platform Platform>
void site_node<Platform>::QueryPeers(const std::vector<site_entry>& peers,
                                     const std::string& path_and_query,
                                     std::function<void(const std::vector<peer_answer>&)> done) {
  if (peers.empty()) return done({});
  auto answers = std::make_shared<std::vector<peer_answer>>();
  for (const site_entry& peer : peers) {
    QueryPeer(peer, path_and_query,
              [answers, peer, done, count = peers.size()](const std::optional<std::string>& text) {
                answers->push_back({peer, text, BootNow()});
                if (answers->size() == count) done(*answers);
              });
  }
}

template <site_platform Platform>
void site_node<Platform>::NotifyOwner(const std::string& path_and_query, const std::string& body,
                                      peer_callback done) {
  const site_entry* owner = Owner();
  if (owner == nullptr) return;
  http_call call;
  call.method = "POST";
  call.url = absl::StrCat("http://", owner->address, path_and_query);
  call.body = body;
  call.timeout = kPeerTimeout;
  // A lost notification does no harm: the owner's watch reports the same change.
  peer_client_.Send(std::move(call), [this, done = std::move(done)](http_result result) {
    if (!done) return;
    loop_.Post([done, result = std::move(result)] {
      const bool good = result.status == transfer_status::kDone && result.code == http_status::kOk;
      done(good ? std::optional<std::string>(result.body) : std::nullopt);
    });
  });
}

template <site_platform Platform>
std::string site_node<Platform>::FiguresTextFor(const std::string& entry) const {
  const auto figures = owner_ == nullptr ? std::nullopt : owner_->FiguresFor(entry);
  return figures ? AdmissionFiguresToText(*figures) : std::string();
}

template <site_platform Platform>
void site_node<Platform>::AdmitJob(const graph_job& job, const admission_callback& done) {
  if (!settings_.overload.enabled) return done(std::nullopt);
  const monotonic_time now = BootNow();
  if (owner_ != nullptr) gate_.OnFigures(owner_->FiguresFor(settings_.name), now);
  const submission asked = SubmissionOf(job);
  const auto decision = gate_.Judge(asked, membership_.View().epoch, now);
  FollowFigures();
  if (decision.returned) metrics_.returns_kept.Increment();
  if (decision.verdict.accept) return done(std::nullopt);
  AskIfKnown(job.id, [this, asked, verdict = decision.verdict, done](bool unknown) {
    if (!unknown) return done(std::nullopt);
    Shed(asked, verdict, done);
  });
}

template <site_platform Platform>
void site_node<Platform>::Shed(const submission& job, const admission_verdict& verdict,
                               const admission_callback& done) {
  const monotonic_time now = BootNow();
  const auto promise = gate_.Reject(job, verdict, now);
  metrics_.CountShed(job.queue);
  if (promise.kept_place) metrics_.returns_promised.Increment();
  log_.Write(
      site_event::kJobShed, now,
      absl::StrCat("id=", LogField(job.id), " queue=", job.queue, " workspace=", job.workspace,
                   " forecast_ms=", verdict.wait.count(), " useful_ms=", job.useful.count(),
                   " epoch=", verdict.epoch, " number=", verdict.number,
                   " age_ms=", verdict.age.count(), " retry_after=", promise.retry_after.count(),
                   " place=", promise.kept_place));
  done(shed_submission{promise.retry_after});
}

template <site_platform Platform>
void site_node<Platform>::AskIfKnown(const std::string& job, std::function<void(bool)> done) {
  const auto query = std::make_shared<known_job_query>(std::move(done));
  if (owner_ != nullptr) {
    if (!owner_->Loaded()) return query->OnAnswer(known_job_answer::kNotOwner);
    return query->OnAnswer(owner_->PhaseOf(job) ? known_job_answer::kKnown
                                                : known_job_answer::kUnknown);
  }
  const site_entry* owner = Owner();
  if (owner == nullptr) return query->OnAnswer(known_job_answer::kNone);
  QueryPeer(*owner, absl::StrCat(kPeerStatePath, "?id=", job),
            [query](const std::optional<std::string>& text) {
              const auto state = text ? PeerPhaseReplyFromText(*text) : std::nullopt;
              if (!state) return query->OnAnswer(known_job_answer::kNone);
              if (!state->owns) return query->OnAnswer(known_job_answer::kNotOwner);
              query->OnAnswer(state->phase ? known_job_answer::kKnown : known_job_answer::kUnknown);
            });
  loop_.After(kKnownTimeout, [query] { query->OnAnswer(known_job_answer::kNone); });
}

// Asks the owner for its figures while this entry has submissions and hears none otherwise.
template <site_platform Platform>
void site_node<Platform>::FollowFigures() {
  const monotonic_time now = BootNow();
  const site_entry* owner = Owner();
  if (owner != nullptr && gate_.TakeQuestion(now)) {
    QueryPeer(*owner, absl::StrCat(kPeerAdmissionPath, "?by=", settings_.name),
              [this](const std::optional<std::string>& text) {
                if (text) gate_.OnFigures(AdmissionFiguresFromText(*text), BootNow());
              });
  }
  if (follows_figures_ || !gate_.Active(now)) return;
  follows_figures_ = true;
  loop_.After(admission_gate::kQuestionInterval, [this] {
    follows_figures_ = false;
    FollowFigures();
  });
}

template <site_platform Platform>
const site_entry* site_node<Platform>::Owner() const {
  const auto& owner = membership_.View().owner;
  return owner && owner->entry.name != settings_.name ? &owner->entry : nullptr;
}

template <site_platform Platform>
void site_node<Platform>::PhaseFromOwner(const std::string& job,
                                         std::function<void(std::optional<graph_phase>)> done) {
  if (owner_ != nullptr) return done(owner_->PhaseOf(job));
  const site_entry* owner = Owner();
  if (owner == nullptr) return done(std::nullopt);
  QueryPeer(*owner, absl::StrCat(kPeerStatePath, "?id=", job),
            [done = std::move(done)](const std::optional<std::string>& text) {
              const auto state = text ? PeerPhaseReplyFromText(*text) : std::nullopt;
              done(state && state->owns ? state->phase : std::nullopt);
            });
}

template <site_platform Platform>
void site_node<Platform>::PendingFromOwner(const std::string& queue,
                                           std::function<void(std::optional<size_t>)> done) {
  if (owner_ != nullptr && owner_->Loaded()) return done(owner_->Pending(queue));
  const site_entry* owner = Owner();
  if (owner == nullptr) return done(std::nullopt);
  QueryPeer(
      *owner, absl::StrCat(kPeerPendingPath, "?queue=", queue),
      [done = std::move(done)](const std::optional<std::string>& text) {
        const auto pending = text ? PeerPendingReplyFromText(*text) : std::nullopt;
        done(pending && pending->owns ? std::optional<size_t>(pending->pending) : std::nullopt);
      });
}

// The answer to a peer that queries this entry's configuration.
template <site_platform Platform>
peer_version_reply site_node<Platform>::VersionForPeer(const http_request& request) {
  const monotonic_time now = BootNow();
  peer_version_reply reported;
  reported.version = versions_.PeerVersion(now);
  reported.evacuated = versions_.Evacuated();
  uint64_t have = 0;
  const bool newer =
      absl::SimpleAtoi(request.Query("have"), &have) && reported.version.number > have;
  if (!newer || request.Query("text") != "1") return reported;
  const bool granted = text_limiter_.Take(versions_.Text().size(), now);
  if (granted) {
    reported.text = versions_.Text();
    metrics_.version_texts_sent.Increment();
  }
  log_.Write(
      site_event::kVersionTold, now,
      absl::StrCat("peer=", LogField(request.Query("by")), " version=", reported.version.number,
                   " have=", have, " given=", granted, " bytes=", reported.text.size()));
  return reported;
}

template <site_platform Platform>
void site_node<Platform>::VersionFromPeer(
    uint64_t have, bool text, byte_counter received_bytes,
    const std::function<void(std::optional<peer_version_reply>)>& done) {
  query_strong_peer_ = !query_strong_peer_;
  const auto peer = PickPeer(membership_.View(), settings_.name, query_strong_peer_,
                             absl::Uniform<uint64_t>(random_));
  if (!peer) return done(std::nullopt);
  QueryPeer(
      *peer, absl::StrCat(kPeerVersionPath, "?have=", have, "&text=", text, "&by=", settings_.name),
      [done](const std::optional<std::string>& answer) {
        done(answer ? PeerVersionReplyFromText(*answer) : std::nullopt);
      },
      std::move(received_bytes));
}

template <site_platform Platform>
void site_node<Platform>::PollPeersOnOutage(const std::function<void(outage_verdict)>& done) {
  const uint64_t epoch = membership_.Epoch();
  std::vector<site_entry> others;
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name != settings_.name) others.push_back(entry);
  }
  if (others.empty()) return done(outage_verdict::kSomeSilent);
  QueryPeers(others, kPeerHealthPath, [this, epoch, done](const std::vector<peer_answer>& answers) {
    size_t answered = 0;
    bool up_elsewhere = false;
    bool other_owner = false;
    for (const peer_answer& answer : answers) {
      const auto health = answer.text ? PeerHealthFromText(*answer.text) : std::nullopt;
      if (!health) continue;
      ++answered;
      up_elsewhere = up_elsewhere || health->store_age < kMaxReachableStoreAge;
      other_owner = other_owner || health->epoch > epoch;
    }
    if (other_owner) return done(outage_verdict::kOtherOwner);
    if (up_elsewhere) return done(outage_verdict::kUpElsewhere);
    // A silent peer may reach the store. A failure domain that is cut off reaches only its own
    // entries, and all of those are cut off from the store too.
    if (answered < answers.size()) return done(outage_verdict::kSomeSilent);
    outage_confirmed_at_ = BootNow();
    done(outage_verdict::kDownForAll);
  });
}

template <site_platform Platform>
void site_node<Platform>::SendAdviceRequests() {
  while (auto next = advice_.Next(BootNow())) {
    if (owner_ != nullptr && (next->Fresh() || owner_->RefreshQuery(next->query))) {
      RequestAdvice(*next);
    } else {
      advice_.OnAnswered(next->entry);
    }
  }
}

template <site_platform Platform>
void site_node<Platform>::RequestAdvice(const dispatched_query& next) {
  const auto order = std::make_shared<const advice_query>(next.query);
  const auto timeout = advice_timeout_.Of(*order);
  const monotonic_time asked = BootNow();
  const auto finish = [this, order, entry = next.entry, timeout, queued = next.queued,
                       asked](const advice_answer& answer) {
    const monotonic_time now = BootNow();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - asked);
    if (answer.answered || took >= timeout) advice_timeout_.OnEnd(*order, took);
    log_.Write(site_event::kAdviceAsked, now,
               absl::StrCat("id=", order->job, " step=", order->occurrence, ".", order->step,
                            " by=", entry, " instances=", order->instances.size(),
                            " answered=", answer.answered, " queued_ms=", queued.count(),
                            " expected_ms=", order->expected.count(), " ms=", took.count(),
                            " timeout_ms=", timeout.count(), " waiting=", advice_.Waiting()));
    advice_.OnAnswered(entry);
    if (owner_ != nullptr) owner_->OnAdvice(*order, answer);
    SendAdviceRequests();
  };
  const auto found = membership_.View().entries.find(next.entry);
  if (next.entry == settings_.name || found == membership_.View().entries.end()) {
    platform_.Advisor().QueryAdvice(*order, timeout, [this, finish](advice_answer answer) {
      loop_.Post([finish, answer = std::move(answer)] { finish(answer); });
    });
    return;
  }
  http_call call;
  call.method = "POST";
  call.url = absl::StrCat("http://", found->second.address, kPeerAdvisePath);
  call.body = PeerAdviceRequestToText({*order, timeout, budget_.LinkBusy()});
  call.timeout = timeout + advice_timeout::OfCall(*order);
  peer_client_.Send(std::move(call), [this, finish](http_result result) {
    loop_.Post([finish, result = std::move(result)] {
      const bool good = result.status == transfer_status::kDone && result.code == http_status::kOk;
      const auto answer = good ? PeerAdviceReplyFromText(result.body) : std::nullopt;
      finish(answer.value_or(advice_answer{}));
    });
  });
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_NODE_H_
