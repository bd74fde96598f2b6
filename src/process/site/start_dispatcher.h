// Sends the owner's starts to instances, directly or through other entries.
//
// A forwarded start is a command like any other: it names the owner's epoch, the instance's
// incarnation and the end of its lease, so the instance rejects one that arrives late. Forwarding
// adds one failure: the result may never arrive, and after a timeout the start counts as
// unanswered.
#ifndef CATKINFORD_PROCESS_SITE_START_DISPATCHER_H_
#define CATKINFORD_PROCESS_SITE_START_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "process/site/event_loop.h"
#include "process/site/http_status.h"
#include "process/site/owner_budget.h"
#include "process/site/site_log.h"
#include "process/site/site_platform.h"
#include "process/site/start_messages.h"
#include "process/site/start_router.h"

namespace catkinford {

struct dispatcher_hooks {
  // The address of a registered entry, "ip:port"; empty if it is not registered.
  std::function<std::string(const std::string& entry)> address;
  // False once this entry no longer owns the site with this epoch.
  std::function<bool(uint64_t epoch, monotonic_time now)> may_send;
  // True while relays make this entry's calls to instances: then a start is forwarded only to keep
  // its payload off a busy link.
  std::function<bool()> relays_calls;
};

template <site_platform Platform>
class start_dispatcher {
 public:
  // `own_address`: where other entries report results. `http`: used for forwarding starts only.
  start_dispatcher(Platform& platform, http_client& http, owner_budget& budget, event_loop& loop,
                   site_log& log, std::string own_address, dispatcher_hooks hooks)
      : platform_(platform),
        http_(http),
        budget_(budget),
        loop_(loop),
        log_(log),
        own_address_(std::move(own_address)),
        hooks_(std::move(hooks)) {}

  void SetEntries(std::vector<std::string> others) { router_.SetEntries(std::move(others)); }
  // Drops all pending starts: this ownership is over.
  void Clear() {
    pending_.clear();
    batches_.clear();
  }

  void Send(start_command command, const std::string& accepted_by, uint64_t epoch,
            command_callback done) {
    const monotonic_time now = BootNow();
    const uint32_t group =
        command.key.index / budget_.StartsPerGroup(command.payload.size() + kStartOverheadBytes);
    const bool busy = hooks_.relays_calls() ? budget_.LinkBusy() : budget_.Busy();
    const auto forwarder = router_.ForwarderFor(command.key.job, accepted_by, group, busy, now);
    if (!forwarder) return SendDirect(command, epoch, std::move(done));
    budget_.OnStart(kForwardedBytes);
    const uint64_t number = ++last_number_;
    batches_[*forwarder].push_back(number);
    pending_.emplace_hint(pending_.end(), number,
                          pending_start{*forwarder, std::move(command), epoch, now,
                                        now + kResultTimeout, std::move(done)});
    if (!std::exchange(flush_scheduled_, true)) loop_.After(kBatchDelay, [this] { Flush(); });
    if (!std::exchange(sweep_scheduled_, true))
      loop_.After(kSweepInterval, [this] { SweepOverdue(); });
  }

  // Late results, of starts that were not answered in the reply to their message.
  void OnStarted(const std::string& text) {
    const auto results = StartResultsFromText(text);
    if (results) ApplyResults(*results);
  }

 private:
  struct pending_start {
    std::string forwarder;
    start_command command;
    uint64_t epoch = 0;
    monotonic_time sent{};
    monotonic_time due{};  // without a result by then it counts as unanswered
    command_callback done;
  };

  // Starts decided on within this time are forwarded in one message.
  static constexpr std::chrono::milliseconds kBatchDelay{2};
  static constexpr std::chrono::milliseconds kSweepInterval{50};
  // Longer than a command to an instance takes, including both hops.
  static constexpr std::chrono::milliseconds kResultTimeout{1100};
  // A forwarder answers within 100 ms, whatever its instances do.
  static constexpr std::chrono::milliseconds kMessageTimeout{500};
  // A start that is reclaimed within this time is still sent as it was decided on.
  static constexpr std::chrono::milliseconds kReclaimLimit{250};
  // Approximate size of a row, its part of the header and its result. A forwarder on a narrow link
  // is not sent more at once than it can send on in time.
  static constexpr size_t kForwardedBytes = 330;
  static constexpr size_t kStartOverheadBytes =
      400;  // of a direct start without its payload, roughly

  void SendDirect(const start_command& command, uint64_t epoch, command_callback done) {
    budget_.OnStart(command.payload.size() + kStartOverheadBytes);
    platform_.Instances().Start(command, epoch, std::move(done));
  }

  void Flush() {
    flush_scheduled_ = false;
    for (const auto& [forwarder, numbers] : std::exchange(batches_, {}))
      Forward(forwarder, numbers);
  }

  void Forward(const std::string& forwarder, const std::vector<uint64_t>& numbers) {
    const std::string address = hooks_.address(forwarder);
    if (address.empty()) return Reclaim(numbers);
    forwarded_starts message{0, own_address_, {}};
    for (const uint64_t number : numbers) {
      const auto found = pending_.find(number);
      if (found == pending_.end()) continue;
      message.epoch = found->second.epoch;
      message.starts.push_back({number, found->second.command});
    }
    if (message.starts.empty()) return;
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", address, kPeerStartPath);
    call.body = ForwardedStartsToText(message);
    call.timeout = kMessageTimeout;
    const uint64_t sent = router_.Sent(forwarder, BootNow());
    http_.Send(std::move(call), [this, sent, forwarder, numbers](const http_result& result) {
      loop_.Post([this, sent, forwarder, numbers, result] {
        OnForwarded(sent, forwarder, numbers, result);
      });
    });
  }

  void OnForwarded(uint64_t message, const std::string& forwarder,
                   const std::vector<uint64_t>& numbers, const http_result& result) {
    const bool answered = result.status == transfer_status::kDone;
    const auto results = answered && result.code == http_status::kOk
                             ? StartResultsFromText(result.body)
                             : std::nullopt;
    router_.OnAnswer(message, results.has_value(), BootNow());
    if (results) return ApplyResults(*results);
    log_.Write(site_event::kStartsNotCarried, BootNow(),
               absl::StrCat("peer=", forwarder, " starts=", numbers.size(), " answered=", answered,
                            " status=", result.code));
    // The forwarder may have received them and may report their results later; otherwise they time
    // out.
    if (!answered && result.status != transfer_status::kNotSent) return;
    Reclaim(numbers);
  }

  void ApplyResults(const std::vector<start_result>& results) {
    for (const start_result& result : results) {
      auto node = pending_.extract(result.number);
      if (node.empty()) continue;
      if (result.sent) {
        node.mapped().done(result.answer);
      } else {
        SendReclaimed(std::move(node.mapped()));
      }
    }
  }

  // These were certainly not sent to their instances.
  void Reclaim(const std::vector<uint64_t>& numbers) {
    for (const uint64_t number : numbers) {
      auto node = pending_.extract(number);
      if (!node.empty()) SendReclaimed(std::move(node.mapped()));
    }
  }

  void SendReclaimed(pending_start item) {
    const monotonic_time now = BootNow();
    if (now - item.sent > kReclaimLimit || !hooks_.may_send(item.epoch, now)) {
      return item.done({command_result::kNotDone, std::nullopt});
    }
    SendDirect(item.command, item.epoch, std::move(item.done));
  }

  void SweepOverdue() {
    sweep_scheduled_ = false;
    const monotonic_time now = BootNow();
    // All have the same timeout, so the oldest are due first.
    while (!pending_.empty() && pending_.begin()->second.due <= now) {
      const pending_start item = std::move(pending_.extract(pending_.begin()).mapped());
      router_.OnResultMissing(item.forwarder, now);
      item.done({command_result::kUnknown, std::nullopt});
    }
    if (pending_.empty() || std::exchange(sweep_scheduled_, true)) return;
    loop_.After(kSweepInterval, [this] { SweepOverdue(); });
  }

  Platform& platform_;
  http_client& http_;
  owner_budget& budget_;
  event_loop& loop_;
  site_log& log_;
  std::string own_address_;
  dispatcher_hooks hooks_;
  start_router router_;
  std::map<uint64_t, pending_start> pending_;             // by number
  std::map<std::string, std::vector<uint64_t>> batches_;  // numbers to forward, by forwarder
  uint64_t last_number_ = 0;
  bool flush_scheduled_ = false;
  bool sweep_scheduled_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_DISPATCHER_H_
