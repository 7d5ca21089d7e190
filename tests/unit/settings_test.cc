#include <fstream>

#include "banyan/settings/settings.h"
#include "banyan/settings/settings_reader.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr const char* kMembers =
    "  - {id: control-0, data_centre: dc-a, address: \"127.0.0.1:7001\", "
    "api: \"127.0.0.1:7101\"}\n";

std::string ValidControlSettings() {
  return std::string(
             "id: control-0\n"
             "data_centre: dc-a\n"
             "data_folder: data\n"
             "listen: 127.0.0.1:7001\n"
             "api: 127.0.0.1:7101\n"
             "members:\n") +
         kMembers;
}

std::string WriteSettingsFile(const std::string& text) {
  std::string path = Paths().scratch + "/settings.yaml";
  std::ofstream(path) << text;
  return path;
}

// Expects that loading fails with an error at a line, with a substring in its
// message.
void ExpectError(const std::string& text,
                 int line,
                 const std::string& substring) {
  Reason reason;
  CPPUNIT_ASSERT(!LoadControlSettings(WriteSettingsFile(text), reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadSettings);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(ToString(reason), line, reason.where.line);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason),
                         reason.text.find(substring) != std::string::npos);
}

void ReadsValidSettings() {
  Reason reason;
  const auto settings =
      LoadControlSettings(WriteSettingsFile(ValidControlSettings()), reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), settings.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string("control-0"), settings->id);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings->members.size());
}

void CatchUpTimeFollowsElections() {
  Reason reason;
  const std::string valid = ValidControlSettings();
  const auto defaults = LoadControlSettings(WriteSettingsFile(valid), reason);
  CPPUNIT_ASSERT(defaults->catch_up == 8 * defaults->election_timeout);
  const auto set = LoadControlSettings(
      WriteSettingsFile(valid + "election_ms: 500\ncatch_up_s: 4.5\n"), reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), set.has_value());
  CPPUNIT_ASSERT(set->catch_up == Millis(4500));
}

void LossesRequiredAreRead() {
  Reason reason;
  const std::string valid = ValidControlSettings();
  const auto defaults = LoadControlSettings(WriteSettingsFile(valid), reason);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, defaults->losses_required);
  const auto set = LoadControlSettings(
      WriteSettingsFile(valid + "losses_required: 2\n"), reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), set.has_value());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, set->losses_required);
}

void PlanBoundIsRead() {
  Reason reason;
  const std::string valid = ValidControlSettings();
  const auto defaults = LoadControlSettings(WriteSettingsFile(valid), reason);
  CPPUNIT_ASSERT(defaults->plan_bound == Millis(3000));
  const auto set = LoadControlSettings(
      WriteSettingsFile(valid + "plan_bound_ms: 2000\n"), reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), set.has_value());
  CPPUNIT_ASSERT(set->plan_bound == Millis(2000));
}

void StatusWaitIsRead() {
  Reason reason;
  const std::string valid = ValidControlSettings();
  const auto defaults = LoadControlSettings(WriteSettingsFile(valid), reason);
  CPPUNIT_ASSERT_MESSAGE("off by default",
                         defaults->status_wait == Duration::zero());
  const auto set = LoadControlSettings(
      WriteSettingsFile(valid + "status_wait_ms: 150\n"), reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), set.has_value());
  CPPUNIT_ASSERT(set->status_wait == Millis(150));
  CPPUNIT_ASSERT(!LoadControlSettings(
      WriteSettingsFile(valid + "status_wait_ms: 501\n"), reason));
}

void LongestWorkerLeaseIsRead() {
  Reason reason;
  const std::string valid = ValidControlSettings();
  const auto set = LoadControlSettings(
      WriteSettingsFile(valid + "lease_ms: 5800\nmax_worker_lease_ms: 6000\n"),
      reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), set.has_value());
  CPPUNIT_ASSERT(set->max_worker_lease == Millis(6000));
  CPPUNIT_ASSERT_MESSAGE(
      "shorter than the lease that is granted",
      !LoadControlSettings(
          WriteSettingsFile(valid + "lease_ms: 5800\n"
                                    "max_worker_lease_ms: 5000\n"),
          reason));
}

void MechanismsCanBeDisabled() {
  Reason reason;
  const auto defaults =
      LoadControlSettings(WriteSettingsFile(ValidControlSettings()), reason);
  CPPUNIT_ASSERT(defaults->scheduling.backlog_forecast);
  CPPUNIT_ASSERT(!defaults->log_latencies);
  const auto changed = LoadControlSettings(
      WriteSettingsFile(
          ValidControlSettings() +
          "log_latencies: on\nscheduling: {backlog_forecast: off}\n"),
      reason);
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), changed.has_value());
  CPPUNIT_ASSERT(changed->log_latencies);
  CPPUNIT_ASSERT(!changed->scheduling.backlog_forecast);
  CPPUNIT_ASSERT(changed->scheduling.light_neighbours);
}

void AgentRequiresExactlyOneRole() {
  Reason reason;
  const std::string text = std::string("id: a\ndata_centre: dc-a\n") +
                           "listen: 127.0.0.1:1\nadmin: 127.0.0.1:2\n" +
                           "control:\n" + kMembers;
  CPPUNIT_ASSERT(!LoadAgentSettings(WriteSettingsFile(text), reason));
  CPPUNIT_ASSERT(reason.text.find("exactly one") != std::string::npos);
}

}  // namespace

Section SettingsStory() {
  Section section("Settings");
  section.Then("are read when valid", ReadsValidSettings)
      .Then("disable optional mechanisms of the scheduler",
            MechanismsCanBeDisabled)
      .Then("reject a flag that is neither on nor off",
            [] {
              ExpectError(
                  ValidControlSettings() + "scheduling: {careful_starts: 2}\n",
                  8, "allowed is on, off");
            })
      .Then("take the catch-up time from the elections unless it is given",
            CatchUpTimeFollowsElections)
      .Then("the losses that a cell has to bear are read",
            LossesRequiredAreRead)
      .Then("the bound on changes of the plan is read", PlanBoundIsRead)
      .Then("names the longest lease of a worker", LongestWorkerLeaseIsRead)
      .Then("the wait of status reads is read", StatusWaitIsRead)
      .Then("reject a catch-up time out of range",
            [] {
              ExpectError(ValidControlSettings() + "catch_up_s: 0.5\n", 8,
                          "allowed is 1 to 600");
              ExpectError(ValidControlSettings() + "catch_up_s: soon\n", 8,
                          "number of seconds");
            })
      .Then("report an unknown key with its line",
            [] {
              ExpectError(ValidControlSettings() + "colour: red\n", 8,
                          "unknown key 'colour'");
            })
      .Then("reject a value of the wrong type",
            [] {
              ExpectError(ValidControlSettings() + "lease_ms: soon\n", 8,
                          "whole number (allowed is 2000 to 60000)");
            })
      .Then("reject a number out of range",
            [] {
              ExpectError(ValidControlSettings() + "election_ms: 5\n", 8,
                          "allowed is 100 to 10000");
            })
      .Then("reject a host name in place of an IP address",
            [] {
              std::string text = ValidControlSettings();
              text.replace(text.find("127.0.0.1:7001"), 14, "localhost:7001");
              ExpectError(text, 4, "allowed is an IP number");
            })
      .Then("reject a missing key",
            [] { ExpectError("id: control-0\n", 1, "is missing"); })
      .Then("reject malformed YAML", [] { ExpectError("id: [\n", 2, ""); })
      .Then("require exactly one role for an agent",
            AgentRequiresExactlyOneRole);
  return section;
}

}  // namespace banyan
