#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "banyan/net/http.h"
#include "tests/support/free_address.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

// How long a caller may wait for the end of a connection whose request is not
// read.
constexpr Duration kMaxUnreadWait = Millis(200);
constexpr Duration kHandlerDelay = Millis(40);
constexpr Duration kExchangeTimeout = Millis(5000);

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

// Sends bytes on a new connection.
Poco::Net::StreamSocket SendBytes(const std::string& address,
                                  const std::string& bytes) {
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(kExchangeTimeout.count()));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  return socket;
}

// Receives what the server sends until it closes the connection.
std::string ReceiveAll(Poco::Net::StreamSocket& socket) {
  std::string received;
  std::string chunk(4096, '\0');
  int size = 0;
  while ((size = socket.receiveBytes(chunk.data(),
                                     static_cast<int>(chunk.size()))) > 0) {
    received.append(chunk, 0, static_cast<std::size_t>(size));
  }
  return received;
}

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

// Guards against a connection that stays open after its last answer, on which a
// caller would send a request that is never read.
void SaysThatConnectionEnds() {
  NotingServer server(4);
  Poco::Net::StreamSocket socket =
      SendBytes(server.address(), "GET /last HTTP/1.1\r\nHost: a\r\n\r\n");
  while (!server.HasRead("/last")) {
    std::this_thread::sleep_for(Millis(1));
  }
  server.server().Stop();
  const std::string received = ReceiveAll(socket);
  CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200"));
  CPPUNIT_ASSERT_MESSAGE(
      received, received.find("Connection: Close") != std::string::npos);
}

// Guards against a stop that waits for the rest of a request beyond its
// deadline.
void DropsHalfSentRequest() {
  constexpr Duration kStopTimeout = Millis(300);
  NotingServer server(4);
  Poco::Net::StreamSocket socket =
      SendBytes(server.address(), "GET /half HTTP/1.1\r\nHost:");
  std::this_thread::sleep_for(Millis(100));
  const Time start = MonotonicClock::now();
  CPPUNIT_ASSERT(server.server().Stop(start + kStopTimeout));
  CPPUNIT_ASSERT(MonotonicClock::now() - start < Millis(1500));
  CPPUNIT_ASSERT(!server.HasRead("/half"));
}

// Guards against a stop that outlasts its deadline because of one request, and
// that then passes for a clean one.
void AbortsRequestsAtDeadline() {
  constexpr Duration kStopTimeout = Millis(300);
  constexpr Duration kLongDelay = Millis(1000);
  HttpServer server;
  const std::string address = FreeAddress();
  Reason reason;
  std::atomic<bool> is_read = false;
  CPPUNIT_ASSERT(server.Start(
      address, {},
      [&](const HttpCall& /*call*/) {
        is_read = true;
        std::this_thread::sleep_for(kLongDelay);
        return JsonReply();
      },
      reason));
  Observation seen;
  std::thread caller([&] {
    HttpClient client(address);
    seen = Observe(client, "/long");
  });
  while (!is_read) {
    std::this_thread::sleep_for(Millis(1));
  }
  const bool was_clean = server.Stop(MonotonicClock::now() + kStopTimeout);
  caller.join();
  CPPUNIT_ASSERT(!was_clean);
  CPPUNIT_ASSERT(seen.exchange.outcome == RequestOutcome::kUnknown);
  CPPUNIT_ASSERT(seen.took < kLongDelay);
}

// Guards against connections that are closed without an answer because of what
// a caller sent.
void AnswersBytesThatAreNoRequest() {
  NotingServer server(4);
  const std::string overlong_method(64, 'A');
  Poco::Net::StreamSocket socket =
      SendBytes(server.address(), overlong_method + " / HTTP/1.1\r\n\r\n");
  const std::string received = ReceiveAll(socket);
  CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400"));
}

// Guards against requests on one connection that are mixed up or left unread.
void AnswersRequestsThatComeTogether() {
  NotingServer server(4);
  Poco::Net::StreamSocket socket =
      SendBytes(server.address(),
                "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /second HTTP/1.1\r\nHost: a\r\n"
                "Connection: close\r\n\r\n");
  const std::string received = ReceiveAll(socket);
  const std::size_t first = received.find("HTTP/1.1 200");
  CPPUNIT_ASSERT_MESSAGE(received, first == 0);
  CPPUNIT_ASSERT_MESSAGE(received,
                         received.find("HTTP/1.1 200", 1) != std::string::npos);
  CPPUNIT_ASSERT(server.HasRead("/first") && server.HasRead("/second"));
}

}  // namespace

Section HttpServerStory() {
  Section story("HTTP server");
  story
      .With(Section("on one connection")
                .Then("answers requests that come together",
                      AnswersRequestsThatComeTogether)
                .Then("answers bytes that are no request",
                      AnswersBytesThatAreNoRequest))
      .With(
          Section("that stops")
              .With(Section("while callers send on open connections")
                        .Then("answers each request that it has read",
                              AnswersEachRequestThatItHasRead)
                        .Then("says that the connection ends",
                              SaysThatConnectionEnds))
              .With(Section("while all its threads are occupied")
                        .Then("answers a request that waits for a thread",
                              AnswersRequestThatWaitsForThread))
              .With(
                  Section("while its callers are idle")
                      .Then("closes their connections", ClosesIdleConnections))
              .With(Section("at its deadline")
                        .Then("drops a half-sent request", DropsHalfSentRequest)
                        .Then("aborts requests and says so",
                              AbortsRequestsAtDeadline)));
  return story;
}

}  // namespace banyan
