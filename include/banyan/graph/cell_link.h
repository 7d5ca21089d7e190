#ifndef BANYAN_GRAPH_CELL_LINK_H_
#define BANYAN_GRAPH_CELL_LINK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// Which replica of the control cell a process is attached to. It starts from
// seeds, which may be out of date, and learns the members from any replica.
class CellLink {
 public:
  CellLink(std::vector<std::string> seeds, std::uint64_t seed);

  // The address, and id, of the replica in use.
  [[nodiscard]] const std::string& current() const noexcept { return current_; }
  [[nodiscard]] bool connected() const noexcept { return is_connected_; }

  // Adds seeds; those that are known stay.
  void AddSeeds(const std::vector<std::string>& seeds);
  // Takes the members of the cell, as a replica told them.
  void SetMembers(const std::vector<std::string>& members);

  // Note what the network tells of the replica with this id.
  void OnUp(Time now, const std::string& id);
  void OnDown(Time now, const std::string& id);

  // Notes that something was sent that the replica must answer, or an answer.
  void OnSent(Time now);
  void OnAnswer();

  // Goes on to another replica when this one does not answer. Returns whether
  // it did; the connection to the one before must be dropped.
  [[nodiscard]] bool Tick(Time now);

 private:
  void Switch(Time now);

  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::uint64_t position_ = 0;
  std::string current_;
  bool is_connected_ = false;
  bool is_awaiting_answer_ = false;
  // Until then an answer or a connection must come.
  Time answer_deadline_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_LINK_H_
