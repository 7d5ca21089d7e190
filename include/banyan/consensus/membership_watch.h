#ifndef BANYAN_CONSENSUS_MEMBERSHIP_WATCH_H_
#define BANYAN_CONSENSUS_MEMBERSHIP_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "banyan/base/time.h"
#include "banyan/consensus/membership_plan.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// Logs on the leader which replicas remain learners for long, and that the cell
// bears fewer losses than it has to. It is for operators only. All times are of
// this leader; the next one counts anew.
class MembershipWatch {
 public:
  // What the leader knows of its cell.
  struct View {
    const Membership& membership;
    std::span<const MemberStatus> others;
    const MembershipOptions& options;
    // How many voters that are heard can be lost before the majority is lost,
    // and how many losses the cell has to bear.
    std::int64_t losses_borne = 0;
    std::int64_t losses_required = 0;
    // How long the cell may bear fewer.
    Duration catch_up;
  };

  // Logs what lasts too long, once at first and then at the interval of its
  // event. To be called at every heartbeat round of the leader.
  void Observe(Time now, const View& view, Events& events);

  // Forgets all times. To be called when this replica becomes the leader.
  void Reset();

 private:
  void ObserveLearners(Time now, const View& view, Events& events);
  void ObserveLosses(Time now, const View& view, Events& events);

  // When the next event of each learner that waits is due.
  std::map<MemberId, Time> next_learner_event_;
  // From when on the cell bears too few losses.
  std::optional<Time> short_since_;
  std::optional<Time> next_short_event_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_MEMBERSHIP_WATCH_H_
