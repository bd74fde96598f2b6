#include "process/site/advice_spread.h"

#include <algorithm>

namespace catkinford {
namespace {

// One entry in so many is kept for quick questions: slow ones take half a second each, and a
// burst of them would hold up work that is late after a quarter of that.
constexpr size_t kEntriesForOneQuick = 3;

}  // namespace

void advice_spread::SetEntries(const std::vector<std::string>& names) {
  listed_.clear();
  for (const std::string& name : names) {
    listed_[name] = true;
    busy_.try_emplace(name, false);
  }
}

void advice_spread::Add(advice_query order) {
  (order.urgent ? urgent_ : slow_).push_back(std::move(order));
}

size_t advice_spread::Free() const {
  return static_cast<size_t>(std::count_if(listed_.begin(), listed_.end(), [&](const auto& item) {
    const auto busy = busy_.find(item.first);
    return busy != busy_.end() && !busy->second;
  }));
}

std::optional<std::pair<advice_query, std::string>> advice_spread::Next() {
  const size_t free = Free();
  if (free == 0) return std::nullopt;
  std::deque<advice_query>* from = nullptr;
  if (!urgent_.empty()) {
    from = &urgent_;
  } else if (!slow_.empty() && free > listed_.size() / kEntriesForOneQuick) {
    from = &slow_;
  }
  if (from == nullptr) return std::nullopt;
  for (const auto& [name, yes] : listed_) {
    bool& busy = busy_[name];
    if (busy) continue;
    busy = true;
    std::pair<advice_query, std::string> out(std::move(from->front()), name);
    from->pop_front();
    return out;
  }
  return std::nullopt;
}

void advice_spread::OnAnswered(const std::string& entry) {
  const auto found = busy_.find(entry);
  if (found != busy_.end()) found->second = false;
}

}  // namespace catkinford
