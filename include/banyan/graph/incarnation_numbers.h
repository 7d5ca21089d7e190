#ifndef BANYAN_GRAPH_INCARNATION_NUMBERS_H_
#define BANYAN_GRAPH_INCARNATION_NUMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "banyan/graph/graph_table.h"
#include "banyan/wire/graph.h"

namespace banyan {

// The numbers that a leader gives to the incarnations of workers within its
// term. They rise, so that the calls to an incarnation have a higher fencing
// token than those to earlier ones of its worker.
class IncarnationNumbers {
 public:
  // Starts a leadership. Incarnations in the table have number 0: all calls to
  // earlier ones have a token of an earlier term.
  void Reset(const GraphTable& table, std::uint64_t leader_token);

  // Returns the number of an admitted incarnation.
  [[nodiscard]] std::uint64_t Of(const WorkerIncarnation& incarnation) const;

  // Returns whether an incarnation that is not in the table refuses calls to
  // earlier ones. Agents of earlier versions can't tell.
  [[nodiscard]] bool IsFenced(const WorkerSync& sync) const;

  // Returns the command that asks an agent to make its worker refuse calls to
  // earlier incarnations.
  [[nodiscard]] WorkerOrders Request(const WorkerIncarnation& incarnation);

  // Processes the admission of an incarnation.
  void OnAdmitted(const WorkerIncarnation& incarnation);

 private:
  struct Numbered {
    WorkerIncarnation incarnation;
    std::uint64_t number = 0;
  };
  using ByWorker = std::map<std::string, Numbered>;

  // Returns the number of an incarnation; empty if it has none.
  [[nodiscard]] static std::optional<std::uint64_t> Find(
      const ByWorker& numbers,
      const WorkerIncarnation& incarnation);

  std::uint64_t leader_token_ = 0;
  std::uint64_t last_number_ = 0;
  // Incarnations that are not admitted yet.
  ByWorker requested_;
  // The last incarnation of each worker that was admitted; it may be removed
  // and admitted again.
  ByWorker admitted_;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_INCARNATION_NUMBERS_H_
