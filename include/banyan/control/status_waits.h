#ifndef BANYAN_CONTROL_STATUS_WAITS_H_
#define BANYAN_CONTROL_STATUS_WAITS_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/graph_table.h"

namespace banyan {

// Whether a graph ends when its active runs do: it has no long-running step,
// and each of its tasks is done or running.
[[nodiscard]] bool IsEnding(const Graph& graph);

// What became of the reads that waited.
struct StatusWaitCounters {
  // Answered since their graph had ended.
  std::uint64_t ended = 0;
  // Answered at their deadline.
  std::uint64_t timed_out = 0;
};

// Reads of the states of graphs that are about to end. Callers read the state
// when the last task ends, which is tens of milliseconds before the end is
// committed; answered at once, they would learn of it with their next read.
// Soft state of the leader; a `Reader` is what it needs to answer.
template <std::movable Reader>
class StatusWaits {
 public:
  // Maximum number of reads that wait at a time; bounds the memory.
  static constexpr std::size_t kMaxReads = 1024;

  // A read that is due, with its graph.
  struct DueRead {
    std::string graph;
    Reader reader;
  };

  // A read waits no longer than `longest_wait`; with zero, none waits.
  explicit StatusWaits(Duration longest_wait) : longest_wait_(longest_wait) {}

  // Whether a read of the graph's state waits.
  [[nodiscard]] bool MayWait(const Graph& graph) const {
    return longest_wait_ > Duration::zero() && reads_.size() < kMaxReads &&
           IsEnding(graph);
  }

  // Adds a read, which is due when its graph has ended or at its deadline.
  void Add(Time now, std::string graph, Reader reader) {
    reads_.push_back(
        {now + longest_wait_, {std::move(graph), std::move(reader)}});
  }

  // Removes and returns the reads that are due, in the order of their arrival.
  [[nodiscard]] std::vector<DueRead> TakeDue(Time now,
                                             const GraphTable& table) {
    return TakeIf([&](const WaitingRead& read) {
      const Graph* graph = table.FindGraph(read.due.graph);
      const bool has_ended = graph == nullptr || IsFinal(graph->state);
      const bool is_over = !has_ended && read.deadline <= now;
      counters_.ended += has_ended ? 1 : 0;
      counters_.timed_out += is_over ? 1 : 0;
      return has_ended || is_over;
    });
  }

  // Removes and returns all reads.
  [[nodiscard]] std::vector<DueRead> TakeAll() {
    return TakeIf([](const WaitingRead&) { return true; });
  }

  [[nodiscard]] std::size_t size() const noexcept { return reads_.size(); }
  [[nodiscard]] const StatusWaitCounters& counters() const noexcept {
    return counters_;
  }

 private:
  struct WaitingRead {
    Time deadline;
    DueRead due;
  };

  template <std::predicate<const WaitingRead&> Predicate>
  [[nodiscard]] std::vector<DueRead> TakeIf(const Predicate& is_due) {
    const auto first_due = std::stable_partition(
        reads_.begin(), reads_.end(),
        [&](const WaitingRead& read) { return !is_due(read); });
    std::vector<DueRead> due;
    for (auto read = first_due; read != reads_.end(); ++read) {
      due.push_back(std::move(read->due));
    }
    reads_.erase(first_due, reads_.end());
    return due;
  }

  Duration longest_wait_;
  StatusWaitCounters counters_;
  std::vector<WaitingRead> reads_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_STATUS_WAITS_H_
