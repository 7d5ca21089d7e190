// Decoders against documents of other writers. RC_PARAMS sets the seed and the
// number of rounds, as in "seed=7 max_success=2000".

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/control/control_state.h"
#include "banyan/graph/queue_match.h"
#include "banyan/graph/urgency.h"
#include "banyan/graph/worker_agent.h"
#include "banyan/graph/worker_validation.h"
#include "banyan/wire/codec.h"
#include "banyan/wire/field_limits.h"
#include "platform/codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using nlohmann::json;

// Wall time of the tests: in the year 2026.
constexpr WallMillis kNow = 1780000000000;
constexpr std::int64_t kBorn = kNow - 482113;
constexpr std::int64_t kWorkerClockMs = 482113;
constexpr const char* kWorkerId = "w1";

// Placeholders for what the library can't hold or write.
constexpr std::string_view kDeepMark = "\"@deep@\"";
constexpr std::string_view kHugeMark = "\"@huge@\"";
constexpr std::size_t kDeepLevels = 100000;

// Tasks of a graph that the table holds at most.
constexpr std::size_t kMaxTasks = 100000;

json OddValue(Random& random) {
  const std::vector<json> values = {
      std::numeric_limits<std::int64_t>::min(),
      std::numeric_limits<std::int64_t>::max(),
      std::numeric_limits<std::uint64_t>::max(),
      std::uint64_t{1} << 63U,
      std::int64_t{1} << 53U,
      (std::int64_t{1} << 53U) - 1,
      std::numeric_limits<std::int32_t>::max(),
      std::numeric_limits<std::int32_t>::min(),
      1000000000,
      1000000001,
      kMaxDurationMs,
      kMaxWallMillis,
      kNow + 300000,
      99999,
      65536,
      256,
      -1,
      0,
      1,
      1e308,
      -1e308,
      0.5,
      5e-324,
      nullptr,
      true,
      "",
      "1",
      "@deep@",
      "@huge@",
      std::string(100000, 'x'),
      "10.0.0.9:99999",
      json::array(),
      json::object(),
      json::array({1, 2}),
  };
  return values[random.NextBelow(values.size())];
}

// Changes one value, chosen by a random walk from the root.
void MutateOnce(Random& random, json& root) {
  constexpr std::uint64_t kStopChance = 4;
  json* value = &root;
  while (value->is_structured() && !value->empty() &&
         (value == &root || random.NextBelow(kStopChance) != 0)) {
    auto child = value->begin();
    std::advance(child, random.NextBelow(value->size()));
    enum : std::uint64_t { kRemove, kRepeat, kActions = 24 };
    const std::uint64_t action = random.NextBelow(kActions);
    if (action == kRemove) {
      value->erase(child);
      return;
    }
    if (action == kRepeat && value->is_array()) {
      const json copy = *child;
      value->push_back(copy);
      return;
    }
    value = &*child;
  }
  *value = OddValue(random);
}

json Mutated(Random& random, json document) {
  constexpr std::uint64_t kMaxChanges = 3;
  const std::uint64_t changes = random.NextBelow(kMaxChanges) + 1;
  for (std::uint64_t i = 0; i < changes; ++i) {
    MutateOnce(random, document);
  }
  return document;
}

void ReplaceAll(std::string& text,
                std::string_view from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

void ChangeBytes(Random& random, std::string& bytes) {
  constexpr std::uint64_t kMaxChanges = 4;
  constexpr std::uint64_t kByteValues = 256;
  for (std::uint64_t i = random.NextBelow(kMaxChanges); i > 0; --i) {
    if (!bytes.empty()) {
      bytes[random.NextBelow(bytes.size())] =
          static_cast<char>(random.NextBelow(kByteValues));
    }
  }
}

// Returns a changed document as text; one of four also has changed bytes.
std::string MutatedText(Random& random, const json& document) {
  std::string text = Mutated(random, document).dump();
  ReplaceAll(text, kDeepMark,
             std::string(kDeepLevels, '[') + std::string(kDeepLevels, ']'));
  ReplaceAll(text, kHugeMark, "1e400");
  if (random.NextBelow(4) == 0) {
    ChangeBytes(random, text);
  }
  return text;
}

std::string MutatedCbor(Random& random, const std::string& bytes) {
  std::string changed;
  json::to_cbor(Mutated(random, json::from_cbor(bytes)), changed);
  if (random.NextBelow(4) == 0) {
    ChangeBytes(random, changed);
  }
  return changed;
}

// Runs a test with many random generators.
void Fuzz(const std::string& what, const std::function<void(Random&)>& test) {
  CPPUNIT_ASSERT(rc::check(what, [&] {
    // At a smaller size the generator would give few different seeds.
    Random random(*rc::gen::noShrink(rc::gen::resize(
        rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
    test(random);
  }));
}

json ReportDocument(std::int64_t sequence) {
  return {{"service", "s1"},
          {"address", "10.0.0.9:80"},
          {"zone", "dc-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"remaining-ms", 0},
          {"born", kBorn},
          {"clock-ms", kWorkerClockMs},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}, {"gpu", 0}}},
          {"labels", {"a", "r1-3"}},
          {"sequence", sequence}};
}

json ListsDocument() {
  return {{"clock-ms", kWorkerClockMs},
          {"born", kBorn},
          {"running",
           {{"5c0e.0.1.17", 2, "saved", 41, 7}, {"5c0e.0.1.18", 1, "", 0, 0}}},
          {"ended",
           {{58, "5c0e.0.1.9", 1, "done", ""},
            {59, "5c0e.0.1.8", 1, "failed", "saved"}}}};
}

json GraphDocument() {
  return {{"spec", "text"},
          {"repeat-count", 3},
          {"first-ms", kNow},
          {"interval-ms", 1000},
          {"steps",
           {{{"count", 4}, {"cpu", 500}, {"mem-mb", 256}, {"estimate-ms", 900}},
            {{"count", 2},
             {"cpu", 2000},
             {"mem-mb", 64},
             {"gpu", 1},
             {"after", {0}},
             {"anti-affinity", 1},
             {"target-ms", 9},
             {"may-miss", 1},
             {"image", "i"},
             {"requires", "a"},
             {"data-rack", "r1-3"},
             {"gang", true}}}}};
}

json PlanDocument() {
  return {
      {"version", 7},
      {"routes",
       {{{"name", "r1"},
         {"host", "a.example"},
         {"path-prefix", "/p/"},
         {"timeout-ms", 3000},
         {"slo-ms", 250},
         {"priority", 0},
         {"service", "s1"},
         {"max-attempts", 4},
         {"stretch", 1.5}}}},
      {"services",
       {{{"name", "s1"}, {"rejects-overload", false}, {"spare", false}}}},
      {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 262144}}}};
}

WorkerReport ReadOrDie(const json& document) {
  Reason reason;
  const auto report =
      platform::ReadReport(document.dump(), kWorkerId, kNow, reason);
  RC_ASSERT(report.has_value());
  return *report;
}

// An agent beside a worker that reports and answers as it should, among reports
// and answers of another writer.
class AgentAndWorker {
 public:
  // The worker reports and answers for a while.
  void Run(Duration span) {
    constexpr Duration kStep = Millis(100);
    constexpr int kStepsPerReport = 5;
    for (Duration passed{}; passed < span; passed += kStep) {
      now_ += kStep;
      if (steps_++ % kStepsPerReport == 0) {
        agent_.OnReport(now_, ReadOrDie(ReportDocument(++sequence_)));
      }
      agent_.Tick(now_);
      AnswerCalls(lists_.dump());
    }
  }

  void Report(const WorkerReport& report) { agent_.OnReport(now_, report); }

  // Sets what the worker lists from now on.
  void SetLists(json lists) { lists_ = std::move(lists); }

  // Answers the calls in flight; a list call is answered with this body.
  void AnswerCalls(const std::string& lists) {
    WorkerAgentOutputs outputs = agent_.TakeOutputs();
    for (const Message& message : outputs.to_control) {
      const auto& sync = std::get<WorkerSync>(message);
      if (!sync.gone) {
        last_sync_ = sync;
      }
    }
    for (const RunCall& call : outputs.calls) {
      RunCallReply reply = MakeUnansweredReply(call);
      reply.sent_at = now_;
      reply.received_at = now_;
      const bool is_other = call.incarnation.id != kWorkerId;
      Reason reason;
      reply.answered = platform::ReadAnswer(
          is_other ? 421 : 200, is_other ? "" : lists, reply, reason);
      agent_.OnReply(now_, reply);
    }
  }

  [[nodiscard]] const WorkerSync& last_sync() const { return last_sync_; }

 private:
  WorkerAgent agent_;
  Time now_ = Time(std::chrono::seconds(100));
  int steps_ = 0;
  std::int64_t sequence_ = 0;
  json lists_ = ListsDocument();
  WorkerSync last_sync_;
};

void CheckReport(const WorkerReport& report) {
  const WorkerInfo& info = report.info;
  RC_ASSERT(info.life.started_at_ms >= 0);
  RC_ASSERT(info.life.started_at_ms <= kNow + ToMillis(kMaxClockError));
  RC_ASSERT(IsWithinLimits(info.capacity));
  RC_ASSERT(IsUpTo(report.sequence, kMaxCounter));
  RC_ASSERT(IsUpTo(info.remaining_ms, kMaxDurationMs));
  RC_ASSERT(IsUpTo(report.clock_ms.value_or(0), kMaxWallMillis));
}

void AcceptedReportsDoNotShutOutWorker() {
  Fuzz("the agent follows the worker after any report", [](Random& random) {
    AgentAndWorker world;
    // The other writer's report may be the first one.
    if (random.NextBelow(2) == 0) {
      world.Run(Millis(1000));
    }
    const std::string text = MutatedText(
        random, ReportDocument(static_cast<std::int64_t>(random.NextBelow(9))));
    const std::string id = random.NextBelow(2) == 0 ? kWorkerId : "w2";
    Reason reason;
    const auto report = platform::ReadReport(text, id, kNow, reason);
    if (!report) {
      RC_ASSERT(reason.kind == ErrorKind::kBadRequest && !reason.text.empty());
      return;
    }
    CheckReport(*report);
    world.Report(*report);
    world.Run(std::chrono::seconds(15));
    RC_ASSERT(world.last_sync().info == ReadOrDie(ReportDocument(1)).info);
    RC_ASSERT(world.last_sync().reachable);
    RC_ASSERT(world.last_sync().running.size() == 2U);
  });
}

void AcceptedListsHideNoRows() {
  Fuzz("the agent reports later ends after any list", [](Random& random) {
    const std::string text = MutatedText(random, ListsDocument());
    RunCallReply reply;
    reply.incarnation = {kWorkerId, kBorn};
    Reason reason;
    const bool is_read = platform::ReadAnswer(200, text, reply, reason);
    RC_ASSERT(is_read || !reason.text.empty());
    RC_ASSERT(IsUpTo(reply.clock_ms.value_or(0), kMaxWallMillis));
    for (const RunStatus& row : reply.running) {
      RC_ASSERT(!ValidateRun(row.run));
      RC_ASSERT(IsUpTo(row.percent, kFullPercent));
      RC_ASSERT(IsUpTo(row.measurement, kMaxDurationMs));
    }
    for (const EndedRun& row : reply.ended) {
      RC_ASSERT(!ValidateRun(row.run));
      RC_ASSERT(row.number >= 1 && row.number <= kMaxCounter);
    }
    AgentAndWorker world;
    world.Run(Millis(1000));
    world.AnswerCalls(text);
    json later = ListsDocument();
    later["ended"].push_back({1060, "5c0e.0.1.7", 1, "done", ""});
    world.SetLists(later);
    world.Run(Millis(2000));
    const std::vector<EndedRun>& ended = world.last_sync().ended;
    RC_ASSERT(std::any_of(ended.begin(), ended.end(), [](const EndedRun& row) {
      return row.number == 1060;
    }));
  });
}

void AcceptedGraphsCanBeHeld() {
  Fuzz("a graph is refused or can be held", [](Random& random) {
    Reason reason;
    const auto spec = platform::ReadGraph(MutatedText(random, GraphDocument()),
                                          "quick", reason);
    if (!spec) {
      RC_ASSERT(reason.kind == ErrorKind::kBadRequest && !reason.text.empty());
      return;
    }
    if (ValidateGraph(*spec)) {
      return;
    }
    GraphTable table;
    table.Apply(InstallPlan{SamplePlan()}, kNow);
    RC_ASSERT(table.Apply(SubmitGraph{"g", *spec}, kNow).result.ok);
    const Graph& graph = *table.FindGraph("g");
    std::size_t tasks = 0;
    for (const OccurrenceProgress& steps : graph.occurrences) {
      for (const StepProgress& step : steps) {
        tasks += step.tasks.size();
      }
    }
    RC_ASSERT(tasks <= kMaxTasks);
    RC_ASSERT(ComputeUrgency(graph, kNow).remaining_work >= 0);
  });
}

void AcceptedPlansAreInBounds() {
  Fuzz("a plan is refused or in bounds", [](Random& random) {
    Reason reason;
    const auto plan =
        platform::ReadPlan(MutatedText(random, PlanDocument()), reason);
    if (!plan) {
      RC_ASSERT(reason.kind == ErrorKind::kBadRequest && !reason.text.empty());
      return;
    }
    if (ValidatePlan(*plan)) {
      return;
    }
    for (const QueueSpec& queue : plan->queues) {
      RC_ASSERT(queue.timeout_ms > 0 && queue.timeout_ms <= kMaxDurationMs);
      RC_ASSERT(IsUpTo(queue.slo_ms, kMaxDurationMs));
      RC_ASSERT(queue.max_attempts > 0 && queue.priority >= 0);
      RC_ASSERT(queue.stretch >= 0 && queue.stretch < 1e6);
    }
  });
}

void TaskNamesAreReadOrRefused() {
  Fuzz("a task name is read or refused", [](Random& random) {
    std::string name = "5c0e7a21d94b36f8.0.1.17";
    ChangeBytes(random, name);
    const auto task = platform::ReadTask(name);
    const bool is_same =
        task && platform::ReadTask(platform::WriteTask(*task)) == *task;
    RC_ASSERT(!task || is_same);
  });
}

std::vector<Message> SampleMessages() {
  WorkerSync sync;
  sync.info = SampleWorker("w1");
  sync.running = {{RunOf("g", 0, 0), "saved", 41, 7}};
  sync.ended = {{58, RunOf("g", 0, 1), RunEndReason::kDone, ""}};
  sync.starting = {RunOf("g", 0, 2)};
  sync.crashed = {{RunOf("g", 0, 3), CrashEvidence::kAlone}};
  WorkerOrders orders;
  orders.starts = {{RunOf("g", 0, 0), "payload", "saved"}};
  orders.paces = {{RunOf("g", 0, 1), 40}};
  CommandRequest request;
  request.command.command = SampleGraph("g", {SampleStep(2), ServingStep(1)});
  CommandReply reply;
  reply.result.ok = true;
  AppendRequest append;
  append.entries.push_back(
      {1, 2, EntryKind::kCommand, Encode(LoggedCommand{})});
  return {sync,
          orders,
          request,
          reply,
          append,
          InstallSnapshot{},
          PlanUpdate{SamplePlan()},
          EntryStatus{1, 2, PlanDelivery::kParts},
          PlanOffer{2, 1},
          PlanRequest{2, 0, 4096},
          PlanPart{2, 9, 7, 0, "some part"},
          CellReferral{{"10.0.0.1:7", "10.0.0.2:7"}},
          CellQuery{}};
}

void FramesAreReadOrRefused() {
  const std::vector<Message> messages = SampleMessages();
  Fuzz("a frame is read or refused", [&](Random& random) {
    const Message& message = messages[random.NextBelow(messages.size())];
    Reason reason;
    RC_ASSERT(
        DecodeEnvelope(MutatedCbor(random, Encode(Envelope{{"a", 1}, message})),
                       reason) ||
        !reason.text.empty());
    reason = {};
    RC_ASSERT(DecodeMessage(MutatedCbor(random, Encode(message)), reason) ||
              !reason.text.empty());
    const LoggedCommand command{"7", kNow, SampleGraph("g", {SampleStep(2)})};
    reason = {};
    RC_ASSERT(DecodeCommand(MutatedCbor(random, Encode(command)), reason) ||
              !reason.text.empty());
    const Membership membership{{{"a", 1}, {"b", 2}}, {{"c", 3}}};
    reason = {};
    RC_ASSERT(
        DecodeMembership(MutatedCbor(random, Encode(membership)), reason) ||
        !reason.text.empty());
  });
}

ControlState SampleState() {
  ControlState state;
  std::uint64_t id = 0;
  const auto apply = [&](const Command& command) {
    state.Apply({std::to_string(++id), kNow, command});
  };
  apply(InstallPlan{SamplePlan()});
  apply(AdmitWorker{SampleWorker("w1"), "agent-w1"});
  apply(SampleGraph("g", {SampleStep(3), ServingStep(1)}));
  apply(PlaceRuns{
      {{RunOf("g", 0, 0), {"w1", 1}}, {RunOf("g", 0, 1), {"w1", 1}}}});
  apply(EndRuns{{"w1", 1}, {{1, RunOf("g", 0, 0), RunEndReason::kDone, ""}}});
  apply(
      RecordCrashes{{"w1", 1}, {{RunOf("g", 0, 1), CrashEvidence::kAtStart}}});
  return state;
}

void SnapshotsAreReadOrRefused() {
  const std::string whole = SampleState().Encode();
  Fuzz("a snapshot is read or refused", [&](Random& random) {
    Reason reason;
    RC_ASSERT(ControlState::Decode(MutatedCbor(random, whole), reason) ||
              reason.kind == ErrorKind::kCorruptLog);
  });
}

}  // namespace

Section DecoderFuzzStory() {
  Section story("Documents of other writers");
  story
      .With(Section("from workers")
                .Then("do not shut the worker out",
                      AcceptedReportsDoNotShutOutWorker)
                .Then("hide no rows of a list", AcceptedListsHideNoRows))
      .With(Section("from callers and operators")
                .Then("hold graphs of bounded size", AcceptedGraphsCanBeHeld)
                .Then("hold plans in bounds", AcceptedPlansAreInBounds)
                .Then("name a task or none", TaskNamesAreReadOrRefused))
      .With(
          Section("from peers and disks")
              .Then("are frames or are refused", FramesAreReadOrRefused)
              .Then("are snapshots or are refused", SnapshotsAreReadOrRefused));
  return story;
}

}  // namespace banyan
