#include "banyan/graph/plan_check.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "banyan/graph/queue_match.h"

namespace banyan {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

template <typename T>
std::string ToText(const T& value) {
  std::ostringstream out;
  out << std::boolalpha << value;
  return out.str();
}

Fields FieldsOf(const QueueSpec& queue) {
  return {{"host", queue.host},
          {"path_prefix", queue.path_prefix},
          {"service", queue.service},
          {"timeout_ms", ToText(queue.timeout_ms)},
          {"slo_ms", ToText(queue.slo_ms)},
          {"stretch", ToText(queue.stretch)},
          {"priority", ToText(queue.priority)},
          {"max_attempts", ToText(queue.max_attempts)}};
}

Fields FieldsOf(const PoolSpec& pool) {
  return {{"rejects_overload", ToText(pool.rejects_overload)},
          {"spare", ToText(pool.spare)}};
}

Fields FieldsOf(const RequestLimits& limits) {
  return {{"max_header_bytes", ToText(limits.max_header_bytes)},
          {"max_body_bytes", ToText(limits.max_body_bytes)},
          {"header_timeout_ms", ToText(limits.header_timeout_ms)},
          {"idle_timeout_ms", ToText(limits.idle_timeout_ms)}};
}

void DiffFields(const std::string& subject,
                const Fields& before,
                const Fields& after,
                std::vector<PlanDifference>& differences) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].second != after[i].second) {
      differences.push_back(
          {subject, before[i].first, before[i].second, after[i].second});
    }
  }
}

template <typename Spec>
void DiffNamed(const std::string& kind,
               const std::vector<Spec>& before,
               const std::vector<Spec>& after,
               std::vector<PlanDifference>& differences) {
  std::map<std::string, std::pair<const Spec*, const Spec*>> specs;
  for (const Spec& spec : before) {
    specs[spec.name].first = &spec;
  }
  for (const Spec& spec : after) {
    specs[spec.name].second = &spec;
  }
  for (const auto& [name, pair] : specs) {
    std::string subject = kind;
    subject.append(" '").append(name).append("'");
    if (pair.first == nullptr || pair.second == nullptr) {
      differences.push_back({subject, "", pair.first == nullptr ? "" : name,
                             pair.second == nullptr ? "" : name});
      continue;
    }
    DiffFields(subject, FieldsOf(*pair.first), FieldsOf(*pair.second),
               differences);
  }
}

}  // namespace

std::vector<PlanFinding> CheckPlan(const ServicePlan& plan) {
  std::vector<PlanFinding> findings;
  for (const auto& fault : {ValidatePlan(plan), ValidatePlanSize(plan)}) {
    if (fault) {
      findings.push_back({FindingLevel::kError, "", "", *fault});
    }
  }
  const auto warn = [&](const std::string& subject, const char* field,
                        std::string text) {
    findings.push_back(
        {FindingLevel::kWarning, subject, field, std::move(text)});
  };
  for (const QueueSpec& queue : plan.queues) {
    if (queue.host.find(':') != std::string::npos) {
      warn(queue.name, "host",
           "matches no request: the port of a request's host is ignored");
    }
    if (!queue.path_prefix.starts_with('/')) {
      warn(queue.name, "path_prefix",
           "matches no request: a path begins with '/'");
    }
    if (queue.slo_ms > queue.timeout_ms) {
      warn(queue.name, "slo_ms", "the objective is longer than the timeout");
    }
  }
  for (const PoolSpec& pool : plan.pools) {
    if (std::none_of(plan.queues.begin(), plan.queues.end(),
                     [&](const QueueSpec& queue) {
                       return queue.service == pool.name;
                     })) {
      warn(pool.name, "service", "no route leads to it");
    }
  }
  if (!plan.queues.empty() &&
      std::none_of(
          plan.queues.begin(), plan.queues.end(),
          [](const QueueSpec& queue) { return queue.priority == 0; })) {
    warn("", "priority", "priorities are in use, but no queue has priority 0");
  }
  return findings;
}

std::vector<PlanDifference> DiffPlans(const ServicePlan& in_force,
                                      const ServicePlan& plan) {
  std::vector<PlanDifference> differences;
  DiffNamed("route", in_force.queues, plan.queues, differences);
  DiffNamed("service", in_force.pools, plan.pools, differences);
  DiffFields("limits", FieldsOf(in_force.limits), FieldsOf(plan.limits),
             differences);
  return differences;
}

}  // namespace banyan
