#ifndef BANYAN_GRAPH_CRASH_OBSERVER_H_
#define BANYAN_GRAPH_CRASH_OBSERVER_H_

#include <map>
#include <optional>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/crash_record.h"
#include "banyan/graph/run_call.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Records what an agent sees of the runs of one worker incarnation, in order to
// tell which of them may have crashed the worker. Performs no I/O.
class CrashObserver {
 public:
  // Records a start that the worker confirmed.
  void OnStarted(const RunRef& run, Time answered_at);

  // Records a start call that ended without an answer at the time `at` and may
  // have been carried out.
  void OnStartUnanswered(Time at,
                         const RunRef& run,
                         Time sent_at,
                         CallFailure failure);

  // Records the worker's run lists.
  void OnList(const RunCallReply& reply);

  // Drops a run that the worker has confirmed never to start.
  void OnFenced(const RunRef& run) { runs_.erase(run); }

  // Records how the first list call without an answer failed.
  void OnContactLost(Time at, CallFailure failure);

  // Returns the time from the start of a run to the worker's crash, as far as
  // it is known, or else to its last answer; nothing if the start was not seen.
  [[nodiscard]] std::optional<Duration> AgeOf(const RunRef& run) const;

  // Returns the runs that were on the worker at its last answer, each with its
  // connection to a crash after that.
  [[nodiscard]] std::vector<RunCrash> Evidence() const;

 private:
  struct ObservedRun {
    // Time of the answer to the start, or of sending it if there is none; empty
    // if an earlier agent process started the run.
    std::optional<Time> started_at;
    // How the start call failed; kNone if it was answered.
    CallFailure start_failure = CallFailure::kNone;
    std::optional<Time> first_listed_at;
    std::int64_t percent = 0;
  };

  void OnBrokenOff(Time at);
  // Returns the time of the crash if it is known, or else of the last answer.
  [[nodiscard]] Time crashed_at() const noexcept {
    return broken_off_at_.value_or(last_answer_at_);
  }
  [[nodiscard]] CrashEvidence EvidenceOf(const ObservedRun& observed) const;

  std::map<RunRef, ObservedRun> runs_;
  Time last_list_at_;
  Time last_answer_at_;
  // When a call that was under way first broke off since the last list, which
  // is the time of the crash.
  std::optional<Time> broken_off_at_;
  // Whether a list call timed out, so that the crash may be long past.
  bool has_timed_out_ = false;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CRASH_OBSERVER_H_
