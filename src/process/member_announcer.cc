#include "banyan/process/member_announcer.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

bool IsMember(const Membership& membership, const std::string& address) {
  const auto is_named = [&](const std::vector<MemberId>& members) {
    return std::any_of(
        members.begin(), members.end(),
        [&](const MemberId& member) { return member.id == address; });
  };
  return is_named(membership.voters) || is_named(membership.learners);
}

}  // namespace

void MemberAnnouncer::OnUp(const std::string& peer) {
  peers_.insert(peer);
  told_.erase(peer);
}

void MemberAnnouncer::OnDown(const std::string& peer) {
  peers_.erase(peer);
}

std::vector<Outbound> MemberAnnouncer::Announce(
    const Membership& membership,
    std::span<const std::string> seeds) {
  std::vector<std::string> voters;
  for (const MemberId& voter : membership.voters) {
    voters.push_back(voter.id);
  }
  if (voters != voters_) {
    voters_ = std::move(voters);
    told_.clear();
  }
  std::vector<Outbound> messages;
  for (const std::string& seed : seeds) {
    const bool is_due = !voters_.empty() && peers_.contains(seed) &&
                        !IsMember(membership, seed);
    if (is_due && told_.insert(seed).second) {
      messages.push_back({seed, CellReferral{voters_}});
    }
  }
  return messages;
}

}  // namespace banyan
