#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "banyan/net/http.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr const char* kAddress = "127.0.0.1:27391";
constexpr Duration kSilence = Millis(1500);

// A server that answers "/quick" at once and anything else after a silence.
void Serve(HttpServer& server, HttpServer::Limits limits = {}) {
  Reason reason;
  CPPUNIT_ASSERT(server.Start(
      kAddress, limits,
      [](const HttpCall& call) {
        if (call.path != "/quick") {
          std::this_thread::sleep_for(kSilence);
        }
        return HttpReply{200, "application/json", "{}", {}};
      },
      reason));
}

void GivesUpAtItsDeadline() {
  HttpServer server;
  Serve(server);
  HttpClient client(kAddress);
  HttpCall call;
  call.method = "GET";
  call.path = "/quick";
  // The first exchange opens the connection that the second one waits on.
  CPPUNIT_ASSERT(
      client.Exchange(call, "", MonotonicClock::now() + Millis(1000)).outcome ==
      RequestOutcome::kRan);
  call.path = "/silent";
  const Time start = MonotonicClock::now();
  const HttpExchange exchange = client.Exchange(call, "", start + Millis(200));
  CPPUNIT_ASSERT(exchange.outcome == RequestOutcome::kUnknown);
  CPPUNIT_ASSERT(MonotonicClock::now() - start < kSilence);
}

void CountsRequestsThatWaitForAThread() {
  // The pattern of a planned stop: idle connections hold all threads while a
  // new caller's request waits unread; to end now would cut it.
  constexpr int kThreads = 2;
  HttpServer server;
  Serve(server, {kThreads, 1 << 20});
  HttpCall call;
  call.method = "GET";
  call.path = "/quick";
  std::vector<std::unique_ptr<HttpClient>> idle;
  for (int i = 0; i < kThreads; ++i) {
    idle.push_back(std::make_unique<HttpClient>(kAddress));
    CPPUNIT_ASSERT(
        idle.back()
            ->Exchange(call, "", MonotonicClock::now() + Millis(1000))
            .outcome == RequestOutcome::kRan);
  }
  CPPUNIT_ASSERT_EQUAL(0, server.active());
  std::thread waiting([&] {
    HttpClient client(kAddress);
    static_cast<void>(
        client.Exchange(call, "", MonotonicClock::now() + Millis(600)));
  });
  std::this_thread::sleep_for(Millis(200));
  const int active = server.active();
  waiting.join();
  CPPUNIT_ASSERT_EQUAL(1, active);
}

}  // namespace

Section HttpClientStory() {
  Section story("HTTP");
  story
      .With(Section("a client beside a server that goes silent")
                .Then("gives up at its deadline", GivesUpAtItsDeadline))
      .With(Section("a server whose threads are all held")
                .Then("counts requests that wait for one",
                      CountsRequestsThatWaitForAThread));
  return story;
}

}  // namespace banyan
