#include "banyan/consensus/membership_plan.h"

#include <algorithm>
#include <utility>

#include "banyan/consensus/raft_log.h"

namespace banyan {
namespace {

// An odd cell of this size or more can do without a voter that is gone, as
// three or more are left.
constexpr std::size_t kMinDispensingCellSize = 5;

// Evaluates the members of a cell from its leader's point of view.
class Planner {
 public:
  Planner(const Membership& membership,
          std::span<const MemberStatus> others,
          const MembershipOptions& options,
          Time now)
      : membership_(membership), others_(others), options_(options), now_(now) {
    for (const MemberStatus& other : others_) {
      if (IsVoter(membership_, other.member)) {
        other_voters_.push_back(&other);
      }
    }
  }

  [[nodiscard]] std::optional<MembershipChange> Plan(
      const std::vector<MemberId>& joining) const {
    const MemberStatus* gone = FindGoneVoter();
    const MemberStatus* ready = FindReadyLearner();
    if (gone != nullptr && IsRemovable(*gone, ready != nullptr)) {
      return RemoveVoter(gone->member);
    }
    if (ready != nullptr && !IsHeldUpByDoubt() && !KeepsSpare()) {
      return Promote(ready->member);
    }
    if (auto change = Admit(joining)) {
      return change;
    }
    return RemoveSilentLearner();
  }

  [[nodiscard]] PromotionObstacle FindObstacle(const MemberId& learner) const {
    const MemberStatus* status = Find(learner);
    if (status == nullptr || !IsPresent(*status) || status->is_leaving) {
      return PromotionObstacle::kNotPresent;
    }
    if (!status->is_caught_up) {
      return PromotionObstacle::kLag;
    }
    if (IsHeldUpByDoubt()) {
      return PromotionObstacle::kDoubtfulVoter;
    }
    return KeepsSpare() ? PromotionObstacle::kSpare : PromotionObstacle::kNone;
  }

 private:
  [[nodiscard]] const MemberStatus* Find(const MemberId& member) const {
    const auto found = std::find_if(
        others_.begin(), others_.end(),
        [&](const MemberStatus& other) { return other.member == member; });
    return found == others_.end() ? nullptr : &*found;
  }

  [[nodiscard]] bool IsSilent(const MemberStatus& status) const {
    return status.silent_since + options_.voter_silence <= now_;
  }

  [[nodiscard]] bool IsPresent(const MemberStatus& status) const {
    return status.has_replied && status.silent_since + options_.presence > now_;
  }

  // Whether a later incarnation of the replica replies, so that the disk of
  // this one no longer exists.
  [[nodiscard]] bool IsSuperseded(const MemberStatus& status) const {
    return std::any_of(
        others_.begin(), others_.end(), [&](const MemberStatus& other) {
          return other.member.id == status.member.id &&
                 other.member != status.member && other.has_replied &&
                 other.silent_since > status.silent_since;
        });
  }

  [[nodiscard]] bool IsGone(const MemberStatus& status) const {
    return IsSilent(status) || status.is_leaving || IsSuperseded(status);
  }

  [[nodiscard]] std::size_t CountGoneVoters() const {
    return static_cast<std::size_t>(std::count_if(
        other_voters_.begin(), other_voters_.end(),
        [&](const MemberStatus* voter) { return IsGone(*voter); }));
  }

  // Returns the voter that is most certain not to come back in its present
  // incarnation, or nullptr if all voters reply or may yet reply.
  [[nodiscard]] const MemberStatus* FindGoneVoter() const {
    const MemberStatus* best = nullptr;
    const auto rank = [&](const MemberStatus& status) {
      const int certainty = IsSuperseded(status) ? 2
                            : status.is_leaving  ? 1
                                                 : 0;
      return std::pair(certainty, now_ - status.silent_since);
    };
    for (const MemberStatus* voter : other_voters_) {
      if (IsGone(*voter) && (best == nullptr || rank(*best) < rank(*voter))) {
        best = voter;
      }
    }
    return best;
  }

  [[nodiscard]] bool IsRemovable(const MemberStatus& gone,
                                 bool has_successor) const {
    const std::size_t voters = membership_.voters.size();
    if (IsSuperseded(gone) || ShrinksMajority(voters)) {
      return true;
    }
    // The majority of an odd cell stays as large as it is, so the others must
    // be able to form it.
    const bool is_odd = voters % 2 != 0;
    const std::size_t majority = (voters - 1) / 2 + 1;
    if (!is_odd || HasDoubtfulVoter() || CountPresentVoters() < majority) {
      return false;
    }
    const bool is_dispensable =
        voters >= kMinDispensingCellSize &&
        (CountGoneVoters() > 1 ||
         gone.silent_since + options_.departure <= now_);
    return has_successor || is_dispensable;
  }

  // Whether the leader can't tell yet if some voter is present or gone.
  [[nodiscard]] bool HasDoubtfulVoter() const {
    return std::any_of(other_voters_.begin(), other_voters_.end(),
                       [&](const MemberStatus* voter) {
                         return !IsSilent(*voter) && !IsPresent(*voter);
                       });
  }

  // Whether a promotion waits since it would enlarge the majority while some
  // voter may be gone.
  [[nodiscard]] bool IsHeldUpByDoubt() const {
    return membership_.voters.size() % 2 != 0 && HasDoubtfulVoter();
  }

  // Returns the number of voters that are present and stay, the leader
  // included.
  [[nodiscard]] std::size_t CountPresentVoters() const {
    return 1 + static_cast<std::size_t>(
                   std::count_if(other_voters_.begin(), other_voters_.end(),
                                 [&](const MemberStatus* voter) {
                                   return IsPresent(*voter) && !IsGone(*voter);
                                 }));
  }

  // Whether a learner replies and holds the log.
  [[nodiscard]] bool IsReady(const MemberId& learner) const {
    const MemberStatus* status = Find(learner);
    return status != nullptr && IsPresent(*status) && !status->is_leaving &&
           status->is_caught_up;
  }

  [[nodiscard]] const MemberStatus* FindReadyLearner() const {
    const auto ready =
        std::find_if(membership_.learners.begin(), membership_.learners.end(),
                     [&](const MemberId& learner) { return IsReady(learner); });
    return ready == membership_.learners.end() ? nullptr : Find(*ready);
  }

  // Whether the only learner that could be promoted stays a learner.
  [[nodiscard]] bool KeepsSpare() const {
    constexpr std::size_t kMinCellSize = 3;
    const std::size_t voters = membership_.voters.size();
    return options_.odd_voters && voters >= kMinCellSize && voters % 2 != 0 &&
           std::count_if(
               membership_.learners.begin(), membership_.learners.end(),
               [&](const MemberId& learner) { return IsReady(learner); }) == 1;
  }

  // Whether some incarnation of the replica is a member and present, so that a
  // request of another one is outdated.
  [[nodiscard]] bool HasPresentIncarnation(std::string_view id) const {
    return std::any_of(others_.begin(), others_.end(),
                       [&](const MemberStatus& other) {
                         return other.member.id == id && IsPresent(other);
                       });
  }

  [[nodiscard]] std::optional<MembershipChange> Admit(
      const std::vector<MemberId>& joining) const {
    for (const MemberId& member : joining) {
      const bool is_member =
          IsVoter(membership_, member) || IsLearner(membership_, member);
      if (is_member || HasPresentIncarnation(member.id)) {
        continue;
      }
      Membership next = membership_;
      // Replaces an older incarnation of the same replica.
      std::erase_if(next.learners,
                    [&](const MemberId& old) { return old.id == member.id; });
      next.learners.push_back(member);
      return MembershipChange{MembershipChangeKind::kAddLearner, member,
                              std::move(next)};
    }
    return std::nullopt;
  }

  [[nodiscard]] std::optional<MembershipChange> RemoveSilentLearner() const {
    for (const MemberId& learner : membership_.learners) {
      const MemberStatus* status = Find(learner);
      if (status != nullptr &&
          status->silent_since + options_.departure <= now_) {
        Membership next = membership_;
        std::erase(next.learners, learner);
        return MembershipChange{MembershipChangeKind::kRemoveLearner, learner,
                                std::move(next)};
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] MembershipChange RemoveVoter(const MemberId& voter) const {
    Membership next = membership_;
    std::erase(next.voters, voter);
    return {MembershipChangeKind::kRemoveVoter, voter, std::move(next)};
  }

  [[nodiscard]] MembershipChange Promote(const MemberId& learner) const {
    Membership next = membership_;
    std::erase(next.learners, learner);
    next.voters.push_back(learner);
    return {MembershipChangeKind::kPromoteLearner, learner, std::move(next)};
  }

  const Membership& membership_;
  std::span<const MemberStatus> others_;
  const MembershipOptions& options_;
  Time now_;
  std::vector<const MemberStatus*> other_voters_;
};

}  // namespace

std::string_view ToString(MembershipChangeKind kind) noexcept {
  switch (kind) {
    case MembershipChangeKind::kAddLearner:
      return "added-learner";
    case MembershipChangeKind::kPromoteLearner:
      return "promoted";
    case MembershipChangeKind::kRemoveLearner:
      return "removed-learner";
    case MembershipChangeKind::kRemoveVoter:
      return "removed";
  }
  return "";
}

std::string_view ToString(PromotionObstacle obstacle) noexcept {
  switch (obstacle) {
    case PromotionObstacle::kNone:
      return "nothing";
    case PromotionObstacle::kNotPresent:
      return "reply";
    case PromotionObstacle::kLag:
      return "log";
    case PromotionObstacle::kDoubtfulVoter:
      return "doubtful-voter";
    case PromotionObstacle::kSpare:
      return "spare";
  }
  return "";
}

std::optional<MembershipChange> PlanMembershipChange(
    const Membership& membership,
    std::span<const MemberStatus> others,
    const std::vector<MemberId>& joining,
    const MembershipOptions& options,
    Time now) {
  return Planner(membership, others, options, now).Plan(joining);
}

PromotionObstacle FindPromotionObstacle(const Membership& membership,
                                        std::span<const MemberStatus> others,
                                        const MemberId& learner,
                                        const MembershipOptions& options,
                                        Time now) {
  return Planner(membership, others, options, now).FindObstacle(learner);
}

}  // namespace banyan
