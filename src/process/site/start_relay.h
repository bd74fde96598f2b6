// The owner's starts on their way to instances, from this entry or through others.
//
// A start that another entry brings is an order like any other: it names the owner's epoch, the
// instance's life and the end of its lease, so one that arrives late is refused by the instance.
// The entry between adds that what became of it may never be heard: after a time it counts as
// unanswered.
#ifndef CATKINFORD_PROCESS_SITE_START_RELAY_H_
#define CATKINFORD_PROCESS_SITE_START_RELAY_H_

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
#include "process/site/front_status.h"
#include "process/site/owner_budget.h"
#include "process/site/site_log.h"
#include "process/site/site_ports.h"
#include "process/site/start_route.h"
#include "process/site/start_words.h"

namespace catkinford {

struct relay_hooks {
  // The address of an entry that lives, "ip:port"; empty: it does not.
  std::function<std::string(const std::string& entry)> address;
  // False once this entry no longer owns the site by this epoch.
  std::function<bool(uint64_t epoch, monotonic_time now)> may_send;
};

template <site_platform Platform>
class start_relay {
 public:
  // `self`: this entry's address for results. `http`: calls that give starts away, and no others.
  start_relay(Platform& platform, http_client& http, owner_budget& budget, event_loop& loop,
              site_log& log, std::string self, relay_hooks hooks)
      : platform_(platform),
        http_(http),
        budget_(budget),
        loop_(loop),
        log_(log),
        self_(std::move(self)),
        hooks_(std::move(hooks)) {}

  void SetEntries(std::vector<std::string> others) { route_.SetEntries(std::move(others)); }
  // This ownership is over: what waits for an answer is nobody's any more.
  void Clear() {
    given_.clear();
    batches_.clear();
  }

  void Send(start_command order, const std::string& accepted_by, uint64_t epoch,
            order_callback done) {
    const monotonic_time now = BootNow();
    const uint32_t group =
        order.key.index / budget_.StartsOfGroup(order.payload.size() + kHeadBytes);
    const auto carrier = route_.CarrierFor(order.key.job, accepted_by, group, budget_.Busy(), now);
    if (!carrier) return SendHere(order, epoch, std::move(done));
    budget_.OnStart(kGivenBytes);
    const uint64_t number = ++last_number_;
    batches_[*carrier].push_back(number);
    given_.emplace_hint(
        given_.end(), number,
        given{*carrier, std::move(order), epoch, now, now + kHeardWithin, std::move(done)});
    if (!std::exchange(flush_planned_, true)) loop_.After(kGather, [this] { Flush(); });
    if (!std::exchange(sweep_planned_, true)) loop_.After(kSweepEvery, [this] { Sweep(); });
  }

  // What became of starts that were not answered at once.
  void OnStarted(const std::string& text) {
    const auto results = StartResultsFromText(text);
    if (results) Take(*results);
  }

 private:
  struct given {
    std::string carrier;
    start_command order;
    uint64_t epoch = 0;
    monotonic_time sent{};
    monotonic_time due{};  // unheard by then, it counts as unanswered
    order_callback done;
  };

  // Starts that are decided on together leave together.
  static constexpr std::chrono::milliseconds kGather{2};
  static constexpr std::chrono::milliseconds kSweepEvery{50};
  // Longer than an order to an instance takes, with its way there and back.
  static constexpr std::chrono::milliseconds kHeardWithin{1100};
  // A carrier answers within 100 ms, whatever its instances do.
  static constexpr std::chrono::milliseconds kMessageTimeout{500};
  // Given back sooner than this, a start is still as it was decided on.
  static constexpr std::chrono::milliseconds kFresh{250};
  // Of a row, its part of the head and its result, about; a carrier on a narrow link is not given
  // more at once than it can send in time.
  static constexpr size_t kGivenBytes = 330;
  static constexpr size_t kHeadBytes = 400;  // of a start's own call without the payload, about

  void SendHere(const start_command& order, uint64_t epoch, order_callback done) {
    budget_.OnStart(order.payload.size() + kHeadBytes);
    platform_.Instances().Start(order, epoch, std::move(done));
  }

  void Flush() {
    flush_planned_ = false;
    for (const auto& [carrier, numbers] : std::exchange(batches_, {})) Give(carrier, numbers);
  }

  void Give(const std::string& carrier, const std::vector<uint64_t>& numbers) {
    const std::string address = hooks_.address(carrier);
    if (address.empty()) return TakeBack(numbers);
    given_starts message{0, self_, {}};
    for (const uint64_t number : numbers) {
      const auto found = given_.find(number);
      if (found == given_.end()) continue;
      message.epoch = found->second.epoch;
      message.starts.push_back({number, found->second.order});
    }
    if (message.starts.empty()) return;
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", address, kPeerStartPath);
    call.body = GivenStartsToText(message);
    call.timeout = kMessageTimeout;
    const uint64_t sent = route_.Sent(carrier, BootNow());
    http_.Send(std::move(call), [this, sent, carrier, numbers](const http_result& result) {
      loop_.Post(
          [this, sent, carrier, numbers, result] { OnGiven(sent, carrier, numbers, result); });
    });
  }

  void OnGiven(uint64_t message, const std::string& carrier, const std::vector<uint64_t>& numbers,
               const http_result& result) {
    const bool answered = result.status == transfer_status::kDone;
    const auto results = answered && result.code == front_status::kOk
                             ? StartResultsFromText(result.body)
                             : std::nullopt;
    route_.Answered(message, results.has_value(), BootNow());
    if (results) return Take(*results);
    log_.Write(site_event::kStartsNotCarried, BootNow(),
               absl::StrCat("peer=", carrier, " starts=", numbers.size(), " answered=", answered,
                            " status=", result.code));
    // It may have them, and tell yet what became of them; else they fall due.
    if (!answered && result.status != transfer_status::kNotSent) return;
    TakeBack(numbers);
  }

  void Take(const std::vector<start_result>& results) {
    for (const start_result& result : results) {
      auto node = given_.extract(result.number);
      if (node.empty()) continue;
      if (result.sent) {
        node.mapped().done(result.answer);
      } else {
        SendInstead(std::move(node.mapped()));
      }
    }
  }

  // These were surely not sent.
  void TakeBack(const std::vector<uint64_t>& numbers) {
    for (const uint64_t number : numbers) {
      auto node = given_.extract(number);
      if (!node.empty()) SendInstead(std::move(node.mapped()));
    }
  }

  void SendInstead(given item) {
    const monotonic_time now = BootNow();
    if (now - item.sent > kFresh || !hooks_.may_send(item.epoch, now)) {
      return item.done({command_result::kNotDone, std::nullopt});
    }
    SendHere(item.order, item.epoch, std::move(item.done));
  }

  void Sweep() {
    sweep_planned_ = false;
    const monotonic_time now = BootNow();
    // All have the same time, so the first ones fall due first.
    while (!given_.empty() && given_.begin()->second.due <= now) {
      const given item = std::move(given_.extract(given_.begin()).mapped());
      route_.Unheard(item.carrier, now);
      item.done({command_result::kUnknown, std::nullopt});
    }
    if (given_.empty() || std::exchange(sweep_planned_, true)) return;
    loop_.After(kSweepEvery, [this] { Sweep(); });
  }

  Platform& platform_;
  http_client& http_;
  owner_budget& budget_;
  event_loop& loop_;
  site_log& log_;
  std::string self_;
  relay_hooks hooks_;
  start_route route_;
  std::map<uint64_t, given> given_;                       // by number
  std::map<std::string, std::vector<uint64_t>> batches_;  // numbers to give away, by carrier
  uint64_t last_number_ = 0;
  bool flush_planned_ = false;
  bool sweep_planned_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_RELAY_H_
