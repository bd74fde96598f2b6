#include "process/request_table.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfter{500};

// Whether another shard may accept a request that one shard has rejected.
bool MayTryElsewhere(const outcome& result) {
  if (result.kind != outcome_kind::kRefused) return false;
  switch (result.reason) {
    case rejection_reason::kQueueFull:
    case rejection_reason::kShed:
    case rejection_reason::kOverLimit:
    case rejection_reason::kNeverFits:
    case rejection_reason::kNotDurable:
    case rejection_reason::kOwnerUnreachable:
    case rejection_reason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

}  // namespace

request_table::request_table(table_options options, router& routes)
    : options_(options), routes_(routes), next_ask_(options.first_ask) {}

void request_table::BeginCall(http_server::token token, bool is_batch,
                              std::vector<workload_kind> kinds, monotonic_time now,
                              request_memory memory) {
  const size_t jobs = kinds.size();
  calls_[token] = {is_batch,         jobs, std::vector<outcome>(jobs),
                   std::move(kinds), now,  std::move(memory)};
}

void request_table::Settle(http_server::token token, size_t slot, outcome result,
                           table_actions& out) {
  const auto found = calls_.find(token);
  if (found == calls_.end()) return;
  call_state& call = found->second;
  call.outcomes[slot] = std::move(result);
  if (--call.open > 0) return;
  out.answers.push_back(
      {token, call.is_batch, std::move(call.outcomes), std::move(call.kinds), call.begun});
  calls_.erase(found);
}

void request_table::Add(http_server::token token, size_t slot, table_entry entry,
                        monotonic_time now, table_actions& out) {
  const request_id id = entry.place.id;
  auto [found, added] = pending_.try_emplace(id);
  pending_request& request = found->second;
  request.waiters.push_back({token, slot});
  if (!added) return;
  request.answer_by = now + entry.answer_timeout + options_.answer_grace;
  if (entry.place.deadline_left.count() > 0) request.deadline = now + entry.place.deadline_left;
  request.entry = std::move(entry);
  place_message& place = request.entry.place;
  place.ask = next_ask_++;
  if (request.entry.keyed) {
    place.shard = routes_.Home(id);
  } else if (const std::string* shard = routes_.Choose(place.each, id.lo, now)) {
    place.shard = *shard;
  }
  request.next = now;
  schedule_.emplace(now, id);
  Step(id, request, now, out);
}

void request_table::Schedule(const request_id& id, pending_request& request, monotonic_time when) {
  schedule_.erase({request.next, id});
  request.next = std::min(when, request.answer_by);
  schedule_.emplace(request.next, id);
}

void request_table::Step(const request_id& id, pending_request& request, monotonic_time now,
                         table_actions& out) {
  const bool ownerless_too_long = request.ownerless_since != monotonic_time{} &&
                                  now - request.ownerless_since >= options_.owner_wait;
  if (now >= request.answer_by || (ownerless_too_long && request.sends == 0)) {
    Resolve(id, TimeoutOutcome(request), out);
    return;
  }
  std::optional<std::string> owner = routes_.OwnerOf(request.entry.place.shard, now);
  const bool may_move = request.sends == 0 && !request.entry.keyed;
  if (!owner && may_move && ChooseNextShard(request, now)) {
    owner = routes_.OwnerOf(request.entry.place.shard, now);
  }
  if (!owner) {
    if (request.ownerless_since == monotonic_time{}) request.ownerless_since = now;
    Schedule(id, request, now + options_.retry_send);
    return;
  }
  request.ownerless_since = {};
  Send(request, *owner, now, out);
  Schedule(id, request, now + (request.accepted ? options_.resend_accepted : options_.resend));
}

void request_table::Send(pending_request& request, const std::string& owner, monotonic_time now,
                         table_actions& out) {
  place_message place = request.entry.place;
  // A new identity has not been sent before; one with a caller's key may have been sent by another
  // entry, unless its caller states that this is the first time.
  place.fresh = request.sends == 0 && (!request.entry.keyed || request.entry.first_ask);
  if (request.deadline != monotonic_time{}) {
    const auto left = std::chrono::ceil<milliseconds>(request.deadline - now);
    place.deadline_left = std::max(left, milliseconds{1});
  }
  ++request.sends;
  out.sends.push_back({owner, std::move(place)});
}

// Selects another shard for a request that certainly runs nowhere.
bool request_table::ChooseNextShard(pending_request& request, monotonic_time now) {
  place_message& place = request.entry.place;
  const uint64_t seed = place.id.hi + request.hops;
  const std::string* shard = routes_.Choose(place.each, seed, now);
  if (shard == nullptr) return false;
  const auto& tried = request.tried;
  if (std::find(tried.begin(), tried.end(), *shard) != tried.end()) return false;
  place.shard = *shard;
  return true;
}

outcome request_table::TimeoutOutcome(const pending_request& request) const {
  const request_id& id = request.entry.place.id;
  if (request.sends > 0)
    return UnknownOutcome(id, "the owner of its shard returned no outcome in time");
  // The same key may have been sent to another entry and have run there.
  if (request.entry.keyed && !request.entry.first_ask) {
    return UnknownOutcome(id, "the shard that records this key is unreachable");
  }
  return RejectedOutcome(id, rejection_reason::kOwnerUnreachable, kRetryAfter,
                         "no owner of a suitable shard could be reached");
}

void request_table::OnOutcome(const outcome& result, monotonic_time now, table_actions& out) {
  const auto found = pending_.find(result.id);
  if (found == pending_.end()) return;
  pending_request& request = found->second;
  if (result.kind == outcome_kind::kAccepted && request.entry.place.wait) {
    request.accepted = true;
    Schedule(result.id, request, now + options_.resend_accepted);
    return;
  }
  const bool may_move = !request.entry.keyed && MayTryElsewhere(result) &&
                        request.hops + 1 < options_.max_hops && now < request.answer_by;
  if (may_move) {
    request.tried.push_back(request.entry.place.shard);
    ++request.hops;
    if (ChooseNextShard(request, now)) {
      request.sends = 0;  // a rejection proves that the last shard does not run it
      Step(result.id, request, now, out);
      return;
    }
  }
  Resolve(result.id, result, out);
}

void request_table::Resolve(const request_id& id, const outcome& result, table_actions& out) {
  auto node = pending_.extract(id);
  if (node.empty()) return;
  pending_request& request = node.mapped();
  schedule_.erase({request.next, id});
  for (const waiter& at : request.waiters) Settle(at.token, at.slot, result, out);
}

void request_table::OnSendFailed(const request_id& id, bool undelivered, monotonic_time now) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  pending_request& request = found->second;
  if (undelivered && request.sends > 0) --request.sends;
  Schedule(id, request, now + options_.retry_send);
}

void request_table::OnNewOwner(const std::string& shard, monotonic_time now) {
  for (auto& [id, request] : pending_) {
    if (request.entry.place.shard == shard) Schedule(id, request, now);
  }
}

void request_table::Tick(monotonic_time now, table_actions& out) {
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const request_id id = schedule_.begin()->second;
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      schedule_.erase(schedule_.begin());
      continue;
    }
    Step(id, found->second, now, out);
  }
}

monotonic_time request_table::NextWake() const {
  return schedule_.empty() ? monotonic_time::max() : schedule_.begin()->first;
}

const std::string* request_table::ShardOf(const request_id& id) const {
  const auto found = pending_.find(id);
  return found == pending_.end() ? nullptr : &found->second.entry.place.shard;
}

}  // namespace catkinford
