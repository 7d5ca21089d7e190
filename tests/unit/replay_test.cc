// Replays recorded commands against the replicated control state and compares
// results and final state with those recorded in the trace.

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "banyan/control/control_state.h"
#include "src/wire/json_types.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using nlohmann::json;

// Compares the result of a command with the fields of its trace line.
void CheckResult(const json& line, const CommandResult& result) {
  const std::string text = line.dump();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line.at("ok").get<bool>(), result.ok);
  if (line.contains("error")) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line["error"].get<std::string>(),
                                 std::string(ResponseFor(result.error).name));
  }
  if (line.contains("granted")) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line["granted"].get<bool>(),
                                 result.claim.granted);
  }
}

// Compares version, data centres that are out, jobs and claims with a trace
// line.
void CheckState(const json& expected, const ControlState& state) {
  json jobs = json::object();
  for (const auto& [key, job] : state.jobs()) {
    jobs[key] = ToString(job.state);
  }
  json claims = json::object();
  for (const auto& [key, claim] : state.claims()) {
    claims[key] = claim.view.body;
  }
  const json actual = {{"version", state.config().version},
                       {"out", state.config().out},
                       {"jobs", jobs},
                       {"claims", claims}};
  CPPUNIT_ASSERT_EQUAL(expected.dump(), actual.dump());
}

void Replay(const std::string& name) {
  std::ifstream file(Paths().traces + "/" + name + ".jsonl");
  CPPUNIT_ASSERT_MESSAGE("cannot read trace " + name, file.good());
  ControlState state;
  bool has_expectation = false;
  std::string text;
  while (std::getline(file, text)) {
    const json line = json::parse(text);
    if (line.contains("expect")) {
      CheckState(line["expect"], state);
      has_expectation = true;
      continue;
    }
    const auto command = line.at("command").get<LoggedCommand>();
    CheckResult(line, state.Apply(command).result);
    // Encodes and decodes the state after every command: a replica that is
    // restored from a snapshot must continue with identical results.
    Reason reason;
    auto restored = ControlState::Decode(state.Encode(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, restored.has_value());
    state = *std::move(restored);
  }
  CPPUNIT_ASSERT_MESSAGE("trace holds no expected state", has_expectation);
}

}  // namespace

Section ReplayStory() {
  Section section("Recorded traces");
  for (const char* name :
       {"operators_race", "worker_lost_and_back", "claim_resent"}) {
    section.Then(std::string("reach their expected state: ") + name,
                 [name] { Replay(name); });
  }
  return section;
}

}  // namespace banyan
