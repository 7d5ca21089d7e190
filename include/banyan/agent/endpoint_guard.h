#ifndef BANYAN_AGENT_ENDPOINT_GUARD_H_
#define BANYAN_AGENT_ENDPOINT_GUARD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/wire/message.h"

namespace banyan {

// A request to make to the endpoint beside the agent.
struct EndpointCall {
  std::uint64_t id = 0;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  Time deadline;
};

// What an endpoint call came to.
struct EndpointReply {
  std::uint64_t id = 0;
  // kRan with a whole answer, kNotRun when nothing was handed over.
  RequestOutcome outcome = RequestOutcome::kUnknown;
  ErrorKind error = ErrorKind::kBrokenAnswer;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Limits of one endpoint.
struct EndpointLimits {
  std::size_t slots = 8;
  std::size_t connections = 60;
};

// Why the agent takes no new requests at present; nothing when it does.
using AdmissionError = std::optional<ErrorKind>;

// Guards one endpoint: its slots, the requests that wait for one, the promise
// never to run a withdrawn attempt, and the answers of claimed requests.
class EndpointGuard {
 public:
  // What the guard wants done.
  struct Outputs {
    std::vector<Outbound> messages;
    std::vector<EndpointCall> calls;
    Events events;
  };

  explicit EndpointGuard(EndpointLimits limits) : limits_(limits) {}

  void OnDispatch(Time now,
                  const Sender& from,
                  const Dispatch& dispatch,
                  std::uint64_t own_incarnation,
                  AdmissionError admission_error);
  void OnCancel(const Sender& from, const CancelDispatch& cancel);
  void OnTombstone(Time now,
                   const Sender& from,
                   const TombstoneRequest& request,
                   std::uint64_t own_incarnation);
  void OnReply(Time now, const EndpointReply& endpoint_reply);
  void Tick(Time now);

  [[nodiscard]] Outputs TakeOutputs() { return std::exchange(out_, Outputs{}); }

  [[nodiscard]] std::size_t in_flight() const noexcept {
    return running_.size();
  }
  [[nodiscard]] std::size_t queued() const noexcept { return queue_.size(); }
  // Decayed mean latency of the endpoint's answers.
  [[nodiscard]] Span latency() const noexcept { return latency_; }
  void set_config_version(std::uint64_t version) noexcept {
    config_version_ = version;
  }

 private:
  // Names a claimed attempt.
  using AttemptKey = std::pair<std::string, std::uint64_t>;

  // Someone who waits for an answer: by a dispatch or by a tombstone request.
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

  // The kept answer of a claimed attempt, or the promise not to run it.
  struct AttemptRecord {
    bool is_tombstone = false;
    EndpointReply endpoint_reply;
    Time expires_at;
  };

  // The latest dispatch that came from an entry.
  struct LastDispatch {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t seq = 0;
  };

  [[nodiscard]] bool IsDuplicate(const Sender& from, const Dispatch& dispatch);
  void StartQueued(Time now);
  void Start(Time now, Request request);
  void Refuse(const Waiter& waiter,
              const Dispatch& dispatch,
              ErrorKind error,
              std::string_view reason);
  void SendReply(const Waiter& waiter, const EndpointReply& endpoint_reply);
  [[nodiscard]] bool HandleKnownAttempt(const Waiter& waiter,
                                        const Dispatch& dispatch);
  [[nodiscard]] Span ExpectedWait() const noexcept;
  [[nodiscard]] std::deque<Request>::iterator FindQueued(const AttemptKey& key);
  [[nodiscard]] Request* FindRunning(const AttemptKey& key);
  void RecordAttempt(Time now, const AttemptKey& key, AttemptRecord record);

  EndpointLimits limits_;
  // An entry numbers its dispatches upwards, so an older number is a repeat.
  std::map<std::string, LastDispatch> last_dispatch_;
  std::deque<Request> queue_;
  std::map<std::uint64_t, Request> running_;
  std::map<AttemptKey, AttemptRecord> attempt_records_;
  std::deque<std::pair<Time, AttemptKey>> attempt_expiry_order_;
  std::uint64_t next_call_id_ = 1;
  Span latency_{0};
  std::uint64_t config_version_ = 0;
  Outputs out_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_ENDPOINT_GUARD_H_
