#include <cstdlib>
#include <iostream>

#include "banyan/process/program.h"
#include "tests/fakes/fake_endpoint.h"

// fake-endpoint ID IP:PORT DELAY_MS
int main(int argc, char** argv) {
  constexpr int kWords = 4;
  if (argc != kWords) {
    std::cerr << "usage: fake-endpoint ID IP:PORT DELAY_MS\n";
    return 64;
  }
  constexpr int kThreads = 80;
  constexpr std::int64_t kMaxBody = 1 << 22;
  banyan::StopSignal stop;
  banyan::FakeEndpoint endpoint(argv[1], std::atoll(argv[3]));
  banyan::HttpServer server;
  banyan::Reason reason;
  if (!server.Start(
          argv[2], {kThreads, kMaxBody},
          [&](const banyan::HttpCall& call) { return endpoint.Serve(call); },
          reason)) {
    std::cerr << ToString(reason) << "\n";
    return 1;
  }
  stop.Wait();
  server.Stop();
  return 0;
}
