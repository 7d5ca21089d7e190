#ifndef BANYAN_WIRE_H_
#define BANYAN_WIRE_H_

// Umbrella header for the messages exchanged between processes and their codec.

#include "banyan/wire/codec.h"
#include "banyan/wire/command.h"
#include "banyan/wire/field_limits.h"
#include "banyan/wire/graph.h"
#include "banyan/wire/instance.h"
#include "banyan/wire/job.h"
#include "banyan/wire/message.h"
#include "banyan/wire/plan_codec.h"
#include "banyan/wire/preset.h"

#endif  // BANYAN_WIRE_H_
