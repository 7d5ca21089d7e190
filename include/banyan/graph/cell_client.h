#ifndef BANYAN_GRAPH_CELL_CLIENT_H_
#define BANYAN_GRAPH_CELL_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/graph/cell_link.h"
#include "banyan/graph/plan_receiver.h"
#include "banyan/wire/command.h"
#include "banyan/wire/message.h"

namespace banyan {

// A command or query for the control cell.
using CellCall = std::variant<Command, CellQuery>;

// The final answer to a call.
struct CellAnswer {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// Effects that the caller must carry out for the client.
struct CellClientOutputs {
  std::vector<Message> to_control;
  std::vector<CellAnswer> answers;
  // Replica to disconnect from after a switch to another one.
  std::optional<std::string> drop;
  // A newer version of the operator's plan.
  std::optional<ServicePlan> plan;
  Events events;
};

// Sends calls to the control cell, without I/O: retries them until they are
// answered, and distinguishes definite refusals from unknown outcomes. Commands
// must be idempotent.
class CellClient {
 public:
  CellClient(std::vector<std::string> seeds,
             std::uint64_t seed,
             PlanDelivery delivery = PlanDelivery::kParts)
      : link_(std::move(seeds), seed), delivery_(delivery) {}

  // Starts a call, which is answered under `ticket` by its deadline. A
  // submission is not sent but fails at once while the cell can't decide.
  void Open(Time now, std::uint64_t ticket, CellCall call, Time deadline);

  // Answers all calls by `deadline`, also those that are opened later. Calls
  // that are opened after it are not sent.
  void EndBy(Time deadline) noexcept { end_ = deadline; }

  // Process network events about a replica.
  void OnUp(Time now, const std::string& id);
  void OnDown(Time now, const std::string& id);
  void Receive(Time now, const Message& message);
  // Processes seeds that have changed.
  void OnSeeds(Time now, const std::vector<std::string>& seeds);
  // Processes replicas that a process has named; `from` is empty if that
  // process has connected to this one. What was sent to the selected process
  // counts as not sent if it is no replica.
  void OnReferral(Time now,
                  const std::string& from,
                  const CellReferral& referral);

  // Retries calls, fails expired ones and sends heartbeats. All that had
  // arrived at the process by `heard_until` has been handled; what arrived
  // later may still wait.
  void Tick(Time now, Time heard_until);
  void Tick(Time now) { Tick(now, now); }

  [[nodiscard]] CellClientOutputs TakeOutputs();

  [[nodiscard]] CellLink& link() noexcept { return link_; }
  // The id of the connected replica, once it has confirmed on this connection
  // that its leader is live; empty otherwise.
  [[nodiscard]] const std::string& confirmed_replica() const noexcept {
    return confirmed_replica_;
  }
  // Returns whether a replica with a live leader answered recently.
  [[nodiscard]] bool IsFresh(Time now) const noexcept {
    return fresh_until_ > now;
  }

 private:
  struct Call {
    CellCall body;
    Time deadline;
    // When the call fails if no replica with a live leader is reachable.
    Time unreachable_at;
    Time retry_at;
    // Unanswered requests; each may have been carried out.
    std::set<std::uint64_t> pending;
    // Whether the outcome of an earlier request is unknown.
    bool is_uncertain = false;
    // The sequence number of the first request, answered or not; 0 if none was
    // sent.
    std::uint64_t first_seq = 0;
    std::string last_error_text;
  };

  void Send(Time now, std::uint64_t ticket, Call& call);
  // Closes the connection to a replica that the link no longer selects.
  void DropReplica(const std::string& replica);
  // Drops the requests of this connection, whose other end was no replica.
  void RetractRequests(Time now);
  void OnCommandReply(Time now, const CommandReply& reply);
  void FailCall(std::uint64_t ticket, const Call& call);
  // Whether no replica with a live leader has been known for long enough that
  // submissions are refused.
  [[nodiscard]] bool HasLostCell() const noexcept;
  // Whether a call is a submission that was not sent.
  [[nodiscard]] static bool IsUnsentSubmission(const Call& call);

  CellLink link_;
  std::map<std::uint64_t, Call> calls_;
  // The ticket of each request, by sequence number.
  std::map<std::uint64_t, std::uint64_t> sends_;
  std::uint64_t next_seq_ = 1;
  // The first sequence number of this connection.
  std::uint64_t connection_seq_ = 1;
  PlanDelivery delivery_;
  PlanReceiver plans_;
  // All that had arrived by then has been handled. Calls are given up and sent
  // again by this time, but for their deadlines.
  Time heard_until_;
  Time next_status_at_;
  Time fresh_until_;
  // Since when no replica has been fresh; empty while one is, or before the
  // first tick.
  std::optional<Time> stale_since_;
  std::string confirmed_replica_;
  // When the last call has to be answered.
  Time end_ = Time::max();
  CellClientOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_CLIENT_H_
