#ifndef BANYAN_AUDIT_AUDIT_H_
#define BANYAN_AUDIT_AUDIT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyan {

// The result of an audit of the event logs of all processes.
struct AuditReport {
  std::uint64_t lines = 0;
  // Lines that hold an event.
  std::uint64_t events = 0;
  std::uint64_t task_starts = 0;
  std::uint64_t dispatches = 0;
  // Violated invariants, one line of text each.
  std::vector<std::string> violations;
};

// Merges the events of the log files by time and checks the invariants: no job
// runs on two workers at once, no task attempt starts twice, no worker is
// committed beyond its capacity, no task starts in a data centre that is out,
// no claimed attempt is dispatched twice, no request that was answered
// "not-run" has run, and no job ends twice.
[[nodiscard]] AuditReport AuditLogs(std::span<const std::string> files);

// Returns a summary line followed by one line per violation.
[[nodiscard]] std::string ToString(const AuditReport& report);

}  // namespace banyan

#endif  // BANYAN_AUDIT_AUDIT_H_
