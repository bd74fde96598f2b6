// Forwards starts of another entry, the owner, to instances and reports the results to it.
//
// Makes no decisions: a start is sent at once with its job's payload, or not at all.
#ifndef CATKINFORD_PROCESS_SITE_START_FORWARDER_H_
#define CATKINFORD_PROCESS_SITE_START_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "process/site/event_loop.h"
#include "process/site/http_status.h"
#include "process/site/payload_cache.h"
#include "process/site/site_log.h"
#include "process/site/site_platform.h"
#include "process/site/site_records.h"
#include "process/site/start_messages.h"

namespace catkinford {

template <site_platform Platform>
class start_forwarder {
 public:
  using responder = std::function<void(http_response)>;

  // `http`: calls to owners. `epoch`: the highest epoch known to this entry.
  start_forwarder(Platform& platform, http_client& http, event_loop& loop, site_log& log,
                  std::function<uint64_t()> epoch)
      : platform_(platform),
        http_(http),
        loop_(loop),
        log_(log),
        epoch_(std::move(epoch)),
        payloads_(kPayloadBytes) {}

  // The payload of a job that this entry accepts.
  void CachePayload(const std::string& job, const std::string& payload) {
    payloads_.Put(job, payload);
  }

  // Responds when the results of all starts are known, or after kAnswerTimeout with those known by
  // then.
  void Forward(const std::string& text, const responder& respond) {
    auto message = ForwardedStartsFromText(text);
    if (!message) return respond({.status = http_status::kBadRequest});
    const auto incoming = std::make_shared<batch>();
    incoming->owner = std::move(message->owner);
    incoming->epoch = message->epoch;
    incoming->missing = message->starts.size();
    incoming->respond = respond;
    if (message->epoch < epoch_()) {
      for (const forwarded_start& start : message->starts) {
        OnResult(incoming, {start.number, true, {command_result::kFenced, std::nullopt}});
      }
      return;
    }
    for (forwarded_start& start : message->starts) Start({incoming, std::move(start), BootNow()});
    loop_.After(kAnswerTimeout, [this, incoming] { Answer(incoming); });
  }

 private:
  // The starts of one message.
  struct batch {
    std::string owner;
    uint64_t epoch = 0;
    size_t missing = 0;  // starts without a result
    responder respond;   // empty once called
    std::vector<start_result> results;
    bool report_scheduled = false;
  };
  using shared_batch = std::shared_ptr<batch>;
  struct waiting_start {
    shared_batch from;
    forwarded_start start;
    monotonic_time arrived{};
  };

  static constexpr size_t kPayloadBytes = size_t{2} << 20;
  // An instance answers within some 10 ms; one that does not must not delay the results of others.
  static constexpr std::chrono::milliseconds kAnswerTimeout{60};
  static constexpr std::chrono::milliseconds kReportDelay{10};
  static constexpr std::chrono::milliseconds kReportTimeout{600};
  // A start whose payload took longer to read is left to the owner.
  static constexpr std::chrono::milliseconds kFetchLimit{250};

  void Start(waiting_start item) {
    const std::string job = item.start.command.key.job;
    if (const std::string* payload = payloads_.Find(job)) return SendStart(item, *payload);
    // This entry did not accept the job, or has restarted since: one read serves all its tasks.
    std::vector<waiting_start>& waiting = fetching_[job];
    waiting.push_back(std::move(item));
    if (waiting.size() == 1) Fetch(job);
  }

  void SendStart(waiting_start& item, const std::string& payload) {
    item.start.command.payload = payload;
    platform_.Instances().ForwardStart(
        item.start.command, item.from->epoch,
        [this, from = item.from, number = item.start.number](const command_answer& answer) {
          loop_.Post([this, from, number, answer] { OnResult(from, {number, true, answer}); });
        });
  }

  void Fetch(const std::string& job) {
    platform_.Store().Get(kJobPrefix + job, [this, job](const store_reply& reply) {
      loop_.Post([this, job, reply] { OnFetched(job, reply); });
    });
  }

  void OnFetched(const std::string& job, const store_reply& reply) {
    if (reply.status == store_status::kDone && !reply.items.empty()) {
      leaf::try_handle_all(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(record, JobFromText(reply.items.front().value));
            payloads_.Put(job, record.payload);
            return {};
          },
          [&] {
            log_.Write(site_event::kRecordUnreadable, BootNow(),
                       absl::StrCat("id=", LogField(job)));
          });
    }
    auto node = fetching_.extract(job);
    if (node.empty()) return;
    const std::string* payload = payloads_.Find(job);
    for (waiting_start& item : node.mapped()) {
      const bool late = BootNow() - item.arrived > kFetchLimit;
      if (payload == nullptr || late || item.from->epoch < epoch_()) {
        OnResult(item.from, {item.start.number, false, {}});
      } else {
        SendStart(item, *payload);
      }
    }
  }

  void OnResult(const shared_batch& from, const start_result& result) {
    from->results.push_back(result);
    if (--from->missing == 0 && from->respond) return Answer(from);
    if (from->respond || std::exchange(from->report_scheduled, true)) return;
    loop_.After(kReportDelay, [this, from] { ReportLate(from); });
  }

  void Answer(const shared_batch& from) {
    if (!from->respond) return;
    std::exchange(from->respond,
                  nullptr)({.body = StartResultsToText(std::exchange(from->results, {}))});
  }

  void ReportLate(const shared_batch& from) {
    from->report_scheduled = false;
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", from->owner, kPeerStartedPath);
    call.body = StartResultsToText(std::exchange(from->results, {}));
    call.timeout = kReportTimeout;
    // If this report is lost, the starts count as unanswered, as they would if sent directly.
    http_.Send(std::move(call), [](const http_result&) {});
  }

  Platform& platform_;
  http_client& http_;
  event_loop& loop_;
  site_log& log_;
  std::function<uint64_t()> epoch_;
  payload_cache payloads_;
  absl::flat_hash_map<std::string, std::vector<waiting_start>> fetching_;  // by job
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_FORWARDER_H_
