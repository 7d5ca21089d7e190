#ifndef BANYAN_CONSENSUS_CONSENSUS_H_
#define BANYAN_CONSENSUS_CONSENSUS_H_

// Umbrella header of the consensus module.

#include "banyan/consensus/raft_core.h"
#include "banyan/consensus/raft_log.h"
#include "banyan/consensus/raft_storage.h"
#include "banyan/consensus/raft_types.h"

#endif  // BANYAN_CONSENSUS_CONSENSUS_H_
