#include <cstdlib>
#include <iostream>

#include "banyan/process/program.h"
#include "tests/fakes/fake_worker.h"

// fake-worker IP:PORT CPU_MILLIS MEMORY_MIB
int main(int argc, char** argv) {
  constexpr int kWords = 4;
  if (argc != kWords) {
    std::cerr << "usage: fake-worker IP:PORT CPU_MILLIS MEMORY_MIB\n";
    return 64;
  }
  constexpr int kThreads = 4;
  constexpr std::int64_t kMaxBody = 1 << 20;
  banyan::StopSignal stop;
  banyan::FakeWorker worker({std::atoll(argv[2]), std::atoll(argv[3]), 0});
  banyan::HttpServer server;
  banyan::Reason reason;
  if (!server.Start(
          argv[1], {kThreads, kMaxBody},
          [&](const banyan::HttpCall& call) { return worker.Serve(call); },
          reason)) {
    std::cerr << ToString(reason) << "\n";
    return 1;
  }
  stop.Wait();
  server.Stop();
  return 0;
}
