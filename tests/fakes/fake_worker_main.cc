#include <cstdlib>

#include "tests/fakes/fake_worker.h"
#include "tests/fakes/serve.h"

// fake-worker IP:PORT CPU_MILLIS MEMORY_MIB
int main(int argc, char** argv) {
  constexpr int kWords = 4;
  constexpr int kThreads = 4;
  if (argc != kWords) {
    std::cerr << "usage: fake-worker IP:PORT CPU_MILLIS MEMORY_MIB\n";
    return 64;
  }
  banyan::FakeWorker worker({std::atoll(argv[2]), std::atoll(argv[3]), 0});
  return banyan::ServeUntilStopped(worker, argv[1], kThreads);
}
