#ifndef BANYAN_GRAPH_INTERFERENCE_H_
#define BANYAN_GRAPH_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <utility>

#include "banyan/base/time.h"

namespace banyan {

// A task that fills beside one that serves, and the share at which it works.
struct FillingNeighbour {
  std::string image;
  // 0 to 1.
  double share = 1;
};

// A neighbour whose pressure is below this part of the latency that a task has
// alone counts as light.
inline constexpr double kLightPressure = 0.2;

// How much tasks that fill slow tasks that serve down, learned for each pair
// of images from the tail latencies that workers report. Latencies are in
// parts of the serving task's target, pressures in parts of the latency that
// the task would have alone.
class InterferenceModel {
 public:
  // Takes a task's latency. Tasks of one group carry the same load, so the
  // least of their latencies on different workers tells what the load alone
  // does.
  void Sample(Time now,
              const std::string& worker,
              const std::string& group,
              const std::string& serving,
              double latency,
              bool has_neighbours);

  // Learns from a latency beside neighbours; each answers for the excess over
  // what was expected by its part in `blame`, in the order of the neighbours.
  void Learn(double base,
             const std::string& serving,
             double latency,
             std::span<const FillingNeighbour> neighbours,
             std::span<const double> blame);

  // Returns by what part of the base the neighbours are expected to slow the
  // task down.
  [[nodiscard]] double ExpectedPressure(
      const std::string& serving,
      std::span<const FillingNeighbour> neighbours) const;

  // Whether the pair was ever seen together.
  [[nodiscard]] bool Knows(const std::string& serving,
                           const std::string& filling) const {
    return pressure_.contains({serving, filling});
  }

  // Whether the pair was seen together and hardly felt it.
  [[nodiscard]] bool IsKnownLight(const std::string& serving,
                                  const std::string& filling) const {
    return Knows(serving, filling) &&
           PressureOf(serving, filling) < kLightPressure;
  }

  // Returns the latency that the group's load alone gives.
  [[nodiscard]] double BaseOf(Time now,
                              const std::string& group,
                              const std::string& serving) const;

  // Returns the latency that the image's tasks usually have alone.
  [[nodiscard]] double UsualBase(const std::string& serving) const;

  // Returns by what part of the base one neighbour at its full share slows the
  // task down.
  [[nodiscard]] double PressureOf(const std::string& serving,
                                  const std::string& filling) const;

 private:
  // A latency that was reported.
  struct Report {
    Time at;
    double latency = 0;
  };

  // The last report of each group's task with the least latency, by worker.
  std::map<std::string, std::map<std::string, Report>> groups_;
  // Usual latency alone, by image.
  std::map<std::string, double> base_;
  std::map<std::pair<std::string, std::string>, double> pressure_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INTERFERENCE_H_
