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
#include "banyan/wire/command.h"
#include "banyan/wire/message.h"

namespace banyan {

// A command or a read for the control cell.
using CellCall = std::variant<Command, CellQuery>;

// The final answer to a call.
struct CellAnswer {
  std::uint64_t ticket = 0;
  CommandResult result;
};

// What the client wants done.
struct CellClientOutputs {
  std::vector<Message> to_control;
  std::vector<CellAnswer> answers;
  // Set when another replica is in use; the connection to this one goes.
  std::optional<std::string> drop;
  // A newer plan of the operator.
  std::optional<ServicePlan> plan;
};

// Hands calls to the control cell, without I/O: repeats them until there is an
// answer, and tells refusals that are certain from outcomes that nobody knows.
// Commands must be such that a repetition changes nothing.
class CellClient {
 public:
  CellClient(std::vector<std::string> seeds, std::uint64_t seed)
      : link_(std::move(seeds), seed) {}

  // Opens a call; it is answered at its deadline at the latest.
  void Open(Time now, std::uint64_t ticket, CellCall call, Time deadline);

  // Note what the network tells of a replica.
  void OnUp(Time now, const std::string& id);
  void OnDown(Time now, const std::string& id);
  void Receive(Time now, const Message& message);

  // Lets deadlines pass.
  void Tick(Time now);

  [[nodiscard]] CellClientOutputs TakeOutputs() {
    return std::exchange(out_, CellClientOutputs{});
  }

  [[nodiscard]] CellLink& link() noexcept { return link_; }
  // Whether a replica that heard its leader of late answered of late.
  [[nodiscard]] bool IsFresh(Time now) const noexcept {
    return fresh_until_ > now;
  }

 private:
  struct Call {
    CellCall body;
    Time deadline;
    // When it is given up if no current replica is reachable then.
    Time unreachable_at;
    Time retry_at;
    // Sends that were not answered; each may have been carried out.
    std::set<std::uint64_t> pending;
    // Whether the outcome of an earlier send is not known.
    bool is_uncertain = false;
    std::string last_error_text;
  };

  void Send(Time now, std::uint64_t ticket, Call& call);
  void OnCommandReply(Time now, const CommandReply& reply);
  void FailCall(std::uint64_t ticket, const Call& call);

  CellLink link_;
  std::map<std::uint64_t, Call> calls_;
  // The call of each send.
  std::map<std::uint64_t, std::uint64_t> sends_;
  std::uint64_t next_seq_ = 1;
  std::uint64_t plan_version_ = 0;
  Time next_status_at_;
  Time fresh_until_;
  CellClientOutputs out_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_CLIENT_H_
