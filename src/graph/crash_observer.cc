#include "banyan/graph/crash_observer.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// A run whose start is this close to the worker's last answer may have crashed
// the worker by starting.
constexpr Duration kStartWindow = Millis(50);
// The same for a run that is to be blamed alone.
constexpr Duration kAloneWindow = Millis(25);

}  // namespace

void CrashObserver::OnStarted(const RunRef& run, Time answered_at) {
  ObservedRun& observed = runs_[run];
  observed.started_at = answered_at;
  observed.start_failure = CallFailure::kNone;
  last_answer_at_ = std::max(last_answer_at_, answered_at);
}

void CrashObserver::OnBrokenOff(Time at) {
  broken_off_at_ = std::min(at, broken_off_at_.value_or(at));
}

void CrashObserver::OnContactLost(Time at, CallFailure failure) {
  if (failure == CallFailure::kBrokenOff) {
    OnBrokenOff(at);
  }
  has_timed_out_ = failure == CallFailure::kTimedOut;
}

void CrashObserver::OnStartUnanswered(Time at,
                                      const RunRef& run,
                                      Time sent_at,
                                      CallFailure failure) {
  if (failure == CallFailure::kBrokenOff) {
    OnBrokenOff(at);
  }
  if (failure == CallFailure::kNotSent || runs_.contains(run)) {
    return;
  }
  runs_[run] = {sent_at, failure, std::nullopt, 0};
}

void CrashObserver::OnList(const RunCallReply& reply) {
  last_list_at_ = std::max(last_list_at_, reply.received_at);
  broken_off_at_.reset();
  has_timed_out_ = false;
  last_answer_at_ = std::max(last_answer_at_, reply.received_at);
  for (const EndedRun& row : reply.ended) {
    runs_.erase(row.run);
  }
  std::map<RunRef, ObservedRun> remaining;
  for (const RunStatus& row : reply.running) {
    ObservedRun& observed = remaining[row.run];
    if (auto node = runs_.extract(row.run)) {
      observed = node.mapped();
    }
    observed.percent = row.percent;
    if (!observed.first_listed_at) {
      observed.first_listed_at = reply.received_at;
    }
  }
  // A confirmed run that a later list leaves out has ended. A start without an
  // answer may still be carried out.
  for (const auto& [run, observed] : runs_) {
    if (!observed.first_listed_at &&
        (observed.start_failure != CallFailure::kNone ||
         observed.started_at > reply.sent_at)) {
      remaining.emplace(run, observed);
    }
  }
  runs_ = std::move(remaining);
}

std::optional<Duration> CrashObserver::AgeOf(const RunRef& run) const {
  const auto found = runs_.find(run);
  if (found == runs_.end() || !found->second.started_at) {
    return std::nullopt;
  }
  return crashed_at() - *found->second.started_at;
}

std::vector<RunCrash> CrashObserver::Evidence() const {
  std::vector<RunCrash> evidence;
  for (const auto& [run, observed] : runs_) {
    evidence.push_back({run, EvidenceOf(observed)});
  }
  const auto is_starting = [](const RunCrash& crash) {
    return crash.evidence != CrashEvidence::kAtWork;
  };
  const auto first =
      std::find_if(evidence.begin(), evidence.end(), is_starting);
  if (first != evidence.end() && first->evidence == CrashEvidence::kAtStart &&
      AgeOf(first->run).value_or(Duration::max()) <= kAloneWindow &&
      std::none_of(first + 1, evidence.end(), is_starting)) {
    first->evidence = CrashEvidence::kAlone;
  }
  return evidence;
}

CrashEvidence CrashObserver::EvidenceOf(const ObservedRun& observed) const {
  const bool is_listed_long =
      observed.percent > 0 && observed.first_listed_at &&
      last_list_at_ - *observed.first_listed_at >= kMinListedTime;
  const bool is_old = observed.start_failure == CallFailure::kNone &&
                      broken_off_at_ && observed.started_at &&
                      *broken_off_at_ - *observed.started_at >= kMinListedTime;
  const bool is_recent = observed.started_at &&
                         crashed_at() - *observed.started_at <= kStartWindow;
  const bool is_alone = runs_.size() == 1;
  if (is_listed_long || is_old || (!is_recent && !is_alone)) {
    return CrashEvidence::kAtWork;
  }
  if (!is_recent || has_timed_out_ ||
      observed.start_failure == CallFailure::kTimedOut) {
    return CrashEvidence::kUnclear;
  }
  return CrashEvidence::kAtStart;
}

}  // namespace banyan
