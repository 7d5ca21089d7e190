#ifndef BANYAN_AUDIT_H_
#define BANYAN_AUDIT_H_

// Umbrella header of the offline audit of event logs.

#include "banyan/audit/audit.h"

#endif  // BANYAN_AUDIT_H_
