#include "banyan/consensus/cell_contacts.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace banyan {
namespace {

// Most former seeds that are kept.
constexpr std::size_t kMaxFormerSeeds = 8;
// Most referrals that are kept, and most addresses of each.
constexpr std::size_t kMaxReferrals = 4;
constexpr std::size_t kMaxAddresses = 8;

}  // namespace

CellContacts::CellContacts(std::vector<std::string> seeds)
    : seeds_(std::move(seeds)) {}

void CellContacts::SetSeeds(std::vector<std::string> seeds) {
  if (seeds.empty() || seeds == seeds_) {
    return;
  }
  former_seeds_.insert(former_seeds_.begin(), seeds_.begin(), seeds_.end());
  former_seeds_.resize(std::min(former_seeds_.size(), kMaxFormerSeeds));
  seeds_ = std::move(seeds);
}

void CellContacts::OnReferral(const std::string& from,
                              const CellReferral& referral) {
  std::erase_if(referrals_,
                [&](const Referral& known) { return known.from == from; });
  if (referral.addresses.empty()) {
    return;
  }
  referrals_.push_front({from, referral.addresses});
  std::vector<std::string>& addresses = referrals_.front().addresses;
  addresses.resize(std::min(addresses.size(), kMaxAddresses));
  if (referrals_.size() > kMaxReferrals) {
    referrals_.pop_back();
  }
}

std::set<std::string> CellContacts::All(const Membership& membership,
                                        std::string_view self) const {
  std::set<std::string> all(seeds_.begin(), seeds_.end());
  all.insert(former_seeds_.begin(), former_seeds_.end());
  for (const Referral& referral : referrals_) {
    all.insert(referral.addresses.begin(), referral.addresses.end());
  }
  for (const MemberId& voter : membership.voters) {
    all.insert(voter.id);
  }
  all.insert(misaddressed_by_);
  all.erase(std::string(self));
  all.erase("");
  return all;
}

}  // namespace banyan
