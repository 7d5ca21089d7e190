#ifndef BANYAN_CONSENSUS_MEMBERSHIP_PLAN_H_
#define BANYAN_CONSENSUS_MEMBERSHIP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/wire/message.h"

namespace banyan {

// What the leader knows of another member.
struct MemberStatus {
  MemberId member;
  // Since when the member has been silent: when it last replied, or, if it has
  // not replied in this term, when the leader was elected or the member was
  // added. The present while no reply is due.
  Time silent_since;
  // Whether the member has replied in this term.
  bool has_replied = false;
  // Whether the member may vote as far as the log is concerned.
  bool is_caught_up = false;
  // Whether the member has announced that it shuts down.
  bool is_leaving = false;
  // When the leader was elected or the member was added.
  Time added_at{};
  // Number of entries of the leader's log that the member is not known to hold.
  std::uint64_t lag = 0;
};

// What decides when the membership changes.
struct MembershipOptions {
  // A member that has replied within this time counts as present.
  Duration presence;
  // A voter that has not replied for this long may be removed.
  Duration voter_silence;
  // A member that has not replied for this long has departed: a learner is
  // removed, and a voter if enough others are left.
  Duration departure;
  // Whether an odd number of voters is kept, with at most one learner that
  // could be promoted.
  bool odd_voters = false;
};

// Kind of a membership change.
enum class MembershipChangeKind : std::uint8_t {
  kAddLearner,
  kPromoteLearner,
  kRemoveLearner,
  kRemoveVoter,
};

[[nodiscard]] std::string_view ToString(MembershipChangeKind kind) noexcept;

// Why a learner is not promoted.
enum class PromotionObstacle : std::uint8_t {
  // Nothing but a change of the membership that is not committed yet.
  kNone,
  // The learner has not replied lately, or leaves.
  kNotPresent,
  // It does not hold enough of the log.
  kLag,
  // The leader can't tell whether some voter is present or gone.
  kDoubtfulVoter,
  // The number of voters would be even.
  kSpare,
};

[[nodiscard]] std::string_view ToString(PromotionObstacle obstacle) noexcept;

// A change of one member. Majorities of the memberships before and after it
// always intersect.
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kAddLearner;
  MemberId member;
  Membership next;
};

// Whether a cell with this number of voters needs one vote less without one of
// them. Cells of two keep both.
[[nodiscard]] constexpr bool ShrinksMajority(std::size_t voters) noexcept {
  constexpr std::size_t kMinEvenCellSize = 4;
  return voters % 2 == 0 && voters >= kMinEvenCellSize;
}

// Returns the next change towards a cell in which every voter replies, or
// nullopt if none is due. `others` has the status of all members except the
// leader; `joining` are replicas that request admission.
//
// A voter that is gone is replaced by removing it first and promoting its
// successor next. Unless it comes back meanwhile, this never needs more
// replicas to reply than before: from {a, b, c} without c, both {a, b} and {a,
// b, d} commit with a and b. The reverse order passes through {a, b, c, d},
// which needs d as well. Neither is done in a cell with an odd number of voters
// while the leader can't tell whether one of them is present or gone.
//
// A cell with an odd number of voters keeps a silent voter until a successor is
// ready, as the majority is no smaller without it. From an even number it is
// removed at once. With `odd_voters`, the one learner of a cell with an odd
// number of voters that could be promoted stays a learner: halves of an even
// cell that can't reach each other would both lack a majority. More than half
// of all replicas still hold a majority of the voters. Cells of five and more
// also remove it if another voter is gone, or once it has departed.
[[nodiscard]] std::optional<MembershipChange> PlanMembershipChange(
    const Membership& membership,
    std::span<const MemberStatus> others,
    const std::vector<MemberId>& joining,
    const MembershipOptions& options,
    Time now);

// Returns what the promotion of a learner waits for.
[[nodiscard]] PromotionObstacle FindPromotionObstacle(
    const Membership& membership,
    std::span<const MemberStatus> others,
    const MemberId& learner,
    const MembershipOptions& options,
    Time now);

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_MEMBERSHIP_PLAN_H_
