#include "process/site/advice_dispatcher.h"

#include <utility>

namespace catkinford {
namespace {

// One entry in every `kEntriesPerReserved` is reserved for urgent queries: slow queries take half a
// second each, and a burst of them would delay work that is late after a quarter of that.
constexpr size_t kEntriesPerReserved = 3;
// A slow query that has waited for this long is overdue. The reserved entries send it too if no
// urgent query came for a while, and urgent queries leave it a turn.
constexpr std::chrono::milliseconds kOverdue{2000};
constexpr std::chrono::milliseconds kUrgentPause{1000};
constexpr std::chrono::milliseconds kMaxSlowInterval{1000};

}  // namespace

void advice_dispatcher::SetEntries(const std::vector<std::string>& names) {
  for (auto& [name, state] : entries_) state.listed = false;
  for (const std::string& name : names) entries_[name].listed = true;
  std::erase_if(entries_,
                [](const auto& item) { return !item.second.listed && !item.second.busy; });
  listed_ = 0;
  free_ = 0;
  for (const auto& [name, state] : entries_) {
    listed_ += state.listed ? 1 : 0;
    free_ += state.listed && !state.busy ? 1 : 0;
  }
}

void advice_dispatcher::Add(advice_query query, monotonic_time now) {
  if (query.urgent) last_urgent_ = now;
  (query.urgent ? urgent_ : slow_).push_back({std::move(query), now});
}

std::optional<dispatched_query> advice_dispatcher::Next(monotonic_time now) {
  if (free_ == 0 || Waiting() == 0) return std::nullopt;
  const bool overdue = !slow_.empty() && now - slow_.front().since >= kOverdue;
  const bool reserve = !overdue || now - last_urgent_ < kUrgentPause;
  const size_t reserved = reserve ? listed_ / kEntriesPerReserved : 0;
  const bool slow_turn = overdue && now - last_slow_ >= kMaxSlowInterval;
  const bool slow_next = slow_turn || (!slow_.empty() && urgent_.empty() && free_ > reserved);
  if (!slow_next && urgent_.empty()) return std::nullopt;
  if (slow_next) last_slow_ = now;
  std::deque<waiting_query>& queue = slow_next ? slow_ : urgent_;
  // In turn: an entry that cannot reach the policy's service must not get every query.
  auto at = entries_.upper_bound(last_entry_);
  for (size_t i = 0; i < entries_.size(); ++i, ++at) {
    if (at == entries_.end()) at = entries_.begin();
    const std::string& name = at->first;
    entry_state& state = at->second;
    if (state.busy || !state.listed) continue;
    state.busy = true;
    --free_;
    last_entry_ = name;
    waiting_query& first = queue.front();
    dispatched_query out{std::move(first.query), name,
                         std::chrono::duration_cast<std::chrono::milliseconds>(now - first.since)};
    queue.pop_front();
    return out;
  }
  return std::nullopt;
}

void advice_dispatcher::OnAnswered(const std::string& entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end() || !std::exchange(found->second.busy, false)) return;
  if (found->second.listed) ++free_;
}

}  // namespace catkinford
