#include "banyan/control/load_table.h"

#include <algorithm>

namespace banyan {
namespace {

// Share of a new observation in a decayed mean.
constexpr double kInterferenceDecay = 0.2;
constexpr double kBaselineRiseDecay = 0.01;
constexpr double kBaselineFallDecay = 0.2;
// Different jobs that must fail on a worker before it is suspected.
constexpr std::size_t kSuspectAfterJobs = 3;
// How long a worker is suspected at first, and at most.
constexpr Span kSuspicionSpan = std::chrono::seconds(30);
constexpr int kMaxSuspicionDoublings = 5;
// A job that failed on this many workers before says nothing of another one.
constexpr std::size_t kBadJobWorkers = 1;
// How long a job waits after its first failure, and at most.
constexpr Span kBackOffSpan = Millis(200);
constexpr int kMaxBackOffDoublings = 7;

}  // namespace

void InterferenceTable::Learn(const std::string& service,
                              const std::set<std::string>& kinds,
                              double slowdown) {
  for (const std::string& kind : kinds) {
    const auto [entry, is_new] = slowdown_.try_emplace({service, kind}, 1.0);
    entry->second += kInterferenceDecay * (slowdown - entry->second);
  }
}

double InterferenceTable::Expected(const std::string& service,
                                   const std::string& kind) const {
  const auto found = slowdown_.find({service, kind});
  return found == slowdown_.end() ? 1.0 : found->second;
}

double ServiceBaseline::Observe(const std::string& service,
                                std::int64_t latency_us) {
  const auto value = static_cast<double>(latency_us);
  const auto [entry, is_new] = usual_us_.try_emplace(service, value);
  double& usual = entry->second;
  const double ratio = usual > 0 ? value / usual : 1.0;
  // The baseline follows the quick endpoints and rises only slowly.
  const double decay = value < usual ? kBaselineFallDecay : kBaselineRiseDecay;
  usual += decay * (value - usual);
  return ratio;
}

bool FailureTable::NoteFailure(
    Time now,
    const std::string& worker,
    const std::string& job,
    const std::vector<std::string>& failed_before_on) {
  BackOff(now, job);
  const bool is_bad_job =
      std::any_of(failed_before_on.begin(), failed_before_on.end(),
                  [&](const std::string& other) { return other != worker; });
  if (is_bad_job && failed_before_on.size() >= kBadJobWorkers) {
    return false;
  }
  Suspicion& suspicion = workers_[worker];
  suspicion.failed_jobs.insert(job);
  if (suspicion.failed_jobs.size() < kSuspectAfterJobs) {
    return false;
  }
  suspicion.failed_jobs.clear();
  suspicion.until =
      now +
      kSuspicionSpan * (1 << std::min(suspicion.times, kMaxSuspicionDoublings));
  ++suspicion.times;
  return true;
}

void FailureTable::NoteSuccess(const std::string& worker) {
  workers_.erase(worker);
}

bool FailureTable::IsSuspected(Time now, const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.until > now;
}

bool FailureTable::IsBackingOff(Time now, const std::string& job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.until > now;
}

void FailureTable::BackOff(Time now, const std::string& job) {
  Wait& wait = jobs_[job];
  wait.until =
      now + kBackOffSpan * (1 << std::min(wait.times, kMaxBackOffDoublings));
  ++wait.times;
}

void FailureTable::Forget(const std::string& job) {
  jobs_.erase(job);
}

}  // namespace banyan
