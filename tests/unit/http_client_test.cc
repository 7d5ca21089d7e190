#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "banyan/net/http.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr const char* kAddress = "127.0.0.1:27391";
constexpr Duration kServerDelay = Millis(1500);

// Starts a server that answers "/quick" at once and any other path after
// kServerDelay.
void StartServer(HttpServer& server, HttpServer::Limits limits = {}) {
  Reason reason;
  CPPUNIT_ASSERT(server.Start(
      kAddress, limits,
      [](const HttpCall& call) {
        if (call.path != "/quick") {
          std::this_thread::sleep_for(kServerDelay);
        }
        return HttpReply{200, "application/json", "{}", {}};
      },
      reason));
}

void TimesOutAtDeadline() {
  HttpServer server;
  StartServer(server);
  HttpClient client(kAddress);
  HttpCall call;
  call.method = "GET";
  call.path = "/quick";
  // The first request opens the connection, so that the second one, which times
  // out, reuses it.
  CPPUNIT_ASSERT(
      client.Exchange(call, "", MonotonicClock::now() + Millis(1000)).outcome ==
      RequestOutcome::kRan);
  call.path = "/silent";
  const Time start = MonotonicClock::now();
  const HttpExchange exchange = client.Exchange(call, "", start + Millis(200));
  CPPUNIT_ASSERT(exchange.outcome == RequestOutcome::kUnknown);
  CPPUNIT_ASSERT(MonotonicClock::now() - start < kServerDelay);
}

void CountsRequestsWaitingForThread() {
  // Guards against a planned stop that ends the server while a request is still
  // unread: idle keep-alive connections occupy all threads, so the connection
  // of the new caller waits in the queue.
  constexpr int kThreads = 2;
  HttpServer server;
  StartServer(server, {kThreads, 1 << 20});
  HttpCall call;
  call.method = "GET";
  call.path = "/quick";
  std::vector<std::unique_ptr<HttpClient>> idle_clients;
  for (int i = 0; i < kThreads; ++i) {
    idle_clients.push_back(std::make_unique<HttpClient>(kAddress));
    CPPUNIT_ASSERT(
        idle_clients.back()
            ->Exchange(call, "", MonotonicClock::now() + Millis(1000))
            .outcome == RequestOutcome::kRan);
  }
  CPPUNIT_ASSERT_EQUAL(0, server.active());
  std::thread waiting_client([&] {
    HttpClient client(kAddress);
    static_cast<void>(
        client.Exchange(call, "", MonotonicClock::now() + Millis(600)));
  });
  std::this_thread::sleep_for(Millis(200));
  const int active = server.active();
  waiting_client.join();
  CPPUNIT_ASSERT_EQUAL(1, active);
}

}  // namespace

Section HttpClientStory() {
  Section story("HTTP");
  story
      .With(Section("a client of a server that stops responding")
                .Then("times out at its deadline", TimesOutAtDeadline))
      .With(Section("a server whose threads are all occupied")
                .Then("counts requests that wait for a thread",
                      CountsRequestsWaitingForThread));
  return story;
}

}  // namespace banyan
