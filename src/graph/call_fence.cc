#include "banyan/graph/call_fence.h"

namespace banyan {

bool CallFence::OnOrders(const WorkerOrders& orders,
                         bool is_addressed) noexcept {
  if (orders.fencing_token < leader_token_) {
    return false;
  }
  if (orders.fencing_token > leader_token_) {
    leader_token_ = orders.fencing_token;
    number_ = 0;
  }
  if (is_addressed) {
    number_ = std::max(number_, orders.incarnation_number);
  }
  return true;
}

bool CallFence::OnList(const RunCallReply& reply) noexcept {
  const bool was_answered = answered_ >= token();
  answered_ = std::max(answered_, reply.fencing_token);
  return !was_answered && answered_ >= token();
}

}  // namespace banyan
