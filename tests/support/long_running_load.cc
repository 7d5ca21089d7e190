#include "tests/support/long_running_load.h"

#include "tests/support/graph_samples.h"

namespace banyan {
namespace {

bool Chance(Random& random, std::uint64_t percent) {
  return random.NextBelow(100) < percent;
}

std::int64_t UpTo(Random& random, std::uint64_t most) {
  return 1 + static_cast<std::int64_t>(random.NextBelow(most));
}

StepSpec DrawLongRunningStep(Random& random) {
  const std::int64_t count = UpTo(random, 4);
  const std::int64_t cpu_millis = 250 * UpTo(random, 4);
  const std::uint64_t kind = random.NextBelow(4);
  if (kind == 0) {
    return ServingStep(count);
  }
  if (kind == 1) {
    return BestEffortStep(count, cpu_millis);
  }
  return SampleStep(count, cpu_millis);
}

}  // namespace

SubmitGraph DrawLongRunningGraph(Random& random, const std::string& id) {
  StepSpec step = DrawLongRunningStep(random);
  step.long_running = true;
  if (Chance(random, 30)) {
    step.per_worker_limit = 1;
  }
  if (Chance(random, 30)) {
    step.required_label = Chance(random, 50) ? "a" : "b";
  }
  return SampleGraph(id, {step});
}

SubmitGraph DrawBestEffortGraph(Random& random,
                                const std::string& id,
                                bool is_endless) {
  StepSpec step = BestEffortStep(UpTo(random, 4), 500 * UpTo(random, 4));
  step.needs.memory_mib = 256 * UpTo(random, 4);
  step.estimate_ms = is_endless ? kHourMs : kMaxBestEffortRunMs / 2;
  return SampleGraph(id, {step}, "batch");
}

Resources TotalNeeds(const SubmitGraph& graph) {
  Resources total;
  for (const StepSpec& step : graph.spec.steps) {
    for (std::int64_t i = 0; i < step.count; ++i) {
      total += step.needs;
    }
  }
  return total;
}

}  // namespace banyan
