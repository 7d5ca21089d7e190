#ifndef BANYAN_GRAPH_PLAN_CHECK_H_
#define BANYAN_GRAPH_PLAN_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/wire/graph.h"

namespace banyan {

// Whether the cell refuses a plan for a finding.
enum class FindingLevel : std::uint8_t { kWarning, kError };

// What a check found in a plan.
struct PlanFinding {
  FindingLevel level = FindingLevel::kWarning;
  // Name of the queue or the pool; empty if the finding is about neither.
  std::string subject;
  // Name of the field of QueueSpec; empty if the finding is about none.
  std::string field;
  std::string text;
};

// A difference between two plans.
struct PlanDifference {
  // What differs, such as "route 'quick'".
  std::string subject;
  // Name of the field of the product; empty if the entry is added or removed.
  std::string field;
  // The values of the field; empty in the plan that lacks the entry.
  std::string before;
  std::string after;
};

// Returns the errors that the cell would refuse a plan for, then the entries
// that can never match and the limits that contradict each other.
[[nodiscard]] std::vector<PlanFinding> CheckPlan(const ServicePlan& plan);

// Returns the differences between the plan in force and another one; empty if
// there are none besides the version. An added or removed entry has its name as
// the value.
[[nodiscard]] std::vector<PlanDifference> DiffPlans(const ServicePlan& in_force,
                                                    const ServicePlan& plan);

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLAN_CHECK_H_
