#ifndef BANYAN_PROCESS_READ_MARKS_H_
#define BANYAN_PROCESS_READ_MARKS_H_

#include <algorithm>
#include <concepts>
#include <optional>

#include "banyan/base/time.h"

namespace banyan {

// An input of a main loop that all messages precede which had arrived at the
// process by `at`, as far as one read of each connection holds them.
struct ReadMark {
  Time at;
};

// Times of the marks of one loop.
struct ReadMarkTimings {
  // Shortest time between two marks.
  Duration interval;
  // A longer time between two marks that come back is a gap: this process did
  // not run or read, and others may not have run either.
  Duration longest_gap;
  // How long the others have after a gap to be heard before what lies in it
  // counts as their silence.
  Duration settling;
};

// Tells a main loop until when it has handled everything that arrived. Marks go
// through the network thread and the ring of inputs, behind what is read there.
class ReadMarks {
 public:
  ReadMarks(Time now, ReadMarkTimings timings) noexcept
      : timings_(timings), heard_until_(now) {}

  // Passes a mark to `send` if one is due and the last one is back. To be
  // called at the end of each turn, after what it sends.
  template <std::invocable<ReadMark> Send>
  void Tick(Time now, const Send& send) {
    if (now < next_mark_at_ || now < return_deadline_) {
      return;
    }
    next_mark_at_ = now + timings_.interval;
    return_deadline_ = now + kReturnTimeout;
    send(ReadMark{now});
  }

  // Handles a mark that came back.
  void OnMark(const ReadMark& mark) noexcept {
    return_deadline_ = Time{};
    if (gap_end_ && mark.at >= *gap_end_ + timings_.settling) {
      heard_until_ = *gap_end_;
      gap_end_.reset();
    }
    if (gap_end_) {
      return;
    }
    if (mark.at - heard_until_ > timings_.longest_gap) {
      gap_end_ = mark.at;
      return;
    }
    heard_until_ = std::max(heard_until_, mark.at);
  }

  // All that had arrived at the process by then has been handled.
  [[nodiscard]] Time heard_until() const noexcept { return heard_until_; }

 private:
  // A mark that isn't back after this time counts as dropped by a full ring.
  static constexpr Duration kReturnTimeout = std::chrono::seconds(1);

  ReadMarkTimings timings_;
  Time heard_until_;
  // The end of a gap after which the settling time has not passed.
  std::optional<Time> gap_end_;
  Time next_mark_at_;
  Time return_deadline_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_READ_MARKS_H_
