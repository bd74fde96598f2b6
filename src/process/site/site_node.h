// One entry of a site: it joins the loop, the servers, the configuration, the membership, the
// callers' front and, while it owns the site, the owner's work.
#ifndef CATKINFORD_PROCESS_SITE_SITE_NODE_H_
#define CATKINFORD_PROCESS_SITE_SITE_NODE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "process/site/advice_spread.h"
#include "process/site/caller_front.h"
#include "process/site/event_loop.h"
#include "process/site/owner_budget.h"
#include "process/site/owner_suspicion.h"
#include "process/site/peer_words.h"
#include "process/site/site_log.h"
#include "process/site/site_membership.h"
#include "process/site/site_metrics.h"
#include "process/site/site_owner.h"
#include "process/site/site_ports.h"
#include "process/site/site_settings.h"
#include "process/site/start_carrier.h"
#include "process/site/start_relay.h"
#include "process/site/store_health.h"
#include "process/site/takeover_spacing.h"
#include "process/site/text_ration.h"
#include "process/site/version_follow.h"

namespace catkinford {

enum class site_start_fault : uint8_t { kNone, kCallerAddress, kReadyAddress, kPeerAddress };

// "ip:port"; false for other text.
bool SplitAddress(const std::string& text, std::string& address, uint16_t& port);
uint64_t NewNonce();

template <site_platform Platform>
class site_node {
 public:
  // `peers` carries the calls to other entries, `starts` those that bring starts, so that neither
  // holds up the other; `link` counts the bytes of all calls.
  site_node(site_settings settings, Platform& platform, http_client& peers, http_client& starts,
            traffic_counter& link);
  ~site_node() { Stop(); }
  site_node(const site_node&) = delete;
  site_node& operator=(const site_node&) = delete;

  site_start_fault Start();
  void Reload();
  // Gives the site up, goes on answering while the balancer takes this entry out, and returns when
  // nothing is in flight or the time is over.
  void Shutdown();
  void Stop();

 private:
  static constexpr size_t kLoopCapacity = 65536;
  // Answers to callers, within the shortest time that callers wait for one.
  static constexpr std::chrono::milliseconds kAnswerWithin{2300};
  static constexpr std::chrono::milliseconds kPeerTimeout{400};
  // Between two bytes of a peer's answer: a configuration takes a narrow link a second and more.
  static constexpr std::chrono::milliseconds kPeerStall{1000};
  // Two looks of the balancer, a second apart, take an entry out of rotation.
  static constexpr std::chrono::milliseconds kLinger{2300};
  static constexpr std::chrono::milliseconds kShutdownMargin{1000};
  static constexpr std::chrono::milliseconds kSettleWait{400};
  // An answer to a question to a policy may take this much longer than the policy says.
  static constexpr std::chrono::milliseconds kAdviceSlack{900};
  // A peer that heard of the store within this time shows that it is not down for all.
  static constexpr std::chrono::milliseconds kStoreFresh{900};

  static constexpr std::chrono::milliseconds kReadinessCheck{100};
  static constexpr std::chrono::milliseconds kAliveTimeout{250};
  // A question that failed sooner was refused: a silent address takes the whole timeout.
  static constexpr std::chrono::milliseconds kRefusedWithin{150};
  // As long as an owner may go on whose end nobody has seen, and its runs' leases.
  static constexpr std::chrono::milliseconds kPreviousPause{200};
  static constexpr int kPreviousTries = 40;
  static constexpr size_t kOthersAsked = 4;  // of different failure domains, if there are

  using peer_answer = std::function<void(const std::optional<std::string>&)>;

  http_server_options OptionsFor(const std::string& address, uint16_t port) const;
  front_hooks FrontHooks();
  membership_hooks MembershipHooks();
  version_hooks VersionHooks();
  relay_hooks RelayHooks();
  owner_hooks OwnerHooks();
  // As of now.
  const owner_budget& Budget(monotonic_time now);

  // Servers' handlers, on their threads.
  void OnCaller(http_server::token token, http_request request);
  void OnReady(http_server::token token);
  void OnPeer(http_server::token token, http_request request);
  void OnMetrics(http_server::token token);

  // On the loop's thread.
  void AnswerPeer(http_server::token token, const http_request& request);
  void AdviseFor(http_server::token token, const http_request& request);
  void OnVersion();
  void OnWon();
  void OnLost();
  void OnViewChanged();
  void AskPeer(const site_entry& peer, const std::string& path_and_query, peer_answer done,
               byte_counter received_bytes = nullptr);
  void TellOwner(const std::string& path_and_query, const std::string& body);
  const site_entry* Owner() const;
  void PhaseFromOwner(const std::string& job, std::function<void(std::optional<graph_phase>)> done);
  void PendingFromOwner(const std::string& queue, std::function<void(std::optional<size_t>)> done);
  told_version TellVersion(const http_request& request);
  void VersionFromPeer(uint64_t have, bool text, byte_counter received_bytes,
                       const std::function<void(std::optional<told_version>)>& done);
  void JudgeOutage(const std::function<void(outage_verdict)>& done);
  // Watching the owner's process.
  void WatchOwner();
  void LookAt(const site_entry& process, const std::function<void(alive_answer)>& done);
  void LookAtPrevious(int tries);
  void LookAtOwner(const std::function<void(alive_answer)>& done);
  void ReadOwnersChange(uint64_t epoch);
  void JudgeOwner(uint64_t epoch);
  void OnSuspected(uint64_t epoch);
  owner_witness Witness() const;
  void SeekWitness();
  void SpreadAdvice();
  void AskAdvice(const advice_order& order, const std::string& entry);
  void TellReadiness();
  void WatchReadiness();
  void UpdateAges();
  void TellLinkUse();

  site_settings settings_;
  Platform& platform_;
  http_client& peers_;
  traffic_counter& link_;
  site_metrics numbers_;
  site_log log_;
  event_loop loop_;
  store_health store_health_;
  site_membership<std::remove_reference_t<decltype(std::declval<Platform>().Store())>> membership_;
  version_follow<Platform> versions_;
  caller_front<Platform> front_;
  owner_budget budget_;
  start_relay<Platform> relay_;      // of this entry's starts, while it owns the site
  start_carrier<Platform> carrier_;  // of another owner's
  advice_spread advice_;
  std::shared_ptr<site_owner<Platform>> owner_;
  std::map<std::string, bool> peer_silent_;
  text_ration texts_;  // of the configuration, for other entries
  absl::BitGen random_;
  bool ask_strong_ = false;  // entries for the configuration: any and strong ones by turns
  owner_suspicion suspicion_;
  takeover_spacing spacing_;
  bool asking_others_ = false;    // whether they see the owner dead too
  uint64_t witnessed_epoch_ = 0;  // of the ownership for which a witness was found
  std::optional<monotonic_time> outage_confirmed_;  // when this entry last told an owner of one
  std::atomic<bool> ready_{false};
  std::atomic<bool> overloaded_{false};
  std::atomic<bool> stopping_{false};
  bool stopped_ = false;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> peer_server_;
  std::unique_ptr<http_server> metrics_server_;
};

template <site_platform Platform>
site_node<Platform>::site_node(site_settings settings, Platform& platform, http_client& peers,
                               http_client& starts, traffic_counter& link)
    : settings_(std::move(settings)),
      platform_(platform),
      peers_(peers),
      link_(link),
      log_(settings_.name, settings_.logs.lines_per_second),
      loop_(kLoopCapacity),
      membership_(
          platform.Store(), store_health_, loop_, log_,
          site_entry{settings_.name,
                     absl::StrCat(settings_.listen.address, ":", settings_.listen.peer_port),
                     settings_.failure_domain, NewNonce(),
                     Strength(settings_.machine.cpu_share, settings_.machine.link_mbps)},
          std::max(settings_.timing.owner_lease, settings_.platform.shortest_lease),
          settings_.timing.watch_wait, MembershipHooks()),
      versions_(platform, loop_, log_, numbers_, settings_.bounds.config_limit, VersionHooks()),
      front_(platform, store_health_, loop_, log_, numbers_, kAnswerWithin, FrontHooks()),
      budget_(settings_.machine.link_mbps, settings_.machine.cpu_share),
      relay_(platform, starts, budget_, loop_, log_, membership_.Self().address, RelayHooks()),
      carrier_(platform, starts, loop_, log_, [this] { return membership_.View().epoch; }),
      texts_(settings_.machine.link_mbps) {}

template <site_platform Platform>
front_hooks site_node<Platform>::FrontHooks() {
  front_hooks hooks;
  hooks.entry = settings_.name;
  hooks.version = [this] { return versions_.Version(); };
  hooks.trust = [this](monotonic_time now) { return versions_.Trust(now); };
  hooks.phase = [this](const std::string& job,
                       std::function<void(std::optional<graph_phase>)> done) {
    PhaseFromOwner(job, std::move(done));
  };
  hooks.pending = [this](const std::string& queue,
                         std::function<void(std::optional<size_t>)> done) {
    PendingFromOwner(queue, std::move(done));
  };
  hooks.tell_job = [this](const std::string& id, const std::string& record) {
    if (owner_ != nullptr) return owner_->OnJobStored(id, record);
    TellOwner(absl::StrCat(kPeerJobPath, "?id=", id), record);
  };
  hooks.tell_cancel = [this](const std::string& id) {
    if (owner_ != nullptr) return owner_->OnCancelStored(id);
    TellOwner(absl::StrCat(kPeerCancelPath, "?id=", id), {});
  };
  hooks.keep_payload = [this](const std::string& id, const std::string& payload) {
    carrier_.Keep(id, payload);
  };
  hooks.stopping = [this] { return stopping_.load(); };
  return hooks;
}

template <site_platform Platform>
relay_hooks site_node<Platform>::RelayHooks() {
  relay_hooks hooks;
  hooks.address = [this](const std::string& name) {
    const auto found = membership_.View().entries.find(name);
    return found == membership_.View().entries.end() ? std::string() : found->second.address;
  };
  hooks.may_send = [this](uint64_t epoch, monotonic_time now) {
    return owner_ != nullptr && membership_.Epoch() == epoch && membership_.MayAct(now);
  };
  return hooks;
}

template <site_platform Platform>
membership_hooks site_node<Platform>::MembershipHooks() {
  membership_hooks hooks;
  hooks.won = [this] { OnWon(); };
  hooks.lost = [this](const std::string&) { OnLost(); };
  hooks.view_changed = [this] { OnViewChanged(); };
  hooks.ask_peers = [this](const std::function<void(outage_verdict)>& done) { JudgeOutage(done); };
  return hooks;
}

template <site_platform Platform>
version_hooks site_node<Platform>::VersionHooks() {
  version_hooks hooks;
  hooks.changed = [this] { OnVersion(); };
  hooks.store_up = [this] { return store_health_.State(BootNow()) == store_state::kUp; };
  hooks.ask_peer = [this](uint64_t have, bool text, byte_counter received_bytes,
                          const std::function<void(std::optional<told_version>)>& done) {
    VersionFromPeer(have, text, std::move(received_bytes), done);
  };
  return hooks;
}

template <site_platform Platform>
http_server_options site_node<Platform>::OptionsFor(const std::string& address,
                                                    uint16_t port) const {
  http_server_options options;
  options.address = address;
  options.port = port;
  return options;
}

template <site_platform Platform>
site_start_fault site_node<Platform>::Start() {
  std::string address;
  uint16_t port = 0;
  if (!SplitAddress(settings_.listen.ready, address, port)) return site_start_fault::kReadyAddress;
  readiness_ = std::make_unique<http_server>(
      OptionsFor(address, port),
      [this](http_server::token token, const http_request&) { OnReady(token); });
  if (!readiness_->Start()) return site_start_fault::kReadyAddress;

  peer_server_ = std::make_unique<http_server>(
      OptionsFor(settings_.listen.address, settings_.listen.peer_port),
      [this](http_server::token token, http_request request) {
        OnPeer(token, std::move(request));
      });
  if (!peer_server_->Start()) return site_start_fault::kPeerAddress;

  if (!SplitAddress(settings_.listen.callers, address, port)) {
    return site_start_fault::kCallerAddress;
  }
  callers_ = std::make_unique<http_server>(OptionsFor(address, port),
                                           [this](http_server::token token, http_request request) {
                                             OnCaller(token, std::move(request));
                                           });
  if (!callers_->Start()) return site_start_fault::kCallerAddress;

  if (settings_.listen.metrics_port != 0) {
    metrics_server_ = std::make_unique<http_server>(
        OptionsFor(settings_.listen.address, settings_.listen.metrics_port),
        [this](http_server::token token, const http_request&) { OnMetrics(token); });
    // Numbers are a help, not a duty: without them the entry still serves.
    if (!metrics_server_->Start()) metrics_server_.reset();
  }
  log_.Write(
      site_event::kStarted, BootNow(),
      absl::StrCat("domain=", settings_.failure_domain, " callers=", settings_.listen.callers,
                   " store=", settings_.platform.store, " metrics=", metrics_server_ != nullptr));
  loop_.Start();
  loop_.Post([this] {
    membership_.Start();
    versions_.Start();
    UpdateAges();
    WatchReadiness();
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
  log_.Write(site_event::kStopping, begun, absl::StrCat("waiting=", callers_->Waiting()));
  stopping_ = true;
  ready_ = false;
  std::mutex mutex;
  std::condition_variable changed;
  bool resigned = false;
  const auto resign = [&] {
    membership_.Resign([&] {
      const std::lock_guard lock(mutex);
      resigned = true;
      changed.notify_one();
    });
  };
  loop_.Post(resign);
  const auto limit = settings_.bounds.shutdown_limit - kShutdownMargin;
  {
    std::unique_lock lock(mutex);
    changed.wait_for(lock, limit, [&] { return resigned; });
  }
  // Callers keep their open connections until the balancer has taken this entry out.
  constexpr std::chrono::milliseconds kLook{20};
  while (BootNow() - begun < limit) {
    const bool idle = callers_->Waiting() == 0;
    if (idle && BootNow() - begun >= kLinger) break;
    std::this_thread::sleep_for(kLook);
  }
  log_.Write(site_event::kStopped, BootNow(), absl::StrCat("waiting=", callers_->Waiting()));
  // `resigned` and its lock live here: nothing may call back into them.
  Stop();
}

template <site_platform Platform>
void site_node<Platform>::Stop() {
  if (std::exchange(stopped_, true)) return;
  for (http_server* server :
       {callers_.get(), readiness_.get(), peer_server_.get(), metrics_server_.get()}) {
    if (server != nullptr) server->Stop();
  }
  loop_.Stop();
}

template <site_platform Platform>
void site_node<Platform>::OnCaller(http_server::token token, http_request request) {
  const bool taken = loop_.TryPost([this, token, request = std::move(request)]() mutable {
    front_.Handle(std::move(request), [this, token](http_response response) {
      callers_->Respond(token, std::move(response));
    });
  });
  if (taken) return;
  http_response busy;
  busy.status = front_status::kUnavailable;
  busy.body = Platform::EncodeError("overloaded");
  busy.retry_after = std::chrono::seconds(1);
  callers_->Respond(token, std::move(busy));
}

template <site_platform Platform>
void site_node<Platform>::OnReady(http_server::token token) {
  http_response response;
  response.status = ready_ ? front_status::kOk : front_status::kUnavailable;
  response.body = "{}";
  readiness_->Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::OnMetrics(http_server::token token) {
  http_response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = numbers_.Text();
  metrics_server_->Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::OnPeer(http_server::token token, http_request request) {
  if (request.path == kPeerAlivePath) {
    return peer_server_->Respond(
        token, {.body = AliveToText({membership_.Self().nonce, overloaded_.load()})});
  }
  const bool taken =
      loop_.TryPost([this, token, request = std::move(request)] { AnswerPeer(token, request); });
  if (!taken) peer_server_->Respond(token, {.status = front_status::kUnavailable});
}

template <site_platform Platform>
void site_node<Platform>::AnswerPeer(http_server::token token, const http_request& request) {
  http_response response;
  const bool owns = owner_ != nullptr && owner_->Loaded();
  if (request.path == kPeerStatePath) {
    told_phase state{owns, std::nullopt};
    if (owns) state.phase = owner_->PhaseOf(request.Query("id"));
    response.body = ToldPhaseToText(state);
  } else if (request.path == kPeerPendingPath) {
    response.body =
        ToldPendingToText({owns, owns ? owner_->Pending(request.Query("queue")) : size_t{0}});
  } else if (request.path == kPeerHealthPath) {
    const monotonic_time now = BootNow();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - membership_.StoreAnswered());
    if (age >= kStoreFresh) outage_confirmed_ = now;
    response.body = PeerHealthToText({age, membership_.View().epoch});
  } else if (request.path == kPeerWitnessPath) {
    response.body = OwnerWitnessToText(Witness());
  } else if (request.path == kPeerLookPath) {
    return LookAtOwner([this, token](alive_answer answer) {
      peer_server_->Respond(token, {.body = LookToText(answer)});
    });
  } else if (request.path == kPeerVersionPath) {
    response.body = ToldVersionToText(TellVersion(request));
  } else if (request.path == kPeerJobPath) {
    if (owner_ != nullptr) owner_->OnJobStored(request.Query("id"), request.body);
  } else if (request.path == kPeerCancelPath) {
    if (owner_ != nullptr) owner_->OnCancelStored(request.Query("id"));
  } else if (request.path == kPeerAdvisePath) {
    return AdviseFor(token, request);
  } else if (request.path == kPeerStartPath) {
    return carrier_.Carry(request.body, [this, token](http_response answer) {
      peer_server_->Respond(token, std::move(answer));
    });
  } else if (request.path == kPeerStartedPath) {
    relay_.OnStarted(request.body);
  } else {
    response.status = front_status::kNotFound;
  }
  peer_server_->Respond(token, std::move(response));
}

template <site_platform Platform>
void site_node<Platform>::AdviseFor(http_server::token token, const http_request& request) {
  const auto question = PeerQuestionFromText(request.body);
  if (!question) return peer_server_->Respond(token, {.status = front_status::kBadRequest});
  platform_.Advisor().Ask(question->order, question->timeout,
                          [this, token](const advice_answer& answer) {
                            peer_server_->Respond(token, {.body = PeerAdviceToText(answer)});
                          });
}

template <site_platform Platform>
void site_node<Platform>::OnVersion() {
  numbers_.version.Set(static_cast<double>(versions_.Version()->Number()));
  TellReadiness();
  if (owner_ != nullptr) owner_->SetVersion(versions_.Version());
}

template <site_platform Platform>
void site_node<Platform>::TellReadiness() {
  // Callers whose entry cannot reach the store are better served by another one.
  const bool reaches = store_health_.State(BootNow()) != store_state::kDown;
  // And so are those whose entry does not know what is in force.
  const bool confirmed = versions_.Trust(BootNow()) != version_trust::kUnconfirmed;
  const bool now = confirmed && !stopping_ && reaches;
  if (ready_.exchange(now) == now) return;
  log_.Write(site_event::kReadiness, BootNow(),
             absl::StrCat("ready=", now, " store=", reaches, " version_confirmed=", confirmed));
}

template <site_platform Platform>
void site_node<Platform>::WatchReadiness() {
  loop_.After(kReadinessCheck, [this] { WatchReadiness(); });
  TellReadiness();
}

template <site_platform Platform>
void site_node<Platform>::UpdateAges() {
  loop_.After(std::chrono::seconds(1), [this] { UpdateAges(); });
  const auto now = BootNow();
  const auto seconds = [&](monotonic_time since) {
    return std::chrono::duration<double>(now - since).count();
  };
  numbers_.store_age_seconds.Set(seconds(membership_.StoreAnswered()));
  numbers_.version_age_seconds.Set(seconds(versions_.AsOf()));
  const double left_out = static_cast<double>(log_.LeftOut());
  numbers_.log_lines_left_out.Increment(left_out - numbers_.log_lines_left_out.Value());
  TellLinkUse();
}

template <site_platform Platform>
void site_node<Platform>::TellLinkUse() {
  std::string kinds;
  uint64_t sent = 0;
  uint64_t received = 0;
  for (const auto& [kind, use] : link_.Take()) {
    numbers_.CountTraffic(kind, use);
    sent += use.sent;
    received += use.received;
    absl::StrAppend(&kinds, " ", kind, "=", use.calls, "/", use.sent, "/", use.received);
  }
  // Of an entry that only takes calls there is nothing to explain.
  if (owner_ == nullptr) return;
  log_.Write(site_event::kLinkUse, BootNow(),
             absl::StrCat("sent=", sent, " received=", received, " decide_ms=",
                          owner_->TakeDecideTime().count(), " delay_ms=", loop_.Delay().count(),
                          " order_delay_ms=", platform_.Instances().Delay().count(), kinds));
}

template <site_platform Platform>
void site_node<Platform>::LookAtOwner(const std::function<void(alive_answer)>& done) {
  const site_entry* owner = Owner();
  if (owner == nullptr) return done(alive_answer::kAlive);  // nobody, or this entry
  LookAt(*owner, done);
}

// One question to another entry's process.
template <site_platform Platform>
void site_node<Platform>::LookAt(const site_entry& process,
                                 const std::function<void(alive_answer)>& done) {
  http_call call;
  call.url = absl::StrCat("http://", process.address, kPeerAlivePath);
  call.timeout = kAliveTimeout;
  const monotonic_time asked = BootNow();
  peers_.Send(std::move(call), [this, done, asked, nonce = process.nonce](http_result result) {
    loop_.Post([done, asked, nonce, result = std::move(result)] {
      if (result.status == transfer_status::kDone) {
        const auto alive = AliveFromText(result.body);
        if (!alive || alive->nonce != nonce) return done(alive_answer::kOtherProcess);
        return done(alive->busy ? alive_answer::kBusy : alive_answer::kAlive);
      }
      const bool refused = BootNow() - asked < kRefusedWithin;
      done(refused ? alive_answer::kRefused : alive_answer::kSilent);
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
  if (!watches) return again(suspicion_.Pause());
  const uint64_t epoch = membership_.View().owner->epoch;
  suspicion_.Watch(epoch, BootNow());
  LookAtOwner([this, epoch, again](alive_answer answer) {
    suspicion_.OnAnswer(answer, BootNow());
    if (answer == alive_answer::kSilent) ReadOwnersChange(epoch);
    JudgeOwner(epoch);
    again(suspicion_.Pause());
  });
}

// An owner that is busy answers late, but what it writes still arrives.
template <site_platform Platform>
void site_node<Platform>::ReadOwnersChange(uint64_t epoch) {
  platform_.Store().Get(kCommitKey, [this, epoch](const store_reply& reply) {
    loop_.Post([this, epoch, reply] {
      const auto& owner = membership_.View().owner;
      const bool same = owner && owner->epoch == epoch;
      const bool told =
          reply.status == store_status::kDone || reply.status == store_status::kAbsent;
      if (!same || !told) return;
      suspicion_.OnChange(reply.items.empty() ? 0 : reply.items.front().revision, BootNow());
      JudgeOwner(epoch);
    });
  });
}

template <site_platform Platform>
void site_node<Platform>::JudgeOwner(uint64_t epoch) {
  const monotonic_time now = BootNow();
  if (!suspicion_.Suspected(now)) return;
  if (suspicion_.OnlySilent() && !spacing_.SilenceSuffices(now)) return;
  OnSuspected(epoch);
}

// This entry may be the one that is cut off: others are asked what they see.
template <site_platform Platform>
void site_node<Platform>::OnSuspected(uint64_t epoch) {
  if (std::exchange(asking_others_, true)) return;
  log_.Write(site_event::kOwnerSuspected, BootNow(),
             absl::StrCat("epoch=", epoch, " only_silent=", suspicion_.OnlySilent()));
  std::vector<site_entry> others;
  std::set<std::string> domains;
  for (const bool fresh_domain : {true, false}) {
    for (const auto& [name, entry] : membership_.View().entries) {
      const bool owner = Owner() != nullptr && name == Owner()->name;
      if (name == settings_.name || owner || others.size() >= kOthersAsked) continue;
      if (domains.insert(entry.failure_domain).second == fresh_domain) others.push_back(entry);
    }
  }
  if (others.empty()) {
    asking_others_ = false;
    return;
  }
  auto answers = std::make_shared<std::vector<alive_answer>>();
  auto left = std::make_shared<size_t>(others.size());
  for (const site_entry& other : others) {
    AskPeer(other, kPeerLookPath,
            [this, answers, left, epoch](const std::optional<std::string>& text) {
              const auto seen = text ? LookFromText(*text) : std::nullopt;
              if (seen) answers->push_back(*seen);
              if (--*left > 0) return;
              asking_others_ = false;
              const bool shared = SuspicionShared(*answers);
              log_.Write(
                  site_event::kOwnerSuspected, BootNow(),
                  absl::StrCat("epoch=", epoch, " answers=", answers->size(), " shared=", shared));
              if (shared && !stopping_) membership_.ClaimFrom(epoch);
            });
  }
}

template <site_platform Platform>
owner_hooks site_node<Platform>::OwnerHooks() {
  owner_hooks hooks;
  hooks.superseded = [this](const std::string& why) { membership_.OnSuperseded(why); };
  hooks.may_act = [this](monotonic_time now) { return membership_.MayAct(now); };
  hooks.store_down_for_all = [this](monotonic_time now) { return membership_.OutageTrusted(now); };
  hooks.version_confirmed = [this](monotonic_time now) {
    return versions_.Trust(now) != version_trust::kUnconfirmed;
  };
  hooks.ask_advice = [this](advice_order order) {
    advice_.Add(std::move(order));
    SpreadAdvice();
  };
  const uint64_t epoch = membership_.Epoch();
  hooks.start = [this, epoch](start_order order, const std::string& accepted_by,
                              order_callback done) {
    relay_.Send(std::move(order), accepted_by, epoch, std::move(done));
  };
  hooks.budget = [this](monotonic_time now) -> const owner_budget& { return Budget(now); };
  return hooks;
}

template <site_platform Platform>
const owner_budget& site_node<Platform>::Budget(monotonic_time now) {
  budget_.OnUse(link_.Total(), now);
  overloaded_ = budget_.Overloaded();
  return budget_;
}

template <site_platform Platform>
void site_node<Platform>::OnWon() {
  owner_ = std::make_shared<site_owner<Platform>>(
      platform_, loop_, log_, numbers_, settings_, membership_.Epoch(), membership_.OwnerRevision(),
      membership_.ClaimedEarly() || membership_.OthersMayAct(), OwnerHooks());
  numbers_.owns_site.Set(1);
  numbers_.takeovers.Increment();
  owner_->Start(versions_.Version());
  SeekWitness();
  LookAtPrevious(kPreviousTries);
}

// An owner whose process is gone gives no orders any more. Its machine may start again only after
// this one took over: asked until it answers, or until all is known anyhow.
template <site_platform Platform>
void site_node<Platform>::LookAtPrevious(int tries) {
  const auto& previous = membership_.Previous();
  if (!previous || owner_ == nullptr || tries == 0) return;
  // That it is dead says nothing of the one before it.
  if (membership_.OthersMayAct()) return;
  // This entry was restarted at the previous owner's address.
  const site_entry& self = membership_.Self();
  if (previous->name == self.name && previous->nonce != self.nonce) {
    return owner_->OnEarlierOwnerDead();
  }
  const std::weak_ptr<site_owner<Platform>> weak = owner_;
  LookAt(*previous, [this, weak, tries](alive_answer answer) {
    const auto owner = weak.lock();
    if (owner == nullptr || owner != owner_) return;
    if (answer == alive_answer::kOtherProcess) return owner->OnEarlierOwnerDead();
    loop_.After(kPreviousPause, [this, tries] { LookAtPrevious(tries - 1); });
  });
}

template <site_platform Platform>
owner_witness site_node<Platform>::Witness() const {
  const monotonic_time now = BootNow();
  owner_witness out;
  out.registered = membership_.RegisteredFor(now);
  if (outage_confirmed_) {
    out.confirmed_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *outage_confirmed_);
  }
  return out;
}

// One good witness suffices: this entry, or the first of the others.
template <site_platform Platform>
void site_node<Platform>::SeekWitness() {
  const std::weak_ptr<site_owner<Platform>> weak = owner_;
  const auto take = [this, weak](const owner_witness& witness, const std::string& from) {
    const auto owner = weak.lock();
    if (owner == nullptr || owner != owner_ || !RulesOutUnrecordedStarts(witness)) return false;
    if (std::exchange(witnessed_epoch_, membership_.Epoch()) == membership_.Epoch()) return true;
    log_.Write(site_event::kRecordsComplete, BootNow(),
               absl::StrCat("epoch=", membership_.Epoch(), " witness=", from,
                            " registered_ms=", witness.registered.count()));
    owner->OnRecordsComplete();
    return true;
  };
  if (take(Witness(), settings_.name)) return;
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name == settings_.name) continue;
    AskPeer(entry, kPeerWitnessPath, [take, name](const std::optional<std::string>& text) {
      const auto witness = text ? OwnerWitnessFromText(*text) : std::nullopt;
      if (witness) take(*witness, name);
    });
  }
}

template <site_platform Platform>
void site_node<Platform>::OnLost() {
  numbers_.owns_site.Set(0);
  overloaded_ = false;
  relay_.Clear();
  if (owner_ == nullptr) return;
  owner_->End();
  owner_.reset();
  advice_ = advice_spread();
  OnViewChanged();
}

template <site_platform Platform>
void site_node<Platform>::OnViewChanged() {
  if (const auto& owner = membership_.View().owner) spacing_.OnOwner(owner->epoch, BootNow());
  std::vector<std::string> names;
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name != settings_.name) names.push_back(name);
  }
  relay_.SetEntries(names);
  names.insert(names.begin(), settings_.name);
  advice_.SetEntries(names);
  SpreadAdvice();
}

template <site_platform Platform>
void site_node<Platform>::AskPeer(const site_entry& peer, const std::string& path_and_query,
                                  peer_answer done, byte_counter received_bytes) {
  http_call call;
  call.url = absl::StrCat("http://", peer.address, path_and_query);
  call.timeout = kPeerTimeout;
  call.stall_timeout = kPeerStall;
  call.received_bytes = std::move(received_bytes);
  const monotonic_time asked = BootNow();
  peers_.Send(std::move(call), [this, asked, name = peer.name,
                                done = std::move(done)](http_result result) {
    loop_.Post([this, asked, name, done, result = std::move(result)] {
      const bool good = result.status == transfer_status::kDone && result.code == front_status::kOk;
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
void site_node<Platform>::TellOwner(const std::string& path_and_query, const std::string& body) {
  const site_entry* owner = Owner();
  if (owner == nullptr) return;
  http_call call;
  call.method = "POST";
  call.url = absl::StrCat("http://", owner->address, path_and_query);
  call.body = body;
  call.timeout = kPeerTimeout;
  // Whether it arrives does not matter: the owner's watch brings the same.
  peers_.Send(std::move(call), [](const http_result&) {});
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
  AskPeer(*owner, absl::StrCat(kPeerStatePath, "?id=", job),
          [done = std::move(done)](const std::optional<std::string>& text) {
            const auto state = text ? ToldPhaseFromText(*text) : std::nullopt;
            done(state && state->owns ? state->phase : std::nullopt);
          });
}

template <site_platform Platform>
void site_node<Platform>::PendingFromOwner(const std::string& queue,
                                           std::function<void(std::optional<size_t>)> done) {
  if (owner_ != nullptr && owner_->Loaded()) return done(owner_->Pending(queue));
  const site_entry* owner = Owner();
  if (owner == nullptr) return done(std::nullopt);
  AskPeer(*owner, absl::StrCat(kPeerPendingPath, "?queue=", queue),
          [done = std::move(done)](const std::optional<std::string>& text) {
            const auto pending = text ? ToldPendingFromText(*text) : std::nullopt;
            done(pending && pending->owns ? std::optional<size_t>(pending->pending) : std::nullopt);
          });
}

// What this entry tells another one of its configuration.
template <site_platform Platform>
told_version site_node<Platform>::TellVersion(const http_request& request) {
  const monotonic_time now = BootNow();
  told_version told;
  told.version = versions_.Word(now);
  uint64_t have = 0;
  const bool newer = absl::SimpleAtoi(request.Query("have"), &have) && told.version.number > have;
  if (!newer || request.Query("text") != "1") return told;
  const bool given = texts_.Take(versions_.Text().size(), now);
  if (given) {
    told.text = versions_.Text();
    numbers_.version_texts.Increment();
  }
  log_.Write(site_event::kVersionTold, now,
             absl::StrCat("peer=", LogField(request.Query("by")), " version=", told.version.number,
                          " have=", have, " given=", given, " bytes=", told.text.size()));
  return told;
}

template <site_platform Platform>
void site_node<Platform>::VersionFromPeer(
    uint64_t have, bool text, byte_counter received_bytes,
    const std::function<void(std::optional<told_version>)>& done) {
  ask_strong_ = !ask_strong_;
  const auto peer =
      PickEntry(membership_.View(), settings_.name, ask_strong_, absl::Uniform<uint64_t>(random_));
  if (!peer) return done(std::nullopt);
  AskPeer(
      *peer, absl::StrCat(kPeerVersionPath, "?have=", have, "&text=", text, "&by=", settings_.name),
      [done](const std::optional<std::string>& answer) {
        done(answer ? ToldVersionFromText(*answer) : std::nullopt);
      },
      std::move(received_bytes));
}

template <site_platform Platform>
void site_node<Platform>::JudgeOutage(const std::function<void(outage_verdict)>& done) {
  struct poll {
    size_t left = 0;
    size_t answered = 0;
    size_t asked = 0;
    bool up_elsewhere = false;
    bool other_owner = false;
  };
  auto asked = std::make_shared<poll>();
  const uint64_t epoch = membership_.Epoch();
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name != settings_.name) ++asked->left;
  }
  asked->asked = asked->left;
  if (asked->left == 0) return done(outage_verdict::kSomeSilent);
  for (const auto& [name, entry] : membership_.View().entries) {
    if (name == settings_.name) continue;
    AskPeer(entry, kPeerHealthPath,
            [this, asked, epoch, done](const std::optional<std::string>& text) {
              const auto health = text ? PeerHealthFromText(*text) : std::nullopt;
              if (health) {
                ++asked->answered;
                asked->up_elsewhere = asked->up_elsewhere || health->store_age < kStoreFresh;
                asked->other_owner = asked->other_owner || health->epoch > epoch;
              }
              if (--asked->left > 0) return;
              if (asked->other_owner) return done(outage_verdict::kOtherOwner);
              if (asked->up_elsewhere) return done(outage_verdict::kUpElsewhere);
              // One that is silent may reach the store: a failure domain that is cut off hears only
              // its own entries, and all of those are cut off from the store too.
              if (asked->answered < asked->asked) return done(outage_verdict::kSomeSilent);
              outage_confirmed_ = BootNow();
              done(outage_verdict::kDownForAll);
            });
  }
}

template <site_platform Platform>
void site_node<Platform>::SpreadAdvice() {
  while (auto next = advice_.Next()) AskAdvice(next->first, next->second);
}

template <site_platform Platform>
void site_node<Platform>::AskAdvice(const advice_order& order, const std::string& entry) {
  const auto timeout = order.expected + kAdviceSlack;
  const monotonic_time asked = BootNow();
  const auto finish = [this, order, entry, asked](const advice_answer& answer) {
    const monotonic_time now = BootNow();
    log_.Write(
        site_event::kAdviceAsked, now,
        absl::StrCat("id=", order.job, " step=", order.occurrence, ".", order.step, " by=", entry,
                     " instances=", order.instances.size(), " answered=", answer.answered,
                     " expected_ms=", order.expected.count(), " ms=",
                     std::chrono::duration_cast<std::chrono::milliseconds>(now - asked).count(),
                     " waiting=", advice_.Waiting()));
    advice_.OnAnswered(entry);
    if (owner_ != nullptr) owner_->OnAdvice(order, answer);
    SpreadAdvice();
  };
  const auto found = membership_.View().entries.find(entry);
  if (entry == settings_.name || found == membership_.View().entries.end()) {
    platform_.Advisor().Ask(order, timeout, [this, finish](advice_answer answer) {
      loop_.Post([finish, answer = std::move(answer)] { finish(answer); });
    });
    return;
  }
  http_call call;
  call.method = "POST";
  call.url = absl::StrCat("http://", found->second.address, kPeerAdvisePath);
  call.body = PeerQuestionToText({order, timeout});
  call.timeout = timeout + kPeerTimeout;
  peers_.Send(std::move(call), [this, finish](http_result result) {
    loop_.Post([finish, result = std::move(result)] {
      const bool good = result.status == transfer_status::kDone && result.code == front_status::kOk;
      const auto answer = good ? PeerAdviceFromText(result.body) : std::nullopt;
      finish(answer.value_or(advice_answer{}));
    });
  });
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_NODE_H_
