#ifndef BANYAN_AUDIT_AUDIT_H_
#define BANYAN_AUDIT_AUDIT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyan {

// What the decision logs of all processes tell after the fact.
struct AuditReport {
  std::uint64_t lines = 0;
  std::uint64_t events = 0;
  std::uint64_t task_starts = 0;
  std::uint64_t dispatches = 0;
  // What should never have happened, one line each.
  std::vector<std::string> violations;
};

// Reads log files and checks: no job runs in two places at once, no worker is
// committed beyond its capacity, no task starts in a data centre that is out,
// no claimed attempt runs twice, no request that was told "not run" ran, and no
// job ends twice.
[[nodiscard]] AuditReport AuditLogs(std::span<const std::string> files);

// Returns the report as text, a line each.
[[nodiscard]] std::string ToString(const AuditReport& report);

}  // namespace banyan

#endif  // BANYAN_AUDIT_AUDIT_H_
