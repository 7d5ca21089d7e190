#ifndef BANYAN_PROCESS_PENDING_H_
#define BANYAN_PROCESS_PENDING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <utility>

#include "banyan/base/time.h"

namespace banyan {

// Waits for a response until the deadline, and for `grace` if it is over then.
// A process that was frozen wakes after the deadline, and the thread that waits
// may run before the one that answers. Returns whether the response is there.
template <typename T>
[[nodiscard]] bool WaitForResponse(const std::future<T>& response,
                                   Time deadline,
                                   Duration grace) {
  return response.wait_for(deadline - MonotonicClock::now()) ==
             std::future_status::ready ||
         response.wait_for(grace) == std::future_status::ready;
}

// Responses that threads wait for, keyed by ticket. Thread-safe.
template <typename T>
class PendingResponses {
 public:
  // Opens a ticket. Returns it with the future that receives its response.
  [[nodiscard]] std::pair<std::uint64_t, std::future<T>> Open() {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ticket = next_ticket_++;
    return {ticket, promises_[ticket].get_future()};
  }

  // Fulfils the future of a ticket. Does nothing if the ticket was abandoned.
  void Resolve(std::uint64_t ticket, T answer) {
    std::promise<T> promise;
    {
      const std::lock_guard lock(mutex_);
      const auto found = promises_.find(ticket);
      if (found == promises_.end()) {
        return;
      }
      promise = std::move(found->second);
      promises_.erase(found);
    }
    promise.set_value(std::move(answer));
  }

  // Drops a ticket; a later response for it is ignored.
  void Abandon(std::uint64_t ticket) {
    const std::lock_guard lock(mutex_);
    promises_.erase(ticket);
  }

  // Returns the number of open tickets.
  [[nodiscard]] std::size_t open_count() const {
    const std::lock_guard lock(mutex_);
    return promises_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::uint64_t next_ticket_ = 1;
  std::map<std::uint64_t, std::promise<T>> promises_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_PENDING_H_
