#ifndef BANYAN_GRAPH_CELL_DIRECTORY_H_
#define BANYAN_GRAPH_CELL_DIRECTORY_H_

#include <set>
#include <string>
#include <vector>

#include "banyan/wire/message.h"

namespace banyan {

// Tells processes that look for the cell where its replicas are, on a relay
// whose address is among their seeds.
class CellDirectory {
 public:
  // Replaces the addresses of the replicas. Those that are connected are told.
  void SetReplicas(const std::vector<std::string>& addresses);

  // Process network events about a process that looks for the cell. It is told
  // at once that this one is no replica, even while none is known.
  void OnUp(const std::string& peer);
  void OnDown(const std::string& peer);

  [[nodiscard]] std::vector<Outbound> TakeMessages();

 private:
  std::vector<std::string> replicas_;
  std::set<std::string> peers_;
  // Those that have not been told these addresses.
  std::set<std::string> untold_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_DIRECTORY_H_
