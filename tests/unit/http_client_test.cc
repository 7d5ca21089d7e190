#include <chrono>
#include <thread>

#include "banyan/net/http.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr const char* kAddress = "127.0.0.1:27391";
constexpr Span kSilence = Millis(1500);

// A server that answers "/quick" at once and anything else after a silence.
void Serve(HttpServer& server) {
  Reason reason;
  CPPUNIT_ASSERT(server.Start(
      kAddress, {},
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

}  // namespace

Section HttpClientStory() {
  Section story("The HTTP client");
  story.With(Section("beside a server that goes silent")
                 .Then("gives up at its deadline", GivesUpAtItsDeadline));
  return story;
}

}  // namespace banyan
