#ifndef BANYAN_PROCESS_H_
#define BANYAN_PROCESS_H_

// Umbrella header of the processes that run the cores.

#include "banyan/process/agent_process.h"
#include "banyan/process/control_link.h"
#include "banyan/process/control_process.h"
#include "banyan/process/entry_process.h"
#include "banyan/process/evacuation.h"
#include "banyan/process/gateway_process.h"
#include "banyan/process/operator_api.h"
#include "banyan/process/pending.h"
#include "banyan/process/program.h"
#include "banyan/process/push_or_log.h"
#include "banyan/process/worker_agent_process.h"
#include "banyan/process/worker_client.h"

#endif  // BANYAN_PROCESS_H_
