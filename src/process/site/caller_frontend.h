// Calls of callers: submit, cancel, a job's state, the number of waiting jobs. The answers are
// definite: a job is accepted only once it is stored, rejected only if it will certainly never run,
// and "unsettled" where the store's answer is unknown.
#ifndef CATKINFORD_PROCESS_SITE_CALLER_FRONTEND_H_
#define CATKINFORD_PROCESS_SITE_CALLER_FRONTEND_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "connection/http_server.h"
#include "process/site/event_loop.h"
#include "process/site/http_status.h"
#include "process/site/outage_scope.h"
#include "process/site/peer_messages.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_platform.h"
#include "process/site/site_records.h"
#include "process/site/store_health.h"
#include "process/site/version_refresh.h"
#include "request/bounded_json.h"
#include "request/text_compression.h"

namespace catkinford {

// The requests of this process hold too much for another one to be read.
struct memory_shortage {};

// A submission that is rejected before its record is sent to the store.
struct shed_submission {
  std::chrono::seconds retry_after{1};
};

struct frontend_hooks {
  std::string entry;  // name of this entry
  // The lowest epoch of an owner that this entry may still notify.
  std::function<uint64_t()> known_epoch;
  std::function<std::shared_ptr<const site_configuration>()> version;
  std::function<version_trust(monotonic_time now)> trust;
  // Where the store does not answer; asks the other entries if that is not known.
  std::function<outage_scope(monotonic_time now)> outage;
  // Asks the owner, this entry or another; empty when the owner does not answer or does not know.
  std::function<void(const std::string& job, std::function<void(std::optional<graph_phase>)>)>
      phase;
  std::function<void(const std::string& queue, std::function<void(std::optional<size_t>)>)> pending;
  // Notify the owner of what was just stored, ahead of its watch. A lost notification does no harm:
  // the watch reports the same change.
  std::function<void(const std::string& id, const std::string& record)> notify_job_stored;
  // Called when a job is being accepted here, since its tasks may have to be started from here.
  std::function<void(const std::string& id, const std::string& payload)> cache_payload;
  std::function<void(const std::string& id)> notify_cancel_stored;
  // Asked before the record of a job is sent to the store; may answer later. Nothing: accept it.
  std::function<void(const graph_job& job, std::function<void(std::optional<shed_submission>)>)>
      admit;
  std::function<bool()> stopping;
};

template <site_platform Platform>
class caller_frontend {
 public:
  using responder = std::function<void(http_response)>;

  caller_frontend(Platform& platform, store_health& health, event_loop& loop, site_log& log,
                  site_metrics& metrics, std::chrono::milliseconds answer_timeout,
                  frontend_hooks hooks)
      : platform_(platform),
        health_(health),
        loop_(loop),
        log_(log),
        metrics_(metrics),
        answer_timeout_(answer_timeout),
        hooks_(std::move(hooks)) {}

  // On the loop's thread.
  void Handle(http_request request, responder respond) {
    Admit({std::move(request), std::move(respond), BootNow(), {}, {}, {}});
  }

  // Answers every call in flight with what is known of it, and rejects those that follow: the
  // process ends before they could be settled. On the loop's thread.
  void SettleAll() {
    all_settled_ = true;
    const auto open = open_;
    for (const auto& [key, current] : open) Settle(*current);
  }

 private:
  static constexpr std::chrono::milliseconds kStoreRetry{100};
  static constexpr std::chrono::milliseconds kSuspectStorePause{40};
  // A submission waits for a store that answers nobody, rather than be rejected, for as long as its
  // caller can still return once and wait as long again. Callers that state no timeout have this
  // one.
  static constexpr std::chrono::milliseconds kDefaultCallerTimeout{3000};
  static constexpr std::chrono::milliseconds kReturnPause{1000};  // the shortest Retry-After
  static constexpr std::chrono::milliseconds kAnswerMargin{200};
  static constexpr std::chrono::milliseconds kMaxHold{1000};
  // Of a submission's text: the job, its record and the call to the store.
  static constexpr size_t kCopiesOfJob = 6;
  static constexpr char kVersionUnconfirmed[] = "version_unconfirmed";
  static constexpr char kStopping[] = "stopping";
  static constexpr char kNoCapacity[] = "no_capacity";

  // State of one call. The version is the one in effect when the call was admitted.
  struct call {
    http_request request;
    responder respond;
    monotonic_time arrived{};
    std::string id;
    std::string workspace;
    std::shared_ptr<const site_configuration> version;
    const queue_config* queue = nullptr;  // points into `version`
    request_memory copies;                // of a submission, on its way to the store
    bool may_be_stored = false;           // a submission that was sent to the store
    bool answered = false;
  };
  using shared_call = std::shared_ptr<call>;

  void Admit(call now) {
    if (all_settled_) return Reject(now, http_status::kUnavailable, kStopping);
    now.version = hooks_.version();
    if (now.version == nullptr) {
      return Reject(now, http_status::kUnavailable, "no_configuration_yet");
    }
    const queue_config* queue = now.version->QueueFor(now.request.host, now.request.path);
    if (queue == nullptr) return RejectAbsent(now, http_status::kNotFound, "no_such_queue");
    now.queue = queue;
    now.id = now.request.path.substr(queue->prefix.size());
    const workspace_config* holder = now.version->WorkspaceOfKey(now.request.bearer);
    if (!queue->anonymous && holder == nullptr) {
      return RejectAbsent(now, http_status::kUnauthorized, "unknown_key");
    }
    if (!MayServe(now)) {
      if (MayHold(now)) return Hold(Open(std::move(now)));
      return Reject(now, http_status::kUnavailable, kVersionUnconfirmed);
    }
    if (holder != nullptr && !queue->anonymous) now.workspace = holder->name;
    Route(std::move(now));
  }

  // What follows for a call does not happen once the call is answered: a rejected submission must
  // not be sent.
  store_callback OnLoop(const shared_call& current, std::function<void(const store_reply&)> done) {
    const uint64_t sent = health_.Sent(BootNow());
    return [this, current, sent, done = std::move(done)](store_reply reply) {
      loop_.Post([this, current, sent, done, reply = std::move(reply)] {
        health_.Answered(sent, IsAnswer(reply), BootNow());
        if (!current->answered) done(reply);
      });
    };
  }

  void After(std::chrono::milliseconds delay, const shared_call& current,
             std::function<void()> next) {
    loop_.After(delay, [current, next = std::move(next)] {
      if (!current->answered) next();
    });
  }

  std::chrono::milliseconds CallerTimeout(const call& current) const {
    int64_t millis = 0;
    const std::string text = current.request.Header(Platform::kCallerTimeoutHeader);
    if (!absl::SimpleAtoi(text, &millis) || millis <= 0) return kDefaultCallerTimeout;
    return std::chrono::milliseconds(millis);
  }

  // Some other entry reaches the store.
  bool OnlyHere(monotonic_time now) const {
    const outage_scope scope = hooks_.outage(now);
    return scope == outage_scope::kThisEntry || scope == outage_scope::kThisDomain;
  }

  // True while waiting here is better for the caller than a rejection.
  bool MayHold(const call& current) const {
    const monotonic_time now = BootNow();
    if (current.request.method != "POST" || hooks_.stopping()) return false;
    if (OnlyHere(now)) return false;
    const auto limit = (CallerTimeout(current) - kReturnPause - kAnswerMargin) / 2;
    return now - current.arrived < std::min<std::chrono::milliseconds>(limit, kMaxHold);
  }

  // The call is admitted anew after a pause, by the configuration that is in effect then.
  void Hold(const shared_call& current) {
    After(kSuspectStorePause, current, [this, current] {
      current->answered = true;
      open_.erase(current.get());
      Admit(
          {std::move(current->request), std::move(current->respond), current->arrived, {}, {}, {}});
    });
  }

  // When a rejected caller should return. Another entry serves it at once if only this one cannot.
  std::chrono::seconds RetryAfter(const call& current) const {
    const monotonic_time now = BootNow();
    const bool elsewhere = hooks_.stopping() || hooks_.outage(now) == outage_scope::kThisEntry;
    if (elsewhere) return std::chrono::seconds{0};
    // Short enough to return within its timeout.
    const auto most = std::chrono::floor<std::chrono::seconds>(CallerTimeout(current) / 3);
    return std::max(std::chrono::seconds{1}, std::min(most, health_.RetryAfter(now)));
  }

  shared_call Open(call now) {
    auto opened = std::make_shared<call>(std::move(now));
    open_.emplace(opened.get(), opened);
    return opened;
  }

  void Settle(call& current) {
    if (current.request.method == "POST") {
      const bool sent = current.may_be_stored;
      Log(sent ? site_event::kJobUnsettled : site_event::kJobRefused, current,
          absl::StrCat("why=", kStopping, " sent=", sent));
      return AnswerError(current, sent ? http_status::kUnsettled : http_status::kUnavailable);
    }
    if (current.request.method == "DELETE") {
      Log(site_event::kCancelRefused, current, absl::StrCat("why=", kStopping));
      return AnswerError(current, http_status::kUnsettled);
    }
    Log(site_event::kStateRefused, current, absl::StrCat("why=", kStopping));
    AnswerError(current, http_status::kUnavailable);
  }

  void AnswerError(call& current, int status) {
    Answer(current, status,
           Platform::EncodeError(status == http_status::kUnsettled ? "unsettled" : kStopping));
  }

  const char* NameOf(const call& current) const {
    if (current.request.method == "POST") return "submit";
    if (current.request.method == "DELETE") return "cancel";
    return current.id.empty() ? "pending" : "state";
  }

  // `retry_after`: of a rejection; if none, as the state of the store suggests.
  void Answer(call& current, int status, std::string body,
              std::optional<std::chrono::seconds> retry_after = std::nullopt) {
    current.answered = true;
    http_response response;
    response.status = status;
    response.body = std::move(body);
    response.close = hooks_.stopping();
    if (status == http_status::kUnavailable) {
      response.retry_after = retry_after ? *retry_after : RetryAfter(current);
    }
    metrics_.CountAnswer(
        NameOf(current), status,
        std::chrono::duration_cast<std::chrono::microseconds>(BootNow() - current.arrived));
    current.respond(std::move(response));
    open_.erase(&current);  // the caller of this function holds the call
  }

  void Log(site_event event, const call& current, const std::string& detail) {
    const monotonic_time now = BootNow();
    log_.Write(
        event, now,
        absl::StrCat(
            "id=", LogField(current.id), " call=", NameOf(current),
            " queue=", current.queue == nullptr ? "none" : current.queue->name,
            " workspace=", current.workspace,
            " version=", current.version == nullptr ? 0 : current.version->Number(), " ms=",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - current.arrived).count(),
            " ", detail));
  }

  void Reject(call& current, int status, const char* reason) {
    Log(site_event::kRequestRefused, current, absl::StrCat("status=", status, " why=", reason));
    Answer(current, status, Platform::EncodeError(reason));
  }

  // What this entry's configuration does not hold may be in a newer one: unless it is the newest,
  // the caller is told to retry and not that the item does not exist.
  void RejectAbsent(call& current, int status, const char* reason) {
    const bool newest = hooks_.trust(current.arrived) == version_trust::kNewest;
    Reject(current, newest ? status : http_status::kUnavailable,
           newest ? reason : kVersionUnconfirmed);
  }

  // Under a superseded configuration a withdrawn key or a removed queue would still be served.
  // While the store is down the configuration cannot change, so everything but submissions is
  // served.
  bool MayServe(const call& current) const {
    if (hooks_.trust(current.arrived) != version_trust::kUnconfirmed) return true;
    return current.request.method != "POST" && health_.State(current.arrived) != store_state::kUp;
  }

  void Route(call now) {
    const std::string& method = now.request.method;
    if (now.id.empty() && method == "GET") {
      return AnswerPending(Open(std::move(now)));
    }
    if (method == "POST") return Submit(Open(std::move(now)));
    if (method != "GET" && method != "DELETE") {
      return Reject(now, http_status::kMethodNotAllowed, "wrong_method");
    }
    // Not a valid job id, so there is no such job.
    if (!IsGraphId(now.id)) return Reject(now, http_status::kGone, "no_such_job");
    if (method == "GET") return AnswerState(Open(std::move(now)));
    Cancel(Open(std::move(now)));
  }

  // --- submit ------------------------------------------------------------------------------------

  void Submit(const shared_call& current) {
    if (current->request.body.size() > current->version->Limits().body_bytes) {
      return Reject(*current, http_status::kTooLarge, "body_too_large");
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(job, Decode(*current));
          const auto copies =
              current->request.memory.Reserve(kCopiesOfJob * current->request.body.size());
          if (!copies) return leaf::new_error(memory_shortage{});
          current->copies = *copies;
          leaf::result<void> sound = CheckGraph(job);
          if (!sound) return sound.error();
          job.queue = current->queue->name;
          job.workspace = current->workspace;
          job.terms = current->queue->jobs;
          job.accepted = WallNow();
          job.accepted_by = hooks_.entry;
          job.known_epoch = hooks_.known_epoch();
          hooks_.admit(job, [this, current, job](std::optional<shed_submission> shed) {
            if (current->answered) return;
            if (shed) {
              return Answer(*current, http_status::kUnavailable, Platform::EncodeError(kNoCapacity),
                            shed->retry_after);
            }
            hooks_.cache_payload(job.id, job.payload);
            StoreWhenUp(current, std::make_shared<const std::string>(JobToText(job)));
          });
          return {};
        },
        [&](graph_fault fault) {
          const std::string reason(ToText(fault));
          Reject(*current, http_status::kBadRequest, reason.c_str());
        },
        [&](memory_shortage) { Reject(*current, http_status::kUnavailable, "overloaded"); },
        [&] { Reject(*current, http_status::kBadRequest, "malformed"); });
  }

  // Fails with a memory_shortage if the requests of this process hold too much.
  leaf::result<graph_job> Decode(const call& current) const {
    const std::string& body = current.request.body;
    const auto parsed = current.request.memory.Reserve(RequestJsonBytes(body.size()));
    if (!parsed) return leaf::new_error(memory_shortage{});
    return Platform::DecodeSubmission(current.id, body);
  }

  // A job that was never sent to the store certainly never runs. Sent to a store that does not
  // answer, it may be stored or not, and neither answer to its caller would be safe.
  void StoreWhenUp(const shared_call& current, const std::shared_ptr<const std::string>& text) {
    switch (health_.State(BootNow())) {
      case store_state::kUp:
        return Store(current, text, false);
      case store_state::kSuspect:
        if (!OnlyHere(BootNow())) {
          After(kSuspectStorePause, current, [this, current, text] { StoreWhenUp(current, text); });
          return;
        }
        [[fallthrough]];
      case store_state::kDown:
        if (MayHold(*current)) return Hold(current);
        Log(site_event::kJobRefused, *current, "why=store_down sent=0");
        return Answer(*current, http_status::kUnavailable,
                      Platform::EncodeError("store_unavailable"));
    }
  }

  // `may_be_stored`: an earlier attempt got no answer, so the job may be stored already.
  void Store(const shared_call& current, const std::shared_ptr<const std::string>& text,
             bool may_be_stored) {
    store_write write;
    const std::string key = kJobPrefix + current->id;
    write.expected = {{key, 0}};
    write.puts.push_back({key, *text, {}});
    current->may_be_stored = true;
    platform_.Store().Commit(
        write, OnLoop(current, [this, current, text, may_be_stored](const store_reply& reply) {
          OnStoreAnswer(current, text, may_be_stored, reply);
        }));
  }

  void OnStoreAnswer(const shared_call& current, const std::shared_ptr<const std::string>& text,
                     bool may_be_stored, const store_reply& reply) {
    // A conflict: the same job was stored before, here or at another entry. It remains one job.
    if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
      Log(site_event::kJobAccepted, *current,
          absl::StrCat("again=", reply.status == store_status::kConflict));
      if (reply.status == store_status::kDone) hooks_.notify_job_stored(current->id, *text);
      return Answer(*current, http_status::kOk, "{}");
    }
    const bool unknown = may_be_stored || reply.status == store_status::kUnknown;
    const bool late = BootNow() - current->arrived > answer_timeout_;
    if (!unknown) {
      Log(site_event::kJobRefused, *current, "why=store_unavailable");
      return Answer(*current, http_status::kUnavailable,
                    Platform::EncodeError("store_unavailable"));
    }
    if (late) {
      Log(site_event::kJobUnsettled, *current, "why=store_did_not_say");
      return Answer(*current, http_status::kUnsettled, Platform::EncodeError("unsettled"));
    }
    // The condition on the key makes a second attempt harmless.
    After(kStoreRetry, current, [this, current, text] { Store(current, text, true); });
  }

  // --- cancel ------------------------------------------------------------------------------------

  void Cancel(const shared_call& current) {
    platform_.Store().Get(
        kJobPrefix + current->id, OnLoop(current, [this, current](const store_reply& reply) {
          if (reply.status == store_status::kAbsent) {
            Log(site_event::kCancelRefused, *current, "why=no_such_job");
            return Answer(*current, http_status::kGone, Platform::EncodeError("no_such_job"));
          }
          if (reply.status == store_status::kDone) return MarkCancelled(current);
          RetryCancel(current);
        }));
  }

  void MarkCancelled(const shared_call& current) {
    store_write write;
    write.puts.push_back({kCancelPrefix + current->id, "{}", {}});
    platform_.Store().Commit(write, OnLoop(current, [this, current](const store_reply& reply) {
                               if (reply.status != store_status::kDone) return RetryCancel(current);
                               Log(site_event::kCancelTaken, *current, "");
                               hooks_.notify_cancel_stored(current->id);
                               Answer(*current, http_status::kOk, "{}");
                             }));
  }

  void RetryCancel(const shared_call& current) {
    if (BootNow() - current->arrived < answer_timeout_) {
      After(kStoreRetry, current, [this, current] { Cancel(current); });
      return;
    }
    Log(site_event::kCancelRefused, *current, "why=store_unavailable");
    Answer(*current, http_status::kUnsettled, Platform::EncodeError("unsettled"));
  }

  // --- state -------------------------------------------------------------------------------------

  void AnswerState(const shared_call& current) {
    hooks_.phase(current->id, [this, current](std::optional<graph_phase> phase) {
      if (current->answered) return;
      if (phase) return AnswerPhase(current, *phase, "owner");
      ReadState(current);
    });
  }

  void AnswerPhase(const shared_call& current, graph_phase phase, const char* source) {
    Log(site_event::kStateTold, *current,
        absl::StrCat("phase=", std::string(ToText(phase)), " source=", source));
    Answer(*current, http_status::kOk, Platform::EncodePhase(phase));
  }

  // The owner does not answer or does not know the job yet, so the records are read.
  void ReadState(const shared_call& current) {
    platform_.Store().Get(
        kJobPrefix + current->id, OnLoop(current, [this, current](const store_reply& reply) {
          if (reply.status == store_status::kAbsent) {
            Log(site_event::kStateTold, *current, "phase=none source=store");
            return Answer(*current, http_status::kGone, Platform::EncodeError("no_such_job"));
          }
          if (reply.status != store_status::kDone) return RetryState(current);
          ReadProgress(current, reply.items.front().value);
        }));
  }

  void ReadProgress(const shared_call& current, const std::string& job_text) {
    platform_.Store().Get(kProgressPrefix + current->id,
                          OnLoop(current, [this, current, job_text](const store_reply& reply) {
                            const bool absent = reply.status == store_status::kAbsent;
                            if (reply.status != store_status::kDone && !absent)
                              return RetryState(current);
                            job_entry entry;
                            leaf::try_handle_all(
                                [&]() -> leaf::result<void> {
                                  BOOST_LEAF_ASSIGN(entry.job, JobFromText(job_text));
                                  if (!absent) {
                                    const auto text = DecompressText(reply.items.front().value);
                                    if (!text) return leaf::new_error(record_parse_error{});
                                    ApplyProgress(entry, *text, BootNow());
                                  }
                                  return {};
                                },
                                [&] {
                                  log_.Write(site_event::kRecordUnreadable, BootNow(),
                                             absl::StrCat("id=", LogField(current->id)));
                                });
                            AnswerPhase(current, entry.phase, "store");
                          }));
  }

  void RetryState(const shared_call& current) {
    const bool down = health_.State(BootNow()) == store_state::kDown;
    if (!down && BootNow() - current->arrived < answer_timeout_) {
      After(kStoreRetry, current, [this, current] { AnswerState(current); });
      return;
    }
    Log(site_event::kStateRefused, *current, "why=store_unavailable");
    Answer(*current, http_status::kUnavailable, Platform::EncodeError("store_unavailable"));
  }

  // --- pending ----------------------------------------------------------------------------------

  void AnswerPending(const shared_call& current) {
    hooks_.pending(current->queue->name, [this, current](std::optional<size_t> pending) {
      if (current->answered) return;
      if (pending) return Answer(*current, http_status::kOk, Platform::EncodePending(*pending));
      if (BootNow() - current->arrived < answer_timeout_) {
        After(kStoreRetry, current, [this, current] { AnswerPending(current); });
        return;
      }
      Log(site_event::kStateRefused, *current, "why=no_owner");
      Answer(*current, http_status::kUnavailable, Platform::EncodeError("no_owner"));
    });
  }

  Platform& platform_;
  store_health& health_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& metrics_;
  std::chrono::milliseconds answer_timeout_;
  frontend_hooks hooks_;
  std::unordered_map<const call*, shared_call> open_;  // calls that are not answered yet
  bool all_settled_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_CALLER_FRONTEND_H_
