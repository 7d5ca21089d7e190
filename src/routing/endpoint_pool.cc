#include "banyan/routing/endpoint_pool.h"

namespace banyan {
namespace {

// A new latency counts for one part in this many.
constexpr int kLatencyDecay = 8;
// Endpoints that one choice looks at.
constexpr std::size_t kMaxCandidates = 32;
// The adaptive limit starts at this many requests per slot, and never falls
// below one request.
constexpr double kFirstLimitPerSlot = 2;
constexpr double kLeastLimit = 1;
constexpr double kLimitFallFactor = 0.8;
// An endpoint without answers yet counts as this quick.
constexpr Span kLeastLatency = Millis(1);
// What a remote data centre costs more than the own one.
constexpr Span kRemotePenalty = Millis(1);
// How many times a remote endpoint must be cheaper before it is taken.
constexpr double kSpillFactor = 1.25;

// What one more request costs at an endpoint: its latency, and as much again
// for each request per slot that is under way.
double CostOf(const EndpointView& endpoint) {
  const Span latency = std::max(endpoint.latency, kLeastLatency);
  return static_cast<double>(latency.count()) * (1 + endpoint.Utilisation());
}

const EndpointView* BetterOfTwo(std::span<const EndpointView* const> choices,
                                Random& random) {
  const EndpointView* first = choices[random.NextBelow(choices.size())];
  const EndpointView* second = choices[random.NextBelow(choices.size())];
  return CostOf(*first) <= CostOf(*second) ? first : second;
}

bool Contains(std::span<const std::string> items, const std::string& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

}  // namespace

const EndpointView* PowerOfTwoRouting::Choose(
    std::span<const EndpointView* const> choices,
    std::string_view data_centre,
    Random& random) {
  local_.clear();
  remote_.clear();
  for (const EndpointView* choice : choices) {
    (choice->info.data_centre == data_centre ? local_ : remote_)
        .push_back(choice);
  }
  if (local_.empty()) {
    return BetterOfTwo(remote_, random);
  }
  const EndpointView* local = BetterOfTwo(local_, random);
  if (remote_.empty()) {
    return local;
  }
  const EndpointView* remote = BetterOfTwo(remote_, random);
  const double remote_cost =
      CostOf(*remote) + static_cast<double>(kRemotePenalty.count());
  return remote_cost * kSpillFactor < CostOf(*local) ? remote : local;
}

bool EndpointPool::Update(const EndpointTable& table) {
  if (table.version <= version_) {
    return true;
  }
  if (!table.full && table.version != version_ + 1) {
    return false;
  }
  if (table.full) {
    std::set<std::string> named;
    for (const InstanceInfo& info : table.changed) {
      named.insert(info.id);
    }
    std::erase_if(endpoints_, [&](const auto& item) {
      return !named.contains(item.first);
    });
  }
  for (const InstanceInfo& info : table.changed) {
    Set(info);
  }
  for (const std::string& id : table.removed) {
    endpoints_.erase(id);
  }
  IndexServices();
  version_ = table.version;
  return true;
}

void EndpointPool::Set(const InstanceInfo& info) {
  EndpointView& endpoint = endpoints_[info.id];
  if (endpoint.info.incarnation != info.incarnation) {
    endpoint = EndpointView{};
    endpoint.limit = kFirstLimitPerSlot * static_cast<double>(info.slots);
  }
  endpoint.info = info;
  endpoint.is_connected = connected_.contains(info.id);
}

void EndpointPool::SetConnected(const std::string& id, bool is_connected) {
  if (is_connected) {
    connected_.insert(id);
  } else {
    connected_.erase(id);
  }
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.is_connected = is_connected;
    found->second.in_flight = is_connected ? found->second.in_flight : 0;
  }
}

const EndpointView* EndpointPool::Find(const std::string& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool EndpointPool::IsEligible(const EndpointView& endpoint,
                              std::span<const std::string> out,
                              std::span<const std::string> excluded) {
  return endpoint.is_connected && !endpoint.info.leaving &&
         !Contains(out, endpoint.info.data_centre) &&
         !Contains(excluded, endpoint.info.id);
}

std::vector<const EndpointView*> EndpointPool::Candidates(
    Time now,
    const std::string& service,
    std::span<const std::string> out,
    std::span<const std::string> excluded,
    Random& random) const {
  std::vector<const EndpointView*> candidates;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return candidates;
  }
  const std::vector<const EndpointView*>& all = found->second;
  const std::size_t start = random.NextBelow(all.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    const EndpointView& endpoint = *all[(start + i) % all.size()];
    if (!IsEligible(endpoint, out, excluded)) {
      continue;
    }
    if (endpoint.is_ejected) {
      if (endpoint.probe_at <= now && endpoint.in_flight == 0) {
        return {&endpoint};
      }
      continue;
    }
    const auto limit = std::min(endpoint.limit,
                                static_cast<double>(endpoint.info.connections));
    if (static_cast<double>(endpoint.in_flight) <
        std::max(kLeastLimit, limit)) {
      candidates.push_back(&endpoint);
    }
    if (candidates.size() == kMaxCandidates) {
      break;
    }
  }
  return candidates;
}

void EndpointPool::IndexServices() {
  by_service_.clear();
  for (const auto& [id, endpoint] : endpoints_) {
    by_service_[endpoint.info.service].push_back(&endpoint);
  }
}

void EndpointPool::OnDispatch(Time now,
                              const std::string& id,
                              const Preset& preset) {
  EndpointView& endpoint = endpoints_[id];
  ++endpoint.in_flight;
  if (endpoint.is_ejected) {
    endpoint.probe_at = now + Millis(preset.eject_rest_ms);
  }
}

void EndpointPool::Settle(EndpointView& endpoint) {
  endpoint.in_flight = std::max<std::int64_t>(0, endpoint.in_flight - 1);
}

void EndpointPool::OnSuccess(const std::string& id, Span latency) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointView& endpoint = found->second;
  Settle(endpoint);
  endpoint.failures = 0;
  endpoint.is_ejected = false;
  endpoint.latency += (latency - endpoint.latency) / kLatencyDecay;
  endpoint.limit += 1 / std::max(kLeastLimit, endpoint.limit);
}

void EndpointPool::OnRefusal(const std::string& id, ErrorKind error) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  Settle(found->second);
  if (error == ErrorKind::kOverloaded || error == ErrorKind::kDeadline) {
    found->second.limit =
        std::max(kLeastLimit, found->second.limit * kLimitFallFactor);
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
  EndpointView& endpoint = found->second;
  Settle(endpoint);
  ++endpoint.failures;
  if (endpoint.is_ejected || endpoint.failures < preset.eject_after_failures) {
    return;
  }
  std::int64_t peers = 0;
  std::int64_t ejected = 0;
  for (const auto& [other_id, other] : endpoints_) {
    if (other.info.service == endpoint.info.service) {
      ++peers;
      ejected += other.is_ejected ? 1 : 0;
    }
  }
  constexpr std::int64_t kPercent = 100;
  if ((ejected + 1) * kPercent > peers * preset.eject_max_percent) {
    return;
  }
  endpoint.is_ejected = true;
  endpoint.probe_at = now + Millis(preset.eject_rest_ms);
  events.push_back(Event(EventId::kEndpointEjected)
                       .With("endpoint", id)
                       .With("failures", endpoint.failures));
}

void EndpointPool::OnLoad(const std::string& id,
                          std::int64_t in_flight,
                          std::int64_t queued) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.reported_in_flight = in_flight;
    found->second.reported_queued = queued;
  }
}

}  // namespace banyan
