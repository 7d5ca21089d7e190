#include "platform/codec.h"

#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/graph/queue_match.h"
#include "banyan/wire/field_limits.h"
#include "platform/http_apis.h"
#include "tests/unit/story.h"

namespace banyan::platform {
namespace {

constexpr const char* kPlan =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("path-prefix":"/p/","kind":"unsafe","timeout-ms":3000,"slo-ms":250,)"
    R"("priority":0,"service":"s1","max-attempts":4,"stretch":1.5}],)"
    R"("services":[{"name":"s1","rejects-overload":false,"spare":false}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144}})";

constexpr const char* kGraph =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,)"
    R"("estimate-ms":900},{"count":2,"cpu":2000,"mem-mb":64,"after":[0],)"
    R"("checkpointing":true,"anti-affinity":1,"image":"i","fills":true}]})";

constexpr const char* kReport =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"dc-a","version":"v1",)"
    R"("slots":8,"state":"ready","cold-left-ms":0,"born":17,"clock-ms":482113,)"
    R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"sequence":4})";

// Wall time of the tests: in the year 2026.
constexpr WallMillis kNow = 1780000000000;

constexpr const char* kLists =
    R"({"clock-ms":5,"born":17,)"
    R"("running":[["5c0e.0.1.17",2,"saved",41,7],["no task",1,"",1,1]],)"
    R"("ended":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",1,"odd",""]]})";

// Returns a document with a part of it replaced.
std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  CPPUNIT_ASSERT(text.find(from) != std::string::npos);
  return text.replace(text.find(from), from.size(), to);
}

std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

void ReadsAPlan() {
  Reason reason;
  const auto plan = ReadPlan(kPlan, reason);
  CPPUNIT_ASSERT(plan.has_value());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, plan->version);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, plan->queues[0].max_attempts);
  CPPUNIT_ASSERT_EQUAL(std::string(kPlan), plan->document);
  CPPUNIT_ASSERT(!ValidatePlan(*plan));
}

void RefusesPlansThatMakeNoSense() {
  Reason reason;
  const std::string whole = kPlan;
  CPPUNIT_ASSERT(!ReadPlan(whole.substr(0, whole.size() / 2), reason));
  CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadRequest);
  const auto replaced = [&](const std::string& from, const std::string& to) {
    std::string text = whole;
    text.replace(text.find(from), from.size(), to);
    return ReadPlan(text, reason);
  };
  CPPUNIT_ASSERT(!replaced("\"version\":7", "\"version\":\"7\""));
  CPPUNIT_ASSERT(
      ValidatePlan(*replaced("\"timeout-ms\":3000", "\"timeout-ms\":0")));
  CPPUNIT_ASSERT(
      ValidatePlan(*replaced("\"service\":\"s1\"", "\"service\":\"s2\"")));
  ServicePlan twice = *ReadPlan(whole, reason);
  twice.queues.push_back(twice.queues[0]);
  CPPUNIT_ASSERT(ValidatePlan(twice));
}

void ReadsAGraph() {
  Reason reason;
  const auto graph = ReadGraph(kGraph, "r1", reason);
  CPPUNIT_ASSERT(graph.has_value());
  CPPUNIT_ASSERT(!ValidateGraph(*graph));
  const StepSpec& second = graph->steps[1];
  CPPUNIT_ASSERT(second.checkpointing && second.best_effort);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, second.per_worker_limit);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, second.depends_on[0]);
  GraphSpec cyclic = *graph;
  cyclic.steps[0].depends_on = {1};
  CPPUNIT_ASSERT(ValidateGraph(cyclic));
}

bool IsAccepted(const std::string& text) {
  Reason reason;
  const auto graph = ReadGraph(text, "r1", reason);
  return graph && !ValidateGraph(*graph);
}

// Guards against a job whose numbers take memory or time without bound, or
// overflow what is computed from them.
void RefusesGraphsOutOfRange() {
  const std::string whole =
      Replaced(kGraph, "\"spec\"",
               R"("repeat-count":3,"first-ms":5,"interval-ms":7,"spec")");
  CPPUNIT_ASSERT(IsAccepted(whole));
  const std::string with_all = Replaced(
      whole, "\"image\"", R"("may-miss":1,"target-ms":9,"gpu":1,"image")");
  CPPUNIT_ASSERT(IsAccepted(with_all));
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"\"repeat-count\":", "3"},  {"\"first-ms\":", "5"},
      {"\"interval-ms\":", "7"},   {"\"count\":", "4"},
      {"\"cpu\":", "500"},         {"\"mem-mb\":", "256"},
      {"\"gpu\":", "1"},           {"\"estimate-ms\":", "900"},
      {"\"anti-affinity\":", "1"}, {"\"target-ms\":", "9"},
      {"\"may-miss\":", "1"}};
  for (const auto& [key, value] : fields) {
    for (const std::string odd :
         {"-1", "9223372036854775807", "18446744073709551615",
          "9223372036854775", "1e308", "1.5", "null", "\"1\"", "[1]"}) {
      // Limits on one worker or on unavailable tasks may be of any size.
      const bool is_limit =
          key == "\"anti-affinity\":" || key == "\"may-miss\":";
      if (!is_limit || odd != "9223372036854775") {
        CPPUNIT_ASSERT_MESSAGE(
            key + odd, !IsAccepted(Replaced(with_all, key + value, key + odd)));
      }
    }
  }
  for (const std::string odd :
       {"[1]", "[-1]", "[9223372036854775807]", "[18446744073709551616]",
        "[18446744073709551615]", "[0,0]", "[0.0]", "[[0]]", "7",
        "{\"a\":1}"}) {
    CPPUNIT_ASSERT_MESSAGE(odd, !IsAccepted(Replaced(whole, "[0]", odd)));
  }
}

// Guards against a graph that is refused without the name of the field, or that
// takes a number for a flag.
void RefusesFlagsOfAnotherType() {
  for (const char* flag : {"1", "\"true\"", "null"}) {
    Reason reason;
    const std::string text =
        std::string(R"({"spec":"t","steps":[{"count":1,"cpu":500,)") +
        R"("speculative":)" + flag + "}]}";
    CPPUNIT_ASSERT(!ReadGraph(text, "r1", reason));
    CPPUNIT_ASSERT(reason.text.find("'speculative'") != std::string::npos);
  }
}

// Guards against a job whose tasks are allocated at once in all occurrences.
void RefusesGraphsOfTooManyTasks() {
  const auto graph = [](int count, int occurrences) {
    return R"({"spec":"","steps":[{"count":)" + std::to_string(count) +
           R"(,"cpu":100}],"repeat-count":)" + std::to_string(occurrences) +
           R"(,"interval-ms":1000})";
  };
  CPPUNIT_ASSERT(IsAccepted(graph(64, 1000)));
  CPPUNIT_ASSERT(IsAccepted(graph(20000, 0)));
  CPPUNIT_ASSERT(!IsAccepted(graph(20001, 0)));
  CPPUNIT_ASSERT(!IsAccepted(graph(20000, 1000)));
  CPPUNIT_ASSERT(!IsAccepted(graph(1000, 101)));
  std::string steps = R"({"count":1})";
  for (int i = 0; i < 5000; ++i) {
    steps += R"(,{"count":1})";
  }
  CPPUNIT_ASSERT(!IsAccepted(R"({"steps":[)" + steps + "]}"));
  CPPUNIT_ASSERT(!IsAccepted(R"({"steps":)" + Nested(100000) + "}"));
}

// Guards against estimates that are within their limits, but whose sum over the
// tasks overflows.
void RefusesGraphsOfTooMuchWork() {
  const auto graph = [](const std::string& estimate_ms) {
    return R"({"steps":[{"count":20000,"cpu":1000000,"estimate-ms":)" +
           estimate_ms + "}]}";
  };
  CPPUNIT_ASSERT(IsAccepted(graph("86400")));
  CPPUNIT_ASSERT(!IsAccepted(graph("3000000000000")));
}

// Guards against a configuration whose numbers overflow what is computed from
// them, or under which every job fails.
void RefusesPlansOutOfRange() {
  const auto is_accepted = [](const std::string& from, const std::string& to) {
    Reason reason;
    const auto plan = ReadPlan(Replaced(kPlan, from, to), reason);
    return plan && !ValidatePlan(*plan);
  };
  CPPUNIT_ASSERT(is_accepted("1.5", "2"));
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"\"version\":", "7"},      {"\"timeout-ms\":", "3000"},
      {"\"slo-ms\":", "250"},     {"\"priority\":", "0"},
      {"\"max-attempts\":", "4"}, {"\"stretch\":", "1.5"}};
  for (const auto& [key, value] : fields) {
    for (const std::string odd :
         {"-1", "18446744073709551615", "1e308", "null", "\"1\"", "true"}) {
      CPPUNIT_ASSERT_MESSAGE(key + odd, !is_accepted(key + value, key + odd));
    }
  }
  CPPUNIT_ASSERT(!is_accepted("\"max-attempts\":4", "\"max-attempts\":0"));
  for (const char* key : {"\"timeout-ms\":3000", "\"slo-ms\":250",
                          "\"priority\":0", "\"max-attempts\":4"}) {
    const std::string name(key, std::string(key).find(':') + 1);
    CPPUNIT_ASSERT(!is_accepted(key, name + "9223372036854775807"));
  }
  CPPUNIT_ASSERT(!is_accepted("\"max-body-bytes\":262144",
                              "\"max-body-bytes\":18446744073709551615"));
}

// Guards against a configuration that is acknowledged although the links to the
// gateways can't carry it within the bound on changes.
void RefusesPlansThatAreTooLarge() {
  constexpr int kRoutes = 30000;
  Random random(1);
  std::string routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes += R"({"name":"r)" + std::to_string(i) +
              R"(","host":"a.example","path-prefix":"/)" +
              std::to_string(random.NextBelow(1ULL << 60U)) +
              R"(/","kind":"unsafe","timeout-ms":3000,"slo-ms":250,)"
              R"("priority":0,"service":"s1","max-attempts":4,"stretch":1.5},)";
  }
  HttpCall call;
  call.method = "PUT";
  call.path = "/config";
  call.body = Replaced(kPlan, "\"routes\":[", "\"routes\":[" + routes);
  int commands = 0;
  const auto cell = [&](const CellCall& /*call*/, Time /*deadline*/) {
    ++commands;
    return CommandResult{};
  };
  CPPUNIT_ASSERT_EQUAL(413, ServeOperators(call, cell)->status);
  CPPUNIT_ASSERT_EQUAL(0, commands);
}

void ReadsAReport() {
  Reason reason;
  const auto report = ReadReport(kReport, "w1", kNow, reason);
  CPPUNIT_ASSERT(report.has_value());
  CPPUNIT_ASSERT(report->info.life == (WorkerIncarnation{"w1", 17}));
  CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), report->info.rack);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, report->info.capacity.cpu_millis);
  std::string odd = kReport;
  odd.replace(odd.find("ready"), 5, "asleep");
  CPPUNIT_ASSERT(!ReadReport(odd, "w1", kNow, reason));
}

// Guards against an entry of another writer that shuts the worker out, or
// overflows sums, with a number that its field can't mean.
void RefusesReportsOutOfRange() {
  const std::vector<std::string> odd_numbers = {"9223372036854775807",
                                                "18446744073709551615",
                                                "-1",
                                                "-9223372036854775808",
                                                "1e308",
                                                "1.5",
                                                "1e400",
                                                "null",
                                                "\"1\"",
                                                Nested(100000)};
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"\"sequence\":", "4"},      {"\"born\":", "17"},
      {"\"clock-ms\":", "482113"}, {"\"cpu\":", "16000"},
      {"\"mem-mb\":", "32768"},    {"\"gpu\":", "0"},
      {"\"remaining-ms\":", "0"}};
  const std::string whole =
      Replaced(kReport, "\"sequence\"", "\"remaining-ms\":0,\"sequence\"");
  for (const auto& [key, value] : fields) {
    for (const std::string& odd : odd_numbers) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(
          key + odd.substr(0, 20),
          !ReadReport(Replaced(whole, key + value, key + odd), "w1", kNow,
                      reason));
      CPPUNIT_ASSERT(reason.kind == ErrorKind::kBadRequest);
      CPPUNIT_ASSERT(!reason.text.empty());
    }
  }
}

// Guards against an incarnation from the future, after which the worker's own
// reports would count as those of an earlier one.
void RefusesWorkersFromTheFuture() {
  const auto read = [](WallMillis born) {
    Reason reason;
    return ReadReport(Replaced(kReport, "\"born\":17",
                               "\"born\":" + std::to_string(born)),
                      "w1", kNow, reason)
        .has_value();
  };
  CPPUNIT_ASSERT(read(kNow));
  CPPUNIT_ASSERT(read(kNow + 60LL * 1000));
  CPPUNIT_ASSERT(!read(kNow + 24LL * 60 * 60 * 1000));
  CPPUNIT_ASSERT(!read(kMaxWallMillis));
}

// Guards against an entry without a usable address or name.
void RefusesReportsWithoutAUsableName() {
  Reason reason;
  for (const char* odd :
       {"\"10.0.0.9:99999\"", "\"10.0.0.9:0\"", "\"10.0.0.9:-1\"",
        "\"10.0.0.9\"", "\":80\"", "\"10.0.0.9:80x\"", "\"\"", "80", "null"}) {
    CPPUNIT_ASSERT(!ReadReport(Replaced(kReport, "\"10.0.0.9:80\"", odd), "w1",
                               kNow, reason));
  }
  CPPUNIT_ASSERT(!ReadReport(Replaced(kReport, "\"address\"", "\"a\""), "w1",
                             kNow, reason));
  for (const std::string& id :
       {std::string(), std::string(100000, 'w'), std::string("w 1"),
        std::string("a/b"), std::string("w\xff")}) {
    CPPUNIT_ASSERT(!ReadReport(kReport, id, kNow, reason));
  }
  std::string labels = "\"a\"";
  for (int i = 0; i < 100000; ++i) {
    labels += ",\"a\"";
  }
  CPPUNIT_ASSERT(
      !ReadReport(Replaced(kReport, "\"r1-3\"", labels), "w1", kNow, reason));
}

// Guards against an earlier capacity that stays in force: amounts of 0 are left
// out.
void ReadsACapacityOfNothing() {
  for (const std::string shrunk :
       {"{}", R"({"mem-mb":0})", R"({"cpu":0,"gpu":0})"}) {
    std::string text = kReport;
    const std::size_t begin = text.find('{', text.find("\"capacity\""));
    text.replace(begin, text.find('}', begin) + 1 - begin, shrunk);
    Reason reason;
    const auto report = ReadReport(text, "w1", kNow, reason);
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT(report->info.capacity == Resources{});
  }
}

void SkipsRowsThatCantBeRead() {
  RunCallReply reply;
  reply.incarnation = {"w1", 17};
  Reason reason;
  CPPUNIT_ASSERT(ReadAnswer(200, kLists, reply, reason));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.running.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.ended.size());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, reply.running[0].measurement);
  CPPUNIT_ASSERT(reply.ended[0].reason == RunEndReason::kDone);
}

// Returns two rows as one list of rows.
std::string Joined(std::string first, const std::string& second) {
  return first.append(",").append(second);
}

// Reads an answer to a list call with these rows.
RunCallReply ReadLists(const std::string& running, const std::string& ended) {
  RunCallReply reply;
  Reason reason;
  CPPUNIT_ASSERT_MESSAGE(running.substr(0, 60) + ended.substr(0, 60),
                         ReadAnswer(200,
                                    R"({"clock-ms":5,"running":[)" + running +
                                        R"(],"ended":[)" + ended + "]}",
                                    reply, reason));
  return reply;
}

// Guards against a run list that one row of another writer makes unreadable:
// without lists the worker counts as lost.
void OddRowsAreLeftOutAlone() {
  const std::string running = R"(["5c0e.0.1.17",2,"saved",41,7])";
  const std::string ended = R"([58,"5c0e.0.1.9",1,"done",""])";
  for (const std::string& odd :
       {std::string("null"), std::string("7"), std::string("{}"),
        std::string("[]"), std::string(R"([7,2,"",41,7])"), Nested(100000),
        std::string(R"(["5c0e.0.1.17","2","",41,7])"),
        std::string(R"(["5c0e.0.1.17",0,"",41,7])"),
        std::string(R"(["5c0e.0.-1.17",1,"",41,7])"),
        std::string(R"([".0.1.17",1,"",41,7])"),
        std::string(R"(["5c0e.0.1.9223372036854775807",1,"",41,7])"),
        std::string(R"(["5c0e.0.1.17",9223372036854775807,"",41,7])"),
        std::string(R"(["5c0e.0.1.17",18446744073709551615,"",41,7])")}) {
    const RunCallReply reply =
        ReadLists(Joined(odd, running), Joined(odd, ended));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.running.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reply.refused_rows);
    CPPUNIT_ASSERT(!reply.refused_row_reason.empty());
    CPPUNIT_ASSERT(reply.may_hide_run);
  }
  for (const std::string odd :
       {R"([0,"5c0e.0.1.8",1,"done",""])", R"([-1,"5c0e.0.1.8",1,"done",""])",
        R"([9223372036854775807,"5c0e.0.1.8",1,"done",""])",
        R"([18446744073709551615,"5c0e.0.1.8",1,"done",""])",
        R"([59,"5c0e.0.1.8",1,"odd",""])", R"([59,"5c0e.0.1.8",1,7,""])"}) {
    const RunCallReply reply = ReadLists(running, Joined(ended, odd));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.refused_rows);
    CPPUNIT_ASSERT(!reply.may_hide_run);
  }
}

// Guards against two runs of a task at once: a row that names its run, but
// holds something odd beside it, is left out, and the run counts as gone.
void OddFiguresHideNoRun() {
  for (const std::string odd :
       {R"("saved",9223372036854775807,7)", R"("saved",-1,7)",
        R"("saved",41,-1)", R"("saved",41,9223372036854775807)",
        R"("saved",41,1e308)", R"("saved",41,null)", R"(null,41,7)",
        R"("saved")"}) {
    const RunCallReply reply =
        ReadLists(R"(["5c0e.0.1.17",2,)" + odd + "]", "");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.running.size());
    const RunStatus& row = reply.running[0];
    CPPUNIT_ASSERT(row.run == (RunRef{{"5c0e", 0, 1, 17}, 2}));
    CPPUNIT_ASSERT(IsUpTo(row.percent, kFullPercent));
    CPPUNIT_ASSERT(IsUpTo(row.measurement, kMaxDurationMs));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.refused_rows);
    CPPUNIT_ASSERT(!reply.may_hide_run);
  }
}

// Guards against a lease until a moment that no clock reaches.
void OddClocksAreLeftOut() {
  for (const std::string odd :
       {"9223372036854775807", "18446744073709551615", "-1", "1e308", "null"}) {
    RunCallReply reply;
    Reason reason;
    CPPUNIT_ASSERT(ReadAnswer(
        200, R"({"clock-ms":)" + odd + R"(,"running":[],"ended":[]})", reply,
        reason));
    CPPUNIT_ASSERT(!reply.clock_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.refused_rows);
  }
}

void ListsOfAnotherLifeAreNotTaken() {
  RunCallReply reply;
  reply.incarnation = {"w1", 99};
  Reason reason;
  CPPUNIT_ASSERT(ReadAnswer(200, kLists, reply, reason));
  CPPUNIT_ASSERT(reply.refusal == RunRefusal::kOtherIncarnation);
  CPPUNIT_ASSERT(reply.running.empty());
}

void ReadsEveryRefusal() {
  const auto refusal = [](int status, const std::string& body) {
    RunCallReply reply;
    reply.op = RunCallOp::kStart;
    Reason reason;
    CPPUNIT_ASSERT(ReadAnswer(status, body, reply, reason));
    return reply.refusal;
  };
  CPPUNIT_ASSERT(refusal(200, R"({"clock-ms":1})") == RunRefusal::kNone);
  CPPUNIT_ASSERT(refusal(409, R"({"reason":"fence"})") == RunRefusal::kFenced);
  CPPUNIT_ASSERT(refusal(409, R"({"reason":"old"})") == RunRefusal::kStaleRun);
  CPPUNIT_ASSERT(refusal(409, R"({"reason":"late"})") ==
                 RunRefusal::kLeaseExpired);
  CPPUNIT_ASSERT(refusal(409, R"({"reason":"room"})") ==
                 RunRefusal::kNoCapacity);
  CPPUNIT_ASSERT(refusal(421, "") == RunRefusal::kOtherIncarnation);
  CPPUNIT_ASSERT(refusal(503, "") == RunRefusal::kUnhealthy);
  CPPUNIT_ASSERT(refusal(400, "x") == RunRefusal::kInvalid);
}

void TaskNamesComeBack() {
  const bool held = rc::check("a name gives the task again", [] {
    TaskRef task;
    task.graph = "5c0e7a21d94b36f8";
    task.occurrence = *rc::gen::inRange<std::int64_t>(0, 1000);
    task.step = *rc::gen::inRange<std::int64_t>(0, 1000);
    task.index = *rc::gen::inRange<std::int64_t>(0, 100000);
    RC_ASSERT(ReadTask(WriteTask(task)) == task);
  });
  CPPUNIT_ASSERT(held);
  for (const char* bad : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2."}) {
    CPPUNIT_ASSERT(!ReadTask(bad));
  }
}

// Changes some bytes of a document, as another writer or a broken link would.
std::string Changed(std::string text) {
  const auto changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
  }
  return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
}

void SurvivesChangedDocuments() {
  const bool held =
      rc::check("a changed document gives a value or a reason", [] {
        Reason reason;
        RC_ASSERT(ReadPlan(Changed(kPlan), reason) || !reason.text.empty());
        reason = {};
        RC_ASSERT(ReadGraph(Changed(kGraph), "r1", reason) ||
                  !reason.text.empty());
        reason = {};
        RC_ASSERT(ReadReport(Changed(kReport), "w1", kNow, reason) ||
                  !reason.text.empty());
        reason = {};
        RunCallReply reply;
        RC_ASSERT(ReadAnswer(200, Changed(kLists), reply, reason) ||
                  !reason.text.empty());
      });
  CPPUNIT_ASSERT(held);
}

}  // namespace
}  // namespace banyan::platform

namespace banyan {

Section PlatformCodecStory() {
  namespace p = platform;
  Section story("The platform's documents");
  story
      .With(Section("an operator's configuration")
                .Then("is read whole", p::ReadsAPlan)
                .Then("is refused when it makes no sense",
                      p::RefusesPlansThatMakeNoSense)
                .Then("is refused with a number out of range",
                      p::RefusesPlansOutOfRange)
                .Then("is refused when it can't reach all gateways in time",
                      p::RefusesPlansThatAreTooLarge))
      .With(Section("a job")
                .Then("is read with its steps", p::ReadsAGraph)
                .Then("is refused with a number out of range",
                      p::RefusesGraphsOutOfRange)
                .Then("is refused with the name of a flag of another type",
                      p::RefusesFlagsOfAnotherType)
                .Then("is refused with too many tasks",
                      p::RefusesGraphsOfTooManyTasks)
                .Then("is refused with too much work",
                      p::RefusesGraphsOfTooMuchWork))
      .With(
          Section("a worker")
              .Then("is read from its heartbeat", p::ReadsAReport)
              .Then("may have a capacity of nothing",
                    p::ReadsACapacityOfNothing)
              .Then("is refused with a number out of range",
                    p::RefusesReportsOutOfRange)
              .Then("is refused if it comes from the future",
                    p::RefusesWorkersFromTheFuture)
              .Then("is refused without a usable name or address",
                    p::RefusesReportsWithoutAUsableName)
              .Then("has rows skipped that can't be read",
                    p::SkipsRowsThatCantBeRead)
              .Then("has odd rows left out alone", p::OddRowsAreLeftOutAlone)
              .Then("hides no run behind an odd figure", p::OddFiguresHideNoRun)
              .Then("has an odd clock left out", p::OddClocksAreLeftOut)
              .Then("is not mixed up with its other lives",
                    p::ListsOfAnotherLifeAreNotTaken)
              .Then("refuses calls in words that are known",
                    p::ReadsEveryRefusal))
      .With(Section("any bytes")
                .Then("name a task or none", p::TaskNamesComeBack)
                .Then("never end the process", p::SurvivesChangedDocuments));
  return story;
}

}  // namespace banyan
