// Spreads services over failure domains: splits a service when it arrives at its home shard, and
// sends messages between the home and the owners of its parts.
#include <optional>
#include <utility>

#include "process/node.h"
#include "process/service_split.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Time after the start of an entry during which it waits for reports of every failure domain before
// it splits a service. Split at once, services that arrive right after the start of a fleet, or at
// an entry that has just replaced another, would all be placed in the one known domain.
constexpr milliseconds kFirstReportsWait{2000};

}  // namespace

void node::OnPlace(const std::string& from, shard& to, place_message place, monotonic_time now) {
  const bool is_new = to.SpecOf(place.id) == nullptr;
  const bool is_unsplit = place.home.empty() && place.parts.empty();
  if (is_new && is_unsplit && MaySpread(place)) {
    if (now < started_ + kFirstReportsWait && !routes_.AllDomainsReported()) {
      deferred_services_.push_back({from, std::move(place)});
      return;
    }
    place.parts = SplitService(place, place.shard, routes_, now);
  }
  to.Place(from, std::move(place), now);
}

void node::RetryDeferredServices(monotonic_time now) {
  if (deferred_services_.empty()) return;
  for (deferred_service& deferred : std::exchange(deferred_services_, {})) {
    shard* to = FindShard(deferred.place.shard);
    if (to != nullptr) OnPlace(deferred.from, *to, std::move(deferred.place), now);
  }
}

// Covers all ways in which a new owner becomes known. Home shards place their parts there again:
// the new owner may have dropped them because its domain was evacuated.
void node::NotifyNewOwners(monotonic_time now) {
  for (const auto& [name, route] : routes_.Routes()) {
    if (!routes_.OwnerOf(name, now)) continue;
    uint64_t& notified_epoch = notified_epochs_[name];
    if (route.epoch <= notified_epoch) continue;
    notified_epoch = route.epoch;
    for (auto& [number, held] : shards_) held->OnNewOwner(name, now);
  }
}

// Ownership is checked here too: an owner that was paused for long must not place a part by a plan
// that its successor has changed since.
void node::PlacePart(uint32_t number, shard& from, const part_call& call, monotonic_time now) {
  const place_message* job = from.SpecOf(call.id);
  const std::optional<std::string> owner = routes_.OwnerOf(call.shard, now);
  if (job == nullptr || !owner || !MayActFor(number)) return;
  if (call.is_cancel) {
    Send(*owner, cancel_message{call.id, call.shard, from.Name(), call.send}, now);
    return;
  }
  place_message part = *job;
  part.shard = call.shard;
  part.home = from.Name();
  part.send = call.send;
  part.wait = false;
  part.fresh = true;  // the log of its shard shows whether the part is known
  Send(*owner, std::move(part), now);
}

}  // namespace catkinford
