#include "process/instance_polling.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/ownership_record.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

uint64_t HashOf(const instance& one) {
  const resources& shape = one.shape;
  return StableHash(absl::StrCat(one.name, "\n", static_cast<int>(one.role), "\n",
                                 one.failure_domain, "\n", one.rack, "\n", one.leaving ? 1 : 0,
                                 "\n", shape.cpu_milli, ",", shape.memory_mb, ",",
                                 shape.accelerators, ",", shape.slots));
}

}  // namespace

instance_polling::instance_polling(std::string name, milliseconds poll)
    : name_(std::move(name)), poll_(poll) {}

int64_t instance_polling::Rank(const std::vector<std::string>& live_neighbours) const {
  std::set<std::string> ring(live_neighbours.begin(), live_neighbours.end());
  ring.insert(name_);
  int64_t rank = 0;
  auto at = ring.upper_bound(last_reader_);
  for (size_t i = 0; i < ring.size(); ++i, ++at, ++rank) {
    if (at == ring.end()) at = ring.begin();
    if (*at == name_) break;
  }
  return rank;
}

bool instance_polling::ReadDue(const std::vector<std::string>& live_neighbours,
                               monotonic_time now) const {
  if (reading_) return false;
  const bool has_tried = last_try_ != monotonic_time{};
  if (!has_list_) return !has_tried || now - last_try_ >= poll_;
  if (now - last_try_ < poll_) return false;
  const milliseconds turn = differs_ ? milliseconds{0} : poll_;
  return now - last_update_ >= turn + Rank(live_neighbours) * poll_ / 2;
}

void instance_polling::OnReadBegun(monotonic_time now) {
  reading_ = true;
  last_try_ = now;
}

void instance_polling::OnReadFailed() { reading_ = false; }

bool instance_polling::Put(const instance& one) {
  const auto [at, is_new] = list_.try_emplace(one.name);
  instance& held = at->second;
  instance next = one;
  if (next.address.empty()) next.address = held.address;
  const uint64_t before = is_new ? 0 : HashOf(held);
  const uint64_t after = HashOf(next);
  const bool changed = is_new || before != after || next.address != held.address;
  digest_ += after - before;
  held = std::move(next);
  return changed;
}

bool instance_polling::Erase(const std::string& name) {
  const auto found = list_.find(name);
  if (found == list_.end()) return false;
  digest_ -= HashOf(found->second);
  list_.erase(found);
  return true;
}

instances_message instance_polling::OnRead(const std::vector<instance>& read, monotonic_time now) {
  instances_message message;
  std::set<std::string> names;
  for (const instance& one : read) {
    names.insert(one.name);
    const auto held = list_.find(one.name);
    const bool same_address = held != list_.end() && held->second.address == one.address;
    if (!Put(one)) continue;
    message.changed.push_back(one);
    if (same_address) message.changed.back().address.clear();
  }
  for (const auto& [name, one] : list_) {
    if (!names.contains(name)) message.gone.push_back(name);
  }
  for (const std::string& name : message.gone) Erase(name);
  // The first list of a new entry is not a change: its neighbours have their own.
  if (!std::exchange(has_list_, true)) message = {};
  message.digest = digest_;
  reading_ = false;
  differs_ = false;
  last_reader_ = name_;
  last_update_ = now;
  return message;
}

bool instance_polling::OnMessage(const std::string& from, const instances_message& message,
                                 monotonic_time now) {
  if (!has_list_) return false;
  bool changed = false;
  for (const instance& one : message.changed) {
    // Known only from a change without an address: it cannot be called yet.
    if (one.address.empty() && !list_.contains(one.name)) continue;
    changed |= Put(one);
  }
  for (const std::string& name : message.gone) changed |= Erase(name);
  differs_ = digest_ != message.digest;
  last_reader_ = from;
  last_update_ = now;
  return changed;
}

std::vector<instance> instance_polling::List() const {
  std::vector<instance> list;
  list.reserve(list_.size());
  for (const auto& [name, one] : list_) list.push_back(one);
  return list;
}

}  // namespace catkinford
