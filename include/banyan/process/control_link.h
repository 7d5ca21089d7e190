#ifndef BANYAN_PROCESS_CONTROL_LINK_H_
#define BANYAN_PROCESS_CONTROL_LINK_H_

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "banyan/net/peer_network.h"
#include "banyan/settings/settings.h"

namespace banyan {

// Selects the control replica that an entry or an agent communicates with. The
// replicas of the local data centre come first; the others are used when a
// local one is unreachable or out of date.
class ControlLink {
 public:
  ControlLink(std::vector<ControlMember> members,
              const std::string& data_centre)
      : members_(std::move(members)) {
    std::stable_partition(members_.begin(), members_.end(),
                          [&](const ControlMember& member) {
                            return member.data_centre == data_centre;
                          });
  }

  // Returns the selected replica.
  [[nodiscard]] const ControlMember& current() const {
    return members_[current_];
  }

  // Returns whether `id` belongs to any control replica.
  [[nodiscard]] bool IsControlReplica(const std::string& id) const {
    return std::any_of(
        members_.begin(), members_.end(),
        [&](const ControlMember& member) { return member.id == id; });
  }

  // Selects the next replica, wrapping around at the end of the list.
  void SwitchToNext() { current_ = (current_ + 1) % members_.size(); }

  // Sends messages to the selected replica.
  void Send(PeerNetwork& network, std::span<const Message> messages) const {
    for (const Message& message : messages) {
      network.Send(current().id, message);
    }
  }

 private:
  std::vector<ControlMember> members_;
  std::size_t current_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_CONTROL_LINK_H_
