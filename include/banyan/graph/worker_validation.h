#ifndef BANYAN_GRAPH_WORKER_VALIDATION_H_
#define BANYAN_GRAPH_WORKER_VALIDATION_H_

#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/time.h"
#include "banyan/graph/run_call.h"

namespace banyan {

// How far in the future the start of a worker may be. The wall clocks of the
// machines may jump by seconds, as the platform specifies.
inline constexpr Duration kMaxClockError = std::chrono::minutes(10);

// Returns why a worker's report is invalid at a wall time; empty when it is
// valid.
[[nodiscard]] std::optional<std::string> ValidateReport(
    const WorkerReport& report,
    WallMillis now);

// Returns why a run can't be one that was placed; empty when it can.
[[nodiscard]] std::optional<std::string> ValidateRun(const RunRef& run);

// Returns whether the text is a host and a port from 1 to 65535.
[[nodiscard]] bool IsHostAndPort(std::string_view text);

}  // namespace banyan

#endif  // BANYAN_GRAPH_WORKER_VALIDATION_H_
