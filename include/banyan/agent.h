#ifndef BANYAN_AGENT_H_
#define BANYAN_AGENT_H_

// Umbrella header: what an agent decides.

#include "banyan/agent/agent_core.h"
#include "banyan/agent/endpoint_guard.h"
#include "banyan/agent/task_runner.h"

#endif  // BANYAN_AGENT_H_
