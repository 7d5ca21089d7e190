#ifndef BANYAN_TESTS_SOAK_RUN_HISTORY_H_
#define BANYAN_TESTS_SOAK_RUN_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// A run as its worker saw it.
struct ObservedRun {
  std::string task;
  std::int64_t number = 0;
  std::string worker;
  Time started_at;
  std::optional<Time> ended_at;
  // Why it ended, as the worker lists it.
  std::string ending;
  // Whether the end was acknowledged, and whether the worker's lease ran out
  // before that.
  bool is_acknowledged = false;
  bool has_lapsed = false;
};

// What all workers of a soak ran. Thread-safe.
class RunHistory {
 public:
  // Adds a run that starts now. Returns its index.
  [[nodiscard]] std::size_t Start(std::string task,
                                  std::int64_t number,
                                  std::string worker);
  void End(std::size_t index, std::string ending);
  void Acknowledge(std::size_t index);
  // The lease ran out between the end and its acknowledgement.
  void Lapse(std::size_t index);

  [[nodiscard]] std::size_t size() const;
  // Returns a line for each run of a task that began while another one was
  // active, or after an end as done that was acknowledged under a lease.
  [[nodiscard]] std::vector<std::string> FindRunsTwice() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ObservedRun> runs_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_RUN_HISTORY_H_
