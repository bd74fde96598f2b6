#include "connection/connection_budget.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{1000};
// Of a connection without a request: mostly the HTTP library's buffers.
constexpr size_t kConnectionBytes = size_t{34} << 10;
// Of a listener's connections, for those that are being closed.
constexpr size_t kClosingPart = 8;
// A request is small if so many of its size may be held.
constexpr size_t kSmallRequests = 64;

}  // namespace

// ---- Memory of requests --------------------------------------------------------------------

struct request_memory::charge {
  charge(std::shared_ptr<connection_budget> from, size_t amount)
      : budget(std::move(from)), bytes(amount) {}
  ~charge() { budget->Release(bytes); }
  charge(const charge&) = delete;
  charge& operator=(const charge&) = delete;

  const std::shared_ptr<connection_budget> budget;
  const size_t bytes;
};

std::optional<request_memory> request_memory::Reserve(size_t bytes) const {
  if (charge_ == nullptr) return request_memory();
  return charge_->budget->Reserve(bytes);
}

// ---- Budget --------------------------------------------------------------------------------

connection_budget::connection_budget(budget_options options, socket_closer shut)
    : options_(options),
      held_limit_(options.bytes / 8 * 3),
      taken_limit_(options.bytes / 8 * 3),
      shut_(std::move(shut)) {}

connection_budget::listener_id connection_budget::AddListener(size_t connection_limit) {
  const std::lock_guard lock(mutex_);
  listeners_.push_back({connection_limit});
  return static_cast<listener_id>(listeners_.size() - 1);
}

bool connection_budget::Admit(listener_id at, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  CloseLate(now);
  const listener& own = listeners_[at];
  const bool below_limit = own.open + own.closing < own.limit;
  if (own.open >= own.OpenLimit()) {
    connection* const victim =
        Largest(kConnectionBytes, now, [at](const connection& each) { return each.at == at; });
    if (victim != nullptr) Close(*victim, counts_.closed_for_room);
  }
  if (below_limit) return true;
  ++counts_.rejected;
  return false;
}

connection_budget::connection_id connection_budget::Open(listener_id at, int socket,
                                                         monotonic_time now) {
  const std::lock_guard lock(mutex_);
  const connection_id id = next_id_++;
  connection& added = connections_[id];
  added.at = at;
  added.socket = socket;
  added.since = now;
  ++listeners_[at].open;
  return id;
}

void connection_budget::Closed(connection_id id) {
  const std::lock_guard lock(mutex_);
  connection* const ended = Find(id);
  if (ended == nullptr) return;
  SetBytes(*ended, 0);
  --(ended->closing ? listeners_[ended->at].closing : listeners_[ended->at].open);
  connections_.erase(id);
}

void connection_budget::Enter(connection_id id, connection_phase phase, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  CloseLate(now);
  connection* const found = Find(id);
  if (found == nullptr) return;
  found->phase = phase;
  found->since = now;
  // If all others waited, none of them was closed for the next one.
  const listener& own = listeners_[found->at];
  if (phase == connection_phase::kIdle && found->MayClose() && own.open > own.OpenLimit()) {
    Close(*found, counts_.closed_for_room);
  }
}

bool connection_budget::Hold(connection_id id, size_t bytes, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  connection* const holder = Find(id);
  if (holder == nullptr || holder->closing) return false;
  if (bytes > holder->bytes && !MakeRoom(bytes - holder->bytes, *holder, now)) {
    ++counts_.rejected;
    return false;
  }
  SetBytes(*holder, bytes);
  return true;
}

void connection_budget::BeginAnswer(connection_id id, size_t bytes, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  connection* const holder = Find(id);
  if (holder == nullptr) return;
  // While it waits it is not closed, not even for its own answer.
  MakeRoom(bytes, *holder, now);
  SetBytes(*holder, bytes);
  holder->phase = connection_phase::kSending;
  holder->since = now;
}

std::optional<request_memory> connection_budget::Take(connection_id id) {
  const std::lock_guard lock(mutex_);
  connection* const holder = Find(id);
  if (holder == nullptr) return std::nullopt;
  std::optional<request_memory> out = Charged(holder->bytes);
  if (out) SetBytes(*holder, 0);
  return out;
}

std::optional<request_memory> connection_budget::Reserve(size_t bytes) {
  const std::lock_guard lock(mutex_);
  return Charged(bytes);
}

void connection_budget::Update(monotonic_time now) {
  const std::lock_guard lock(mutex_);
  CloseLate(now);
}

budget_counts connection_budget::Counts() const {
  const std::lock_guard lock(mutex_);
  budget_counts out = counts_;
  out.bytes = Used();
  return out;
}

size_t connection_budget::listener::OpenLimit() const {
  return limit - std::max<size_t>(limit / kClosingPart, 1);
}

connection_budget::connection* connection_budget::Find(connection_id id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

template <typename Predicate>
connection_budget::connection* connection_budget::Largest(size_t own_bytes, monotonic_time now,
                                                          Predicate may_close) {
  connection* largest = nullptr;
  double most = 0;
  for (auto& [id, each] : connections_) {
    if (!each.MayClose() || !may_close(each)) continue;
    // A connection that has just entered its phase counts by its bytes.
    const std::chrono::duration<double, std::milli> since = now - each.since;
    const double weight =
        static_cast<double>(each.bytes + own_bytes) * (std::max(since.count(), 0.0) + 1);
    if (weight <= most) continue;
    largest = &each;
    most = weight;
  }
  return largest;
}

void connection_budget::Close(connection& target, uint64_t& count) {
  ++count;
  held_ -= target.bytes;
  closing_ += target.bytes;
  target.closing = true;
  --listeners_[target.at].open;
  ++listeners_[target.at].closing;
  shut_(target.socket);
}

void connection_budget::SetBytes(connection& target, size_t bytes) {
  size_t& part = target.closing ? closing_ : held_;
  part = part - target.bytes + bytes;
  target.bytes = bytes;
}

bool connection_budget::MakeRoom(size_t bytes, connection& requester, monotonic_time now) {
  while (held_ + bytes > held_limit_) {
    connection* const victim =
        Largest(0, now, [](const connection& each) { return each.bytes > 0; });
    if (victim == nullptr) return false;
    Close(*victim, counts_.closed_for_room);
    if (victim == &requester) return false;
  }
  return Used() + bytes <= options_.bytes;
}

void connection_budget::CloseLate(monotonic_time now) {
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  for (auto& [id, each] : connections_) {
    if (each.MayClose() && now - each.since > options_.phase_timeout) {
      Close(each, counts_.closed_late);
    }
  }
}

std::optional<request_memory> connection_budget::Charged(size_t bytes) {
  // Large requests leave a part to small ones.
  const bool large = bytes > taken_limit_ / kSmallRequests;
  const size_t limit = large ? taken_limit_ - taken_limit_ / 4 : taken_limit_;
  if (taken_ + bytes > limit) {
    ++counts_.rejected;
    return std::nullopt;
  }
  taken_ += bytes;
  request_memory out;
  out.charge_ = std::make_shared<const request_memory::charge>(shared_from_this(), bytes);
  return out;
}

void connection_budget::Release(size_t bytes) {
  const std::lock_guard lock(mutex_);
  taken_ -= bytes;
}

// ---- The system ----------------------------------------------------------------------------

void ShutSocket(int socket) { shutdown(socket, SHUT_RDWR); }

listener_shares SharesOf(size_t descriptors, size_t memory_bytes) {
  const auto share = [](size_t by_descriptors, size_t by_memory) {
    return std::max<size_t>(std::min(by_descriptors, by_memory / kConnectionBytes), 2);
  };
  // Of the descriptors seven tenths, of the memory less than a quarter.
  return {share(descriptors / 2, memory_bytes / 32 * 5), share(descriptors / 8, memory_bytes / 16),
          share(descriptors / 32, memory_bytes / 128), share(descriptors / 32, memory_bytes / 128)};
}

std::optional<size_t> DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return std::nullopt;
  return static_cast<size_t>(limit.rlim_cur);
}

}  // namespace catkinford
