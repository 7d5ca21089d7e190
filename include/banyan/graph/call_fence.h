#ifndef BANYAN_GRAPH_CALL_FENCE_H_
#define BANYAN_GRAPH_CALL_FENCE_H_

#include <algorithm>
#include <cstdint>

#include "banyan/graph/run_call.h"
#include "banyan/wire/graph.h"

namespace banyan {

// Number of low bits of a call's fencing token that hold the number of the
// worker's incarnation. Terms up to 2^33 then stay exact in JSON numbers.
inline constexpr int kIncarnationBits = 20;
// Largest number of an incarnation within a term.
inline constexpr std::uint64_t kMaxIncarnationNumber =
    (1ULL << kIncarnationBits) - 1;

// Returns the fencing token of the calls to an incarnation. Tokens order the
// terms of the leaders and, within a term, the incarnations in the order in
// which the leader has numbered them.
[[nodiscard]] constexpr std::uint64_t CallToken(std::uint64_t leader_token,
                                                std::uint64_t number) noexcept {
  return (leader_token << kIncarnationBits) |
         std::min(number, kMaxIncarnationNumber);
}

// An agent's fencing tokens. Calls name a worker by its id alone, and one
// without an answer may be carried out by the next incarnation. Once that has
// answered a call with a higher token it refuses all calls to earlier ones.
class CallFence {
 public:
  // Takes over the tokens of commands, which are addressed to the incarnation
  // that the agent follows or to another one. Returns whether they come from
  // the latest leader known.
  bool OnOrders(const WorkerOrders& orders, bool is_addressed) noexcept;

  // Processes a run list of the incarnation that the agent follows. Returns
  // whether it is the first one that answers a call with the present token.
  bool OnList(const RunCallReply& reply) noexcept;

  // Begins with the next incarnation, which has answered no call yet.
  void BeginIncarnation() noexcept { answered_ = 0; }

  // Returns the token that calls carry.
  [[nodiscard]] std::uint64_t token() const noexcept {
    return CallToken(leader_token_, number_);
  }
  // Returns the highest token that the incarnation has answered; 0 for none.
  [[nodiscard]] std::uint64_t answered() const noexcept { return answered_; }
  // Returns whether a refusal is due to a token that was raised after the call.
  [[nodiscard]] bool IsOvertaken(const RunCallReply& reply) const noexcept {
    return reply.answered && reply.refusal == RunRefusal::kFenced &&
           reply.fencing_token < token();
  }

 private:
  std::uint64_t leader_token_ = 0;
  std::uint64_t number_ = 0;
  std::uint64_t answered_ = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_CALL_FENCE_H_
