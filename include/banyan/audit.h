#ifndef BANYAN_AUDIT_H_
#define BANYAN_AUDIT_H_

// Umbrella header: the audit of decision logs.

#include "banyan/audit/audit.h"

#endif  // BANYAN_AUDIT_H_
