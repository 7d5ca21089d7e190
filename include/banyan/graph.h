#ifndef BANYAN_GRAPH_H_
#define BANYAN_GRAPH_H_

// Umbrella header: scheduling of job graphs on workers, without I/O.

#include "banyan/graph/backlog.h"
#include "banyan/graph/candidate_worker.h"
#include "banyan/graph/cell_client.h"
#include "banyan/graph/cell_link.h"
#include "banyan/graph/crash_observer.h"
#include "banyan/graph/crash_record.h"
#include "banyan/graph/exclusion.h"
#include "banyan/graph/graph_leader.h"
#include "banyan/graph/graph_placement.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/interference.h"
#include "banyan/graph/look_ahead.h"
#include "banyan/graph/pacer.h"
#include "banyan/graph/placement_task.h"
#include "banyan/graph/placement_wait.h"
#include "banyan/graph/plan_receiver.h"
#include "banyan/graph/plan_sender.h"
#include "banyan/graph/plan_watch.h"
#include "banyan/graph/queue_match.h"
#include "banyan/graph/reservation.h"
#include "banyan/graph/run_call.h"
#include "banyan/graph/run_event.h"
#include "banyan/graph/run_time_source.h"
#include "banyan/graph/serving_rank.h"
#include "banyan/graph/urgency.h"
#include "banyan/graph/worker_agent.h"
#include "banyan/graph/worker_suspicion.h"
#include "banyan/graph/worker_validation.h"
#include "banyan/graph/worker_view.h"

#endif  // BANYAN_GRAPH_H_
