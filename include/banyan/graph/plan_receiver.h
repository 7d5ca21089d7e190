#ifndef BANYAN_GRAPH_PLAN_RECEIVER_H_
#define BANYAN_GRAPH_PLAN_RECEIVER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// The gateway's side of plan transfers, without I/O. Fetches a plan in parts,
// of which only a few are on their way at a time, so that other messages on the
// connection don't wait for the whole plan. Parts are kept when the connection
// is lost, and the transfer goes on with any replica that has the version. A
// newer version is fetched after the one in transfer, so that transfers finish
// while changes go on.
class PlanReceiver {
 public:
  // Handles the loss of the connection to the replica.
  void OnDisconnected();

  // Handles what the connected replica says it has.
  void OnOffer(Time now, const PlanOffer& offer);
  // Handles a part. Returns whether it brought the transfer forward.
  [[nodiscard]] bool OnPart(Time now, const PlanPart& part);
  // Records a version that came as a whole.
  void OnWhole(std::uint64_t version);

  // Repeats a request that went without an answer. All that had arrived by
  // `heard_until` has been handled.
  void Tick(Time now, Time heard_until);

  // The version held; 0 without one.
  [[nodiscard]] std::uint64_t held() const noexcept { return held_; }

  [[nodiscard]] std::vector<PlanRequest> TakeRequests() {
    return std::exchange(requests_, {});
  }
  // Returns a plan that has arrived, once.
  [[nodiscard]] std::optional<ServicePlan> TakePlan() {
    return std::exchange(plan_, std::nullopt);
  }
  [[nodiscard]] Events TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Transfer {
    std::uint64_t version = 0;
    // Of the whole encoded plan; unknown before its first part.
    std::optional<std::uint64_t> size;
    std::uint32_t checksum = 0;
    std::string bytes;
    Time began_at;
    // How many connections have brought parts of it.
    int connections = 0;
  };

  // Begins a transfer of the version offered, or goes on with the one in
  // progress.
  void Begin(Time now);
  void StopWaiting();
  // Asks for what lies ahead of the parts on their way, up to the window.
  void RequestAhead(Time now);
  void Finish(Time now);

  std::uint64_t held_ = 0;
  // The version that the connected replica has; 0 if unknown.
  std::uint64_t offered_ = 0;
  std::optional<Transfer> transfer_;
  // End of the bytes asked for on this connection; empty if none are on their
  // way.
  std::optional<std::uint64_t> requested_until_;
  // When the requests count as unanswered.
  Time answer_deadline_ = Time::max();
  // Earliest start of a transfer, after one that brought no plan.
  Time next_begin_at_;
  std::vector<PlanRequest> requests_;
  std::optional<ServicePlan> plan_;
  Events events_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLAN_RECEIVER_H_
