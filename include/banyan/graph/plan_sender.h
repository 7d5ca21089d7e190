#ifndef BANYAN_GRAPH_PLAN_SENDER_H_
#define BANYAN_GRAPH_PLAN_SENDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyan/wire/message.h"
#include "banyan/wire/plan_codec.h"

namespace banyan {

// The replica's side of plan transfers, without I/O. A plan is encoded once for
// all gateways, and a version that a gateway has begun to fetch stays available
// to it while newer ones come into force, so that each transfer finishes.
class PlanSender {
 public:
  // Returns the messages that answer a request of a gateway. `plan` is the one
  // in force.
  [[nodiscard]] std::vector<Message> Answer(const std::string& peer,
                                            const PlanRequest& request,
                                            const ServicePlan& plan);

  // Forgets a gateway that is no longer attached.
  void Remove(const std::string& peer) { transfers_.erase(peer); }

 private:
  // Returns a version; null unless it is in force or was encoded recently.
  [[nodiscard]] std::shared_ptr<const EncodedPlan> Find(
      std::uint64_t version,
      const ServicePlan& plan);

  // The versions that were last encoded, the newest last. A gateway that has
  // lost its connection may go on with one.
  std::deque<std::shared_ptr<const EncodedPlan>> recent_;
  // The version that each gateway fetches.
  std::map<std::string, std::shared_ptr<const EncodedPlan>> transfers_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLAN_SENDER_H_
