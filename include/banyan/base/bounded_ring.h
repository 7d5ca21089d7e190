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

// A bounded queue between threads, with any number of producers and one
// consumer. A full ring refuses the item; it never blocks a producer.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : capacity_(capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Adds an item; returns false, leaving the item alone, when full or closed.
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

  // Takes everything that is queued, waiting until the deadline for the first.
  [[nodiscard]] std::vector<T> PopAll(Time deadline) {
    std::unique_lock lock(mutex_);
    const Span wait = deadline - MonotonicClock::now();
    ready_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
    std::vector<T> taken;
    taken.reserve(items_.size());
    for (T& item : items_) {
      taken.push_back(std::move(item));
    }
    items_.clear();
    return taken;
  }

  // Takes one item, waiting until the deadline; false when none came.
  [[nodiscard]] bool PopOne(T& out, Time deadline) {
    std::unique_lock lock(mutex_);
    const Span wait = deadline - MonotonicClock::now();
    ready_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) {
      return false;
    }
    out = std::move(items_.front());
    items_.pop_front();
    return true;
  }

  // Refuses further items and wakes every waiting consumer.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  // Returns whether the ring was closed and emptied.
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
