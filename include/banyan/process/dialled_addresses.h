#ifndef BANYAN_PROCESS_DIALLED_ADDRESSES_H_
#define BANYAN_PROCESS_DIALLED_ADDRESSES_H_

#include <set>
#include <string>

#include "banyan/consensus/cell_contacts.h"

namespace banyan {

// What a replica knows of the cell whose members' ids are their addresses.
struct KnownCell {
  std::string self;
  // The leader that it follows, or empty.
  std::string leader;
  const CellContacts& contacts;
  // The last membership in its log.
  const Membership& membership;
};

// Returns the addresses to which a replica keeps connections: those of the
// members and of the seeds, and of all contacts while no leader is known. The
// leader is one of them even if the log of the replica is too old to hold it as
// a member.
[[nodiscard]] std::set<std::string> AddressesToDial(const KnownCell& known);

}  // namespace banyan

#endif  // BANYAN_PROCESS_DIALLED_ADDRESSES_H_
