#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "banyan/net/http.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// How long a caller may wait for the end of a connection whose request is not
// read.
constexpr Duration kMaxUnreadWait = Millis(200);
constexpr Duration kHandlerDelay = Millis(40);
constexpr Duration kExchangeTimeout = Millis(5000);

// Returns a loopback address that nothing listens on.
std::string FreeAddress() {
  const Poco::Net::ServerSocket socket{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  return socket.address().toString();
}

HttpCall CallOf(std::string path) {
  HttpCall call;
  call.method = "GET";
  call.path = std::move(path);
  return call;
}

// A server that notes the path of each request that it has read.
class NotingServer {
 public:
  explicit NotingServer(int threads) : address_(FreeAddress()) {
    Reason reason;
    CPPUNIT_ASSERT(server_.Start(
        address_, {threads, 1 << 20},
        [this](const HttpCall& call) {
          {
            const std::lock_guard lock(mutex_);
            read_paths_.insert(call.path);
          }
          std::this_thread::sleep_for(kHandlerDelay);
          return JsonReply();
        },
        reason));
  }

  [[nodiscard]] bool HasRead(const std::string& path) const {
    const std::lock_guard lock(mutex_);
    return read_paths_.contains(path);
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  [[nodiscard]] HttpServer& server() { return server_; }

 private:
  std::string address_;
  mutable std::mutex mutex_;
  std::set<std::string> read_paths_;
  HttpServer server_;
};

// A request with what its caller saw.
struct Observation {
  std::string path;
  HttpExchange exchange;
  Duration took;
};

Observation Observe(HttpClient& client, const std::string& path) {
  Observation seen;
  seen.path = path;
  const Time start = MonotonicClock::now();
  seen.exchange = client.Exchange(CallOf(path), "", start + kExchangeTimeout);
  seen.took = MonotonicClock::now() - start;
  return seen;
}

void CheckNotLost(const NotingServer& server, const Observation& seen) {
  if (seen.exchange.outcome == RequestOutcome::kRan) {
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(seen.path + " was read and, after " +
                             std::to_string(ToMillis(seen.took)) +
                             " ms, got no whole answer: " + seen.exchange.text,
                         !server.HasRead(seen.path));
  CPPUNIT_ASSERT_MESSAGE(
      seen.path + " was not read, and its connection stayed open for " +
          std::to_string(ToMillis(seen.took)) + " ms",
      seen.took <= kMaxUnreadWait);
}

// Guards against connections that are aborted between the reading of a request
// and its answer.
void AnswersEachRequestThatItHasRead() {
  constexpr int kCallers = 4;
  NotingServer server(2 * kCallers);
  std::vector<std::vector<Observation>> seen(kCallers);
  std::atomic<bool> has_stopped = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      HttpClient client(server.address());
      for (int i = 0; !has_stopped; ++i) {
        seen[caller].push_back(Observe(
            client, "/" + std::to_string(caller) + "/" + std::to_string(i)));
      }
    });
  }
  std::this_thread::sleep_for(Millis(300));
  server.server().Stop();
  has_stopped = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::vector<Observation>& of_caller : seen) {
    CPPUNIT_ASSERT(of_caller.front().exchange.outcome == RequestOutcome::kRan);
    for (const Observation& observation : of_caller) {
      CheckNotLost(server, observation);
    }
  }
}

// Guards against connections that are closed because no thread was free to read
// them: idle keep-alive connections occupy all threads.
void AnswersRequestThatWaitsForThread() {
  constexpr int kThreads = 2;
  NotingServer server(kThreads);
  std::vector<std::unique_ptr<HttpClient>> idle_clients;
  for (int i = 0; i < kThreads; ++i) {
    idle_clients.push_back(std::make_unique<HttpClient>(server.address()));
    CPPUNIT_ASSERT(Observe(*idle_clients.back(), "/idle").exchange.outcome ==
                   RequestOutcome::kRan);
  }
  Observation seen;
  std::thread caller([&] {
    HttpClient client(server.address());
    seen = Observe(client, "/waits");
  });
  std::this_thread::sleep_for(Millis(100));
  server.server().Stop();
  caller.join();
  CPPUNIT_ASSERT_MESSAGE(seen.exchange.text,
                         seen.exchange.outcome == RequestOutcome::kRan);
}

// Guards against a stop that waits for callers that have nothing to send.
void ClosesIdleConnections() {
  NotingServer server(4);
  HttpClient client(server.address());
  CPPUNIT_ASSERT(Observe(client, "/idle").exchange.outcome ==
                 RequestOutcome::kRan);
  const Time start = MonotonicClock::now();
  server.server().Stop();
  CPPUNIT_ASSERT(MonotonicClock::now() - start < Millis(1000));
}

}  // namespace

Section HttpServerStory() {
  Section story("HTTP server");
  story.With(
      Section("that stops")
          .With(Section("while callers send on open connections")
                    .Then("answers each request that it has read",
                          AnswersEachRequestThatItHasRead))
          .With(Section("while all its threads are occupied")
                    .Then("answers a request that waits for a thread",
                          AnswersRequestThatWaitsForThread))
          .With(Section("while its callers are idle")
                    .Then("closes their connections", ClosesIdleConnections)));
  return story;
}

}  // namespace banyan
