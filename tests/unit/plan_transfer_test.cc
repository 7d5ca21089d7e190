#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/control/control_core.h"
#include "banyan/graph/cell_client.h"
#include "banyan/graph/queue_match.h"
#include "banyan/wire/codec.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// A link of 2 Mbit/s, in bytes a millisecond, and its delay.
constexpr double kThinLinkRate = 250;
constexpr Duration kLinkDelay = Millis(1);
constexpr Duration kStep = Millis(5);
// How long it takes to connect to a replica.
constexpr Duration kConnectTime = Millis(100);
// The tightest bound on a change of the plan of the deployments with such
// links.
constexpr Duration kPlanBound = Millis(2500);
constexpr const char* kGatewayId = "edge-0";

// Returns a plan with so many routes of the usual length.
ServicePlan PlanWithRoutes(std::uint64_t version, std::size_t routes) {
  ServicePlan plan = SamplePlan(version);
  // A linear congruential generator, so that names don't repeat.
  std::uint64_t state = 1;
  const auto name = [&state](const char* prefix) {
    constexpr std::uint64_t kMultiplier = 6364136223846793005;
    constexpr unsigned kShift = 33;
    state = state * kMultiplier + 1442695040888963407;
    return prefix + std::to_string(state >> kShift);
  };
  std::string document;
  for (std::size_t i = 0; i < routes; ++i) {
    QueueSpec queue = plan.queues.front();
    queue.name = name("r-");
    queue.host = name("h") + ".example";
    queue.path_prefix = name("/p") + "/";
    document += R"({"name":")" + queue.name + R"(","host":")" + queue.host +
                R"(","path-prefix":")" + queue.path_prefix +
                R"(","kind":"unsafe","timeout-ms":3000,"slo-ms":250,)"
                R"("priority":0,"service":"desk","max-attempts":2,)"
                R"("stretch":1.5},)";
    plan.queues.push_back(std::move(queue));
  }
  plan.document = std::move(document);
  return plan;
}

// One direction of a connection with a rate: messages arrive in their order,
// each once its last byte has.
class Pipe {
 public:
  explicit Pipe(double rate) : rate_(rate) {}

  void Push(Time now, Message message) {
    const auto bytes = static_cast<double>(Encode(message).size());
    bytes_ += static_cast<std::uint64_t>(bytes);
    free_at_ = std::max(free_at_, now) +
               Duration(static_cast<std::int64_t>(bytes / rate_ * 1000));
    queue_.emplace_back(free_at_ + kLinkDelay, std::move(message));
  }

  std::optional<Message> Pop(Time now) {
    if (queue_.empty() || queue_.front().first > now) {
      return std::nullopt;
    }
    Message message = std::move(queue_.front().second);
    queue_.pop_front();
    return message;
  }

  void Clear(Time now) {
    queue_.clear();
    free_at_ = now;
  }

  // Bytes that were sent so far, also those that were lost.
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

 private:
  double rate_;
  Time free_at_;
  std::uint64_t bytes_ = 0;
  std::deque<std::pair<Time, Message>> queue_;
};

// A gateway at the end of a thin link, and replicas that hold the same plans:
// each is the leader of a cell of one.
class ThinLink {
 public:
  explicit ThinLink(std::size_t replicas = 3, double rate = kThinLinkRate)
      : client_(SeedsOf(replicas), 0), down_(rate), up_(rate) {
    for (std::size_t i = 0; i < replicas; ++i) {
      ControlOptions options;
      options.raft.self = {IdOf(i), 1};
      options.raft.configured_ids = {IdOf(i)};
      replicas_.push_back(
          std::make_unique<ControlCore>(options, RestoredLog{}, now_));
    }
    RunUntil([&] {
      return std::all_of(replicas_.begin(), replicas_.end(),
                         [&](const auto& replica) {
                           return replica->raft().HoldsLease(now_);
                         });
    });
    is_gateway_on_ = true;
    connect_at_ = now_ + kConnectTime;
    switches_ = 0;
  }

  // Puts a plan in force on all replicas.
  void Install(const ServicePlan& plan) {
    LoggedCommand command;
    command.command = InstallPlan{plan};
    for (const auto& replica : replicas_) {
      replica->Submit(now_, kGraphStart, 1, command);
    }
    Step();
  }

  template <typename Condition>
  void RunUntil(const Condition& condition,
                Duration limit = std::chrono::seconds(60)) {
    const Time end = now_ + limit;
    while (now_ < end && !condition()) {
      Step();
    }
  }

  void Run(Duration span) {
    RunUntil([] { return false; }, span);
  }

  // Runs until the gateway holds a version. Returns how long that took.
  Duration AwaitPlan(std::uint64_t version) {
    const Time start = now_;
    RunUntil([&] { return held_version_ >= version; });
    CPPUNIT_ASSERT_MESSAGE("the plan has not arrived",
                           held_version_ >= version);
    return now_ - start;
  }

  // Breaks the connection, which loses what is on its way.
  void Reset() {
    Disconnect(client_.link().current());
    connect_at_ = now_ + kConnectTime;
  }

  // The replica that the gateway has selected sends and receives nothing from
  // now on, and its connection stays open.
  void FreezeSelected() { frozen_ = client_.link().current(); }

  // How often the gateway has turned to another replica.
  [[nodiscard]] int switches() const { return switches_; }
  [[nodiscard]] std::uint64_t held_version() const { return held_version_; }
  [[nodiscard]] const std::optional<ServicePlan>& plan() const { return plan_; }
  // Calls of the gateway that were answered.
  [[nodiscard]] std::size_t answers() const { return answers_; }
  [[nodiscard]] std::uint64_t bytes_down() const { return down_.bytes(); }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] CellClient& client() { return client_; }

 private:
  static std::string IdOf(std::size_t i) {
    return "10.0.0." + std::to_string(i + 1) + ":7";
  }
  static std::vector<std::string> SeedsOf(std::size_t replicas) {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < replicas; ++i) {
      seeds.push_back(IdOf(i));
    }
    return seeds;
  }

  ControlCore& ReplicaAt(const std::string& id) {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      if (IdOf(i) == id) {
        return *replicas_[i];
      }
    }
    throw std::out_of_range(id);
  }

  void Disconnect(const std::string& id) {
    if (connected_ != id) {
      return;
    }
    ReplicaAt(id).OnPeerDisconnected(now_, kGatewayId);
    client_.OnDown(now_, id);
    connected_.clear();
    down_.Clear(now_);
    up_.Clear(now_);
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      replicas_[i]->Tick(now_, kGraphStart);
      CollectReplica(i);
    }
    if (is_gateway_on_) {
      StepGateway();
    }
  }

  void CollectReplica(std::size_t i) {
    ControlOutputs out = replicas_[i]->TakeOutputs(now_, kGraphStart);
    while (!out.persists.empty() || !out.messages.empty()) {
      for (const PersistBatch& batch : out.persists) {
        replicas_[i]->OnPersisted(now_, batch.seq);
      }
      for (Outbound& outbound : out.messages) {
        if (outbound.to == kGatewayId && connected_ == IdOf(i) &&
            frozen_ != IdOf(i)) {
          down_.Push(now_, std::move(outbound.message));
        }
      }
      out = replicas_[i]->TakeOutputs(now_, kGraphStart);
    }
  }

  void StepGateway() {
    if (connected_.empty() && connect_at_ <= now_ &&
        client_.link().current() != frozen_) {
      connected_ = client_.link().current();
      client_.OnUp(now_, connected_);
    }
    while (auto message = down_.Pop(now_)) {
      client_.Receive(now_, *message);
    }
    client_.Tick(now_);
    CellClientOutputs out = client_.TakeOutputs();
    for (Message& message : out.to_control) {
      if (!connected_.empty()) {
        up_.Push(now_, std::move(message));
      }
    }
    answers_ += out.answers.size();
    if (out.plan) {
      held_version_ = out.plan->version;
      plan_ = std::move(out.plan);
    }
    if (out.drop) {
      ++switches_;
      Disconnect(*out.drop);
      connect_at_ = now_ + kConnectTime;
    }
    while (auto message = up_.Pop(now_)) {
      if (connected_ != frozen_) {
        ReplicaAt(connected_)
            .Receive(now_, kGraphStart, {kGatewayId, 1}, *message);
      }
    }
  }

  Time now_ = Time(std::chrono::seconds(50));
  std::vector<std::unique_ptr<ControlCore>> replicas_;
  CellClient client_;
  Pipe down_;
  Pipe up_;
  bool is_gateway_on_ = false;
  std::string connected_;
  std::string frozen_;
  Time connect_at_;
  int switches_ = 0;
  std::size_t answers_ = 0;
  std::uint64_t held_version_ = 0;
  std::optional<ServicePlan> plan_;
};

// Guards against a gateway that leaves a replica while the replica sends it a
// large plan, and starts again from the first byte at the next one.
void LargePlanArrivesFromOneReplica() {
  ThinLink link;
  link.Install(PlanWithRoutes(1, 1800));
  link.Run(kPlanBound);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, link.held_version());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1802}, link.plan()->queues.size());
  CPPUNIT_ASSERT_EQUAL(0, link.switches());
}

// Guards against a second copy of a plan that is on its way.
void PlanIsSentOnce() {
  ThinLink link;
  link.Run(Millis(1000));
  const ServicePlan plan = PlanWithRoutes(1, 1800);
  const std::uint64_t before = link.bytes_down();
  link.Install(plan);
  link.Run(std::chrono::seconds(10));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, link.held_version());
  const std::uint64_t size = Encode(Message(PlanUpdate{plan})).size();
  CPPUNIT_ASSERT(link.bytes_down() - before < size);
}

// Guards against a small change that waits behind copies of a large plan.
void SmallChangeAfterLargePlanArrivesInTime() {
  ThinLink link;
  link.Install(PlanWithRoutes(1, 350));
  link.Run(std::chrono::seconds(3));
  link.Install(PlanWithRoutes(2, 750));
  CPPUNIT_ASSERT(link.AwaitPlan(2) <= kPlanBound);
  link.Install(PlanWithRoutes(3, 749));
  CPPUNIT_ASSERT(link.AwaitPlan(3) <= kPlanBound);
  CPPUNIT_ASSERT_EQUAL(0, link.switches());
}

// Guards against transfers that are given up for each newer version, so that
// none arrives while changes go on.
void ChangesInQuickSuccessionArrive() {
  constexpr std::uint64_t kChanges = 40;
  ThinLink link;
  link.Install(PlanWithRoutes(1, 1800));
  CPPUNIT_ASSERT(link.AwaitPlan(1) <= kPlanBound);
  std::map<std::uint64_t, Time> installed_at;
  for (std::uint64_t version = 2; version <= kChanges; ++version) {
    link.Install(PlanWithRoutes(version, 1800));
    installed_at[version] = link.now();
    link.Run(Millis(150));
    const auto missing = installed_at.upper_bound(link.held_version());
    if (missing != installed_at.end()) {
      CPPUNIT_ASSERT(link.now() - missing->second <= kPlanBound);
    }
  }
  CPPUNIT_ASSERT(link.AwaitPlan(kChanges) <= kPlanBound);
  CPPUNIT_ASSERT_EQUAL(0, link.switches());
}

// Guards against transfers that a lost connection sets back to their start.
void TransferGoesOnAfterLostConnection() {
  ThinLink link;
  link.Install(PlanWithRoutes(1, 1800));
  const Time start = link.now();
  // Each connection lasts for less than the transfer takes.
  while (link.held_version() == 0 &&
         link.now() - start < std::chrono::seconds(20)) {
    link.Run(Millis(200));
    link.Reset();
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, link.held_version());
}

// Guards against a transfer that hides a dead replica.
void FrozenReplicaIsLeftDuringTransfer() {
  ThinLink link;
  link.Install(PlanWithRoutes(1, 5000));
  link.Run(Millis(200));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.held_version());
  link.FreezeSelected();
  // A heartbeat and the timeout of its answer, after what is on its way.
  link.RunUntil([&] { return link.switches() > 0; },
                Millis(500) + Millis(800) + Millis(200));
  CPPUNIT_ASSERT_EQUAL(1, link.switches());
  CPPUNIT_ASSERT(link.AwaitPlan(1) <= kPlanBound);
}

// Guards against a transfer that an offer of the replica before holds up: what
// it asks for goes nowhere.
void LateOfferOfFormerReplicaIsHarmless() {
  CellClient client({"10.0.0.1:7", "10.0.0.2:7"}, 0);
  Time now(std::chrono::seconds(50));
  client.OnUp(now, "10.0.0.1:7");
  client.OnDown(now, "10.0.0.1:7");
  client.Receive(now, PlanOffer{3});
  static_cast<void>(client.TakeOutputs());
  now += Millis(100);
  client.OnUp(now, "10.0.0.2:7");
  client.Receive(now, PlanOffer{3});
  const CellClientOutputs out = client.TakeOutputs();
  CPPUNIT_ASSERT(std::any_of(
      out.to_control.begin(), out.to_control.end(), [](const Message& message) {
        return std::holds_alternative<PlanRequest>(message);
      }));
}

// Sends a client a part of a plan each 50 ms, and answers its heartbeats, if at
// all, as a replica whose leader is gone. Returns whether the client stays.
bool StaysWhilePartsArrive(bool has_answers) {
  constexpr Duration kInterval = Millis(50);
  constexpr std::uint64_t kSize = 1 << 20;
  CellClient client({"10.0.0.1:7", "10.0.0.2:7"}, 0);
  const Time start(std::chrono::seconds(50));
  client.OnUp(start, "10.0.0.1:7");
  client.Receive(start, PlanOffer{3});
  std::uint64_t offset = 0;
  for (Time now = start; now < start + Millis(3000); now += kInterval) {
    client.Receive(now, PlanPart{3, kSize, 0, offset++, "x"});
    client.Tick(now);
    for (const Message& message : client.TakeOutputs().to_control) {
      if (has_answers && std::holds_alternative<EntryStatus>(message)) {
        client.Receive(now, EntryStatusAck{0, false});
      }
    }
  }
  return client.link().current() == "10.0.0.1:7";
}

// Guards against a replica that is left while an answer waits behind parts.
void ArrivingPartsKeepTheReplica() {
  CPPUNIT_ASSERT(StaysWhilePartsArrive(false));
}

// Guards against parts that keep a gateway with a replica without a leader.
void ArrivingPartsDoNotKeepAReplicaWithoutLeader() {
  CPPUNIT_ASSERT(!StaysWhilePartsArrive(true));
}

// Guards against calls that wait behind a plan.
void CallsAreAnsweredDuringTransfer() {
  ThinLink link;
  link.Run(Millis(1000));
  link.Install(PlanWithRoutes(1, 5000));
  link.Run(Millis(50));
  CellQuery query;
  query.kind = CellQueryKind::kPlanVersion;
  link.client().Open(link.now(), 7, query, link.now() + Millis(900));
  link.Run(Millis(150));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, link.answers());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.held_version());
}

// Returns the number of routes of the largest plan that is accepted.
std::size_t MostRoutes() {
  std::size_t accepted = 1;
  std::size_t refused = 50000;
  while (refused - accepted > 100) {
    const std::size_t routes = (accepted + refused) / 2;
    (ValidatePlanSize(PlanWithRoutes(1, routes)) ? refused : accepted) = routes;
  }
  return accepted;
}

// Guards against plans that are acknowledged and can't be in force in time,
// also right after another one of that size.
void LargestAcceptedPlanArrivesInTime() {
  const std::size_t routes = MostRoutes();
  CPPUNIT_ASSERT(ValidatePlanSize(PlanWithRoutes(1, routes + 100)).has_value());
  ThinLink link;
  link.Install(PlanWithRoutes(1, routes));
  link.Run(Millis(200));
  link.Install(PlanWithRoutes(2, routes));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.held_version());
  CPPUNIT_ASSERT(link.AwaitPlan(2) <= kPlanBound);
  CPPUNIT_ASSERT_EQUAL(routes + 2, link.plan()->queues.size());
  CPPUNIT_ASSERT_EQUAL(0, link.switches());
}

}  // namespace

Section PlanTransferStory() {
  Section story("A plan on a link of 2 Mbit/s");
  story
      .With(Section("with 1,800 routes")
                .Then("arrives within the bound from one replica",
                      LargePlanArrivesFromOneReplica)
                .Then("is sent once", PlanIsSentOnce)
                .Then("leaves room for calls", CallsAreAnsweredDuringTransfer))
      .With(Section("with as many routes as are accepted")
                .Then("arrives within the bound, behind another one",
                      LargestAcceptedPlanArrivesInTime))
      .With(Section("under changes")
                .Then("is followed by a small change in time",
                      SmallChangeAfterLargePlanArrivesInTime)
                .Then("arrives while changes go on",
                      ChangesInQuickSuccessionArrive))
      .With(Section("under faults")
                .Then("goes on after a lost connection",
                      TransferGoesOnAfterLostConnection)
                .Then("keeps the gateway with its replica while parts arrive",
                      ArrivingPartsKeepTheReplica)
                .Then("does not keep it with a replica without a leader",
                      ArrivingPartsDoNotKeepAReplicaWithoutLeader)
                .Then("is not held up by a late offer of the replica before",
                      LateOfferOfFormerReplicaIsHarmless)
                .Then("does not hide a frozen replica",
                      FrozenReplicaIsLeftDuringTransfer));
  return story;
}

}  // namespace banyan
