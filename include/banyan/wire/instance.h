#ifndef BANYAN_WIRE_INSTANCE_H_
#define BANYAN_WIRE_INSTANCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/resources.h"

namespace banyan {

// What an agent's instance does for the system.
enum class InstanceRole : std::uint8_t { kEndpoint, kWorker };

// What an agent announces about its instance.
struct InstanceInfo {
  std::string id;
  // Drawn anew at every start of the agent.
  std::uint64_t incarnation = 0;
  InstanceRole role = InstanceRole::kEndpoint;
  std::string data_centre;
  std::string rack;
  // IP number and port of the agent for entries.
  std::string address;
  // The service that an endpoint gives.
  std::string service;
  // The worker that an endpoint shares with batch tasks; empty for none.
  std::string host;
  // Requests an endpoint runs at once.
  std::int64_t slots = 0;
  // Connections an endpoint holds at once.
  std::int64_t connections = 0;
  // What a worker offers to tasks.
  Resources capacity;
  bool leaving = false;

  friend bool operator==(const InstanceInfo&,
                         const InstanceInfo&) noexcept = default;
};

}  // namespace banyan

#endif  // BANYAN_WIRE_INSTANCE_H_
