#ifndef BANYAN_ROUTING_H_
#define BANYAN_ROUTING_H_

// Umbrella header of request routing at the entries.

#include "banyan/routing/budget.h"
#include "banyan/routing/endpoint_pool.h"
#include "banyan/routing/router_core.h"

#endif  // BANYAN_ROUTING_H_
