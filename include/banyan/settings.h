#ifndef BANYAN_SETTINGS_H_
#define BANYAN_SETTINGS_H_

// Umbrella header: validated settings.

#include "banyan/settings/scheduling_policy.h"
#include "banyan/settings/settings.h"
#include "banyan/settings/settings_reader.h"

#endif  // BANYAN_SETTINGS_H_
