#ifndef BANYAN_CONTROL_H_
#define BANYAN_CONTROL_H_

// Umbrella header for the control core, its replicated state and the job
// scheduler.

#include "banyan/control/control_core.h"
#include "banyan/control/control_state.h"
#include "banyan/control/load_table.h"
#include "banyan/control/placement.h"
#include "banyan/control/pressure.h"
#include "banyan/control/scheduler.h"

#endif  // BANYAN_CONTROL_H_
