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

// What an entry knows of one endpoint.
struct EndpointState {
  InstanceInfo info;
  bool is_connected = false;
  // Dispatches of this entry that have no answer yet.
  std::int64_t in_flight = 0;
  // Load that the agent named with its last answer.
  std::int64_t reported_in_flight = 0;
  std::int64_t reported_queued = 0;
  // Decayed mean latency, seen from this entry.
  Span mean_latency{0};
  // Dispatches that this entry keeps under way at most; adapts.
  double concurrency_limit = 0;
  std::int64_t consecutive_failures = 0;
  bool is_ejected = false;
  // When an ejected endpoint may be probed.
  Time probe_at;

  // Requests per slot: what is under way, whoever sent it.
  [[nodiscard]] double Utilisation() const noexcept {
    const std::int64_t from_other_entries = std::max<std::int64_t>(
        0, reported_in_flight + reported_queued - in_flight);
    const auto slots =
        static_cast<double>(std::max<std::int64_t>(1, info.slots));
    return static_cast<double>(in_flight + from_other_entries) / slots;
  }

  // What one more request may expect to take.
  [[nodiscard]] Span ExpectedLatency() const noexcept {
    const double queueing_factor = std::max(1.0, Utilisation());
    return Span(static_cast<std::int64_t>(
        static_cast<double>(mean_latency.count()) * queueing_factor));
  }
};

// A policy chooses among the endpoints that may take a request; there is
// always at least one.
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

// The better of two random endpoints, in the own data centre unless both are
// busy there and a remote one promises to be quicker.
class PowerOfTwoChoicesRouting {
 public:
  [[nodiscard]] const EndpointState* Choose(
      std::span<const EndpointState* const> candidates,
      std::string_view data_centre,
      Random& random);

 private:
  std::vector<const EndpointState*> local_;
  std::vector<const EndpointState*> remote_;
};

// Baseline: any endpoint.
class RandomRouting {
 public:
  [[nodiscard]] const EndpointState* Choose(
      std::span<const EndpointState* const> candidates,
      std::string_view /*data_centre*/,
      Random& random) {
    return candidates[random.Below(candidates.size())];
  }
};

// Baseline: one after the other.
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

// The endpoints an entry knows, with their health and limits.
class EndpointPool {
 public:
  // Takes a table or a delta; false when the delta doesn't fit this version.
  [[nodiscard]] bool Update(const EndpointTable& table);

  // Notes whether a connection to the agent stands.
  void SetConnected(const std::string& id, bool is_connected);

  // Returns endpoints that may take a request of the service now, a bounded
  // number from a random place on, so that the cost of a request does not grow
  // with the service. Data centres that are out and the excluded endpoints are
  // left out. An ejected endpoint whose rest is over comes alone, as a probe.
  [[nodiscard]] std::vector<const EndpointState*> Candidates(
      Time now,
      const std::string& service,
      std::span<const std::string> data_centres_out,
      std::span<const std::string> excluded,
      Random& random) const;

  // Notes a dispatch, its answer, and what the answer says of the endpoint.
  void OnDispatch(Time now, const std::string& id, const Preset& preset);
  void OnSuccess(const std::string& id, Span latency);
  void OnRefusal(const std::string& id, ErrorKind error);
  void OnFailure(Time now,
                 const std::string& id,
                 const Preset& preset,
                 Events& events);
  void OnLoadReport(const std::string& id,
                    std::int64_t in_flight,
                    std::int64_t queued);

  [[nodiscard]] const std::map<std::string, EndpointState>& endpoints()
      const noexcept {
    return endpoints_;
  }
  [[nodiscard]] const EndpointState* Find(const std::string& id) const;
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  void Upsert(const InstanceInfo& info);
  void DecrementInFlight(EndpointState& endpoint);
  void RebuildServiceIndex();
  [[nodiscard]] static bool IsEligible(
      const EndpointState& endpoint,
      std::span<const std::string> data_centres_out,
      std::span<const std::string> excluded);

  std::map<std::string, EndpointState> endpoints_;
  // The endpoints of each service, for quick choice.
  std::map<std::string, std::vector<const EndpointState*>> by_service_;
  // Agents that a connection stands to, whether or not the table names them.
  std::set<std::string> connected_agents_;
  std::uint64_t version_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_ROUTING_ENDPOINT_POOL_H_
