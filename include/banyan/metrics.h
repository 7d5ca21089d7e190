#ifndef BANYAN_METRICS_H_
#define BANYAN_METRICS_H_

// Umbrella header: process metrics.

#include "banyan/metrics/metrics.h"

#endif  // BANYAN_METRICS_H_
