#ifndef BANYAN_BASE_ANSWER_WAIT_H_
#define BANYAN_BASE_ANSWER_WAIT_H_

#include <optional>

#include "banyan/base/time.h"

namespace banyan {

// A wait for the answer of another process, which has its whole time from when
// the request left this process. An answer that has arrived and was not read
// yet does not count as missing.
class AnswerWait {
 public:
  // `timeout` is the time that the other process has.
  explicit AnswerWait(Duration timeout) noexcept : timeout_(timeout) {}

  // Begins a wait, or begins it anew.
  void Begin(Time now) noexcept {
    began_at_ = now;
    deadline_.reset();
  }

  [[nodiscard]] bool has_begun() const noexcept {
    return began_at_.has_value();
  }

  // Returns whether the other process has left its time unused. All that had
  // arrived by `heard_until` has been handled, and all that was to be sent by
  // then has been passed on. To be called at every tick.
  [[nodiscard]] bool IsOver(Time now, Time heard_until) noexcept {
    if (!began_at_ || heard_until < *began_at_) {
      return false;
    }
    if (!deadline_) {
      deadline_ = now + timeout_;
    }
    return *deadline_ <= heard_until;
  }

 private:
  Duration timeout_;
  std::optional<Time> began_at_;
  // Set once the request has left the process.
  std::optional<Time> deadline_;
};

}  // namespace banyan

#endif  // BANYAN_BASE_ANSWER_WAIT_H_
