// Plays soaks with one seed after the other and prints a line for each.

#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/soak/soak.h"

// banyan-soak BINARIES FOLDER FIRST-SEED COUNT SECONDS
int main(int argc, char** argv) {
  constexpr int kWords = 6;
  if (argc != kWords) {
    std::cerr
        << "usage: banyan-soak BINARIES FOLDER FIRST-SEED COUNT SECONDS\n";
    return 64;
  }
  const std::uint64_t first = std::strtoull(argv[3], nullptr, 10);
  const std::uint64_t count = std::strtoull(argv[4], nullptr, 10);
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    banyan::SoakOptions options;
    options.seed = seed;
    options.span = std::chrono::seconds(std::strtoll(argv[5], nullptr, 10));
    const banyan::SoakResult result =
        banyan::RunSoak(argv[1], argv[2], options);
    std::cout << "seed " << seed << ": " << result.faults << " faults, "
              << result.jobs << " jobs, " << result.runs << " runs, "
              << result.violations.size() << " violations" << std::endl;
    for (const std::string& line : result.violations) {
      std::cout << "  " << line << "\n";
    }
    failed += result.violations.empty() ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
