#include "banyan/process/dialled_addresses.h"

namespace banyan {

std::set<std::string> AddressesToDial(const KnownCell& known) {
  std::set<std::string> addresses;
  if (known.leader.empty()) {
    addresses.insert(known.seeds.begin(), known.seeds.end());
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
