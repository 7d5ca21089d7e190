#ifndef BANYAN_CONSENSUS_H_
#define BANYAN_CONSENSUS_H_

// Umbrella header of the Raft consensus and its storage.

#include "banyan/consensus/catch_up_rounds.h"
#include "banyan/consensus/membership_plan.h"
#include "banyan/consensus/membership_watch.h"
#include "banyan/consensus/raft_core.h"
#include "banyan/consensus/raft_log.h"
#include "banyan/consensus/raft_storage.h"
#include "banyan/consensus/raft_types.h"
#include "banyan/consensus/voter_health.h"

#endif  // BANYAN_CONSENSUS_H_
