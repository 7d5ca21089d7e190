#ifndef BANYAN_CONTROL_LOAD_TABLE_H_
#define BANYAN_CONTROL_LOAD_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/control/control_state.h"
#include "banyan/wire/message.h"

namespace banyan {

// Load of one instance as estimated by the leader from heartbeats, which lag
// behind the actual load.
struct InstanceLoad {
  std::uint64_t incarnation = 0;
  // Time from which the leader treats the instance's lease as expired.
  Time lease_deadline;
  std::uint64_t config_version = 0;
  std::int64_t cpu_percent = 0;
  // Whether the removal of the instance was proposed.
  bool is_removing = false;
  // CPU usage of the latency-sensitive services, without batch tasks, in
  // percent of the worker's capacity.
  double service_percent = 0;
  // Recent peak of `service_percent`, decaying with each report.
  double service_peak_percent = 0;
  // Moving average of the CPU used by batch tasks, relative to their requests.
  double batch_ratio = 1;
  // Reports above the pressure threshold since the last one well below it or
  // the last action against pressure.
  int reports_above = 0;
  // Reports well below the pressure threshold since the last one above it or
  // the last change of the batch share.
  int reports_below = 0;
  // Earliest time of the next eviction caused by pressure.
  Time next_eviction;
  // Consecutive reports of a slow service on this worker.
  int slow_reports = 0;
  // CPU share granted to each batch task on this worker, in percent; 100 if
  // they are not throttled.
  std::int64_t batch_share_percent = 100;
};

// Estimated interference: the slowdown of each service by the kind of
// co-located batch jobs. 1 means no slowdown.
class InterferenceTable {
 public:
  // Adds one sample: the latency of the service, as a multiple of its baseline,
  // while jobs of these kinds were co-located with it.
  void AddSample(const std::string& service,
                 const std::set<std::string>& kinds,
                 double slowdown);

  // Returns the expected slowdown; 1 for a pair without samples.
  [[nodiscard]] double ExpectedSlowdown(const std::string& service,
                                        const std::string& kind) const;

 private:
  std::map<std::pair<std::string, std::string>, double> slowdown_;
};

// Baseline latency of each service, over all of its endpoints.
class ServiceBaseline {
 public:
  // Adds a latency sample in microseconds. Returns its ratio to the baseline
  // before the update.
  double Observe(const std::string& service, std::int64_t latency_us);

 private:
  std::map<std::string, double> baseline_us_;
};

// Distinguishes faulty workers from faulty jobs by their failures. Soft state
// of the leader; not replicated.
class FailureTracker {
 public:
  // Records a failed attempt and starts the job's back-off. Returns whether the
  // failure made the worker suspected.
  bool RecordFailure(Time now,
                     const std::string& worker,
                     const std::string& job,
                     const std::vector<std::string>& previously_failed_on);

  // Records a successful attempt; clears the failures of the worker.
  void RecordSuccess(const std::string& worker);

  // Returns whether the worker is excluded from placement.
  [[nodiscard]] bool IsSuspected(Time now, const std::string& worker) const;

  // Returns whether the job must wait before its next attempt.
  [[nodiscard]] bool IsBackingOff(Time now, const std::string& job) const;

  // Starts the next back-off of a job; each is twice as long as the last, up to
  // a limit.
  void BackOff(Time now, const std::string& job);

  // Removes the back-off state of a job that ended.
  void ForgetJob(const std::string& job);

 private:
  struct WorkerFailures {
    std::set<std::string> failed_jobs;
    Time suspected_until;
    int suspicion_count = 0;
  };
  struct JobBackoff {
    Time ends_at;
    int backoff_count = 0;
  };
  std::map<std::string, WorkerFailures> workers_;
  std::map<std::string, JobBackoff> jobs_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_LOAD_TABLE_H_
