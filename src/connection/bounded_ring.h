// Bounded queue that passes work between threads; its mutex is the only lock on that path.
#ifndef CATKINFORD_CONNECTION_BOUNDED_RING_H_
#define CATKINFORD_CONNECTION_BOUNDED_RING_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace catkinford {

// The ring grows on demand and shrinks again once it has been drained: an entry has one ring per
// peer, almost all of them empty almost always, and preallocating full capacity for each would
// dominate its memory.
//
// Multiple producers, single consumer. Uses std::mutex rather than absl::Mutex because Debian's
// Abseil is built without ThreadSanitizer, which then reports false races.
template <typename T>
class bounded_ring {
 public:
  explicit bounded_ring(size_t capacity)
      : capacity_(capacity), slots_(std::min(capacity, kInitialSlots)) {}

  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  // Returns false and leaves the item untouched when the ring is full or closed. The producer must
  // then answer the request itself, so that overload shows as a rejection, not as a lost request.
  bool TryPush(T& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == capacity_) return false;
      Store(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }
  bool TryPush(T&& item) { return TryPush(item); }

  // Blocks until there is free capacity; returns false if the ring was closed. Only for producers
  // that no caller waits for.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || size_ < capacity_; });
      if (closed_) return false;
      Store(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  // Appends all queued items to `out`, waiting up to `wait` for the first. Returns false once the
  // ring is closed and empty.
  bool PopAll(std::vector<T>& out, std::chrono::milliseconds wait) {
    {
      std::unique_lock lock(mutex_);
      not_empty_.wait_for(lock, wait, [this] { return closed_ || size_ > 0; });
      if (size_ == 0) return !closed_;
      while (size_ > 0) {
        out.push_back(std::move(slots_[head_]));
        head_ = (head_ + 1) % slots_.size();
        --size_;
      }
      ShrinkIfLarge();
    }
    not_full_.notify_all();
    return true;
  }

  // Wakes all waiting threads; items already queued can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  size_t Size() const {
    const std::lock_guard lock(mutex_);
    return size_;
  }

 private:
  static constexpr size_t kInitialSlots = 16;
  // Only larger rings shrink, so that a busy ring stays below this and does not regrow each time.
  static constexpr size_t kMaxRetainedSlots = 1024;

  void Store(T&& item) {
    if (size_ == slots_.size()) Grow();
    slots_[(head_ + size_) % slots_.size()] = std::move(item);
    ++size_;
  }

  void Grow() {
    std::vector<T> larger(std::min(capacity_, 2 * slots_.size()));
    for (size_t i = 0; i < size_; ++i) {
      larger[i] = std::move(slots_[(head_ + i) % slots_.size()]);
    }
    slots_ = std::move(larger);
    head_ = 0;
  }

  void ShrinkIfLarge() {
    if (slots_.size() <= kMaxRetainedSlots) return;
    slots_ = std::vector<T>(kInitialSlots);
    head_ = 0;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  const size_t capacity_;
  std::vector<T> slots_;
  size_t head_ = 0;
  size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_BOUNDED_RING_H_
