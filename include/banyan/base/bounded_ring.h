#ifndef BANYAN_BASE_BOUNDED_RING_H_
#define BANYAN_BASE_BOUNDED_RING_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <iterator>
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
    return PopUpTo(capacity_, deadline);
  }

  // Like PopAll, but leaves what exceeds the `most` oldest items.
  [[nodiscard]] std::vector<T> PopUpTo(std::size_t most, Time deadline) {
    std::unique_lock lock(mutex_);
    const Duration wait = deadline - MonotonicClock::now();
    ready_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
    const auto end = items_.begin() +
                     static_cast<std::ptrdiff_t>(std::min(most, items_.size()));
    std::vector<T> taken(std::make_move_iterator(items_.begin()),
                         std::make_move_iterator(end));
    items_.erase(items_.begin(), end);
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
