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

  // Adds seeds and keeps the known ones.
  void AddSeeds(const std::vector<std::string>& seeds);
  // Replaces the known members of the cell.
  void SetMembers(const std::vector<std::string>& members);

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
  void Switch(Time now, std::string_view reason);

  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::uint64_t position_ = 0;
  std::string current_;
  bool is_connected_ = false;
  bool is_awaiting_answer_ = false;
  bool is_stale_ = false;
  // The wait for the answer or connection.
  AnswerWait wait_;
  // When it began; parts that arrive don't change it.
  Time waiting_since_;
  std::optional<ReplicaSwitch> switch_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CELL_LINK_H_
