#ifndef BANYAN_PROCESS_DIALLED_ADDRESSES_H_
#define BANYAN_PROCESS_DIALLED_ADDRESSES_H_

#include <set>
#include <span>
#include <string>

#include "banyan/wire/message.h"

namespace banyan {

// What a replica knows of the cell whose members' ids are their addresses.
struct KnownCell {
  std::string self;
  // The leader that it follows, or empty.
  std::string leader;
  // The addresses that it was started with. They may be out of date.
  std::span<const std::string> seeds;
  // The last membership in its log.
  Membership membership;
};

// Returns the addresses to which a replica keeps connections: those of the
// members, and of the seeds while no leader is known. The leader is one of them
// even if the log of the replica is too old to hold it as a member.
[[nodiscard]] std::set<std::string> AddressesToDial(const KnownCell& known);

}  // namespace banyan

#endif  // BANYAN_PROCESS_DIALLED_ADDRESSES_H_
