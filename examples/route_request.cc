// Routes a request through the router core and prints the resulting events.

#include <iostream>

#include "banyan/routing.h"

int main() {
  const banyan::Time now = banyan::MonotonicClock::now();
  banyan::RouterCore router({.data_centre = "dc-a"}, now);
  banyan::EndpointTable table;
  table.version = 1;
  banyan::InstanceInfo endpoint;
  endpoint.id = "minutes-0";
  endpoint.service = "minutes";
  endpoint.slots = 8;
  endpoint.connections = 60;
  table.changed.push_back(endpoint);
  router.Receive(now, banyan::WallNow(), {"control-0", 1}, table);
  router.AgentUp({"minutes-0", 1});

  banyan::CallerRequest request;
  request.ticket = 1;
  request.service = "minutes";
  request.method = "POST";
  request.path = "/draft-checks";
  request.is_idempotent = true;
  router.Request(now, banyan::WallNow(), request);
  for (const banyan::Event& event : router.TakeOutputs().events) {
    std::cout << event.text() << "\n";
  }
  return 0;
}
