#ifndef BANYAN_WIRE_INSTANCE_H_
#define BANYAN_WIRE_INSTANCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/resources.h"

namespace banyan {

// The kind of instance that an agent manages.
enum class InstanceRole : std::uint8_t { kEndpoint, kWorker };

// Description of an instance, as announced by its agent.
struct InstanceInfo {
  std::string id;
  // Regenerated whenever the agent starts.
  std::uint64_t incarnation = 0;
  InstanceRole role = InstanceRole::kEndpoint;
  std::string data_centre;
  std::string rack;
  // IP address and port where the agent accepts connections from entries.
  std::string address;
  // The service that an endpoint provides.
  std::string service;
  // The worker on which an endpoint is co-located with batch tasks; empty for
  // none.
  std::string host;
  // Maximum number of requests that an endpoint runs concurrently.
  std::int64_t slots = 0;
  // Maximum number of connections that an endpoint holds.
  std::int64_t connections = 0;
  // Resources that a worker offers to tasks.
  Resources capacity;
  bool leaving = false;

  friend bool operator==(const InstanceInfo&,
                         const InstanceInfo&) noexcept = default;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_INSTANCE_H_
