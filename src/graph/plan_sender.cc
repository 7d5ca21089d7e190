#include "banyan/graph/plan_sender.h"

#include <algorithm>

namespace banyan {
namespace {

// Size of a part. Smaller parts show sooner that bytes arrive: on a link with
// 40 kbit/s to spare, one takes as long as a gateway waits for an answer.
constexpr std::uint64_t kPartBytes = std::uint64_t{4} << 10U;
// Most bytes that one request is answered with.
constexpr std::uint64_t kMaxRequestBytes = std::uint64_t{64} << 10U;

}  // namespace

std::vector<Message> PlanSender::Answer(const std::string& peer,
                                        const PlanRequest& request,
                                        const ServicePlan& plan) {
  std::shared_ptr<const EncodedPlan>& transfer = transfers_[peer];
  if (!transfer || transfer->version != request.version) {
    if (plan.version != request.version) {
      return {PlanOffer{plan.version, request.version}};
    }
    transfer = Encoded(plan);
  }
  const std::uint64_t size = transfer->bytes.size();
  std::uint64_t offset = std::min(request.offset, size);
  const std::uint64_t end =
      offset + std::min({request.length, kMaxRequestBytes, size - offset});
  std::vector<Message> parts;
  while (offset < end) {
    const std::uint64_t length = std::min(kPartBytes, end - offset);
    parts.emplace_back(PlanPart{transfer->version, size, transfer->checksum,
                                offset,
                                transfer->bytes.substr(offset, length)});
    offset += length;
  }
  return parts;
}

std::shared_ptr<const EncodedPlan> PlanSender::Encoded(
    const ServicePlan& plan) {
  if (!newest_ || newest_->version != plan.version) {
    newest_ = std::make_shared<const EncodedPlan>(EncodePlan(plan));
  }
  return newest_;
}

}  // namespace banyan
