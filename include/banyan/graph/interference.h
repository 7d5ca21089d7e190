#ifndef BANYAN_GRAPH_INTERFERENCE_H_
#define BANYAN_GRAPH_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <utility>

namespace banyan {

// A task that fills beside one that serves, and the share at which it works.
struct FillingNeighbour {
  std::string image;
  // 0 to 1.
  double share = 1;
};

// How much tasks that fill slow tasks that serve down, learned for each pair
// of images from the tail latencies that workers report. Latencies are in
// parts of the serving task's target.
class InterferenceModel {
 public:
  // Learns from the latency of a task that serves beside these neighbours.
  void Observe(const std::string& serving,
               double latency,
               std::span<const FillingNeighbour> neighbours);

  // Returns the latency to expect.
  [[nodiscard]] double Predict(
      const std::string& serving,
      std::span<const FillingNeighbour> neighbours) const;

  // Returns what one neighbour at its full share adds to the latency.
  [[nodiscard]] double PressureOf(const std::string& serving,
                                  const std::string& filling) const;

 private:
  // Latency without neighbours, by image.
  std::map<std::string, double> base_;
  std::map<std::pair<std::string, std::string>, double> pressure_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INTERFERENCE_H_
