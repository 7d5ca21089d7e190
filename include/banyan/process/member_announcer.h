#ifndef BANYAN_PROCESS_MEMBER_ANNOUNCER_H_
#define BANYAN_PROCESS_MEMBER_ANNOUNCER_H_

#include <set>
#include <span>
#include <string>
#include <vector>

#include "banyan/wire/message.h"

namespace banyan {

// Tells the seeds of a replica who the voters of its cell are. A seed may be a
// relay that has restarted and that other processes ask.
class MemberAnnouncer {
 public:
  // Process network events.
  void OnUp(const std::string& peer);
  void OnDown(const std::string& peer);

  // Returns what those of the seeds have to be told that are connected and are
  // not members themselves.
  [[nodiscard]] std::vector<Outbound> Announce(
      const Membership& membership,
      std::span<const std::string> seeds);

 private:
  std::set<std::string> peers_;
  // The voters that the peers in `told_` were told last.
  std::vector<std::string> voters_;
  std::set<std::string> told_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_MEMBER_ANNOUNCER_H_
