#include <cstdlib>

#include "tests/fakes/fake_endpoint.h"
#include "tests/fakes/serve.h"

// fake-endpoint ID IP:PORT DELAY_MS
int main(int argc, char** argv) {
  constexpr int kWords = 4;
  constexpr int kThreads = 80;
  if (argc != kWords) {
    std::cerr << "usage: fake-endpoint ID IP:PORT DELAY_MS\n";
    return 64;
  }
  banyan::FakeEndpoint endpoint(argv[1], std::atoll(argv[3]));
  return banyan::ServeUntilStopped(endpoint, argv[2], kThreads);
}
