#ifndef BANYAN_PROCESS_READ_MARKS_H_
#define BANYAN_PROCESS_READ_MARKS_H_

#include <algorithm>
#include <concepts>

#include "banyan/base/time.h"

namespace banyan {

// An input of a main loop that all messages precede which had arrived at the
// process by `at`.
struct ReadMark {
  Time at;
};

// Tells a main loop until when it has handled everything that arrived. Marks go
// through the network thread and the ring of inputs, behind what is read there.
class ReadMarks {
 public:
  // `interval` is the shortest time between two marks.
  ReadMarks(Time now, Duration interval) noexcept
      : interval_(interval), heard_until_(now) {}

  // Passes a mark to `send` if one is due and the last one is back. To be
  // called at the end of each turn, after what it sends.
  template <std::invocable<ReadMark> Send>
  void Tick(Time now, const Send& send) {
    if (now < next_mark_at_ || now < return_deadline_) {
      return;
    }
    next_mark_at_ = now + interval_;
    return_deadline_ = now + kReturnTimeout;
    send(ReadMark{now});
  }

  // Handles a mark that came back.
  void OnMark(const ReadMark& mark) noexcept {
    heard_until_ = std::max(heard_until_, mark.at);
    return_deadline_ = Time{};
  }

  // All that had arrived at the process by then has been handled.
  [[nodiscard]] Time heard_until() const noexcept { return heard_until_; }

 private:
  // A mark that isn't back after this time counts as dropped by a full ring.
  static constexpr Duration kReturnTimeout = std::chrono::seconds(1);

  Duration interval_;
  Time heard_until_;
  Time next_mark_at_;
  Time return_deadline_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_READ_MARKS_H_
