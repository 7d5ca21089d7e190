#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "banyan/net/http.h"
#include "banyan/process/pending.h"
#include "platform/http_apis.h"
#include "tests/support/free_address.h"
#include "tests/support/graph_samples.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// How long an operator waits for the response to an order.
constexpr Duration kOperatorTimeout = Millis(1000);
// The deadline that the requests name.
constexpr Duration kClientDeadline = Millis(1000);
constexpr Duration kPollInterval = Millis(2);
constexpr Duration kNetworkDelay = Millis(50);
constexpr Duration kExchangeTimeout = Millis(5000);
// The smallest number of threads of a server.
constexpr int kThreads = 2;

// A control cell that commits every command at once. Thread-safe.
class InstantCell {
 public:
  InstantCell() { table_.Apply(InstallPlan{SamplePlan()}, kGraphStart); }

  CommandResult Call(const CellCall& call) {
    const std::lock_guard lock(mutex_);
    if (const auto* query = std::get_if<CellQuery>(&call)) {
      return Answer(*query);
    }
    return std::visit(
        [&](const auto& body) {
          if constexpr (requires { table_.Apply(body, kGraphStart); }) {
            return table_.Apply(body, kGraphStart).result;
          } else {
            return CommandResult{};
          }
        },
        std::get<Command>(call));
  }

  [[nodiscard]] bool IsEvacuated(const std::string& data_centre) const {
    const std::lock_guard lock(mutex_);
    return table_.evacuated().contains(data_centre);
  }
  [[nodiscard]] bool HasGraph(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return table_.FindGraph(id) != nullptr;
  }
  [[nodiscard]] ServicePlan plan() const {
    const std::lock_guard lock(mutex_);
    return table_.plan();
  }

 private:
  [[nodiscard]] CommandResult Answer(const CellQuery& query) const {
    CommandResult result;
    result.ok = true;
    result.version = table_.plan().version;
    if (query.kind == CellQueryKind::kEvacuations) {
      result.version = table_.evacuation_changes();
    }
    return result;
  }

  mutable std::mutex mutex_;
  GraphTable table_;
};

// A server of both APIs whose threads a test can keep busy, so that later
// requests wait in their sockets.
class BusyServer {
 public:
  BusyServer() : address_(FreeAddress()) {
    Reason reason;
    CPPUNIT_ASSERT(server_.Start(
        address_, {kThreads, 1 << 20},
        [this](const HttpCall& call) { return Serve(call); }, reason));
  }
  ~BusyServer() {
    Release();
    server_.Stop();
  }
  BusyServer(const BusyServer&) = delete;
  BusyServer& operator=(const BusyServer&) = delete;

  // Keeps the threads busy until they are released.
  void Occupy() {
    for (int i = 0; i < kThreads; ++i) {
      callers_.emplace_back([this] {
        HttpClient client(address_);
        HttpCall call;
        call.method = "GET";
        call.path = "/occupy";
        static_cast<void>(client.Exchange(
            call, "", MonotonicClock::now() + kExchangeTimeout));
      });
    }
    while (occupied_count_ < kThreads) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Lets the threads serve what has arrived meanwhile, and waits until they
  // have.
  void Release() {
    must_hold_ = false;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
    const Time deadline = MonotonicClock::now() + kExchangeTimeout;
    while (server_.active() > 0 && MonotonicClock::now() < deadline) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  // Sends a request on a connection of its own.
  [[nodiscard]] Poco::Net::StreamSocket Send(const std::string& method,
                                             const std::string& path,
                                             const std::string& body = "") {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address_)};
    socket.setReceiveTimeout(Poco::Timespan(kExchangeTimeout.count()));
    const std::string bytes =
        method + " " + path +
        " HTTP/1.1\r\nHost: a.example\r\nBanyanchute-Deadline-Ms: 1000\r\n"
        "Connection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return socket;
  }

  [[nodiscard]] InstantCell& cell() { return cell_; }

 private:
  HttpReply Serve(const HttpCall& call) {
    if (call.path == "/occupy") {
      ++occupied_count_;
      while (must_hold_) {
        std::this_thread::sleep_for(kPollInterval);
      }
      return JsonReply();
    }
    const CellCallFunction call_cell = [this](const CellCall& cell_call,
                                              Time /*deadline*/) {
      return cell_.Call(cell_call);
    };
    if (auto reply = platform::ServeOperators(call, call_cell)) {
      return *std::move(reply);
    }
    const ServicePlan plan = cell_.plan();
    return platform::ServeQueues(call, call_cell, &plan);
  }

  InstantCell cell_;
  std::string address_;
  std::atomic<int> occupied_count_{0};
  std::atomic<bool> must_hold_{true};
  std::vector<std::thread> callers_;
  HttpServer server_;
};

// Returns the body of a job of one task.
std::string JobBody() {
  return R"({"spec":"s","steps":[{"count":1,"cpu":1000,"mem-mb":256}]})";
}

// Returns the status of the response on a connection; 0 if there is none.
int StatusOf(Poco::Net::StreamSocket& socket) {
  constexpr std::size_t kStatusAt = 9;
  std::string line(64, '\0');
  const int size =
      socket.receiveBytes(line.data(), static_cast<int>(line.size()));
  return size < static_cast<int>(kStatusAt) ? 0
                                            : std::stoi(line.substr(kStatusAt));
}

void OrderIsCarriedOutWhileItsCallerWaits() {
  BusyServer server;
  server.Occupy();
  Poco::Net::StreamSocket caller = server.Send("POST", "/evacuations/dc-a");
  std::this_thread::sleep_for(kNetworkDelay);
  server.Release();
  CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller));
  CPPUNIT_ASSERT(server.cell().IsEvacuated("dc-a"));
}

// Guards against an evacuation that is undone by an order whose caller has sent
// it to another instance since.
void OrderOfCallerThatClosedIsNotCarriedOut() {
  BusyServer server;
  server.cell().Call(Command(SetEvacuated{"dc-a", true}));
  server.Occupy();
  Poco::Net::StreamSocket caller = server.Send("DELETE", "/evacuations/dc-a");
  std::this_thread::sleep_for(kNetworkDelay);
  caller.close();
  std::this_thread::sleep_for(kNetworkDelay);
  server.Release();
  CPPUNIT_ASSERT(server.cell().IsEvacuated("dc-a"));
}

// Guards against the same order when the end of its connection was lost.
void OrderThatWaitedTooLongIsNotCarriedOut() {
  BusyServer server;
  server.cell().Call(Command(SetEvacuated{"dc-a", true}));
  server.Occupy();
  Poco::Net::StreamSocket caller = server.Send("DELETE", "/evacuations/dc-a");
  std::this_thread::sleep_for(kOperatorTimeout + kNetworkDelay);
  server.Release();
  CPPUNIT_ASSERT_EQUAL(503, StatusOf(caller));
  CPPUNIT_ASSERT(server.cell().IsEvacuated("dc-a"));
}

void JobIsAcceptedWhileItsCallerWaits() {
  BusyServer server;
  server.Occupy();
  Poco::Net::StreamSocket caller =
      server.Send("POST", "/quick/00000000000000a1", JobBody());
  std::this_thread::sleep_for(kNetworkDelay);
  server.Release();
  CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller));
  CPPUNIT_ASSERT(server.cell().HasGraph("00000000000000a1"));
}

// Guards against a job that an entry hands in seconds after its client has
// given up, when the entry was frozen meanwhile.
void JobIsNotHandedInAfterItsDeadline() {
  BusyServer server;
  server.Occupy();
  Poco::Net::StreamSocket caller =
      server.Send("POST", "/quick/00000000000000a1", JobBody());
  std::this_thread::sleep_for(kClientDeadline + kNetworkDelay);
  server.Release();
  CPPUNIT_ASSERT_EQUAL(503, StatusOf(caller));
  CPPUNIT_ASSERT(!server.cell().HasGraph("00000000000000a1"));
}

// Guards against "unknown" for a request that did not run: in a process that
// was frozen past the deadline, the waiting thread ran before the one that had
// "not run" ready.
void AnswerAfterAFreezeIsWaitedFor() {
  PendingResponses<int> pending;
  auto [ticket, response] = pending.Open();
  std::thread core([&pending, ticket = ticket] {
    std::this_thread::sleep_for(Millis(20));
    pending.Resolve(ticket, 7);
  });
  const Time over = MonotonicClock::now() - Millis(900);
  const bool is_answered = WaitForResponse(response, over, kExchangeTimeout);
  core.join();
  CPPUNIT_ASSERT(is_answered);
  CPPUNIT_ASSERT_EQUAL(7, response.get());
  auto [lost, never] = pending.Open();
  CPPUNIT_ASSERT_MESSAGE("without an answer the wait ends",
                         !WaitForResponse(never, over, Millis(5)));
  pending.Abandon(lost);
}

}  // namespace

Section LateCallStory() {
  Section story("A request that is read late");
  story
      .With(Section("an order on the evacuation of a data centre")
                .Then("is carried out while its caller waits",
                      OrderIsCarriedOutWhileItsCallerWaits)
                .Then("is dropped when its caller has closed the connection",
                      OrderOfCallerThatClosedIsNotCarriedOut)
                .Then("is dropped when it arrived longer ago than its caller "
                      "waits",
                      OrderThatWaitedTooLongIsNotCarriedOut))
      .With(Section("a job")
                .Then("is accepted while its client waits",
                      JobIsAcceptedWhileItsCallerWaits)
                .Then("is not handed in after its client's deadline",
                      JobIsNotHandedInAfterItsDeadline))
      .With(Section("a request to a process that was frozen")
                .Then("gets the answer that is ready soon after",
                      AnswerAfterAFreezeIsWaitedFor));
  return story;
}

}  // namespace banyan
