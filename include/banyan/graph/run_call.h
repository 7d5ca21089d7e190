#ifndef BANYAN_GRAPH_RUN_CALL_H_
#define BANYAN_GRAPH_RUN_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/wire/graph.h"

namespace banyan {

// What an agent asks of the worker beside it.
enum class RunCallOp : std::uint8_t {
  // Lists what runs and what ended, and renews the lease.
  kListRuns,
  kStart,
  kStop,
  kThrottle,
};

// A call to the worker.
struct RunCall {
  RunCallOp op = RunCallOp::kListRuns;
  // The life that the call is for; any other must not act on it.
  WorkerIncarnation incarnation;
  RunRef run;
  std::string payload;
  std::string checkpoint;
  // End of the lease on the worker's own clock, in milliseconds; nothing
  // renews no lease.
  std::optional<std::int64_t> lease_until_ms;
  std::uint64_t fencing_token = 0;
  // Ends up to this one need not be listed again.
  std::int64_t last_committed_end = 0;
  // How long a list waits for an end, in milliseconds.
  std::int64_t wait_ms = 0;
  std::int64_t percent = kFullPercent;
};

// Why a worker refused a call.
enum class RunRefusal : std::uint8_t {
  kNone,
  // A higher fencing token was seen.
  kFenced,
  // The run, or a later one of its task, was there before.
  kStaleRun,
  // The lease that the start bears has run out.
  kLeaseExpired,
  kNoCapacity,
  kNoTicket,
  // The worker is not healthy and did nothing.
  kUnhealthy,
  // The call was meant for another life.
  kOtherIncarnation,
  kInvalid,
};

// Returns the name of a refusal as logs show it.
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

// What a call came to.
struct RunCallReply {
  RunCallOp op = RunCallOp::kListRuns;
  WorkerIncarnation incarnation;
  RunRef run;
  // Without an answer the call may have been carried out, or may be later.
  bool answered = false;
  RunRefusal refusal = RunRefusal::kNone;
  std::string text;
  // The worker's own clock as it answered.
  std::optional<std::int64_t> clock_ms;
  // When the call was sent and its answer received, on the agent's clock.
  Time sent_at;
  Time received_at;
  std::vector<RunStatus> running;
  std::vector<EndedRun> ended;
};

// Returns a reply to a call that tells nothing yet.
[[nodiscard]] inline RunCallReply MakeUnansweredReply(const RunCall& call) {
  RunCallReply reply;
  reply.op = call.op;
  reply.incarnation = call.incarnation;
  reply.run = call.run;
  return reply;
}

// A worker's announcement of itself.
struct WorkerReport {
  WorkerInfo info;
  // Rises with each report of a life.
  std::int64_t sequence = 0;
  std::optional<std::int64_t> clock_ms;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_RUN_CALL_H_
