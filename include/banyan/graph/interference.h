#ifndef BANYAN_GRAPH_INTERFERENCE_H_
#define BANYAN_GRAPH_INTERFERENCE_H_

#include <map>
#include <span>
#include <string>
#include <utility>

#include "banyan/base/time.h"

namespace banyan {

// A task that fills beside one that serves.
struct FillingNeighbour {
  std::string image;
  // What it uses, in parts of the worker's processor time.
  double load = 0;
};

// How much tasks that fill slow tasks that serve down, learned for each pair
// of images from the tail latencies that workers report. Latencies are in
// parts of the serving task's target.
//
// A serving task is taken for a queue: its latency is its latency without load
// divided by the part that is not occupied. A neighbour makes each request
// take longer, so that the occupied part grows by the neighbour's load times
// its pressure, whatever the serving task's own load is at the time. A
// pressure that was learned in a lull therefore holds in a peak.
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

  // Learns from a latency beside neighbours, with what they used in the span
  // that the latency is of.
  void Learn(double base,
             const std::string& serving,
             double latency,
             std::span<const FillingNeighbour> neighbours);

  // Returns which part of its time a task with that latency is occupied, 0 to
  // 1.
  [[nodiscard]] double OccupancyOf(const std::string& serving,
                                   double latency) const;

  // Returns by what part the neighbours are expected to raise the occupancy
  // that the load alone gives.
  [[nodiscard]] double ExpectedPressure(
      const std::string& serving,
      std::span<const FillingNeighbour> neighbours) const;

  // Whether the pair was ever seen together.
  [[nodiscard]] bool Knows(const std::string& serving,
                           const std::string& filling) const {
    return pressure_.contains({serving, filling});
  }

  // Returns the latency that the group's load alone gives.
  [[nodiscard]] double BaseOf(Time now,
                              const std::string& group,
                              const std::string& serving) const;

  // Returns the latency that the image's tasks usually have alone.
  [[nodiscard]] double UsualBase(const std::string& serving) const;

  // Returns by what part one neighbour that uses the whole worker raises the
  // occupancy.
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
  // Usual latency alone, and the least ever reported, by image.
  std::map<std::string, double> base_;
  std::map<std::string, double> floor_;
  std::map<std::pair<std::string, std::string>, double> pressure_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INTERFERENCE_H_
