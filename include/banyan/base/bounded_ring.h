#ifndef BANYAN_BASE_BOUNDED_RING_H_
#define BANYAN_BASE_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// A thread-safe bounded FIFO queue with any number of producers and one
// consumer. A push to a full ring fails; producers never block.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : capacity_(capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Appends an item. When the ring is full or closed, returns false and leaves
  // the item unmoved.
  [[nodiscard]] bool TryPush(T&& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  // Removes and returns all queued items. Waits until the deadline if the ring
  // is empty; the result is empty on a timeout or when the ring is closed and
  // empty.
  [[nodiscard]] std::vector<T> PopAll(Time deadline) {
    std::unique_lock lock(mutex_);
    const Duration wait = deadline - MonotonicClock::now();
    ready_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
    std::vector<T> taken;
    taken.reserve(items_.size());
    for (T& item : items_) {
      taken.push_back(std::move(item));
    }
    items_.clear();
    return taken;
  }

  // Removes the oldest item into `out`, waiting until the deadline if the ring
  // is empty. Returns false on a timeout or when the ring is closed and empty.
  [[nodiscard]] bool PopOne(T& out, Time deadline) {
    std::unique_lock lock(mutex_);
    const Duration wait = deadline - MonotonicClock::now();
    ready_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) {
      return false;
    }
    out = std::move(items_.front());
    items_.pop_front();
    return true;
  }

  // Makes further pushes fail and wakes every waiting consumer. Queued items
  // can still be removed.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  // Returns whether the ring is closed and empty.
  [[nodiscard]] bool drained() const {
    const std::lock_guard lock(mutex_);
    return closed_ && items_.empty();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<T> items_;
  std::size_t capacity_;
  bool closed_ = false;
};

}  // namespace banyan

#endif  // BANYAN_BASE_BOUNDED_RING_H_
