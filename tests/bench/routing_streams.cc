// Streams of requests through one entry's router and the guards of ten
// executors, under virtual time.
//
// What the fakes assume: an executor runs a request in 4 ms to 12 ms, evenly
// spread. A noisy wave makes an executor five times slower; waves come to three
// executors at a time for 1.5 s each. Two entries share the executors.

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "banyan/agent/endpoint_guard.h"
#include "banyan/routing/router_core.h"
#include "tests/bench/bench.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr int kExecutors = 10;
constexpr int kSlots = 8;
constexpr int kConnections = 60;
constexpr int kEntries = 2;
constexpr Duration kHop = Duration(500);
constexpr Duration kLength = seconds(30);
constexpr Duration kBudget = seconds(1);
constexpr double kNoiseFactor = 5;
constexpr Time kStart{seconds(1000)};

// What a stream does to the executors.
struct StreamShape {
  const char* name;
  // Requests a second, as a share of what the executors can run.
  double load = 0.6;
  bool has_noise = false;
  // From the tenth second the load is this many times as high for 8 s.
  double backlog = 1;
  // Data centre dc-b is out from the 10th to the 18th second.
  bool has_outage = false;
};

struct Outcome {
  std::vector<double> latencies_ms;
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t extra = 0;
  std::vector<double> after_outage_ms;
  std::uint64_t ran_in_outage = 0;
  std::uint64_t sent_in_outage = 0;
  // The longest that a refusal was held back.
  double slowest_refusal_ms = 0;
};

template <typename Router>
class RoutingStream {
 public:
  RoutingStream(StreamShape shape, std::uint64_t seed)
      : shape_(shape), random_(seed) {
    for (int i = 0; i < kExecutors; ++i) {
      guards_.emplace_back(EndpointLimits{kSlots, kConnections});
    }
    EndpointTable table;
    table.version = 1;
    for (int i = 0; i < kExecutors; ++i) {
      InstanceInfo info;
      info.id = std::to_string(i);
      info.incarnation = 1;
      info.service = "booking";
      info.data_centre = DataCentreOf(i);
      info.slots = kSlots;
      info.connections = kConnections;
      table.changed.push_back(info);
    }
    for (int e = 0; e < kEntries; ++e) {
      routers_.push_back(std::make_unique<Router>(
          RouterOptions{.data_centre = DataCentreOf(e), .seed = seed + e},
          kStart));
      routers_[e]->ControlUp(kStart);
      routers_[e]->Receive(kStart, 0, {"control", 1}, table);
      for (int i = 0; i < kExecutors; ++i) {
        routers_[e]->AgentUp({std::to_string(i), 1});
      }
    }
  }

  Outcome Run() {
    Arrive();
    Tick();
    if (shape_.has_noise) {
      Wave();
    }
    if (shape_.has_outage) {
      At(seconds(10), [this] { SetOut({"dc-b"}); });
      At(seconds(18), [this] { SetOut({}); });
    }
    while (!actions_.empty() && actions_.top().at < kStart + kLength) {
      Action action = std::move(const_cast<Action&>(actions_.top()));
      actions_.pop();
      now_ = action.at;
      action.run();
    }
    for (const auto& router : routers_) {
      outcome_.extra += router->counters().retries + router->counters().hedges;
    }
    return outcome_;
  }

 private:
  struct Action {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator>(const Action& a, const Action& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  static std::string DataCentreOf(int i) {
    return std::string("dc-") + static_cast<char>('a' + i % 3);
  }

  void At(Duration delay, std::function<void()> run) {
    actions_.push({now_ + delay, order_++, std::move(run)});
  }

  void SetOut(std::vector<std::string> out) {
    ConfigUpdate update;
    update.version = ++config_version_;
    update.out = std::move(out);
    for (auto& router : routers_) {
      router->Receive(now_, 0, {"control", 1}, update);
    }
  }

  [[nodiscard]] bool IsOutage() const {
    return shape_.has_outage && now_ >= kStart + seconds(10) &&
           now_ < kStart + seconds(18);
  }

  void Arrive() {
    constexpr double kMeanServiceSeconds = 0.008;
    double rate = shape_.load * kExecutors * kSlots / kMeanServiceSeconds;
    const Duration since = now_ - kStart;
    if (since > seconds(10) && since < seconds(18)) {
      rate *= shape_.backlog;
    }
    const double gap = -std::log(1 - random_.NextDouble()) / rate;
    At(Duration(static_cast<std::int64_t>(gap * 1e6)), [this] { Arrive(); });
    const std::uint64_t ticket = ++ticket_;
    sent_at_[ticket] = now_;
    ++outcome_.sent;
    outcome_.sent_in_outage += IsOutage() ? 1 : 0;
    CallerRequest request;
    request.ticket = ticket;
    request.service = "booking";
    request.method = "POST";
    request.path = "/x";
    request.is_idempotent = true;
    request.deadline = now_ + kBudget;
    const auto entry = ticket % kEntries;
    routers_[entry]->Request(now_, 0, request);
    FlushRouter(entry);
  }

  void Tick() {
    At(Millis(5), [this] { Tick(); });
    for (std::size_t e = 0; e < routers_.size(); ++e) {
      routers_[e]->Tick(now_, 0);
      FlushRouter(e);
    }
    for (std::size_t i = 0; i < guards_.size(); ++i) {
      guards_[i].Tick(now_);
      FlushGuard(i);
    }
  }

  void Wave() {
    noisy_.clear();
    for (int i = 0; i < 3; ++i) {
      noisy_.insert(random_.NextBelow(kExecutors));
    }
    At(Millis(1500), [this] { Wave(); });
  }

  void FlushRouter(std::size_t entry) {
    RouterOutputs out = routers_[entry]->TakeOutputs();
    for (Outbound& outbound : out.messages) {
      const std::size_t guard = std::stoul(outbound.to);
      At(kHop, [this, guard, entry, message = std::move(outbound.message)] {
        const Sender from{std::to_string(entry), 1};
        if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
          guards_[guard].OnDispatch(now_, from, *dispatch, 1, std::nullopt);
        } else if (const auto* cancel = std::get_if<CancelDispatch>(&message)) {
          guards_[guard].OnCancel(from, *cancel);
        }
        FlushGuard(guard);
      });
    }
    for (const CallerAnswer& answer : out.answers) {
      Note(answer);
    }
  }

  void FlushGuard(std::size_t guard) {
    EndpointGuard::Outputs out = guards_[guard].TakeOutputs();
    for (const EndpointCall& call : out.calls) {
      double micros = 4000 + random_.NextDouble() * 8000;
      micros *= noisy_.contains(guard) ? kNoiseFactor : 1;
      EndpointReply answer;
      answer.id = call.id;
      answer.outcome = RequestOutcome::kRan;
      At(Duration(static_cast<std::int64_t>(micros)), [this, guard, answer] {
        guards_[guard].OnReply(now_, answer);
        FlushGuard(guard);
      });
    }
    for (Outbound& outbound : out.messages) {
      const std::size_t entry = std::stoul(outbound.to);
      At(kHop, [this, entry, message = std::move(outbound.message)] {
        routers_[entry]->Receive(now_, 0, {"agent", 1}, message);
        FlushRouter(entry);
      });
    }
  }

  void Note(const CallerAnswer& answer) {
    const double ms = std::chrono::duration<double, std::milli>(
                          now_ - sent_at_[answer.ticket])
                          .count();
    sent_at_.erase(answer.ticket);
    if (answer.outcome == RequestOutcome::kRan) {
      ++outcome_.ran;
      outcome_.ran_in_outage += IsOutage() ? 1 : 0;
      outcome_.latencies_ms.push_back(ms);
      if (now_ > kStart + seconds(23)) {
        outcome_.after_outage_ms.push_back(ms);
      }
    } else if (answer.outcome == RequestOutcome::kNotRun) {
      ++outcome_.not_run;
      outcome_.slowest_refusal_ms = std::max(outcome_.slowest_refusal_ms, ms);
    } else {
      ++outcome_.unknown;
    }
  }

  StreamShape shape_;
  Random random_;
  Time now_ = kStart;
  std::uint64_t order_ = 0;
  std::uint64_t ticket_ = 0;
  std::uint64_t config_version_ = 1;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::vector<EndpointGuard> guards_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::set<std::size_t> noisy_;
  std::map<std::uint64_t, Time> sent_at_;
  Outcome outcome_;
};

template <typename Router>
void RunOne(Figures& figures,
            const StreamShape& shape,
            const char* policy,
            std::uint64_t seed) {
  const Outcome outcome = RoutingStream<Router>(shape, seed).Run();
  const auto add = [&](const char* name, double value, const char* unit) {
    figures.Add({shape.name, policy, seed, name, value, unit});
  };
  const auto sent = static_cast<double>(outcome.sent);
  add("p50", QuantileOf(outcome.latencies_ms, 0.5), "ms");
  add("p99", QuantileOf(outcome.latencies_ms, 0.99), "ms");
  add("ran", 100 * static_cast<double>(outcome.ran) / sent, "%");
  add("not-run", 100 * static_cast<double>(outcome.not_run) / sent, "%");
  add("unknown", 100 * static_cast<double>(outcome.unknown) / sent, "%");
  add("extra attempts", 100 * static_cast<double>(outcome.extra) / sent, "%");
  if (shape.has_outage) {
    add("ran while dc-b was out",
        100 * static_cast<double>(outcome.ran_in_outage) /
            static_cast<double>(outcome.sent_in_outage),
        "%");
    add("p99 from 5 s after its return",
        QuantileOf(outcome.after_outage_ms, 0.99), "ms");
  }
}

}  // namespace

void RunRoutingStreams(Figures& figures) {
  const StreamShape shapes[] = {
      {.name = "steady", .load = 0.6},
      {.name = "noisy waves", .load = 0.5, .has_noise = true},
      {.name = "Monday backlog", .load = 0.6, .backlog = 2.5},
      {.name = "data centre out", .load = 0.45, .has_outage = true},
  };
  for (const StreamShape& shape : shapes) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      RunOne<RouterCore>(figures, shape, "product", seed);
      RunOne<BasicRouterCore<RandomRouting>>(figures, shape, "random", seed);
      RunOne<BasicRouterCore<RoundRobinRouting>>(figures, shape, "round-robin",
                                                 seed);
    }
  }
}

}  // namespace banyan
