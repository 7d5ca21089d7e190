// banyan-bench BINARIES [--only routing|batch|path|capacity|placement|restart]
//              [--csv FILE]

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "tests/bench/bench.h"

namespace banyan {

void Figures::Add(Figure figure) {
  std::printf("%-22s %-12s seed %lu  %-34s %12.3f %s\n", figure.stream.c_str(),
              figure.policy.c_str(), figure.seed, figure.name.c_str(),
              figure.value, figure.unit.c_str());
  std::fflush(stdout);
  figures_.push_back(std::move(figure));
}

void Figures::WriteCsv(const std::string& path) const {
  std::ofstream file(path);
  file << "stream,policy,seed,name,value,unit\n";
  for (const Figure& figure : figures_) {
    file << figure.stream << "," << figure.policy << "," << figure.seed << ","
         << figure.name << "," << figure.value << "," << figure.unit << "\n";
  }
}

double QuantileOf(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
  return samples[static_cast<std::size_t>(rank)];
}

}  // namespace banyan

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  std::string only;
  std::string csv;
  for (std::size_t i = 1; i + 1 < words.size(); i += 2) {
    (words[i] == "--only" ? only : csv) = words[i + 1];
  }
  if (words.empty()) {
    std::cerr << "usage: banyan-bench BINARIES "
                 "[--only routing|batch|path|capacity|placement|restart] "
                 "[--csv FILE]\n";
    return 64;
  }
  banyan::Figures figures;
  if (only.empty() || only == "routing") {
    banyan::RunRoutingStreams(figures);
  }
  if (only.empty() || only == "batch") {
    banyan::RunBatchStreams(figures);
  }
  if (only.empty() || only == "path") {
    banyan::RunPath(figures, words[0]);
  }
  if (only.empty() || only == "capacity") {
    banyan::RunCapacity(figures);
  }
  if (only.empty() || only == "placement") {
    banyan::RunPlacementPass(figures);
  }
  if (only.empty() || only == "restart") {
    banyan::RunRestart(figures);
  }
  if (!csv.empty()) {
    figures.WriteCsv(csv);
  }
  return 0;
}
