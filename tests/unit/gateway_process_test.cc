#include "banyan/process/gateway_process.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "tests/support/free_address.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr const char* kGatewayId = "entry-0";
// When the gateway expects no further caller, after its stop has begun.
constexpr Duration kBalancerDetectionTime = Millis(2400);
// How long a caller may wait for the end of a connection whose request is not
// read.
constexpr Duration kMaxUnreadWait = Millis(200);
constexpr Duration kDrainTimeout = Millis(5500);
constexpr Duration kExchangeTimeout = Millis(5000);

// Answers "/quick" at once, and any other path with what the cell says. Notes
// the paths that it was asked for.
class Probe {
 public:
  HttpReply Serve(const HttpCall& call, const CellCallFunction& cell) {
    {
      const std::lock_guard lock(mutex_);
      read_paths_.insert(call.path);
    }
    if (call.path == "/quick") {
      return JsonReply();
    }
    const CommandResult result =
        cell(CellQuery{}, MonotonicClock::now() + kExchangeTimeout);
    return result.ok ? JsonReply() : ErrorReply(result.error, result.text);
  }

  [[nodiscard]] bool HasRead(const std::string& path) const {
    const std::lock_guard lock(mutex_);
    return read_paths_.contains(path);
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::string> read_paths_;
};

CellSettings SettingsOf(const std::string& address) {
  CellSettings settings;
  settings.id = kGatewayId;
  settings.seeds = {FreeAddress()};
  settings.caller_address = address;
  settings.threads = 32;
  settings.drain_timeout = kDrainTimeout;
  return settings;
}

// A replica that says that its leader is live, and answers no call.
class SilentReplica {
 public:
  explicit SilentReplica(const std::string& address)
      : network_(address, 1, [](PeerEvent&& /*event*/) {}) {
    CPPUNIT_ASSERT(network_.Listen(address));
    network_.Start();
    thread_ = std::thread([this] {
      while (!must_end_) {
        network_.Send(kGatewayId, EntryStatusAck{0, true});
        std::this_thread::sleep_for(Millis(20));
      }
    });
  }
  ~SilentReplica() {
    must_end_ = true;
    thread_.join();
    network_.Stop();
  }
  SilentReplica(const SilentReplica&) = delete;
  SilentReplica& operator=(const SilentReplica&) = delete;

 private:
  PeerNetwork network_;
  std::atomic<bool> must_end_{false};
  std::thread thread_;
};

HttpExchange Send(HttpClient& client, const std::string& path) {
  HttpCall call;
  call.method = "GET";
  call.path = path;
  return client.Exchange(call, "", MonotonicClock::now() + kExchangeTimeout);
}

// Guards against requests that are read while the gateway closes its
// connections, wait for a cell that has no leader, and get no answer.
void AnswersRequestsThatComeAsItCloses() {
  constexpr int kCallers = 12;
  constexpr Duration kSendInterval = Millis(20);
  constexpr Duration kFirstSend = kBalancerDetectionTime + Millis(25);
  const std::string address = FreeAddress();
  Probe probe;
  GatewayProcess gateway(
      SettingsOf(address),
      GatewayApis{[&probe](const HttpCall& call, const CellCallFunction& cell,
                           const ServicePlan* /*plan*/) {
                    return probe.Serve(call, cell);
                  },
                  nullptr, nullptr});
  Reason reason;
  CPPUNIT_ASSERT(gateway.Start(reason));
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < kCallers; ++i) {
    clients.push_back(std::make_unique<HttpClient>(address));
    CPPUNIT_ASSERT(Send(*clients.back(), "/quick").outcome ==
                   RequestOutcome::kRan);
  }
  const Time stop_start = MonotonicClock::now();
  std::vector<HttpExchange> exchanges(kCallers);
  std::vector<Duration> took(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_until(stop_start + kFirstSend +
                                    i * kSendInterval);
      const Time start = MonotonicClock::now();
      exchanges[i] = Send(*clients[i], "/" + std::to_string(i));
      took[i] = MonotonicClock::now() - start;
    });
  }
  static_cast<void>(gateway.Stop());
  const Duration stop_took = MonotonicClock::now() - stop_start;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kCallers; ++i) {
    if (exchanges[i].outcome == RequestOutcome::kRan) {
      continue;
    }
    const std::string caller = "caller " + std::to_string(i);
    CPPUNIT_ASSERT_MESSAGE(caller + " was read and, after " +
                               std::to_string(ToMillis(took[i])) +
                               " ms, got no whole answer: " + exchanges[i].text,
                           !probe.HasRead("/" + std::to_string(i)));
    CPPUNIT_ASSERT_MESSAGE(caller +
                               " was not read, and its connection stayed open "
                               "for " +
                               std::to_string(ToMillis(took[i])) + " ms",
                           took[i] <= kMaxUnreadWait);
  }
  CPPUNIT_ASSERT(stop_took < kDrainTimeout);
}

// Guards against calls that wait for the cell beyond the drain time of the
// gateway: their callers got no answer, and the gateway outlasted its time.
void AnswersCallThatTheCellDoesNot() {
  constexpr Duration kShortDrainTimeout = Millis(2000);
  const std::string address = FreeAddress();
  CellSettings settings = SettingsOf(address);
  settings.drain_timeout = kShortDrainTimeout;
  const SilentReplica replica(settings.seeds.front());
  Probe probe;
  GatewayProcess gateway(
      settings,
      GatewayApis{[&probe](const HttpCall& call, const CellCallFunction& cell,
                           const ServicePlan* /*plan*/) {
                    return probe.Serve(call, cell);
                  },
                  nullptr, nullptr});
  Reason reason;
  CPPUNIT_ASSERT(gateway.Start(reason));
  // The gateway connects to the replica and hears of its leader.
  std::this_thread::sleep_for(Millis(500));
  HttpExchange exchange;
  std::thread caller([&] {
    HttpClient client(address);
    exchange = Send(client, "/waits");
  });
  while (!probe.HasRead("/waits")) {
    std::this_thread::sleep_for(Millis(1));
  }
  const Time stop_start = MonotonicClock::now();
  const bool was_clean = gateway.Stop();
  const Duration stop_took = MonotonicClock::now() - stop_start;
  caller.join();
  CPPUNIT_ASSERT_MESSAGE(exchange.text,
                         exchange.outcome == RequestOutcome::kRan);
  CPPUNIT_ASSERT_EQUAL(503, exchange.reply.status);
  CPPUNIT_ASSERT(!exchange.reply.Field("Retry-After").empty());
  CPPUNIT_ASSERT(was_clean);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(stop_took)) + " ms",
                         stop_took > Millis(1000));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(stop_took)) + " ms",
                         stop_took < kShortDrainTimeout);
}

// A gateway for operators, whose documents are at "/document".
class Relay {
 public:
  Relay() { settings_.control_address = address_; }

  void Start() {
    Reason reason;
    gateway_ = std::make_unique<GatewayProcess>(
        settings_,
        GatewayApis{
            nullptr,
            [](const HttpCall& /*call*/, const CellCallFunction& /*cell*/) {
              return std::optional(JsonReply("{\"served\":true}"));
            },
            [](const HttpCall& call) { return call.path == "/document"; }});
    CPPUNIT_ASSERT(gateway_->Start(reason));
  }

  void AddSeed(const std::string& seed) { settings_.seeds.push_back(seed); }
  [[nodiscard]] std::string replica() const { return settings_.seeds.front(); }
  [[nodiscard]] std::string port() const {
    return address_.substr(address_.rfind(':'));
  }

  HttpReply Get(const std::string& path) {
    HttpExchange exchange = Send(client_, path);
    CPPUNIT_ASSERT_MESSAGE(exchange.text,
                           exchange.outcome == RequestOutcome::kRan);
    return std::move(exchange.reply);
  }

 private:
  const std::string address_ = FreeAddress();
  CellSettings settings_ = SettingsOf("");
  HttpClient client_{address_};
  std::unique_ptr<GatewayProcess> gateway_;
};

// Guards against documents that cross a link that can't carry them in time.
void SendsCallersOfDocumentsToTheReplica() {
  Relay relay;
  const SilentReplica replica(relay.replica());
  relay.Start();
  HttpReply reply;
  const Time end = MonotonicClock::now() + kExchangeTimeout;
  while (reply.status != kTemporaryRedirect && MonotonicClock::now() < end) {
    reply = relay.Get("/document?page=2");
  }
  CPPUNIT_ASSERT_EQUAL(kTemporaryRedirect, reply.status);
  const std::string host =
      relay.replica().substr(0, relay.replica().rfind(':'));
  CPPUNIT_ASSERT_EQUAL("http://" + host + relay.port() + "/document?page=2",
                       std::string(reply.Field("Location")));
  CPPUNIT_ASSERT_EQUAL(200, relay.Get("/order").status);
}

// Guards against callers that are sent to a replica that hasn't answered, while
// the answer of the one before it still counts.
void SendsNoCallerToTheNextReplicaBeforeItAnswers() {
  Relay relay;
  auto replica = std::make_unique<SilentReplica>(relay.replica());
  relay.AddSeed(FreeAddress());
  relay.Start();
  HttpReply reply;
  const Time end = MonotonicClock::now() + kExchangeTimeout;
  while (reply.status != kTemporaryRedirect && MonotonicClock::now() < end) {
    reply = relay.Get("/document");
  }
  CPPUNIT_ASSERT_EQUAL(kTemporaryRedirect, reply.status);
  replica.reset();
  // The gateway reads that its connection was lost.
  std::this_thread::sleep_for(Millis(200));
  CPPUNIT_ASSERT_EQUAL(503, relay.Get("/document").status);
}

// Guards against documents that cross a link that can't carry them in time, and
// callers that wait for a cell that can't be reached.
void RefusesDocumentsWithoutAReplica() {
  Relay relay;
  relay.Start();
  const Time start = MonotonicClock::now();
  const HttpReply reply = relay.Get("/document");
  CPPUNIT_ASSERT_EQUAL(503, reply.status);
  CPPUNIT_ASSERT(!reply.Field("Retry-After").empty());
  CPPUNIT_ASSERT(MonotonicClock::now() - start < Millis(200));
}

}  // namespace

Section GatewayProcessStory() {
  Section story("Gateway");
  story.With(Section("for operators")
                 .Then("sends callers of documents to its replica",
                       SendsCallersOfDocumentsToTheReplica)
                 .Then("sends none to a replica that has not answered yet",
                       SendsNoCallerToTheNextReplicaBeforeItAnswers)
                 .Then("refuses them at once while it knows no current replica",
                       RefusesDocumentsWithoutAReplica));
  story.With(
      Section("that stops")
          .With(Section("while the cell has no leader")
                    .Then("answers the requests that come as it closes",
                          AnswersRequestsThatComeAsItCloses))
          .With(Section("while the cell is silent")
                    .Then("answers a call that waits, within its drain time",
                          AnswersCallThatTheCellDoesNot)));
  return story;
}

}  // namespace banyan
