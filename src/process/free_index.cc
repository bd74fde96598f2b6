#include "process/free_index.h"

#include <algorithm>

namespace catkinford {

uint32_t CountFitting(const resources& each, const resources& free) {
  uint32_t count = UINT32_MAX;
  for (size_t amount = 0; amount < kAmounts; ++amount) {
    const uint32_t need = AmountOf(each, amount);
    if (need != 0) count = std::min(count, AmountOf(free, amount) / need);
  }
  return count;
}

double DominantShare(const resources& part, const resources& whole) {
  double dominant = 0;
  for (size_t amount = 0; amount < kAmounts; ++amount) {
    const uint32_t of = AmountOf(whole, amount);
    if (of != 0) dominant = std::max(dominant, AmountOf(part, amount) / static_cast<double>(of));
  }
  return dominant;
}

void level_lists::Put(endpoint_index endpoint, uint32_t level) {
  if (places_.size() <= endpoint) places_.resize(endpoint + 1);
  place& at = places_[endpoint];
  if (at.level == level) return;
  Remove(endpoint);
  at.level = level;
  at.position = static_cast<uint32_t>(lists_[level].size());
  lists_[level].push_back(endpoint);
  used_ |= uint64_t{1} << level;
}

void level_lists::Remove(endpoint_index endpoint) {
  if (endpoint >= places_.size()) return;
  place& at = places_[endpoint];
  if (at.level == kLevels) return;
  std::vector<endpoint_index>& list = lists_[at.level];
  list[at.position] = list.back();
  places_[list.back()].position = at.position;
  list.pop_back();
  if (list.empty()) used_ &= ~(uint64_t{1} << at.level);
  at.level = kLevels;
}

uint32_t free_index::FreeLevel(uint32_t free, size_t amount) const {
  const uint32_t scale = AmountOf(scale_, amount);
  if (scale == 0) return 0;
  const uint64_t level = uint64_t{free} * (level_lists::kLevels - 1) / scale;
  return static_cast<uint32_t>(std::min<uint64_t>(level, level_lists::kLevels - 1));
}

// The tree grows by doubling, so that adding endpoints one by one has amortized constant cost.
void free_index::Grow(endpoint_index endpoint) {
  if (endpoint < entries_.size()) return;
  entries_.resize(endpoint + 1);
  if (endpoint < leaves_) return;
  leaves_ = std::bit_ceil(size_t{endpoint} + 1);
  tree_.assign(2 * leaves_, resources{});
  for (endpoint_index e = 0; e < entries_.size(); ++e) {
    if (entries_[e].present) UpdateTree(e, entries_[e].free);
  }
}

// Walks up until a node does not change.
void free_index::UpdateTree(endpoint_index endpoint, const resources& free) {
  size_t node = leaves_ + endpoint;
  tree_[node] = free;
  for (node /= 2; node >= 1; node /= 2) {
    const resources largest = LargestOf(tree_[2 * node], tree_[2 * node + 1]);
    if (tree_[node] == largest) return;
    tree_[node] = largest;
  }
}

void free_index::PutInLists(endpoint_index endpoint) {
  const entry& e = entries_[endpoint];
  const double load = DominantShare(SubtractOrZero(e.capacity, e.free), e.capacity);
  by_load_.Put(endpoint, static_cast<uint32_t>(load * (level_lists::kLevels - 1)));
  for (size_t amount = 0; amount < kAmounts; ++amount) {
    by_free_[amount].Put(endpoint, FreeLevel(AmountOf(e.free, amount), amount));
  }
}

// Levels are fractions of the largest capacity; a larger endpoint changes all levels.
void free_index::RaiseScale(const resources& capacity) {
  const resources larger = LargestOf(scale_, capacity);
  if (larger == scale_) return;
  scale_ = larger;
  for (endpoint_index e = 0; e < entries_.size(); ++e) {
    if (entries_[e].present) PutInLists(e);
  }
}

void free_index::Set(endpoint_index endpoint, const resources& free, const resources& capacity) {
  Grow(endpoint);
  entry& e = entries_[endpoint];
  if (e.present && e.free == free && e.capacity == capacity) return;
  if (e.present) {
    total_free_ -= e.free;
  } else {
    ++size_;
  }
  e = {free, capacity, true};
  total_free_ += free;
  UpdateTree(endpoint, free);
  RaiseScale(capacity);
  PutInLists(endpoint);
}

void free_index::Remove(endpoint_index endpoint) {
  if (!Contains(endpoint)) return;
  entry& e = entries_[endpoint];
  total_free_ -= e.free;
  --size_;
  e.present = false;
  UpdateTree(endpoint, resources{});
  by_load_.Remove(endpoint);
  for (level_lists& lists : by_free_) lists.Remove(endpoint);
}

endpoint_index free_index::FindAny(const resources& need) const {
  endpoint_index found = kNoEndpoint;
  VisitAll(need, [&found](endpoint_index endpoint) {
    found = endpoint;
    return false;
  });
  return found;
}

}  // namespace catkinford
