// Index of the free capacity of endpoints, so that a search need not visit every endpoint.
//
// Two structures over the same endpoints: a tree of maximum free amounts, which answers exactly
// whether anything fits, and lists of endpoints by level of load and of each free amount, which
// yield good candidates first.
#ifndef CATKINFORD_PROCESS_FREE_INDEX_H_
#define CATKINFORD_PROCESS_FREE_INDEX_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/decision_core.h"

namespace catkinford {

constexpr endpoint_index kNoEndpoint = UINT32_MAX;
constexpr size_t kAmounts = 4;  // processors, memory, accelerators, slots

// The amounts by index, for loops over all of them.
inline uint32_t AmountOf(const resources& r, size_t amount) {
  const std::array<uint32_t, kAmounts> all = {r.cpu_milli, r.memory_mb, r.accelerators, r.slots};
  return all[amount];
}

// The maximum in each amount.
inline resources LargestOf(const resources& a, const resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

// The minimum in each amount.
inline resources SmallestOf(const resources& a, const resources& b) {
  return {std::min(a.cpu_milli, b.cpu_milli), std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots)};
}

// How many tasks of `each` fit into `free` together.
uint32_t CountFitting(const resources& each, const resources& free);

// The largest fraction of `whole` that `part` takes in any amount; amounts that are zero in `whole`
// are ignored.
double DominantShare(const resources& part, const resources& whole);

// Endpoints sorted into 64 levels. Insertion, removal and the step to the next non-empty level take
// constant time.
class level_lists {
 public:
  static constexpr uint32_t kLevels = 64;

  void Put(endpoint_index endpoint, uint32_t level);
  void Remove(endpoint_index endpoint);
  // The first non-empty level at or above `from`; kLevels when there is none.
  uint32_t NextLevel(uint32_t from) const {
    if (from >= kLevels) return kLevels;
    const uint64_t rest = used_ & (~uint64_t{0} << from);
    return rest == 0 ? kLevels : static_cast<uint32_t>(std::countr_zero(rest));
  }
  const std::vector<endpoint_index>& At(uint32_t level) const { return lists_[level]; }

 private:
  struct place {
    uint32_t level = kLevels;  // kLevels: in no list
    uint32_t position = 0;
  };
  std::array<std::vector<endpoint_index>, kLevels> lists_;
  std::vector<place> places_;
  uint64_t used_ = 0;  // one bit for each level that is not empty
};

class free_index {
 public:
  // Adds the endpoint or changes its free amounts.
  void Set(endpoint_index endpoint, const resources& free, const resources& capacity);
  void Remove(endpoint_index endpoint);

  bool Contains(endpoint_index endpoint) const {
    return endpoint < entries_.size() && entries_[endpoint].present;
  }
  const resources& FreeOf(endpoint_index endpoint) const { return entries_[endpoint].free; }
  // Sums and maxima over all endpoints in the index.
  const resources& TotalFree() const { return total_free_; }
  resources LargestFree() const { return tree_.empty() ? resources{} : tree_[1]; }
  uint32_t Size() const { return size_; }

  // An endpoint that fits, or kNoEndpoint when there is none. The answer is exact.
  endpoint_index FindAny(const resources& need) const;

  // Calls visit(endpoint) for those of up to `probes` endpoints that fit, least loaded first. Stops
  // when visit returns false. `salt` selects where to begin among endpoints of one level: with a
  // fixed start all work would go to the same few racks.
  template <typename visitor>
  void VisitLeastLoaded(const resources& need, uint32_t probes, uint64_t salt,
                        visitor visit) const {
    VisitFrom(by_load_, 0, need, probes, salt, visit);
  }

  // Like VisitLeastLoaded(), starting with the endpoints that have the least of `amount` left.
  template <typename visitor>
  void VisitTightest(const resources& need, size_t amount, uint32_t probes, visitor visit) const {
    VisitFrom(by_free_[amount], FreeLevel(AmountOf(need, amount), amount), need, probes, 0, visit);
  }

  // Calls visit(endpoint) for every endpoint that fits, in index order, until it returns false.
  // Skips ranges without enough free capacity.
  template <typename visitor>
  void VisitAll(const resources& need, visitor visit) const {
    if (leaves_ != 0) VisitNode(1, need, visit);
  }

 private:
  struct entry {
    resources free;
    resources capacity;
    bool present = false;
  };

  template <typename visitor>
  void VisitFrom(const level_lists& lists, uint32_t first, const resources& need, uint32_t probes,
                 uint64_t salt, visitor& visit) const {
    for (uint32_t level = lists.NextLevel(first); level < level_lists::kLevels;
         level = lists.NextLevel(level + 1)) {
      const std::vector<endpoint_index>& list = lists.At(level);
      size_t at = salt % list.size();
      for (size_t i = 0; i < list.size(); ++i) {
        if (probes-- == 0) return;
        const endpoint_index endpoint = list[at];
        at = at + 1 == list.size() ? 0 : at + 1;
        if (Fits(need, entries_[endpoint].free) && !visit(endpoint)) return;
      }
    }
  }

  template <typename visitor>
  bool VisitNode(size_t node, const resources& need, visitor& visit) const {
    if (!Fits(need, tree_[node])) return true;
    if (node >= leaves_) {
      const auto endpoint = static_cast<endpoint_index>(node - leaves_);
      return !Contains(endpoint) || visit(endpoint);
    }
    return VisitNode(2 * node, need, visit) && VisitNode(2 * node + 1, need, visit);
  }

  uint32_t FreeLevel(uint32_t free, size_t amount) const;
  void Grow(endpoint_index endpoint);
  void UpdateTree(endpoint_index endpoint, const resources& free);
  void PutInLists(endpoint_index endpoint);
  void RaiseScale(const resources& capacity);

  std::vector<entry> entries_;
  std::vector<resources> tree_;  // node 1 is the root, leaves start at leaves_
  size_t leaves_ = 0;
  level_lists by_load_;
  std::array<level_lists, kAmounts> by_free_;
  resources scale_;  // the largest capacity seen: upper end of the levels
  resources total_free_;
  uint32_t size_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_FREE_INDEX_H_
