#ifndef BANYAN_GRAPH_RUN_CALL_H_
#define BANYAN_GRAPH_RUN_CALL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Operations that an agent calls on its worker.
enum class RunCallOp : std::uint8_t {
  // Lists active and ended runs, and renews the lease.
  kListRuns,
  kStart,
  kStop,
  kThrottle,
  // Asks which incarnation the worker is. Changes nothing at any of them.
  kIdentify,
};

// Returns the name of an operation as written to the event log.
[[nodiscard]] constexpr const char* ToString(RunCallOp op) noexcept {
  switch (op) {
    case RunCallOp::kListRuns:
      return "list";
    case RunCallOp::kStart:
      return "start";
    case RunCallOp::kStop:
      return "stop";
    case RunCallOp::kThrottle:
      return "throttle";
    case RunCallOp::kIdentify:
      return "identify";
  }
  return "unknown";
}

// A call to the worker.
struct RunCall {
  RunCallOp op = RunCallOp::kListRuns;
  // The incarnation addressed; any other one must reject the call.
  WorkerIncarnation incarnation;
  RunRef run;
  std::string payload;
  std::string checkpoint;
  // End of the lease on the worker's own clock, in milliseconds; empty when
  // the call does not renew the lease.
  std::optional<std::int64_t> lease_until_ms;
  // End of the same lease on the agent's clock.
  Time lease_deadline;
  std::uint64_t fencing_token = 0;
  // Ended runs up to this number need not be listed again; 0 if the call
  // acknowledges none.
  std::int64_t last_committed_end = 0;
  // Long polling: how long a list waits for a run to end, in milliseconds.
  std::int64_t wait_ms = 0;
  std::int64_t percent = kFullPercent;
};

// Why a worker refused a call.
enum class RunRefusal : std::uint8_t {
  kNone,
  // The worker has seen a higher fencing token.
  kFenced,
  // The worker already knows the run or a later run of its task.
  kStaleRun,
  // The lease in the start call has expired.
  kLeaseExpired,
  kNoCapacity,
  kNoTicket,
  // The worker is unhealthy and did not carry out the call.
  kUnhealthy,
  // The call was addressed to another incarnation.
  kOtherIncarnation,
  kInvalid,
};

// Returns the name of a refusal as written to the event log.
[[nodiscard]] constexpr const char* ToString(RunRefusal refusal) noexcept {
  switch (refusal) {
    case RunRefusal::kNone:
      return "none";
    case RunRefusal::kFenced:
      return "fenced";
    case RunRefusal::kStaleRun:
      return "old";
    case RunRefusal::kLeaseExpired:
      return "late";
    case RunRefusal::kNoCapacity:
      return "no-room";
    case RunRefusal::kNoTicket:
      return "no-ticket";
    case RunRefusal::kUnhealthy:
      return "unhealthy";
    case RunRefusal::kOtherIncarnation:
      return "other-life";
    case RunRefusal::kInvalid:
      return "invalid";
  }
  return "unknown";
}

// How a call failed that got no answer.
enum class CallFailure : std::uint8_t {
  kNone,
  // No connection, so the worker has not received the call.
  kNotSent,
  // The connection broke off while the call waited for its answer.
  kBrokenOff,
  kTimedOut,
};

// Returns the name of a failure as written to the event log.
[[nodiscard]] constexpr const char* ToString(CallFailure failure) noexcept {
  switch (failure) {
    case CallFailure::kNone:
      return "none";
    case CallFailure::kNotSent:
      return "not-sent";
    case CallFailure::kBrokenOff:
      return "broken-off";
    case CallFailure::kTimedOut:
      return "timed-out";
  }
  return "unknown";
}

// Maximum number of ended runs in one list, as workers limit it. The rest
// follow once these are acknowledged.
inline constexpr std::size_t kMaxListedEnds = 500;

// The outcome of a call.
struct RunCallReply {
  RunCallOp op = RunCallOp::kListRuns;
  WorkerIncarnation incarnation;
  RunRef run;
  // The fencing token, the lease and the acknowledged ends of the call.
  std::uint64_t fencing_token = 0;
  std::optional<std::int64_t> lease_until_ms;
  Time lease_deadline;
  std::int64_t last_committed_end = 0;
  // Without an answer the call may have been carried out or may still be.
  bool answered = false;
  CallFailure failure = CallFailure::kNone;
  RunRefusal refusal = RunRefusal::kNone;
  std::string text;
  // Start of the incarnation that answered, in milliseconds since the epoch, if
  // the answer names it.
  std::optional<std::int64_t> answering_start_ms;
  // The worker's own clock when it answered.
  std::optional<std::int64_t> clock_ms;
  // Times of the call and of its answer, on the agent's clock.
  Time sent_at;
  Time received_at;
  std::vector<RunStatus> running;
  std::vector<EndedRun> ended;
  // Number of rows that can't be read, or only in part, and what is wrong with
  // the first one.
  std::size_t refused_rows = 0;
  std::string refused_row_reason;
  // Whether a row that can't be read may stand for an active run.
  bool may_hide_run = false;
};

// Returns a reply that identifies the call and is marked as unanswered.
[[nodiscard]] inline RunCallReply MakeUnansweredReply(const RunCall& call) {
  RunCallReply reply;
  reply.op = call.op;
  reply.incarnation = call.incarnation;
  reply.run = call.run;
  reply.fencing_token = call.fencing_token;
  reply.lease_until_ms = call.lease_until_ms;
  reply.lease_deadline = call.lease_deadline;
  reply.last_committed_end = call.last_committed_end;
  reply.failure = CallFailure::kTimedOut;
  return reply;
}

// A worker's report to its agent.
struct WorkerReport {
  WorkerInfo info;
  // Increases with each report of an incarnation.
  std::int64_t sequence = 0;
  std::optional<std::int64_t> clock_ms;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_CALL_H_
