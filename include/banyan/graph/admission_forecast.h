#ifndef BANYAN_GRAPH_ADMISSION_FORECAST_H_
#define BANYAN_GRAPH_ADMISSION_FORECAST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/graph/graph_table.h"
#include "banyan/graph/worker_view.h"
#include "banyan/settings/scheduling_policy.h"
#include "banyan/wire/command.h"

namespace banyan {

// Forecasts which submissions can't end in time behind the backlog of their
// pool. All of its state is soft: a new leader refuses nothing until it has
// measured the rate of a pool for kMinRateSpan.
class AdmissionForecast {
 public:
  // Minimum time under load over which a pool's rate is measured.
  static constexpr Duration kMinRateSpan = std::chrono::seconds(5);
  // Maximum time over which a pool's rate is measured.
  static constexpr Duration kMaxRateSpan = std::chrono::seconds(10);

  explicit AdmissionForecast(const SchedulingPolicy& policy)
      : policy_(policy) {}

  // Discards everything that was learned in an earlier leadership.
  void Reset(Time now);

  // Records which pools have tasks that wait. Logs how often the forecast was
  // wrong, at most every 10 s.
  void Observe(Time now, const GraphTable& table, Events& events);

  // Records the work of the runs that a command ended and the graphs that it
  // accepted or ended.
  void OnApplied(Time now, const GraphTable& table, const Command& command);

  // Returns the refusal of a submission that can't end within three times its
  // objective, with the time after which it could be served; empty if it is
  // admitted.
  [[nodiscard]] std::optional<CommandResult> Check(Time now,
                                                   WallMillis wall,
                                                   const GraphTable& table,
                                                   const SubmitGraph& submit,
                                                   Events& events);

 private:
  // Work in milliseconds of a thousandth of a processor, by declared run times.
  struct DoneWork {
    Time at;
    std::int64_t work = 0;
  };
  struct PoolLoad {
    // Since when the pool has had tasks that wait; empty if it has none.
    std::optional<Time> waiting_since;
    std::deque<DoneWork> done;
  };
  struct Refusal {
    WallMillis at = 0;
    // When the graph would have had to end.
    WallMillis limit = 0;
  };
  struct Counts {
    std::int64_t failed = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t refused_in_vain = 0;
  };

  // Returns the work that a pool has done per millisecond while tasks waited;
  // empty if it was not under load for long enough.
  [[nodiscard]] std::optional<double> RateOf(Time now,
                                             const std::string& service) const;
  // Compares a graph's end with the forecast at its admission.
  void OnGraphEnd(const Graph& graph);

  SchedulingPolicy policy_;
  Time reported_at_;
  std::map<std::string, PoolLoad> pools_;
  // Ids that were admitted and are not yet in the table. A refusal of one of
  // them would be wrong, as its earlier submission will be accepted.
  std::set<std::string> proposed_;
  // Graphs accepted in this leadership that have not ended.
  std::set<std::string> accepted_;
  // Recent refusals, oldest first, by queue.
  std::map<std::string, std::deque<Refusal>> refusals_;
  Counts counts_;
};

// Returns the index of the first step that fits on no worker of the queue's
// service; empty if there is none, or if the service has no workers, as the
// capacity of future workers is unknown.
[[nodiscard]] std::optional<std::size_t> FindOversizedStep(
    const GraphTable& table,
    const std::map<std::string, GraphWorkerView>& views,
    const QueueSpec& queue,
    const GraphSpec& spec);

}  // namespace banyan

#endif  // BANYAN_GRAPH_ADMISSION_FORECAST_H_
