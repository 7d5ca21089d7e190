#ifndef BANYAN_TESTS_SUPPORT_LONG_RUNNING_LOAD_H_
#define BANYAN_TESTS_SUPPORT_LONG_RUNNING_LOAD_H_

#include <cstdint>
#include <string>

#include "banyan/base/random.h"
#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Declared run time of best-effort tasks that outlast every world.
inline constexpr std::int64_t kHourMs = 3600LL * 1000;
// Longest run of the other ones.
inline constexpr std::int64_t kMaxBestEffortRunMs = 20000;

// Draws a graph of one long-running step of 1 to 4 tasks. Some are
// latency-sensitive, some best-effort, some limited to one task a worker, and
// some require the label "a" or "b".
[[nodiscard]] SubmitGraph DrawLongRunningGraph(Random& random,
                                               const std::string& id);

// Draws a graph of one best-effort step that runs up to kMaxBestEffortRunMs or,
// if `is_endless`, kHourMs.
[[nodiscard]] SubmitGraph DrawBestEffortGraph(Random& random,
                                              const std::string& id,
                                              bool is_endless);

// Returns what all tasks of a graph need together.
[[nodiscard]] Resources TotalNeeds(const SubmitGraph& graph);

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_LONG_RUNNING_LOAD_H_
