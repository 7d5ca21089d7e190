#include "banyan/control/load_table.h"

#include <algorithm>

namespace banyan {
namespace {

// Weight of a new sample in the moving average of the slowdown.
constexpr double kInterferenceSmoothing = 0.2;
// Weight of a new latency sample that is at or above the baseline.
constexpr double kBaselineRiseSmoothing = 0.01;
// Weight of a new latency sample that is below the baseline.
constexpr double kBaselineFallSmoothing = 0.2;
// Number of different jobs that must fail on a worker before it is suspected.
constexpr std::size_t kSuspectAfterJobs = 3;
// Duration of the first suspicion of a worker.
constexpr Duration kInitialSuspicion = std::chrono::seconds(30);
// Maximum number of times that the duration of a suspicion is doubled.
constexpr int kMaxSuspicionDoublings = 5;
// A failure does not count against the worker if the job failed at least this
// many times before, and on another worker.
constexpr std::size_t kMinFailuresOfBadJob = 1;
// Duration of the first back-off of a job.
constexpr Duration kInitialBackoff = Millis(200);
// Maximum number of times that the duration of a back-off is doubled.
constexpr int kMaxBackoffDoublings = 7;

}  // namespace

void InterferenceTable::AddSample(const std::string& service,
                                  const std::set<std::string>& kinds,
                                  double slowdown) {
  for (const std::string& kind : kinds) {
    const auto [entry, is_new] = slowdown_.try_emplace({service, kind}, 1.0);
    entry->second += kInterferenceSmoothing * (slowdown - entry->second);
  }
}

double InterferenceTable::ExpectedSlowdown(const std::string& service,
                                           const std::string& kind) const {
  const auto found = slowdown_.find({service, kind});
  return found == slowdown_.end() ? 1.0 : found->second;
}

double ServiceBaseline::Observe(const std::string& service,
                                std::int64_t latency_us) {
  const auto value = static_cast<double>(latency_us);
  const auto [entry, is_new] = baseline_us_.try_emplace(service, value);
  double& baseline = entry->second;
  const double ratio = baseline > 0 ? value / baseline : 1.0;
  // The baseline follows the fastest endpoints: it falls quickly and rises
  // slowly.
  const double weight =
      value < baseline ? kBaselineFallSmoothing : kBaselineRiseSmoothing;
  baseline += weight * (value - baseline);
  return ratio;
}

bool FailureTracker::RecordFailure(
    Time now,
    const std::string& worker,
    const std::string& job,
    const std::vector<std::string>& previously_failed_on) {
  BackOff(now, job);
  const bool is_bad_job =
      std::any_of(previously_failed_on.begin(), previously_failed_on.end(),
                  [&](const std::string& other) { return other != worker; });
  if (is_bad_job && previously_failed_on.size() >= kMinFailuresOfBadJob) {
    return false;
  }
  WorkerFailures& failures = workers_[worker];
  failures.failed_jobs.insert(job);
  if (failures.failed_jobs.size() < kSuspectAfterJobs) {
    return false;
  }
  failures.failed_jobs.clear();
  failures.suspected_until =
      now + kInitialSuspicion * (1 << std::min(failures.suspicion_count,
                                               kMaxSuspicionDoublings));
  ++failures.suspicion_count;
  return true;
}

void FailureTracker::RecordSuccess(const std::string& worker) {
  workers_.erase(worker);
}

bool FailureTracker::IsSuspected(Time now, const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.suspected_until > now;
}

bool FailureTracker::IsBackingOff(Time now, const std::string& job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.ends_at > now;
}

void FailureTracker::BackOff(Time now, const std::string& job) {
  JobBackoff& backoff = jobs_[job];
  backoff.ends_at =
      now + kInitialBackoff *
                (1 << std::min(backoff.backoff_count, kMaxBackoffDoublings));
  ++backoff.backoff_count;
}

void FailureTracker::ForgetJob(const std::string& job) {
  jobs_.erase(job);
}

}  // namespace banyan
