#ifndef BANYAN_CONSENSUS_CELL_CONTACTS_H_
#define BANYAN_CONSENSUS_CELL_CONTACTS_H_

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/wire/message.h"

namespace banyan {

// The addresses at which a replica looks for its cell, beside the members that
// its log holds. Each may be out of date.
class CellContacts {
 public:
  explicit CellContacts(std::vector<std::string> seeds);

  // Replaces the seeds, unless the list is empty. Former ones are still asked.
  void SetSeeds(std::vector<std::string> seeds);

  // Notes the replicas that a process has named, in place of those that it
  // named before.
  void OnReferral(const std::string& from, const CellReferral& referral);

  // Notes a replica that addresses a lost data folder of this one.
  void OnMisaddressed(const std::string& id) { misaddressed_by_ = id; }

  [[nodiscard]] const std::vector<std::string>& seeds() const noexcept {
    return seeds_;
  }

  // Returns the addresses of the present and former seeds, of the replicas that
  // were named, and of the voters, without the replica's own.
  [[nodiscard]] std::set<std::string> All(const Membership& membership,
                                          std::string_view self) const;

 private:
  struct Referral {
    std::string from;
    std::vector<std::string> addresses;
  };

  std::vector<std::string> seeds_;
  // The latest come first, as with the referrals.
  std::vector<std::string> former_seeds_;
  std::deque<Referral> referrals_;
  std::string misaddressed_by_;
};

}  // namespace banyan

#endif  // BANYAN_CONSENSUS_CELL_CONTACTS_H_
