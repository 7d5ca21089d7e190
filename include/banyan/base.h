#ifndef BANYAN_BASE_H_
#define BANYAN_BASE_H_

// Umbrella header of the base library: time, errors, resources, bounded queues
// and random numbers.

#include "banyan/base/bounded_ring.h"
#include "banyan/base/error_kind.h"
#include "banyan/base/random.h"
#include "banyan/base/resources.h"
#include "banyan/base/time.h"

#endif  // BANYAN_BASE_H_
