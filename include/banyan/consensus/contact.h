#ifndef BANYAN_CONSENSUS_CONTACT_H_
#define BANYAN_CONSENSUS_CONTACT_H_

#include <algorithm>
#include <optional>

#include "banyan/base/time.h"

namespace banyan {

// How long another process has left requests unanswered. It is silent only
// while an answer is due, and only as far as this process has read what
// arrived.
class Contact {
 public:
  Contact() = default;
  // Starts as if an answer had arrived at `now`.
  explicit Contact(Time now) : answered_at_(now) {}

  // Records a request that the other process answers. It was made at
  // `requested_at` and had left this process by `sent_by`. Without effect if an
  // answer has arrived since it was made.
  void OnAsked(Time requested_at, Time sent_by) {
    if (!asked_at_ && answered_at_ < requested_at) {
      asked_at_ = sent_by;
    }
  }

  // Records an answer.
  void OnAnswered(Time now) {
    answered_at_ = now;
    asked_at_.reset();
  }

  // When the latest answer arrived.
  [[nodiscard]] Time answered_at() const noexcept { return answered_at_; }

  // Returns since when the other process has been silent. `heard_until` is the
  // time until which everything that arrived has been handled; it is returned
  // if no answer is due. `ask_interval` is the longest regular time between an
  // answer and the next request, which belongs to the silence.
  [[nodiscard]] Time SilentSince(Time heard_until,
                                 Duration ask_interval) const {
    if (!asked_at_) {
      return heard_until;
    }
    return std::min(heard_until,
                    std::max(answered_at_, *asked_at_ - ask_interval));
  }

 private:
  Time answered_at_;
  // When the first request was sent that has not been answered.
  std::optional<Time> asked_at_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_CONTACT_H_
