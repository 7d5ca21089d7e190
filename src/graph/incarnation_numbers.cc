#include "banyan/graph/incarnation_numbers.h"

#include "banyan/graph/call_fence.h"

namespace banyan {

void IncarnationNumbers::Reset(const GraphTable& table,
                               std::uint64_t leader_token) {
  *this = IncarnationNumbers();
  leader_token_ = leader_token;
  for (const auto& [id, worker] : table.workers()) {
    admitted_[id] = {worker.info.life, 0};
  }
}

std::optional<std::uint64_t> IncarnationNumbers::Find(
    const ByWorker& numbers,
    const WorkerIncarnation& incarnation) {
  const auto found = numbers.find(incarnation.id);
  if (found == numbers.end() || found->second.incarnation != incarnation) {
    return std::nullopt;
  }
  return found->second.number;
}

std::uint64_t IncarnationNumbers::Of(
    const WorkerIncarnation& incarnation) const {
  return Find(admitted_, incarnation).value_or(0);
}

bool IncarnationNumbers::IsFenced(const WorkerSync& sync) const {
  if (!sync.answered_token) {
    return true;
  }
  auto number = Find(admitted_, sync.info.life);
  if (!number) {
    number = Find(requested_, sync.info.life);
  }
  return number && *sync.answered_token >= CallToken(leader_token_, *number);
}

WorkerOrders IncarnationNumbers::Request(const WorkerIncarnation& incarnation) {
  Numbered& requested = requested_[incarnation.id];
  if (requested.incarnation != incarnation) {
    requested = {incarnation, ++last_number_};
  }
  WorkerOrders orders;
  orders.worker = incarnation;
  orders.fencing_token = leader_token_;
  orders.incarnation_number = requested.number;
  orders.must_fence = true;
  return orders;
}

void IncarnationNumbers::OnAdmitted(const WorkerIncarnation& incarnation) {
  const auto found = requested_.find(incarnation.id);
  if (found != requested_.end() && found->second.incarnation == incarnation) {
    admitted_[incarnation.id] = found->second;
    requested_.erase(found);
  }
}

}  // namespace banyan
