#ifndef BANYAN_PROCESS_PENDING_H_
#define BANYAN_PROCESS_PENDING_H_

#include <cstddef>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <utility>

namespace banyan {

// Answers that threads wait for, by ticket.
template <typename T>
class Pending {
 public:
  // Opens a ticket; the future bears its answer.
  [[nodiscard]] std::pair<std::uint64_t, std::future<T>> Open() {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ticket = next_++;
    return {ticket, waiting_[ticket].get_future()};
  }

  // Delivers an answer; a ticket that was given up is ignored.
  void Deliver(std::uint64_t ticket, T answer) {
    std::promise<T> promise;
    {
      const std::lock_guard lock(mutex_);
      const auto found = waiting_.find(ticket);
      if (found == waiting_.end()) {
        return;
      }
      promise = std::move(found->second);
      waiting_.erase(found);
    }
    promise.set_value(std::move(answer));
  }

  // Gives a ticket up.
  void GiveUp(std::uint64_t ticket) {
    const std::lock_guard lock(mutex_);
    waiting_.erase(ticket);
  }

  // Tickets that are open.
  [[nodiscard]] std::size_t open() const {
    const std::lock_guard lock(mutex_);
    return waiting_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, std::promise<T>> waiting_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_PENDING_H_
