#include "banyan/process/dialled_addresses.h"

#include <vector>

namespace banyan {

std::set<std::string> AddressesToDial(const KnownCell& known) {
  const std::vector<std::string>& seeds = known.contacts.seeds();
  std::set<std::string> addresses(seeds.begin(), seeds.end());
  if (known.leader.empty()) {
    addresses.merge(known.contacts.All(known.membership, known.self));
  } else {
    addresses.insert(known.leader);
  }
  for (const auto* group :
       {&known.membership.voters, &known.membership.learners}) {
    for (const MemberId& member : *group) {
      addresses.insert(member.id);
    }
  }
  addresses.erase(known.self);
  return addresses;
}

}  // namespace banyan
