#ifndef BANYAN_GRAPH_CELL_LINK_H_
#define BANYAN_GRAPH_CELL_LINK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/base/answer_wait.h"
#include "banyan/base/time.h"
#include "banyan/wire/message.h"

namespace banyan {

// A change from one replica to another.
struct ReplicaSwitch {
  std::string from;
  std::string to;
  std::string_view reason;
  // How long the process had waited for a connection or an answer.
  Duration waited{0};
};

// Selects the replica of the control cell that a process connects to. Starts
// from seeds, which may be outdated, and learns the members from any replica.
class CellLink {
 public:
  CellLink(std::vector<std::string> seeds, std::uint64_t seed);

  // The address, which is also the id, of the selected replica.
  [[nodiscard]] const std::string& current() const noexcept { return current_; }
  [[nodiscard]] bool connected() const noexcept { return is_connected_; }

  // Puts seeds before the known ones. Selects one that was not known if the
  // selected replica has not answered. Returns whether it did; the caller must
  // then close the previous connection.
  [[nodiscard]] bool AddSeeds(Time now, const std::vector<std::string>& seeds);
  // Replaces the known members of the cell.
  void SetMembers(const std::vector<std::string>& members);
  // Returns the replicas that are known best: the members or, before any have
  // been told, those that other processes have named.
  [[nodiscard]] const std::vector<std::string>& known_replicas()
      const noexcept {
    return members_.empty() ? referred_ : members_;
  }
  // Returns whether a referral from this process means that it is no replica:
  // it is the selected one and has not answered on this connection.
  [[nodiscard]] bool IsRefusal(const std::string& from) const {
    return is_connected_ && from == current_ && !has_answered_ && !is_stale_;
  }
  // Notes replicas that a process has named; `from` is empty if that process
  // has connected to this one. Selects another address if the selected process
  // refuses, or has not answered and is not among the named ones. One that
  // refuses and names none is left later, unless it names some by then. Returns
  // whether another one was selected; the caller must then close the previous
  // connection.
  [[nodiscard]] bool OnReferral(Time now,
                                const std::string& from,
                                const CellReferral& referral);

  // Process network events about the replica with this id.
  void OnUp(Time now, const std::string& id);
  void OnDown(Time now, const std::string& id);

  // Record a message that the replica must answer, or its answer.
  void OnSent(Time now);
  void OnAnswer();
  // Records an answer of a replica that is cut off from its leader. It counts
  // as none, whatever else the replica sends.
  void OnStaleAnswer();
  // Records that parts of a larger message arrive, which the answer may have to
  // wait for.
  void OnProgress(Time now);

  // Selects another replica if the selected one has timed out. Returns whether
  // it did; the caller must then close the previous connection. All that had
  // arrived at the process by `heard_until` has been handled.
  [[nodiscard]] bool Tick(Time now, Time heard_until);

  // Returns the last change of the replica, once.
  [[nodiscard]] std::optional<ReplicaSwitch> TakeSwitch() {
    return std::exchange(switch_, std::nullopt);
  }

 private:
  // Selects the next address.
  void Switch(Time now, std::string_view reason);
  // Selects an address.
  void Select(Time now, std::string_view reason, const std::string& next);
  // Puts addresses that a list lacks at its front. Returns those that were not
  // known at all, in the order in which they get their turn.
  std::vector<std::string> Note(const std::vector<std::string>& addresses,
                                std::vector<std::string>& list);
  // Returns all known addresses in the order in which they get their turn.
  [[nodiscard]] std::vector<std::string> Candidates() const;

  std::vector<std::string> seeds_;
  // Replicas that other processes have named. Those that were not known come
  // first, as with the seeds.
  std::vector<std::string> referred_;
  std::vector<std::string> members_;
  std::uint64_t position_ = 0;
  std::string current_;
  bool is_connected_ = false;
  bool is_awaiting_answer_ = false;
  bool is_stale_ = false;
  // Whether the selected replica has answered on this connection.
  bool has_answered_ = false;
  // The wait for the answer or connection.
  AnswerWait wait_;
  // When it began; parts that arrive don't change it.
  Time waiting_since_;
  std::optional<ReplicaSwitch> switch_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_LINK_H_
