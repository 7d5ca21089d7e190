#include "banyan/graph/cell_directory.h"

#include <utility>

namespace banyan {

void CellDirectory::SetReplicas(const std::vector<std::string>& addresses) {
  if (addresses != replicas_) {
    replicas_ = addresses;
    untold_ = peers_;
  }
}

void CellDirectory::OnUp(const std::string& peer) {
  peers_.insert(peer);
  untold_.insert(peer);
}

void CellDirectory::OnDown(const std::string& peer) {
  peers_.erase(peer);
  untold_.erase(peer);
}

std::vector<Outbound> CellDirectory::TakeMessages() {
  std::vector<Outbound> messages;
  for (const std::string& peer : std::exchange(untold_, {})) {
    messages.push_back({peer, CellReferral{replicas_}});
  }
  return messages;
}

}  // namespace banyan
