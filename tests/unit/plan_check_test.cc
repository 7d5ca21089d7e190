#include "banyan/graph/plan_check.h"

#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "platform/check.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// Returns the findings of the sample plan after a change as
// "level subject field", one line each.
std::string FindingsOf(const std::function<void(ServicePlan&)>& change) {
  ServicePlan plan = SamplePlan();
  change(plan);
  std::string lines;
  for (const PlanFinding& finding : CheckPlan(plan)) {
    lines += (finding.level == FindingLevel::kError ? "error " : "warning ") +
             finding.subject + " " + finding.field + "\n";
  }
  return lines;
}

void ValidPlanHasNoFindings() {
  CPPUNIT_ASSERT_EQUAL(std::string(), FindingsOf([](ServicePlan&) {}));
}

// Guards against a check that passes what the cell refuses.
void ReportsWhatTheCellRefuses() {
  CPPUNIT_ASSERT_EQUAL(
      std::string("error  \n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[0].max_attempts = 0; }));
  CPPUNIT_ASSERT_EQUAL(
      std::string("error  \n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[1].service = "x"; }));
}

// Guards against routes that silently get no requests.
void ReportsWhatNeverMatches() {
  CPPUNIT_ASSERT_EQUAL(
      std::string("warning quick host\n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[0].host += ":80"; }));
  CPPUNIT_ASSERT_EQUAL(
      std::string("warning batch path_prefix\n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[1].path_prefix = "b"; }));
  CPPUNIT_ASSERT_EQUAL(std::string("warning spare service\n"),
                       FindingsOf([](ServicePlan& plan) {
                         plan.pools.push_back({"spare", false, false});
                       }));
}

// Guards against limits of which one is never reached.
void ReportsContradictoryLimits() {
  CPPUNIT_ASSERT_EQUAL(
      std::string("warning quick slo_ms\n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[0].slo_ms = 3001; }));
  CPPUNIT_ASSERT_EQUAL(
      std::string("warning  priority\n"),
      FindingsOf([](ServicePlan& plan) { plan.queues[0].priority = 1; }));
}

// Guards against changes that an operator doesn't see before sending them.
void ListsDifferences() {
  const ServicePlan in_force = SamplePlan(1);
  CPPUNIT_ASSERT(DiffPlans(in_force, SamplePlan(2)).empty());
  ServicePlan plan = SamplePlan(2);
  plan.queues[0].slo_ms = 300;
  plan.queues[1].name = "bulk";
  plan.pools[0].spare = true;
  plan.limits.max_body_bytes = 9;
  const std::vector<std::string> expected = {
      "route 'batch'||batch|", "route 'bulk'|||bulk",
      "route 'quick'|slo_ms|250|300", "service 'desk'|spare|false|true",
      "limits|max_body_bytes|0|9"};
  std::vector<std::string> found;
  for (const PlanDifference& difference : DiffPlans(in_force, plan)) {
    found.push_back(difference.subject + "|" + difference.field + "|" +
                    difference.before + "|" + difference.after);
  }
  CPPUNIT_ASSERT(found == expected);
}

// Returns a document with one route.
std::string DocumentOf(int version, const std::string& host) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r1","host":")" + host +
         R"(","path-prefix":"/p/","timeout-ms":3000,"service":"s1"}],)"
         R"("services":[{"name":"s1"}],"limits":{}})";
}

// Guards against scripts that send a configuration with faults.
void ExitCodeTellsTheWorstFinding() {
  using platform::CheckDocument;
  const auto code_of = [](const std::string& document,
                          const platform::ReadInForce& in_force = nullptr) {
    std::ostringstream out;
    return CheckDocument(document, in_force, false, out);
  };
  CPPUNIT_ASSERT_EQUAL(0, code_of(DocumentOf(2, "a")));
  CPPUNIT_ASSERT_EQUAL(1, code_of(DocumentOf(2, "a:80")));
  CPPUNIT_ASSERT_EQUAL(2, code_of("{}"));
  CPPUNIT_ASSERT_EQUAL(2, code_of(DocumentOf(-1, "a")));
  CPPUNIT_ASSERT_EQUAL(
      0, code_of(DocumentOf(2, "a"), [] { return DocumentOf(1, "b"); }));
  CPPUNIT_ASSERT_EQUAL(
      1, code_of(DocumentOf(2, "a"), [] { return DocumentOf(2, "a"); }));
  CPPUNIT_ASSERT_EQUAL(
      3, code_of(DocumentOf(2, "a"), [] { return std::nullopt; }));
}

// Guards against reports that name fields as the product does.
void ReportUsesTheNamesOfTheDocument() {
  std::string document = DocumentOf(2, "a");
  document.replace(document.find("/p/"), 3, "p/");
  const auto in_force = [] { return DocumentOf(1, "b"); };
  for (const bool is_json : {false, true}) {
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL(
        1, platform::CheckDocument(document, in_force, is_json, out));
    const std::string report = out.str();
    CPPUNIT_ASSERT(report.find("path-prefix") != std::string::npos);
    CPPUNIT_ASSERT(report.find("path_prefix") == std::string::npos);
    CPPUNIT_ASSERT(report.find("host") != std::string::npos);
  }
}

}  // namespace

Section PlanCheckStory() {
  Section story("The check of a plan");
  story.Then("finds nothing in a valid plan", ValidPlanHasNoFindings)
      .Then("reports what the cell refuses", ReportsWhatTheCellRefuses)
      .Then("reports entries that never match", ReportsWhatNeverMatches)
      .Then("reports limits that contradict each other",
            ReportsContradictoryLimits)
      .Then("lists the differences from the plan in force", ListsDifferences)
      .Then("gives the exit code of the worst finding",
            ExitCodeTellsTheWorstFinding)
      .Then("names fields as the document does",
            ReportUsesTheNamesOfTheDocument);
  return story;
}

}  // namespace banyan
