#ifndef BANYAN_AGENT_ENDPOINT_GUARD_H_
#define BANYAN_AGENT_ENDPOINT_GUARD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/agent/forgotten_attempts.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// An HTTP request to send to the agent's endpoint.
struct EndpointCall {
  // Matches the reply to the call.
  std::uint64_t id = 0;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  Time deadline;
};

// Result of an EndpointCall.
struct EndpointReply {
  std::uint64_t id = 0;
  // kRan: a complete response was received. kNotRun: the request was never
  // sent. kUnknown: the endpoint may have run it.
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // Valid unless outcome is kRan.
  ErrorKind error = ErrorKind::kBrokenAnswer;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Limits of one endpoint.
struct EndpointLimits {
  // Maximum number of concurrent requests.
  std::size_t slots = 8;
  // Maximum number of running and queued requests together.
  std::size_t connections = 60;
};

// Reason why the agent admits no new requests; empty while it admits them.
using AdmissionError = std::optional<ErrorKind>;

// Admission control for one endpoint. Limits concurrency, queues requests,
// drops duplicates, and records the reply or the tombstone of each attempt of a
// claimed request, which keeps the attempt from running again.
class EndpointGuard {
 public:
  // Actions requested since the last call of TakeOutputs().
  struct Outputs {
    std::vector<Outbound> messages;
    std::vector<EndpointCall> calls;
    Events events;
  };

  explicit EndpointGuard(EndpointLimits limits) : limits_(limits) {}

  // Runs, queues or refuses a request. A set admission_error refuses new
  // requests; known attempts of claimed requests still get their reply.
  void OnDispatch(Time now,
                  const Sender& from,
                  const Dispatch& dispatch,
                  std::uint64_t own_incarnation,
                  AdmissionError admission_error);
  // Refuses a queued request, unless other senders wait for it too. Running
  // requests are not cancelled.
  void OnCancel(const Sender& from, const CancelDispatch& cancel);
  // Grants a tombstone, which keeps the attempt from ever running. If the
  // attempt is running or has run, replies with its result instead.
  void OnTombstone(Time now,
                   const Sender& from,
                   const TombstoneRequest& request,
                   std::uint64_t own_incarnation);
  // Handles the result of an endpoint call; unknown ids are ignored.
  void OnReply(Time now, const EndpointReply& endpoint_reply);
  // Refuses queued requests whose deadline has passed and fills free slots.
  void Tick(Time now);

  // Returns the pending actions and clears them.
  [[nodiscard]] Outputs TakeOutputs() { return std::exchange(out_, Outputs{}); }

  [[nodiscard]] std::size_t in_flight() const noexcept {
    return running_.size();
  }
  [[nodiscard]] std::size_t queued() const noexcept { return queue_.size(); }
  // Exponentially weighted moving average of the endpoint's latency.
  [[nodiscard]] Duration latency() const noexcept { return latency_; }
  void set_config_version(std::uint64_t version) noexcept {
    config_version_ = version;
  }

 private:
  // Claim key and attempt number.
  using AttemptKey = std::pair<std::string, std::uint64_t>;

  // The sender of a dispatch or tombstone request that awaits a reply.
  struct Waiter {
    std::string peer;
    std::uint64_t seq = 0;
    bool is_tombstone = false;
  };

  struct Request {
    Dispatch dispatch;
    std::vector<Waiter> waiters;
    Time deadline;
    Time started_at;
  };

  // The reply to an attempt of a claimed request, or the tombstone that keeps
  // the attempt from running.
  struct AttemptRecord {
    bool is_tombstone = false;
    EndpointReply endpoint_reply;
    Time expires_at;
  };

  // The highest sequence number received from an incarnation of an entry.
  struct LastDispatch {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t seq = 0;
  };

  // Also records the sequence number of the dispatch.
  [[nodiscard]] bool IsDuplicate(const Sender& from, const Dispatch& dispatch);
  // Starts queued requests while slots are free; refuses those past their
  // deadline.
  void StartQueued(Time now);
  void Start(Time now, Request request);
  void Refuse(const Waiter& waiter,
              const Dispatch& dispatch,
              ErrorKind error,
              std::string_view reason);
  void SendReply(const Waiter& waiter, const EndpointReply& endpoint_reply);
  // Replies from the attempt record, or adds the waiter to the running or
  // queued request. Returns false if the attempt is unknown.
  [[nodiscard]] bool HandleKnownAttempt(const Waiter& waiter,
                                        const Dispatch& dispatch);
  // Estimated time until a newly queued request gets a slot.
  [[nodiscard]] Duration ExpectedWait() const noexcept;
  [[nodiscard]] std::deque<Request>::iterator FindQueued(const AttemptKey& key);
  [[nodiscard]] Request* FindRunning(const AttemptKey& key);
  // Stores the record and evicts expired or surplus ones.
  void RecordAttempt(Time now, const AttemptKey& key, AttemptRecord record);

  EndpointLimits limits_;
  // Keyed by entry id. An entry numbers its dispatches in ascending order, so a
  // sequence number that is not higher than the last one marks a duplicate.
  std::map<std::string, LastDispatch> last_dispatch_;
  std::deque<Request> queue_;
  // Keyed by the id of the endpoint call.
  std::map<std::uint64_t, Request> running_;
  std::map<AttemptKey, AttemptRecord> attempt_records_;
  // Attempts whose records were dropped, about which no promise can be made.
  ForgottenAttempts forgotten_attempts_;
  std::deque<std::pair<Time, AttemptKey>> attempt_expiry_order_;
  std::uint64_t next_call_id_ = 1;
  Duration latency_{0};
  std::uint64_t config_version_ = 0;
  Outputs out_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_ENDPOINT_GUARD_H_
