#include "banyan/graph/crash_observer.h"

#include <algorithm>

namespace banyan {
namespace {

// A run whose start is this close to the worker's last answer may have crashed
// the worker by starting.
constexpr Duration kStartWindow = Millis(50);
// Time that a run must have been listed to count as at work.
constexpr Duration kMinListedTime = Millis(200);

}  // namespace

void CrashObserver::OnStarted(const RunRef& run, Time answered_at) {
  ObservedRun& observed = runs_[run];
  observed.started_at = answered_at;
  observed.start_failure = CallFailure::kNone;
  last_answer_at_ = std::max(last_answer_at_, answered_at);
}

void CrashObserver::OnStartUnanswered(const RunRef& run,
                                      Time sent_at,
                                      CallFailure failure) {
  if (failure == CallFailure::kNotSent || runs_.contains(run)) {
    return;
  }
  runs_[run] = {sent_at, failure, std::nullopt, 0};
}

void CrashObserver::OnList(const RunCallReply& reply) {
  last_list_at_ = std::max(last_list_at_, reply.received_at);
  last_answer_at_ = std::max(last_answer_at_, reply.received_at);
  for (const RunStatus& row : reply.running) {
    ObservedRun& observed = runs_[row.run];
    observed.percent = row.percent;
    if (!observed.first_listed_at) {
      observed.first_listed_at = reply.received_at;
    }
  }
  for (const EndedRun& row : reply.ended) {
    runs_.erase(row.run);
  }
  // A confirmed run that a later list leaves out has ended. A start without an
  // answer may still be carried out.
  std::erase_if(runs_, [&](const auto& item) {
    const ObservedRun& observed = item.second;
    const bool is_listed = std::any_of(
        reply.running.begin(), reply.running.end(),
        [&](const RunStatus& row) { return row.run == item.first; });
    const bool may_be_later = !observed.first_listed_at &&
                              (observed.start_failure != CallFailure::kNone ||
                               observed.started_at > reply.sent_at);
    return !is_listed && !may_be_later;
  });
}

std::optional<Duration> CrashObserver::AgeOf(const RunRef& run) const {
  const auto found = runs_.find(run);
  if (found == runs_.end() || !found->second.started_at) {
    return std::nullopt;
  }
  return last_answer_at_ - *found->second.started_at;
}

std::vector<RunCrash> CrashObserver::Evidence() const {
  std::vector<RunCrash> evidence;
  for (const auto& [run, observed] : runs_) {
    evidence.push_back({run, EvidenceOf(observed)});
  }
  return evidence;
}

CrashEvidence CrashObserver::EvidenceOf(const ObservedRun& observed) const {
  const bool is_at_work =
      observed.percent > 0 && observed.first_listed_at &&
      last_list_at_ - *observed.first_listed_at >= kMinListedTime;
  const bool is_recent = observed.started_at &&
                         *observed.started_at + kStartWindow >= last_answer_at_;
  const bool is_alone = runs_.size() == 1;
  if (is_at_work || (!is_recent && !is_alone)) {
    return CrashEvidence::kAtWork;
  }
  return is_loss_precise_ && observed.start_failure != CallFailure::kTimedOut
             ? CrashEvidence::kAtStart
             : CrashEvidence::kUnclear;
}

}  // namespace banyan
