#include "banyan/routing/endpoint_pool.h"

namespace banyan {
namespace {

// Weight of a new sample in the mean latency is 1 / kLatencyEwmaDivisor.
constexpr int kLatencyEwmaDivisor = 8;
// Maximum number of candidates for one choice.
constexpr std::size_t kMaxCandidates = 32;
// Initial concurrency limit, in requests per slot.
constexpr double kInitialLimitPerSlot = 2;
// Lower bound of the concurrency limit, in requests.
constexpr double kMinConcurrencyLimit = 1;
// The concurrency limit is multiplied by this after a refusal for overload.
constexpr double kLimitDecreaseFactor = 0.8;
// Lower bound of the latency in the cost of an endpoint; applies to endpoints
// without answers yet.
constexpr Duration kMinLatency = Millis(1);
// Latency added to the cost of an endpoint in another data centre.
constexpr Duration kRemoteLatencyPenalty = Millis(1);
// A remote endpoint is chosen only if the cost of the local one exceeds its
// cost by this factor.
constexpr double kSpilloverCostRatio = 1.25;

// Returns the cost of one more request, in ticks of Duration: the mean latency
// times one plus the requests per slot.
double CostOf(const EndpointState& endpoint) {
  const Duration latency = std::max(endpoint.mean_latency, kMinLatency);
  return static_cast<double>(latency.count()) * (1 + endpoint.Utilisation());
}

// Draws two candidates at random and returns the cheaper one.
const EndpointState* BetterOfTwo(
    std::span<const EndpointState* const> candidates,
    Random& random) {
  const EndpointState* first = candidates[random.NextBelow(candidates.size())];
  const EndpointState* second = candidates[random.NextBelow(candidates.size())];
  return CostOf(*first) <= CostOf(*second) ? first : second;
}

bool Contains(std::span<const std::string> items, const std::string& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

}  // namespace

const EndpointState* PowerOfTwoChoicesRouting::Choose(
    std::span<const EndpointState* const> candidates,
    std::string_view data_centre,
    Random& random) {
  local_.clear();
  remote_.clear();
  for (const EndpointState* candidate : candidates) {
    (candidate->info.data_centre == data_centre ? local_ : remote_)
        .push_back(candidate);
  }
  if (local_.empty()) {
    return BetterOfTwo(remote_, random);
  }
  const EndpointState* local = BetterOfTwo(local_, random);
  if (remote_.empty()) {
    return local;
  }
  const EndpointState* remote = BetterOfTwo(remote_, random);
  const double remote_cost =
      CostOf(*remote) + static_cast<double>(kRemoteLatencyPenalty.count());
  return remote_cost * kSpilloverCostRatio < CostOf(*local) ? remote : local;
}

bool EndpointPool::Update(const EndpointTable& table) {
  if (table.version <= version_) {
    return true;
  }
  if (!table.full && table.version != version_ + 1) {
    return false;
  }
  if (table.full) {
    std::set<std::string> listed_ids;
    for (const InstanceInfo& info : table.changed) {
      listed_ids.insert(info.id);
    }
    std::erase_if(endpoints_, [&](const auto& item) {
      return !listed_ids.contains(item.first);
    });
  }
  for (const InstanceInfo& info : table.changed) {
    Upsert(info);
  }
  for (const std::string& id : table.removed) {
    endpoints_.erase(id);
  }
  RebuildServiceIndex();
  version_ = table.version;
  return true;
}

void EndpointPool::Upsert(const InstanceInfo& info) {
  EndpointState& endpoint = endpoints_[info.id];
  if (endpoint.info.incarnation != info.incarnation) {
    endpoint = EndpointState{};
    endpoint.concurrency_limit =
        kInitialLimitPerSlot * static_cast<double>(info.slots);
  }
  endpoint.info = info;
  endpoint.is_connected = connected_agents_.contains(info.id);
}

void EndpointPool::SetConnected(const std::string& id, bool is_connected) {
  if (is_connected) {
    connected_agents_.insert(id);
  } else {
    connected_agents_.erase(id);
  }
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.is_connected = is_connected;
    found->second.in_flight = is_connected ? found->second.in_flight : 0;
  }
}

const EndpointState* EndpointPool::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool EndpointPool::IsEligible(const EndpointState& endpoint,
                              std::span<const std::string> data_centres_out,
                              std::span<const std::string> excluded) {
  return endpoint.is_connected && !endpoint.info.leaving &&
         !Contains(data_centres_out, endpoint.info.data_centre) &&
         !Contains(excluded, endpoint.info.id);
}

std::vector<const EndpointState*> EndpointPool::Candidates(
    Time now,
    const std::string& service,
    std::span<const std::string> data_centres_out,
    std::span<const std::string> excluded,
    Random& random) const {
  std::vector<const EndpointState*> candidates;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return candidates;
  }
  const std::vector<const EndpointState*>& service_endpoints = found->second;
  const std::size_t first_index = random.NextBelow(service_endpoints.size());
  for (std::size_t i = 0; i < service_endpoints.size(); ++i) {
    const EndpointState& endpoint =
        *service_endpoints[(first_index + i) % service_endpoints.size()];
    if (!IsEligible(endpoint, data_centres_out, excluded)) {
      continue;
    }
    if (endpoint.is_ejected) {
      if (endpoint.probe_at <= now && endpoint.in_flight == 0) {
        return {&endpoint};
      }
      continue;
    }
    const auto limit = std::min(endpoint.concurrency_limit,
                                static_cast<double>(endpoint.info.connections));
    if (static_cast<double>(endpoint.in_flight) <
        std::max(kMinConcurrencyLimit, limit)) {
      candidates.push_back(&endpoint);
    }
    if (candidates.size() == kMaxCandidates) {
      break;
    }
  }
  return candidates;
}

void EndpointPool::RebuildServiceIndex() {
  by_service_.clear();
  for (const auto& [id, endpoint] : endpoints_) {
    by_service_[endpoint.info.service].push_back(&endpoint);
  }
}

void EndpointPool::OnDispatch(Time now,
                              const std::string& id,
                              const Preset& preset) {
  EndpointState& endpoint = endpoints_[id];
  ++endpoint.in_flight;
  if (endpoint.is_ejected) {
    endpoint.probe_at = now + Millis(preset.eject_rest_ms);
  }
}

void EndpointPool::DecrementInFlight(EndpointState& endpoint) {
  endpoint.in_flight = std::max<std::int64_t>(0, endpoint.in_flight - 1);
}

void EndpointPool::OnSuccess(const std::string& id, Duration latency) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& endpoint = found->second;
  DecrementInFlight(endpoint);
  endpoint.consecutive_failures = 0;
  endpoint.is_ejected = false;
  endpoint.mean_latency +=
      (latency - endpoint.mean_latency) / kLatencyEwmaDivisor;
  endpoint.concurrency_limit +=
      1 / std::max(kMinConcurrencyLimit, endpoint.concurrency_limit);
}

void EndpointPool::OnRefusal(const std::string& id, ErrorKind error) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  DecrementInFlight(found->second);
  if (error == ErrorKind::kOverloaded || error == ErrorKind::kDeadline) {
    found->second.concurrency_limit =
        std::max(kMinConcurrencyLimit,
                 found->second.concurrency_limit * kLimitDecreaseFactor);
  }
}

void EndpointPool::OnFailure(Time now,
                             const std::string& id,
                             const Preset& preset,
                             Events& events) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& endpoint = found->second;
  DecrementInFlight(endpoint);
  ++endpoint.consecutive_failures;
  if (endpoint.is_ejected ||
      endpoint.consecutive_failures < preset.eject_after_failures) {
    return;
  }
  std::int64_t service_size = 0;
  std::int64_t ejected = 0;
  for (const auto& [other_id, other] : endpoints_) {
    if (other.info.service == endpoint.info.service) {
      ++service_size;
      ejected += other.is_ejected ? 1 : 0;
    }
  }
  constexpr std::int64_t kPercent = 100;
  if ((ejected + 1) * kPercent > service_size * preset.eject_max_percent) {
    return;
  }
  endpoint.is_ejected = true;
  endpoint.probe_at = now + Millis(preset.eject_rest_ms);
  events.push_back(Event(EventId::kEndpointEjected)
                       .With("endpoint", id)
                       .With("failures", endpoint.consecutive_failures));
}

void EndpointPool::OnLoadReport(const std::string& id,
                                std::int64_t in_flight,
                                std::int64_t queued) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.reported_in_flight = in_flight;
    found->second.reported_queued = queued;
  }
}

}  // namespace banyan
