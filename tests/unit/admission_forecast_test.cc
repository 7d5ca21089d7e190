#include "banyan/graph/admission_forecast.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "banyan/graph/placement_order.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr Duration kStep = Millis(50);
constexpr std::size_t kProcessors = 40;
constexpr std::int64_t kLateFactor = 3;

// A kind of graph of one best-effort step. A graph of kUrgent takes the whole
// pool for a second; the limits are 18.75 s and 5.4 s.
struct Kind {
  const char* queue;
  std::int64_t tasks;
  std::int64_t run_ms;

  [[nodiscard]] WallMillis limit_ms() const {
    return kLateFactor * (queue == std::string("quick") ? run_ms * 3 / 2 + 250
                                                        : run_ms * 2 + 1000);
  }
};
constexpr Kind kUrgent{"quick", 10, 4000};
constexpr Kind kShort{"batch", 4, 400};

SubmitGraph MakeGraph(const std::string& id, const Kind& kind, double error) {
  StepSpec step = BestEffortStep(kind.tasks, 1000);
  step.estimate_ms =
      static_cast<std::int64_t>(static_cast<double>(kind.run_ms) * error);
  return SampleGraph(id, {step}, kind.queue);
}

// A pool in virtual time, placed in the order of the product. The forecast is
// asked for every submission.
class Pool {
 public:
  explicit Pool(bool uses_forecast)
      : forecast_(
            {.backlog_forecast = true, .admission_forecast = uses_forecast}) {
    table_.Apply(InstallPlan{SamplePlan()}, wall_);
    table_.Apply(AdmitWorker{Worker(), "agent"}, wall_);
    forecast_.Reset(now_);
  }

  // Submits urgent graphs of `load` times what the pool can do, and two short
  // ones a second. The declared run times are in turn too long and too short by
  // `error`.
  void Load(Duration span, double load, double error = 1) {
    const Time until = now_ + span;
    while (now_ < until) {
      Arrive(urgent_due_, load, kUrgent, error);
      Arrive(short_due_, 2, kShort, error);
      Advance();
    }
  }

  std::optional<CommandResult> Check(const SubmitGraph& submit) {
    return forecast_.Check(now_, wall_, table_, submit, events_);
  }

  void Accept(const SubmitGraph& submit, const Kind& kind) {
    kinds_.emplace(submit.id, kind);
    Apply(submit);
  }

  void LoseWorker() { Apply(DropWorker{Worker().life, "left", {}}); }
  void ChangeLeader() { forecast_.Reset(now_); }

  // Returns how often the events of a kind give a field in sum.
  [[nodiscard]] std::int64_t Sum(EventId id, const char* field) const {
    std::int64_t sum = 0;
    for (const Event& event : events_) {
      sum += event.id() == id ? std::stoll(event.Field(field)) : 0;
    }
    return sum;
  }
  [[nodiscard]] const std::set<std::string>& refused() const {
    return refused_;
  }
  // Ids of the graphs that ended before their limit.
  [[nodiscard]] const std::set<std::string>& in_time() const {
    return in_time_;
  }

 private:
  static WorkerInfo Worker() {
    WorkerInfo info = SampleWorker("w1");
    info.capacity = {1000 * kProcessors, 1 << 20, 0};
    return info;
  }

  template <typename Body>
  void Apply(const Body& body) {
    table_.Apply(body, wall_);
    forecast_.OnApplied(now_, table_, body);
  }

  void Arrive(double& due, double per_second, const Kind& kind, double error) {
    due += per_second * static_cast<double>(ToMillis(kStep)) / 1000;
    for (; due >= 1; due -= 1) {
      const std::string id = "g" + std::to_string(++count_);
      const SubmitGraph submit =
          MakeGraph(id, kind, count_ / 2 % 2 == 0 ? error : 1 / error);
      if (Check(submit)) {
        refused_.insert(id);
      } else {
        Accept(submit, kind);
      }
    }
  }

  void Advance() {
    now_ += kStep;
    wall_ += ToMillis(kStep);
    EndRuns ends{Worker().life, {}};
    for (const auto& [run, end] : running_) {
      if (end <= now_) {
        ends.rows.push_back({++ended_, run, RunEndReason::kDone, ""});
      }
    }
    Apply(ends);
    for (const EndedRun& row : ends.rows) {
      running_.erase(row.run);
      const std::string& id = row.run.task.graph;
      const Graph& graph = *table_.FindGraph(id);
      if (IsFinal(graph.state) &&
          wall_ - graph.submitted_at <= kinds_.at(id).limit_ms()) {
        in_time_.insert(id);
      }
    }
    Place();
    forecast_.Observe(now_, table_, events_);
  }

  void Place() {
    PlaceRuns place;
    for (const ReadyGraph& ready : OrderReadyGraphs(
             table_, PoolUsages(table_), SchedulingPolicy{}, wall_)) {
      const auto& tasks = ready.graph->occurrences[0][0].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase == TaskPhase::kReady &&
            running_.size() < kProcessors) {
          const RunRef run = RunOf(*ready.id, 0, static_cast<std::int64_t>(i));
          place.runs.push_back({run, Worker().life});
          running_[run] = now_ + Millis(kinds_.at(*ready.id).run_ms);
        }
      }
    }
    Apply(place);
  }

  GraphTable table_;
  AdmissionForecast forecast_;
  Time now_ = Time(std::chrono::seconds(100));
  WallMillis wall_ = kGraphStart;
  double urgent_due_ = 0;
  double short_due_ = 0;
  std::int64_t count_ = 0;
  std::int64_t ended_ = 0;
  std::map<std::string, Kind> kinds_;
  std::map<RunRef, Time> running_;
  std::set<std::string> refused_;
  std::set<std::string> in_time_;
  Events events_;
};

// Normal load, then a burst.
void Burst(Pool& pool, double load, double error) {
  pool.Load(std::chrono::seconds(10), 0.7, error);
  pool.Load(std::chrono::seconds(20), load, error);
}

// Asserts that the refused graphs do not end in time if they are accepted.
// Returns the number of refused graphs.
std::size_t CheckBurst(double load, double error) {
  Pool with(true);
  Pool without(false);
  for (Pool* pool : {&with, &without}) {
    Burst(*pool, load, error);
    pool->Load(std::chrono::seconds(60), 0.5, error);
  }
  CPPUNIT_ASSERT(without.refused().empty());
  for (const std::string& id : with.refused()) {
    CPPUNIT_ASSERT_MESSAGE(id + " was refused though it could be served",
                           !without.in_time().contains(id));
  }
  CPPUNIT_ASSERT(with.in_time().size() >= without.in_time().size());
  return with.refused().size();
}

// Guards against callers that wait for work that can't end in time, and against
// refusals of work that can.
void BurstRefusesOnlyWhatIsLate() {
  CPPUNIT_ASSERT(CheckBurst(2.6, 1) > 0);
}

// Guards against refusals by a wrong estimate.
void WrongEstimatesRefuseNothingThatIsServed() {
  for (const double load : {0.9, 1.4, 2.6, 4.0}) {
    CheckBurst(load, 2.5);
  }
}

// Guards against refusals that outlast the backlog.
void DrainedBacklogRefusesNothing() {
  Pool pool(true);
  Burst(pool, 2.6, 1);
  pool.Load(std::chrono::seconds(60), 0.5);
  const std::size_t refused = pool.refused().size();
  CPPUNIT_ASSERT(refused > 0);
  pool.Load(std::chrono::seconds(20), 0.5);
  CPPUNIT_ASSERT_EQUAL(refused, pool.refused().size());
  CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(refused),
                       pool.Sum(EventId::kForecastMissed, "refused"));
  CPPUNIT_ASSERT(pool.Sum(EventId::kForecastMissed, "accepted_late") > 0);
}

// Guards against a refusal of a graph that an earlier submission under the same
// id has made or will make run.
void ResentSubmissionIsNotRefused() {
  Pool pool(true);
  pool.Load(std::chrono::seconds(10), 0.7);
  const SubmitGraph accepted = MakeGraph("accepted", kShort, 1);
  const SubmitGraph proposed = MakeGraph("proposed", kShort, 1);
  CPPUNIT_ASSERT(!pool.Check(accepted));
  pool.Accept(accepted, kShort);
  CPPUNIT_ASSERT(!pool.Check(proposed));
  pool.Load(std::chrono::seconds(20), 2.6);
  CPPUNIT_ASSERT(pool.Check(MakeGraph("new", kShort, 1)));
  CPPUNIT_ASSERT(!pool.Check(accepted));
  CPPUNIT_ASSERT(!pool.Check(proposed));
}

// Guards against refusals by a leader that knows no rate.
void NewLeaderMeasuresFirst() {
  Pool pool(true);
  Burst(pool, 2.6, 1);
  pool.ChangeLeader();
  const std::size_t refused = pool.refused().size();
  pool.Load(AdmissionForecast::kMinRateSpan, 2.6);
  CPPUNIT_ASSERT_EQUAL(refused, pool.refused().size());
  pool.Load(Millis(2000), 2.6);
  CPPUNIT_ASSERT(pool.refused().size() > refused);
}

// Guards against refused callers that return all at once.
void RefusedCallersReturnSpreadOverTime() {
  Pool pool(true);
  Burst(pool, 2.6, 1);
  std::vector<std::int64_t> times;
  for (int i = 0; i < 200; ++i) {
    const auto refusal =
        pool.Check(MakeGraph("new" + std::to_string(i), kShort, 1));
    CPPUNIT_ASSERT(refusal.has_value());
    CPPUNIT_ASSERT(refusal->error == ErrorKind::kOverloaded);
    times.push_back(refusal->retry_after_ms);
  }
  std::sort(times.begin(), times.end());
  CPPUNIT_ASSERT(times.front() >= 1000);
  CPPUNIT_ASSERT(times.back() <= times.front() * 3 / 2 + 1);
  CPPUNIT_ASSERT(times[150] - times[50] > times.front() / 6);
}

// Guards against refusals of tasks that don't wait for the backlog.
void ServingGraphIsNotRefused() {
  Pool pool(true);
  Burst(pool, 2.6, 1);
  SubmitGraph submit = MakeGraph("serving", kShort, 1);
  submit.spec.steps[0].latency_target_ms = 20;
  CPPUNIT_ASSERT(!pool.Check(submit));
  submit = MakeGraph("lasting", kShort, 1);
  submit.spec.steps[0].long_running = true;
  CPPUNIT_ASSERT(!pool.Check(submit));
}

// Guards against a leader that ends on a pool without workers.
void PoolWithoutWorkersRefusesNothing() {
  Pool pool(true);
  Burst(pool, 2.6, 1);
  pool.LoseWorker();
  CPPUNIT_ASSERT(!pool.Check(MakeGraph("new", kShort, 1)));
}

}  // namespace

Section AdmissionForecastStory() {
  Section story("The admission forecast");
  story
      .Then("refuses only late graphs in a burst of 2.6 times the load",
            BurstRefusesOnlyWhatIsLate)
      .Then("refuses nothing that is served if estimates are wrong by 2.5",
            WrongEstimatesRefuseNothingThatIsServed)
      .Then("refuses nothing once the backlog has drained",
            DrainedBacklogRefusesNothing)
      .Then("does not refuse a resent submission", ResentSubmissionIsNotRefused)
      .Then("refuses nothing until a new leader has measured the rate",
            NewLeaderMeasuresFirst)
      .Then("spreads the return of refused callers",
            RefusedCallersReturnSpreadOverTime)
      .Then("does not refuse long-running or latency-sensitive tasks",
            ServingGraphIsNotRefused)
      .Then("refuses nothing in a pool without workers",
            PoolWithoutWorkersRefusesNothing);
  return story;
}

}  // namespace banyan
