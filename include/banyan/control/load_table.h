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

// What the leader learned of one instance from its lagging reports.
struct InstanceLoad {
  std::uint64_t incarnation = 0;
  // When the leader may take the instance's lease as expired.
  Time lease_deadline;
  std::uint64_t config_version = 0;
  std::int64_t cpu_percent = 0;
  bool is_removing = false;
  // Processor use of the services alone, now and at its recent peak.
  double service_percent = 0;
  double service_peak_percent = 0;
  // What batch tasks really use of what they declared.
  double batch_ratio = 1;
  // Successive reports above the pressure mark, and below its lower end.
  int reports_above = 0;
  int reports_below = 0;
  Time next_eviction;
  // Successive reports of a service on this worker that it is slow.
  int slow_reports = 0;
  // The share of a processor that each batch task here may use, in percent.
  std::int64_t batch_share_percent = 100;
};

// Learned slow-down of services by the kind of batch work beside them.
class InterferenceTable {
 public:
  // Learns from one report: the service was so many times slower than usual
  // beside these kinds.
  void AddSample(const std::string& service,
                 const std::set<std::string>& kinds,
                 double slowdown);

  // Returns the slow-down expected for a pair; 1 for one never seen.
  [[nodiscard]] double ExpectedSlowdown(const std::string& service,
                                        const std::string& kind) const;

 private:
  std::map<std::pair<std::string, std::string>, double> slowdown_;
};

// The usual latency of each service, over all of its endpoints.
class ServiceBaseline {
 public:
  // Adds one report in microseconds and returns the ratio to the usual.
  double Observe(const std::string& service, std::int64_t latency_us);

 private:
  std::map<std::string, double> baseline_us_;
};

// Tells a bad worker from a bad job. Soft state of the leader.
class FailureTracker {
 public:
  // Notes that an attempt failed on a worker. Returns whether the worker is
  // suspected from now on.
  bool RecordFailure(Time now,
                     const std::string& worker,
                     const std::string& job,
                     const std::vector<std::string>& previously_failed_on);

  // Notes that an attempt succeeded on a worker.
  void RecordSuccess(const std::string& worker);

  // Returns whether the worker gets no tasks at present.
  [[nodiscard]] bool IsSuspected(Time now, const std::string& worker) const;

  // Returns whether the job waits before its next attempt.
  [[nodiscard]] bool IsBackingOff(Time now, const std::string& job) const;

  // Lets a job wait; each wait in a row is twice as long.
  void BackOff(Time now, const std::string& job);

  // Forgets a job that ended.
  void ForgetJob(const std::string& job);

 private:
  struct WorkerFailures {
    std::set<std::string> failed_jobs;
    Time suspected_until;
    int suspicion_count = 0;
  };
  struct JobBackoff {
    Time ends_at;
    int doublings = 0;
  };
  std::map<std::string, WorkerFailures> workers_;
  std::map<std::string, JobBackoff> jobs_;
};

}  // namespace banyan

#endif  // BANYAN_CONTROL_LOAD_TABLE_H_
