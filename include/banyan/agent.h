#ifndef BANYAN_AGENT_H_
#define BANYAN_AGENT_H_

// Umbrella header of the agent's decision logic, which does no I/O.

#include "banyan/agent/agent_core.h"
#include "banyan/agent/endpoint_guard.h"
#include "banyan/agent/forgotten_attempts.h"
#include "banyan/agent/task_runner.h"

#endif  // BANYAN_AGENT_H_
