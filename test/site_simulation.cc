#include "site_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTravelTime{1};
constexpr milliseconds kBetweenStarts{5};

store_reply Failed(store_status status) {
  store_reply reply;
  reply.status = status;
  return reply;
}

}  // namespace

void virtual_clock::At(monotonic_time due, std::function<void()> work) {
  queue_.push({std::max(due, now_), ++last_order_, std::move(work)});
}

void virtual_clock::RunUntil(monotonic_time end) {
  while (!queue_.empty() && queue_.top().due <= end) {
    now_ = queue_.top().due;
    const auto work = std::move(const_cast<timed_work&>(queue_.top()).work);
    queue_.pop();
    work();
  }
  now_ = end;
}

void virtual_loop::After(milliseconds delay, std::function<void()> work) {
  if (ended_) return;
  clock_.At(clock_.Now() + delay, [this, work = std::move(work)] {
    if (!ended_) work();
  });
}

monotonic_time virtual_store::Occupy(size_t items) {
  const auto call = std::chrono::duration_cast<monotonic_time::duration>(
      std::chrono::duration<double>(1 / terms_.calls_per_s));
  free_at_ = std::max(free_at_, clock_.Now()) + call + terms_.per_item * items;
  items_sent_ += items;
  return free_at_;
}

void virtual_store::Answer(store_reply reply, store_callback done, monotonic_time give_up) {
  const monotonic_time arrives = Occupy(reply.items.size()) + kTravelTime;
  if (arrives > give_up) {
    // The store has done the work; the caller waits for it no longer.
    clock_.At(give_up, [done = std::move(done)] { done(Failed(store_status::kUnknown)); });
    return;
  }
  clock_.At(arrives, [done = std::move(done), reply = std::move(reply)] { done(reply); });
}

void virtual_store::Serve(std::function<store_reply()> execute, store_callback done) {
  ++calls_;
  const monotonic_time give_up = clock_.Now() + terms_.call_timeout;
  if (down_ || (refusing_ && calls_ % 2 == 0)) {
    clock_.At(clock_.Now() + kTravelTime,
              [done = std::move(done)] { done(Failed(store_status::kUnavailable)); });
    return;
  }
  // Executed in its turn, which may be after its caller has given it up.
  clock_.At(std::max(free_at_, clock_.Now()) + kTravelTime,
            [this, give_up, execute = std::move(execute), done = std::move(done)] {
              Answer(execute(), done, give_up);
              TellWatches();
            });
}

void virtual_store::Get(const std::string& key, store_callback done, const read_options&) {
  Range(key, "", std::move(done));
}

void virtual_store::Range(const std::string& prefix, const std::string& after, store_callback done,
                          const read_options&) {
  Serve(
      [this, prefix, after] {
        store_reply reply;
        reply.status = store_status::kDone;
        reply.revision = revision_;
        for (auto at = items_.upper_bound(std::max(prefix, after));
             at != items_.end() && at->first.starts_with(prefix); ++at) {
          reply.more = reply.items.size() == terms_.items_per_page;
          if (reply.more) break;
          reply.items.push_back({at->first, at->second.value, at->second.revision, false});
        }
        return reply;
      },
      std::move(done));
}

void virtual_store::Watch(const std::string& prefix, uint64_t after, milliseconds wait,
                          store_callback done, const read_options&) {
  ++calls_;
  if (down_ || (refusing_ && calls_ % 2 == 0)) {
    clock_.At(clock_.Now() + kTravelTime,
              [done = std::move(done)] { done(Failed(store_status::kUnavailable)); });
    return;
  }
  const monotonic_time ends = clock_.Now() + wait;
  clock_.At(std::max(free_at_, clock_.Now()) + kTravelTime, [=, this, done = std::move(done)] {
    if (after < history_from_) {
      return Answer(Failed(store_status::kHistoryCompacted), done, ends + terms_.call_timeout);
    }
    watches_.push_back({prefix, after, ends, done});
    TellWatches();
    clock_.At(ends, [this] { TellWatches(); });
  });
}

void virtual_store::TellWatches() {
  if (std::exchange(telling_, true)) return;
  std::vector<waiting_watch> waiting;
  for (waiting_watch& watch : std::exchange(watches_, {})) {
    if (down_) {
      Answer(Failed(store_status::kUnavailable), std::move(watch.done),
             clock_.Now() + terms_.call_timeout);
      continue;
    }
    if (watch.after < history_from_) {
      Answer(Failed(store_status::kHistoryCompacted), std::move(watch.done),
             watch.ends + terms_.call_timeout);
      continue;
    }
    store_reply reply;
    reply.status = store_status::kDone;
    reply.revision = revision_;
    const auto first =
        std::upper_bound(changes_.begin(), changes_.end(), watch.after,
                         [](uint64_t after, const store_item& at) { return after < at.revision; });
    for (auto at = first; at != changes_.end(); ++at) {
      if (at->key.starts_with(watch.prefix)) reply.items.push_back(*at);
    }
    if (reply.items.empty() && clock_.Now() < watch.ends) {
      waiting.push_back(std::move(watch));
    } else {
      Answer(std::move(reply), std::move(watch.done), watch.ends + terms_.call_timeout);
    }
  }
  std::move(waiting.begin(), waiting.end(), std::back_inserter(watches_));
  telling_ = false;
}

void virtual_store::Write(const std::string& key, const std::string& value,
                          const std::string& lease) {
  items_[key] = {value, revision_, lease};
  changes_.push_back({key, value, revision_, false});
}

void virtual_store::Remove(const std::string& key) {
  items_.erase(key);
  changes_.push_back({key, "", ++revision_, true});
}

void virtual_store::Commit(const store_write& write, store_callback done) {
  Serve(
      [this, write] {
        store_reply reply;
        bool matches = true;
        for (const auto& [key, revision] : write.expected) {
          const auto found = items_.find(key);
          const bool absent = found == items_.end();
          matches = matches && (absent ? 0 : found->second.revision) == revision;
          reply.items.push_back(
              absent ? store_item{key, "", 0, false}
                     : store_item{key, found->second.value, found->second.revision, false});
        }
        if (!matches) {
          reply.status = store_status::kConflict;
          return reply;
        }
        reply.items.clear();
        for (const store_write::put& put : write.puts) {
          if (put.lease.empty() || leases_.contains(put.lease)) continue;
          reply.status = store_status::kAbsent;
          return reply;
        }
        ++revision_;
        for (const store_write::put& put : write.puts) Write(put.key, put.value, put.lease);
        reply.status = store_status::kDone;
        reply.revision = revision_;
        return reply;
      },
      std::move(done));
}

void virtual_store::GrantLease(milliseconds ttl, store_callback done) {
  Serve(
      [this, ttl] {
        store_reply reply;
        reply.status = store_status::kDone;
        reply.lease = absl::StrCat(++last_lease_);
        leases_[reply.lease] = {ttl, clock_.Now() + ttl};
        ExpireAt(reply.lease, clock_.Now() + ttl);
        return reply;
      },
      std::move(done));
}

void virtual_store::RenewLease(const std::string& lease, store_callback done) {
  Serve(
      [this, lease] {
        const auto found = leases_.find(lease);
        if (found == leases_.end()) return Failed(store_status::kAbsent);
        found->second.ends = clock_.Now() + found->second.ttl;
        return Failed(store_status::kDone);
      },
      std::move(done));
}

void virtual_store::RevokeLease(const std::string& lease, store_callback done) {
  Serve(
      [this, lease] {
        EndLease(lease);
        return Failed(store_status::kDone);
      },
      std::move(done));
}

void virtual_store::ExpireAt(const std::string& lease, monotonic_time due) {
  clock_.At(due, [this, lease] {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) return;
    if (found->second.ends > clock_.Now()) return ExpireAt(lease, found->second.ends);
    EndLease(lease);
    TellWatches();
  });
}

void virtual_store::EndLease(const std::string& lease) {
  leases_.erase(lease);
  std::vector<std::string> bound;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) bound.push_back(key);
  }
  for (const std::string& key : bound) Remove(key);
}

void virtual_store::DropHistory() {
  history_from_ = ++revision_;
  changes_.clear();
  TellWatches();
}

site_simulation::member::member(virtual_clock& clock, virtual_store& store, site_log& log,
                                const std::string& name, uint64_t nonce)
    : loop(clock),
      membership(store, health, loop, log, {name, absl::StrCat(name, ":1"), "domain", nonce, 1},
                 kLease, kWatchWait,
                 {[] {}, [](const std::string&) {}, [] {},
                  [this](const std::function<void(outage_verdict)>& done) {
                    loop.After(milliseconds(5), [done] { done(outage_verdict::kUpElsewhere); });
                  }}) {}

site_simulation::site_simulation(size_t entries, const store_terms& terms)
    : store_(clock_, terms), members_(entries) {
  for (size_t i = 0; i < entries; ++i) {
    clock_.At(clock_.Now() + kBetweenStarts * i, [this, i] { StartEntry(i); });
  }
  Run(kBetweenStarts * entries);
}

void site_simulation::StartEntry(size_t at) {
  members_[at] = std::make_unique<member>(clock_, store_, log_, absl::StrCat("entry-", 10000 + at),
                                          ++last_nonce_);
  members_[at]->membership.Start();
}

size_t site_simulation::OwnerAt() const {
  const auto found = std::find_if(members_.begin(), members_.end(), [](const auto& each) {
    return !each->loop.Ended() && each->membership.Owns();
  });
  return static_cast<size_t>(found - members_.begin());
}

milliseconds site_simulation::TimeToOwner(milliseconds limit) {
  constexpr milliseconds kStep{20};
  milliseconds waited{0};
  for (; waited < limit && !Owned(); waited += kStep) Run(kStep);
  return waited;
}

void site_simulation::KillOwner() {
  if (Owned()) members_[OwnerAt()]->loop.End();
}

void site_simulation::RestartThird() {
  for (size_t i = 0; i < members_.size(); i += 3) {
    members_[i]->loop.End();
    ended_.push_back(std::move(members_[i]));
    StartEntry(i);
  }
}

double site_simulation::CallsPerSecond() {
  constexpr seconds kTime{10};
  store_.TakeCalls();
  Run(kTime);
  return static_cast<double>(store_.TakeCalls()) / static_cast<double>(kTime.count());
}

}  // namespace catkinford
