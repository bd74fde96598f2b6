// Takes over the shards of an evacuated failure domain until an entry of that domain owns them
// again.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/node.h"
#include "process/service_split.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Numbers of evacuated shards start here, above those of the own domain.
constexpr uint32_t kFirstEvacuatedNumber = 1U << 16;
constexpr milliseconds kMoveInterval{2000};  // between attempts to move waiting jobs
// Covers a renewal sent by an owner just before its epoch was raised, and a slower clock.
constexpr milliseconds kLeaseMargin{1000};
constexpr milliseconds kBeginTimeout{5000};  // until the operator is answered

std::string StateText(evacuation_state state) {
  switch (state) {
    case evacuation_state::kWaiting:
      return "waiting";
    case evacuation_state::kReady:
      return "moving";
    case evacuation_state::kCounted:
      return "counted";
    case evacuation_state::kStopped:
      return "stopped";
    default:
      return "beginning";
  }
}

}  // namespace

void node::Handle(http_server::token token, const std::string& key, const evacuate_call& call,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  const std::string& domain = call.failure_domain;
  const auto& all = config_.failure_domains;
  if (std::find(all.begin(), all.end(), domain) == all.end()) {
    front_.Respond(token, ErrorResponse(404, "unknown_domain", "not in the settings"));
    return;
  }
  const std::string live_entry =
      domain == config_.failure_domain ? config_.name : FindLiveEntry(domain, now);
  if (!live_entry.empty()) {
    front_.Respond(token, ErrorResponse(409, "domain_alive",
                                        live_entry + " still serves this failure domain"));
    return;
  }
  const auto existing = evacuations_.find(domain);
  if (existing != evacuations_.end() && !existing->second.work.IsOver()) {
    existing->second.waiting.push_back({token, now + kBeginTimeout});
    return;
  }
  evacuation_options options;
  options.failure_domain = domain;
  options.entry = config_.name;
  options.incarnation = incarnation_;
  options.shards = config_.shards.per_domain;
  options.dry_run = call.dry_run;
  options.lease_wait = config_.timing.task_lease + config_.timing.call_timeout + kLeaseMargin;
  if (existing != evacuations_.end()) evacuations_.erase(existing);
  open_evacuation& open =
      evacuations_
          .emplace(domain,
                   open_evacuation{evacuation(options, evacuation_tags_), {}, {}, {}, false})
          .first->second;
  open.waiting.push_back({token, now + kBeginTimeout});
}

// Returns an entry of the domain that is up, or one elsewhere that owns its shards; empty if none.
std::string node::FindLiveEntry(const std::string& domain, monotonic_time now) const {
  for (const auto& [name, one] : members_.Members()) {
    if (one.failure_domain == domain && members_.IsUp(name)) return name;
  }
  for (const std::string& name : routes_.ShardsOfDomain(domain)) {
    const std::optional<std::string> owner = routes_.OwnerOf(name, now);
    if (owner && *owner != config_.name) return *owner;
  }
  return {};
}

void node::TickEvacuations(monotonic_time now) {
  for (auto& [domain, open] : evacuations_) {
    const std::string live_entry = FindLiveEntry(domain, now);
    if (!live_entry.empty() && !open.work.IsOver()) {
      open.work.Stop(live_entry + " still serves this failure domain");
      log_.Emit(event_code::kEvacuationStopped, now, {}, 0, domain, live_entry);
      RemoveEvacuatedShards(open, now);
    }
    const evacuation_state before = open.work.State();
    std::vector<store_request> calls;
    open.work.Tick(now, calls);
    for (const store_request& call : calls) {
      SendStoreRequest(
          call, [this, of = domain, tag = call.tag](const store_reply& reply, monotonic_time at) {
            const auto found = evacuations_.find(of);
            if (found != evacuations_.end()) found->second.work.OnReply(tag, reply, at);
          });
    }
    if (open.work.State() == evacuation_state::kReady) {
      if (before != evacuation_state::kReady) AddEvacuatedShards(open, now);
      MoveEvacuatedJobs(open, now);
    }
    AnswerEvacuation(open, now);
  }
}

// From here on, any entry of the domain that still writes to a job log is fenced off.
void node::AddEvacuatedShards(open_evacuation& open, monotonic_time now) {
  const evacuation_options& options = open.work.Options();
  log_.Emit(event_code::kEvacuationReady, now, {}, open.work.Epoch(0), options.failure_domain);
  const auto at = std::find(config_.failure_domains.begin(), config_.failure_domains.end(),
                            options.failure_domain);
  const auto domain_index = static_cast<uint32_t>(at - config_.failure_domains.begin());
  for (uint32_t i = 0; i < options.shards; ++i) {
    const uint32_t number = kFirstEvacuatedNumber + domain_index * options.shards + i;
    evacuated_names_[number] = ShardName(options.failure_domain, i);
    open.numbers.push_back(number);
    grants_.OnGained(evacuated_names_[number], open.work.Epoch(i));
    jobs_.OnGained(number, evacuated_names_[number], open.work.Epoch(i));
  }
}

void node::RemoveEvacuatedShards(open_evacuation& open, monotonic_time now) {
  for (const uint32_t number : std::exchange(open.numbers, {})) RemoveShard(number, now);
}

void node::MoveEvacuatedJobs(open_evacuation& open, monotonic_time now) {
  if (now < open.next_move) return;
  const task_split split = [this, now](const place_message& job, uint32_t tasks) {
    return SplitElsewhere(job, tasks, routes_, now);
  };
  bool all_open = true;
  for (const uint32_t number : open.numbers) {
    const auto held = shards_.find(number);
    all_open = all_open && held != shards_.end();
    if (held != shards_.end()) held->second->Evacuate(split, now);
  }
  if (all_open) open.next_move = now + kMoveInterval;
}

void node::AnswerEvacuation(open_evacuation& open, monotonic_time now) {
  const evacuation& work = open.work;
  const evacuation_state state = work.State();
  const bool has_begun = state == evacuation_state::kWaiting || state == evacuation_state::kReady;
  std::vector<open_cancel> unanswered;
  for (const open_cancel& waiting_operator : open.waiting) {
    if (state == evacuation_state::kStopped) {
      front_.Respond(waiting_operator.token, ErrorResponse(409, "domain_alive", work.StopReason()));
    } else if (has_begun || state == evacuation_state::kCounted) {
      if (!open.begin_logged && has_begun) {
        log_.Emit(event_code::kEvacuationBegun, now, {}, work.Epoch(0),
                  work.Options().failure_domain);
      }
      open.begin_logged = open.begin_logged || has_begun;
      front_.Respond(waiting_operator.token, {200, EvacuationText(open, now)});
    } else if (now >= waiting_operator.deadline) {
      front_.Respond(waiting_operator.token,
                     ErrorResponse(503, "store_unavailable",
                                   "the evacuation continues when the store answers"));
    } else {
      unanswered.push_back(waiting_operator);
    }
  }
  open.waiting = std::move(unanswered);
}

std::string node::EvacuationText(const open_evacuation& open, monotonic_time now) const {
  evacuation_counts sum;
  for (const uint32_t number : open.numbers) {
    const auto held = shards_.find(number);
    if (held == shards_.end()) continue;
    const evacuation_counts& counts = held->second->Evacuated();
    sum.moved += counts.moved;
    sum.unknown += counts.unknown;
    sum.returned += counts.returned;
    sum.still_waiting += counts.still_waiting;
  }
  const json body = {{"failure_domain", open.work.Options().failure_domain},
                     {"dry_run", open.work.Options().dry_run},
                     {"state", StateText(open.work.State())},
                     {"jobs", open.work.Size().jobs},
                     {"not_repeatable", open.work.Size().unknown},
                     {"moves_after_ms", open.work.TimeLeft(now).count()},
                     {"moved", sum.moved},
                     {"given_back", sum.returned},
                     {"unknown", sum.unknown},
                     {"left", sum.still_waiting}};
  return body.dump();
}

// The name of a shard that this entry owns or has taken over.
std::string node::ShardNameOf(uint32_t number) const {
  const auto found = evacuated_names_.find(number);
  return found != evacuated_names_.end() ? found->second
                                         : ShardName(config_.failure_domain, number);
}

bool node::MayActFor(uint32_t number) const {
  if (number >= kFirstEvacuatedNumber) return shards_.contains(number);
  return ownership_.MayStart(number, steady_clock::now());
}

}  // namespace catkinford
