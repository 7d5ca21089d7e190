#ifndef BANYAN_TESTS_BENCH_BENCH_H_
#define BANYAN_TESTS_BENCH_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// One measured figure, as it is printed and written to CSV.
struct Figure {
  std::string stream;
  std::string policy;
  std::uint64_t seed = 0;
  std::string name;
  double value = 0;
  std::string unit;
};

// Collects figures and prints each.
class Figures {
 public:
  void Add(Figure figure);
  void WriteCsv(const std::string& path) const;

 private:
  std::vector<Figure> figures_;
};

// Returns the value at a share of the sorted samples; 0 without any.
[[nodiscard]] double QuantileOf(std::vector<double> samples, double share);

// The streams; each adds its figures.
void RunRoutingStreams(Figures& figures);
void RunBatchStreams(Figures& figures);
void RunPath(Figures& figures, const std::string& binaries);
void RunCapacity(Figures& figures);
void RunPlacementPass(Figures& figures);
void RunRestart(Figures& figures);

}  // namespace banyan

#endif  // BANYAN_TESTS_BENCH_BENCH_H_
