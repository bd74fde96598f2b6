// Calls of callers: submit, cancel, a job's state, how many wait. Each gets one true answer: taken
// only once it is stored, refused only if it surely never runs, and "unsettled" where the store did
// not say.
#ifndef CATKINFORD_PROCESS_SITE_CALLER_FRONT_H_
#define CATKINFORD_PROCESS_SITE_CALLER_FRONT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "connection/http_server.h"
#include "process/site/event_loop.h"
#include "process/site/front_status.h"
#include "process/site/peer_words.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_ports.h"
#include "process/site/site_records.h"
#include "process/site/store_health.h"
#include "process/site/version_plan.h"
#include "request/text_compression.h"

namespace catkinford {

struct front_hooks {
  std::string entry;  // the name of this one
  std::function<std::shared_ptr<const site_configuration>()> version;
  std::function<version_trust(monotonic_time now)> trust;
  // From the owner, this entry or another; nothing when it does not answer or does not know.
  std::function<void(const std::string& job, std::function<void(std::optional<graph_phase>)>)>
      phase;
  std::function<void(const std::string& queue, std::function<void(std::optional<size_t>)>)> pending;
  // Tell the owner of what was just stored, so that it need not wait for its watch. Nothing rests
  // on it: what gets lost here, the watch brings.
  std::function<void(const std::string& id, const std::string& record)> tell_job;
  // A job is being accepted here: its tasks may have to be started from here.
  std::function<void(const std::string& id, const std::string& payload)> keep_payload;
  std::function<void(const std::string& id)> tell_cancel;
  std::function<bool()> stopping;
};

template <site_platform Platform>
class caller_front {
 public:
  using responder = std::function<void(http_response)>;

  caller_front(Platform& platform, store_health& health, event_loop& loop, site_log& log,
               site_metrics& numbers, std::chrono::milliseconds answer_within, front_hooks hooks)
      : platform_(platform),
        health_(health),
        loop_(loop),
        log_(log),
        numbers_(numbers),
        answer_within_(answer_within),
        hooks_(std::move(hooks)) {}

  // On the loop's thread.
  void Handle(http_request request, responder respond) {
    call now{std::move(request), std::move(respond), BootNow(), {}, {}, {}, nullptr};
    now.version = hooks_.version();
    if (now.version == nullptr) {
      return Refuse(now, front_status::kUnavailable, "no_configuration_yet");
    }
    const queue_config* queue = now.version->QueueFor(now.request.host, now.request.path);
    if (queue == nullptr) return RefuseAbsent(now, front_status::kNotFound, "no_such_queue");
    now.queue = queue;
    now.id = now.request.path.substr(queue->prefix.size());
    const workspace_config* holder = now.version->WorkspaceOfKey(now.request.bearer);
    if (!queue->anonymous && holder == nullptr) {
      return RefuseAbsent(now, front_status::kNoKey, "unknown_key");
    }
    if (!MayServe(now)) return Refuse(now, front_status::kUnavailable, kVersionUnconfirmed);
    if (holder != nullptr && !queue->anonymous) now.workspace = holder->name;
    Route(std::move(now));
  }

 private:
  static constexpr std::chrono::milliseconds kStoreRetry{100};
  static constexpr std::chrono::milliseconds kDoubtfulPause{40};
  static constexpr char kVersionUnconfirmed[] = "version_unconfirmed";

  // What lives for one call. The version stays as it was when the call came.
  struct call {
    http_request request;
    responder respond;
    monotonic_time arrived{};
    std::string id;
    std::string workspace;
    std::shared_ptr<const site_configuration> version;
    const queue_config* queue = nullptr;  // of the version
  };
  using shared_call = std::shared_ptr<call>;

  store_callback Here(std::function<void(const store_reply&)> done) {
    const uint64_t sent = health_.Sent(BootNow());
    return [this, sent, done = std::move(done)](store_reply reply) {
      loop_.Post([this, sent, done, reply = std::move(reply)] {
        health_.Answered(sent, IsAnswer(reply), BootNow());
        done(reply);
      });
    };
  }

  const char* NameOf(const call& current) const {
    if (current.request.method == "POST") return "submit";
    if (current.request.method == "DELETE") return "cancel";
    return current.id.empty() ? "pending" : "state";
  }

  void Answer(const call& current, int status, std::string body) {
    http_response response;
    response.status = status;
    response.body = std::move(body);
    response.close = hooks_.stopping();
    if (status == front_status::kUnavailable) {
      response.retry_after = health_.ComeBackAfter(BootNow());
    }
    numbers_.CountAnswer(
        NameOf(current), status,
        std::chrono::duration_cast<std::chrono::microseconds>(BootNow() - current.arrived));
    current.respond(std::move(response));
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

  void Refuse(const call& current, int status, const char* word) {
    Log(site_event::kRequestRefused, current, absl::StrCat("status=", status, " why=", word));
    Answer(current, status, Platform::EncodeError(word));
  }

  // What is not in this entry's configuration may be in a newer one: then the caller is not told
  // that it does not exist, but to come back.
  void RefuseAbsent(const call& current, int status, const char* word) {
    const bool newest = hooks_.trust(current.arrived) == version_trust::kNewest;
    Refuse(current, newest ? status : front_status::kUnavailable,
           newest ? word : kVersionUnconfirmed);
  }

  // By a configuration that may be out of force, a withdrawn key or a dropped queue would still be
  // served. While the store is away nothing can change, and what runs is still told.
  bool MayServe(const call& current) const {
    if (hooks_.trust(current.arrived) != version_trust::kUnconfirmed) return true;
    return current.request.method != "POST" && health_.State(current.arrived) != store_state::kUp;
  }

  void Route(call now) {
    const std::string& method = now.request.method;
    if (now.id.empty() && method == "GET") {
      return TellPending(std::make_shared<call>(std::move(now)));
    }
    if (method == "POST") return Submit(std::make_shared<call>(std::move(now)));
    if (method != "GET" && method != "DELETE") {
      return Refuse(now, front_status::kWrongMethod, "wrong_method");
    }
    // No job can have such a name.
    if (!IsGraphId(now.id)) return Refuse(now, front_status::kGone, "no_such_job");
    if (method == "GET") return TellState(std::make_shared<call>(std::move(now)));
    Cancel(std::make_shared<call>(std::move(now)));
  }

  // --- submit ------------------------------------------------------------------------------------

  void Submit(const shared_call& current) {
    if (current->request.body.size() > current->version->Limits().body_bytes) {
      return Refuse(*current, front_status::kTooLarge, "body_too_large");
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(job, Platform::DecodeSubmission(current->id, current->request.body));
          leaf::result<void> sound = CheckGraph(job);
          if (!sound) return sound.error();
          job.queue = current->queue->name;
          job.workspace = current->workspace;
          job.terms = current->queue->jobs;
          job.accepted = WallNow();
          job.accepted_by = hooks_.entry;
          hooks_.keep_payload(job.id, job.payload);
          StoreWhenUp(current, std::make_shared<const std::string>(JobToText(job)));
          return {};
        },
        [&](graph_fault fault) {
          const std::string word(ToText(fault));
          Refuse(*current, front_status::kBadRequest, word.c_str());
        },
        [&] { Refuse(*current, front_status::kBadRequest, "malformed"); });
  }

  // What is not sent surely never runs. Sent to a store that is silent, the job may be kept or not,
  // and its caller could be told neither.
  void StoreWhenUp(const shared_call& current, const std::shared_ptr<const std::string>& text) {
    switch (health_.State(BootNow())) {
      case store_state::kUp:
        return Store(current, text, false);
      case store_state::kDoubtful:
        loop_.After(kDoubtfulPause, [this, current, text] { StoreWhenUp(current, text); });
        return;
      case store_state::kDown:
        Log(site_event::kJobRefused, *current, "why=store_down sent=0");
        return Answer(*current, front_status::kUnavailable,
                      Platform::EncodeError("store_unavailable"));
    }
  }

  // `unsure`: an earlier try got no answer, so the job may be kept already.
  void Store(const shared_call& current, const std::shared_ptr<const std::string>& text,
             bool unsure) {
    store_write write;
    const std::string key = kJobPrefix + current->id;
    write.expected = {{key, 0}};
    write.puts.push_back({key, *text, {}});
    platform_.Store().Commit(write, Here([this, current, text, unsure](const store_reply& reply) {
                               OnStoreAnswer(current, text, unsure, reply);
                             }));
  }

  void OnStoreAnswer(const shared_call& current, const std::shared_ptr<const std::string>& text,
                     bool unsure, const store_reply& reply) {
    // A conflict: the same job came before, here or at another entry. It remains one job.
    if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
      Log(site_event::kJobAccepted, *current,
          absl::StrCat("again=", reply.status == store_status::kConflict));
      if (reply.status == store_status::kDone) hooks_.tell_job(current->id, *text);
      return Answer(*current, front_status::kOk, "{}");
    }
    const bool uncertain = unsure || reply.status == store_status::kUnknown;
    const bool late = BootNow() - current->arrived > answer_within_;
    if (!uncertain) {
      Log(site_event::kJobRefused, *current, "why=store_unavailable");
      return Answer(*current, front_status::kUnavailable,
                    Platform::EncodeError("store_unavailable"));
    }
    if (late) {
      Log(site_event::kJobUnsettled, *current, "why=store_did_not_say");
      return Answer(*current, front_status::kUnsettled, Platform::EncodeError("unsettled"));
    }
    // The condition makes a second try harmless.
    loop_.After(kStoreRetry, [this, current, text] { Store(current, text, true); });
  }

  // --- cancel ------------------------------------------------------------------------------------

  void Cancel(const shared_call& current) {
    platform_.Store().Get(kJobPrefix + current->id, Here([this, current](const store_reply& reply) {
                            if (reply.status == store_status::kAbsent) {
                              Log(site_event::kCancelRefused, *current, "why=no_such_job");
                              return Answer(*current, front_status::kGone,
                                            Platform::EncodeError("no_such_job"));
                            }
                            if (reply.status == store_status::kDone) return MarkCancelled(current);
                            RetryCancel(current);
                          }));
  }

  void MarkCancelled(const shared_call& current) {
    store_write write;
    write.puts.push_back({kCancelPrefix + current->id, "{}", {}});
    platform_.Store().Commit(write, Here([this, current](const store_reply& reply) {
                               if (reply.status != store_status::kDone) return RetryCancel(current);
                               Log(site_event::kCancelTaken, *current, "");
                               hooks_.tell_cancel(current->id);
                               Answer(*current, front_status::kOk, "{}");
                             }));
  }

  void RetryCancel(const shared_call& current) {
    if (BootNow() - current->arrived < answer_within_) {
      loop_.After(kStoreRetry, [this, current] { Cancel(current); });
      return;
    }
    Log(site_event::kCancelRefused, *current, "why=store_unavailable");
    Answer(*current, front_status::kUnsettled, Platform::EncodeError("unsettled"));
  }

  // --- state -------------------------------------------------------------------------------------

  void TellState(const shared_call& current) {
    hooks_.phase(current->id, [this, current](std::optional<graph_phase> phase) {
      if (phase) return Tell(current, *phase, "owner");
      ReadState(current);
    });
  }

  void Tell(const shared_call& current, graph_phase phase, const char* source) {
    Log(site_event::kStateTold, *current,
        absl::StrCat("phase=", std::string(ToText(phase)), " source=", source));
    Answer(*current, front_status::kOk, Platform::EncodePhase(phase));
  }

  // The owner does not answer, or has not heard of the job yet: the records say it.
  void ReadState(const shared_call& current) {
    platform_.Store().Get(kJobPrefix + current->id, Here([this, current](const store_reply& reply) {
                            if (reply.status == store_status::kAbsent) {
                              Log(site_event::kStateTold, *current, "phase=none source=store");
                              return Answer(*current, front_status::kGone,
                                            Platform::EncodeError("no_such_job"));
                            }
                            if (reply.status != store_status::kDone) return RetryState(current);
                            ReadProgress(current, reply.items.front().value);
                          }));
  }

  void ReadProgress(const shared_call& current, const std::string& job_text) {
    platform_.Store().Get(kProgressPrefix + current->id,
                          Here([this, current, job_text](const store_reply& reply) {
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
                            Tell(current, entry.phase, "store");
                          }));
  }

  void RetryState(const shared_call& current) {
    const bool down = health_.State(BootNow()) == store_state::kDown;
    if (!down && BootNow() - current->arrived < answer_within_) {
      loop_.After(kStoreRetry, [this, current] { TellState(current); });
      return;
    }
    Log(site_event::kStateRefused, *current, "why=store_unavailable");
    Answer(*current, front_status::kUnavailable, Platform::EncodeError("store_unavailable"));
  }

  // --- how many wait -----------------------------------------------------------------------------

  void TellPending(const shared_call& current) {
    hooks_.pending(current->queue->name, [this, current](std::optional<size_t> pending) {
      if (pending) return Answer(*current, front_status::kOk, Platform::EncodePending(*pending));
      if (BootNow() - current->arrived < answer_within_) {
        loop_.After(kStoreRetry, [this, current] { TellPending(current); });
        return;
      }
      Log(site_event::kStateRefused, *current, "why=no_owner");
      Answer(*current, front_status::kUnavailable, Platform::EncodeError("no_owner"));
    });
  }

  Platform& platform_;
  store_health& health_;
  event_loop& loop_;
  site_log& log_;
  site_metrics& numbers_;
  std::chrono::milliseconds answer_within_;
  front_hooks hooks_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_CALLER_FRONT_H_
