#ifndef BANYAN_ROUTING_ENDPOINT_POOL_H_
#define BANYAN_ROUTING_ENDPOINT_POOL_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// State of one endpoint as seen by an entry.
struct EndpointState {
  InstanceInfo info;
  // Whether the entry has a connection to the endpoint's agent.
  bool is_connected = false;
  // Dispatches of this entry that have not been answered yet.
  std::int64_t in_flight = 0;
  // Requests being executed, from all entries, as of the agent's last reply.
  std::int64_t reported_in_flight = 0;
  // Requests queued, from all entries, as of the agent's last reply.
  std::int64_t reported_queued = 0;
  // Exponentially weighted moving average of the latency of successful
  // dispatches, measured at this entry.
  Duration mean_latency{0};
  // Adaptive limit on this entry's dispatches in flight (AIMD).
  double concurrency_limit = 0;
  std::int64_t consecutive_failures = 0;
  // Whether outlier detection has taken the endpoint out of rotation.
  bool is_ejected = false;
  // Earliest time of the next probe while the endpoint is ejected.
  Time probe_at;

  // Returns the requests per slot, running or queued, from all entries.
  [[nodiscard]] double Utilisation() const noexcept {
    const std::int64_t from_other_entries = std::max<std::int64_t>(
        0, reported_in_flight + reported_queued - in_flight);
    const auto slots =
        static_cast<double>(std::max<std::int64_t>(1, info.slots));
    return static_cast<double>(in_flight + from_other_entries) / slots;
  }

  // Returns the expected latency of one more request: the mean latency, scaled
  // by the utilisation if there are more requests than slots.
  [[nodiscard]] Duration ExpectedLatency() const noexcept {
    const double queueing_factor = std::max(1.0, Utilisation());
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(mean_latency.count()) * queueing_factor));
  }
};

// Load-balancing policy. Choose() selects one of the candidates; the span is
// never empty. `data_centre` is the one of the entry.
template <typename P>
concept RoutingPolicy =
    requires(P policy,
             std::span<const EndpointState* const> candidates,
             std::string_view data_centre,
             Random& random) {
  {
    policy.Choose(candidates, data_centre, random)
    } -> std::same_as<const EndpointState*>;
};

// Power of two choices: draws two random local candidates and two random remote
// ones and compares the cheaper of each pair. The remote one is chosen only if
// it is clearly cheaper or there is no local one.
class PowerOfTwoChoicesRouting {
 public:
  [[nodiscard]] const EndpointState* Choose(
      std::span<const EndpointState* const> candidates,
      std::string_view data_centre,
      Random& random);

 private:
  // Buffers of Choose(), kept to avoid an allocation per call.
  std::vector<const EndpointState*> local_;
  std::vector<const EndpointState*> remote_;
};

// Baseline policy: chooses uniformly at random.
class RandomRouting {
 public:
  [[nodiscard]] const EndpointState* Choose(
      std::span<const EndpointState* const> candidates,
      std::string_view /*data_centre*/,
      Random& random) {
    return candidates[random.NextBelow(candidates.size())];
  }
};

// Baseline policy: round robin.
class RoundRobinRouting {
 public:
  [[nodiscard]] const EndpointState* Choose(
      std::span<const EndpointState* const> candidates,
      std::string_view /*data_centre*/,
      Random& /*random*/) {
    return candidates[next_++ % candidates.size()];
  }

 private:
  std::size_t next_ = 0;
};

static_assert(RoutingPolicy<PowerOfTwoChoicesRouting>);
static_assert(RoutingPolicy<RandomRouting>);
static_assert(RoutingPolicy<RoundRobinRouting>);

// The endpoints known to an entry, with their health and concurrency limits.
class EndpointPool {
 public:
  // Applies a full table or a delta; one that is not newer is ignored. Returns
  // false if a delta does not follow the current version.
  [[nodiscard]] bool Update(const EndpointTable& table);

  // Records whether the entry has a connection to the agent `id`. Losing it
  // resets the endpoint's count of dispatches in flight.
  void SetConnected(const std::string& id, bool is_connected);

  // Returns endpoints of the service that can receive a request now, without
  // those in `data_centres_out` or `excluded`. The scan starts at a random
  // index and returns a bounded number, so that the cost of a request does not
  // grow with the size of the service. If the scan meets an ejected endpoint
  // that is due for a probe, it returns that endpoint alone.
  [[nodiscard]] std::vector<const EndpointState*> Candidates(
      Time now,
      const std::string& service,
      std::span<const std::string> data_centres_out,
      std::span<const std::string> excluded,
      Random& random) const;

  // Counts a dispatch to the endpoint. If it is a probe of an ejected endpoint,
  // schedules the next probe.
  void OnDispatch(Time now, const std::string& id, const Preset& preset);
  // Ends a dispatch that succeeded: clears failures and ejection, updates the
  // mean latency and raises the concurrency limit.
  void OnSuccess(const std::string& id, Duration latency);
  // Ends a dispatch that the agent refused without running it. A refusal for
  // overload or a short deadline lowers the concurrency limit.
  void OnRefusal(const std::string& id, ErrorKind error);
  // Ends a dispatch that failed. Ejects the endpoint after the preset's number
  // of consecutive failures, unless too large a share of the service's
  // endpoints would be ejected.
  void OnFailure(Time now,
                 const std::string& id,
                 const Preset& preset,
                 Events& events);
  // Records the load that the agent reported with a reply.
  void OnLoadReport(const std::string& id,
                    std::int64_t in_flight,
                    std::int64_t queued);

  [[nodiscard]] const std::map<std::string, EndpointState>& endpoints()
      const noexcept {
    return endpoints_;
  }
  // Returns the endpoint, or nullptr if the table does not list it.
  [[nodiscard]] const EndpointState* Find(const std::string& id) const;
  // Version of the last endpoint table applied.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  // Inserts or updates an endpoint; a new incarnation resets its statistics.
  void Upsert(const InstanceInfo& info);
  void DecrementInFlight(EndpointState& endpoint);
  void RebuildServiceIndex();
  [[nodiscard]] static bool IsEligible(
      const EndpointState& endpoint,
      std::span<const std::string> data_centres_out,
      std::span<const std::string> excluded);

  std::map<std::string, EndpointState> endpoints_;
  // Endpoints by service.
  std::map<std::string, std::vector<const EndpointState*>> by_service_;
  // Agents with an open connection, whether or not the table lists them.
  std::set<std::string> connected_agents_;
  std::uint64_t version_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_ROUTING_ENDPOINT_POOL_H_
