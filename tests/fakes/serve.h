#ifndef BANYAN_TESTS_FAKES_SERVE_H_
#define BANYAN_TESTS_FAKES_SERVE_H_

#include <iostream>

#include "banyan/process/program.h"

namespace banyan {

// Serves a fake on an address until a signal comes; returns the exit code.
template <typename Fake>
int ServeUntilStopped(Fake& fake, const std::string& address, int threads) {
  constexpr std::int64_t kMaxBodyBytes = 1 << 22;
  SignalWaiter stop;
  HttpServer server;
  Reason reason;
  const auto serve = [&](const HttpCall& call) { return fake.Serve(call); };
  if (!server.Start(address, {threads, kMaxBodyBytes}, serve, reason)) {
    std::cerr << ToString(reason) << "\n";
    return 1;
  }
  while (stop.Wait(std::chrono::seconds(1)) != SignalWaiter::Result::kStop) {
  }
  server.Stop();
  return 0;
}

}  // namespace banyan

#endif  // BANYAN_TESTS_FAKES_SERVE_H_
