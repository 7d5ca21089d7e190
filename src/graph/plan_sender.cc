#include "banyan/graph/plan_sender.h"

#include <algorithm>

namespace banyan {
namespace {

// Size of a part. Smaller parts show sooner that bytes arrive: on a link with
// 40 kbit/s to spare, one takes as long as a gateway waits for an answer.
constexpr std::uint64_t kPartBytes = std::uint64_t{4} << 10U;
// Most bytes that one request is answered with.
constexpr std::uint64_t kMaxRequestBytes = std::uint64_t{64} << 10U;

// Number of versions that are kept for gateways that have lost a connection.
constexpr std::size_t kRecentPlans = 4;

}  // namespace

std::vector<Message> PlanSender::Answer(const std::string& peer,
                                        const PlanRequest& request,
                                        const ServicePlan& plan) {
  std::shared_ptr<const EncodedPlan>& transfer = transfers_[peer];
  if (!transfer || transfer->version != request.version) {
    transfer = Find(request.version, plan);
    if (!transfer) {
      return {PlanOffer{plan.version, request.version}};
    }
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

std::shared_ptr<const EncodedPlan> PlanSender::Find(std::uint64_t version,
                                                    const ServicePlan& plan) {
  const auto found = std::find_if(
      recent_.begin(), recent_.end(),
      [&](const auto& encoded) { return encoded->version == version; });
  if (found != recent_.end()) {
    return *found;
  }
  if (version != plan.version) {
    return nullptr;
  }
  recent_.push_back(std::make_shared<const EncodedPlan>(EncodePlan(plan)));
  if (recent_.size() > kRecentPlans) {
    recent_.pop_front();
  }
  return recent_.back();
}

}  // namespace banyan
