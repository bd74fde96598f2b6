// The bounded queue that joins the threads: a thread for each duty, and no other lock on the path.
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

// The slots grow with what waits in them and are given back once the ring has been emptied: an
// entry has a ring for each peer, nearly all of them empty nearly always, and slots for the longest
// queue of each would be most of its memory.
//
// Many producers, one consumer. std::mutex and not absl::Mutex: Debian's Abseil is built without
// ThreadSanitizer, which then reports races that are not there.
template <typename T>
class bounded_ring {
 public:
  explicit bounded_ring(size_t capacity)
      : capacity_(capacity), slots_(std::min(capacity, kInitialSlots)) {}

  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  // False, with the item left untouched, when the ring is full or closed: the producer answers
  // for what did not get in, so that overload shows as a refusal and not as a lost request.
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

  // Waits for room. False when the ring was closed. Only for producers that nobody waits for.
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

  // Takes all that is there into `out`; waits up to `wait` for the first. False once closed and
  // empty.
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

  // Wakes everybody; what is inside can still be taken out.
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
  // Larger ones are given back: a busy ring stays below this and does not grow anew each time.
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
