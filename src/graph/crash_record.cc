#include "banyan/graph/crash_record.h"

#include <algorithm>

namespace banyan {

void CrashRecord::Add(const RunCrash& crash, const std::string& worker) {
  ++crashes;
  switch (crash.evidence) {
    case CrashEvidence::kAlone:
      is_trial_failed = is_trial_failed || has_start_evidence();
      ++alone;
      ++at_start;
      break;
    case CrashEvidence::kAtStart:
      ++at_start;
      break;
    case CrashEvidence::kUnclear:
      ++unclear;
      break;
    case CrashEvidence::kAtWork:
      break;
  }
  last_run = std::max(last_run, crash.run.run);
  workers.push_back(worker);
}

}  // namespace banyan
