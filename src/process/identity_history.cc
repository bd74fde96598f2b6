#include "process/identity_history.h"

#include <algorithm>

namespace catkinford {

void identity_history::OnListingLost(monotonic_time now) {
  uncertain_until_ = std::max(uncertain_until_, now + options_.window);
}

identity_verdict identity_history::Begin(const request_id& id, bool fresh, monotonic_time now) {
  Expire(now);
  if (entries_.contains(id)) return identity_verdict::kKnown;
  if (!fresh && !Certain(now)) return identity_verdict::kUncertain;
  // Evicting an older identity for this one would let the older one run twice.
  if (entries_.size() >= options_.capacity) return identity_verdict::kFull;
  entries_.emplace(id, entry{});
  return identity_verdict::kNew;
}

void identity_history::AddRunning(const request_id& id, monotonic_time /*now*/) {
  entries_.try_emplace(id);
}

void identity_history::AddFinished(const request_id& id, outcome_kind kind,
                                   const std::string& answer, monotonic_time now) {
  End(id, kind, answer, now);
}

void identity_history::Finish(const request_id& id, const outcome& result, monotonic_time now) {
  if (result.kind == outcome_kind::kRefused) {
    entries_.erase(id);
    return;
  }
  End(id, result.kind, result.answer, now);
}

// The first result counts: a caller that repeats its request gets the same answer.
void identity_history::End(const request_id& id, outcome_kind kind, const std::string& answer,
                           monotonic_time now) {
  entry& known = entries_[id];
  const bool had_ended = known.ended != monotonic_time{};
  // An unknown outcome is not final; the actual result can still arrive.
  if (had_ended && known.kind != outcome_kind::kUnknown) return;
  known.kind = kind;
  known.ended = now;
  endings_.push_back({id, now});
  if (kind == outcome_kind::kCompleted) KeepAnswer(id, answer);
}

void identity_history::KeepAnswer(const request_id& id, const std::string& answer) {
  const auto [kept, is_new] = answers_.try_emplace(id, answer);
  if (!is_new) return;
  answer_order_.push_back(id);
  answer_bytes_ += answer.size();
  while (answer_bytes_ > options_.answer_bytes && !answer_order_.empty()) {
    const auto oldest = answers_.find(answer_order_.front());
    answer_order_.pop_front();
    if (oldest == answers_.end()) continue;
    answer_bytes_ -= oldest->second.size();
    answers_.erase(oldest);
  }
}

std::optional<known_identity> identity_history::Find(const request_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  known_identity known;
  known.finished = found->second.ended != monotonic_time{};
  known.kind = found->second.kind;
  const auto answer = answers_.find(id);
  known.has_answer = answer != answers_.end();
  if (known.has_answer) known.answer = answer->second;
  return known;
}

void identity_history::Expire(monotonic_time now) {
  while (!endings_.empty() && now - endings_.front().ended >= options_.window) {
    const ending oldest = endings_.front();
    endings_.pop_front();
    const auto found = entries_.find(oldest.id);
    // A later run of the same identity has its own entry in the queue.
    if (found == entries_.end() || found->second.ended != oldest.ended) continue;
    entries_.erase(found);
    const auto answer = answers_.find(oldest.id);
    if (answer == answers_.end()) continue;
    answer_bytes_ -= answer->second.size();
    answers_.erase(answer);
  }
  while (!answer_order_.empty() && !answers_.contains(answer_order_.front())) {
    answer_order_.pop_front();
  }
}

}  // namespace catkinford
