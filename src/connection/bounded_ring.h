// The bounded queue that joins the threads: a thread for each duty, and no other lock on the path.
#ifndef CATKINFORD_CONNECTION_BOUNDED_RING_H_
#define CATKINFORD_CONNECTION_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace catkinford {

// Many producers, one consumer. std::mutex and not absl::Mutex: Debian's Abseil is built without
// ThreadSanitizer, which then reports races that are not there.
template <typename T>
class bounded_ring {
 public:
  explicit bounded_ring(size_t capacity) : slots_(capacity) {}

  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  // False, with the item left untouched, when the ring is full or closed: the producer answers
  // for what did not get in, so that overload shows as a refusal and not as a lost request.
  bool TryPush(T& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size()) return false;
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
      not_full_.wait(lock, [this] { return closed_ || size_ < slots_.size(); });
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
  void Store(T&& item) {
    slots_[(head_ + size_) % slots_.size()] = std::move(item);
    ++size_;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<T> slots_;
  size_t head_ = 0;
  size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_BOUNDED_RING_H_
