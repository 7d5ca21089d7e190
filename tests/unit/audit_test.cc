#include <fstream>

#include "banyan/audit/audit.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

AuditReport AuditText(const std::string& text) {
  const std::string path = Paths().scratch + "/audited.log";
  std::ofstream(path) << text;
  const std::vector<std::string> files = {path};
  return AuditLogs(files);
}

std::string LogLine(const char* seconds, const std::string& event) {
  return std::string("I20261204 00:00:") + seconds +
         ".000000 1 write_events.cc:9] " + event + "\n";
}

// Expects exactly one violation, whose text contains `part`.
void ExpectViolation(const std::string& text, const std::string& part) {
  const AuditReport report = AuditText(text);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(ToString(report), std::size_t{1},
                               report.violations.size());
  CPPUNIT_ASSERT_MESSAGE(report.violations[0],
                         report.violations[0].find(part) != std::string::npos);
}

std::string TaskStartedLine(const char* seconds,
                            const char* worker,
                            const char* job,
                            int attempt) {
  return LogLine(seconds, std::string("E1210 job=") + job +
                              " attempt=" + std::to_string(attempt) +
                              " worker=" + worker + " data_centre=dc-a");
}

void AcceptsCleanLog() {
  const AuditReport report = AuditText(
      TaskStartedLine("01", "w1", "j", 1) +
      LogLine("02", "E1212 job=j attempt=1 worker=w1 end=evicted cause=x") +
      TaskStartedLine("03", "w2", "j", 2) +
      LogLine("04", "E1212 job=j attempt=2 worker=w2 end=finished cause=\"\"") +
      LogLine("05", "E1305 job=j attempt=2 state=finished cause=\"\""));
  CPPUNIT_ASSERT_MESSAGE(ToString(report), report.violations.empty());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.task_starts);
}

}  // namespace

Section AuditStory() {
  Section section("Audit of event logs");
  section.Then("accepts a log without violations", AcceptsCleanLog)
      .Then("reports a task attempt that started twice",
            [] {
              ExpectViolation(TaskStartedLine("01", "w1", "j", 1) +
                                  LogLine("02",
                                          "E1212 job=j attempt=1 worker=w1 "
                                          "end=lost cause=x") +
                                  TaskStartedLine("03", "w2", "j", 1),
                              "started twice");
            })
      .Then("reports a job on two workers at once",
            [] {
              ExpectViolation(TaskStartedLine("01", "w1", "j", 1) +
                                  TaskStartedLine("02", "w2", "j", 2),
                              "on two workers at once");
            })
      .Then(
          "reports a worker committed beyond its capacity",
          [] {
            ExpectViolation(
                LogLine("01",
                        "E1310 instance=w1 incarnation=1 data_centre=dc-a "
                        "cpu_millis=1000 memory_mib=512 adopted=0") +
                    LogLine("02",
                            "E1210 job=j attempt=1 worker=w1 data_centre=dc-a "
                            "cpu_millis=800 memory_mib=100") +
                    LogLine("03",
                            "E1210 job=k attempt=1 worker=w1 data_centre=dc-a "
                            "cpu_millis=800 memory_mib=100"),
                "beyond its capacity");
          })
      .Then("reports a task start in a data centre that is out",
            [] {
              ExpectViolation(
                  LogLine("01",
                          "E1402 version=2 command=c change=\"data centre dc-a "
                          "out\"") +
                      TaskStartedLine("09", "w1", "j", 1),
                  "which was taken out at");
            })
      .Then(
          "reports a claimed attempt that was dispatched twice",
          [] {
            ExpectViolation(
                LogLine("01", "E1201 call=1 entry=e seq=1 claim=k attempt=1") +
                    LogLine("02",
                            "E1201 call=1 entry=f seq=2 claim=k attempt=1"),
                "was dispatched twice");
          })
      .Then("reports a request that ran but was answered not-run", [] {
        ExpectViolation(
            LogLine("01", "E1201 call=1 entry=e seq=1 claim=k attempt=1") +
                LogLine(
                    "02",
                    "E1202 call=1 claim=k attempt=1 outcome=ran status=200") +
                LogLine("03",
                        "E1103 ticket=1 service=s claim=k outcome=not-run"),
            "answered not-run");
      });
  return section;
}

}  // namespace banyan
