#ifndef BANYAN_WIRE_PLAN_CODEC_H_
#define BANYAN_WIRE_PLAN_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "banyan/wire/graph.h"

namespace banyan {

// A plan as it is sent to gateways: compressed, and without the operator's
// document, which they don't need.
struct EncodedPlan {
  std::uint64_t version = 0;
  std::string bytes;
  // CRC-32 of the bytes.
  std::uint32_t checksum = 0;
};

// Largest encoded plan that is accepted, in bytes: half of what the thinnest
// link, 2 Mbit/s, carries within the tightest bound on a change where there are
// such links, 2.5 s. The plan before it may still be in transfer; the rest is
// for acknowledgements, callers and the decoding.
inline constexpr std::size_t kMaxEncodedPlanBytes = 250'000;

// Encodes a plan. Replicas of the same build encode a version to the same
// bytes.
[[nodiscard]] EncodedPlan EncodePlan(const ServicePlan& plan);

// Returns the CRC-32 of an encoded plan.
[[nodiscard]] std::uint32_t PlanChecksum(std::string_view bytes);

// Decodes a plan, whose document is empty. Returns nullopt and sets `reason` to
// kBadMessage if the bytes are no plan.
[[nodiscard]] std::optional<ServicePlan> DecodePlan(std::string_view bytes,
                                                    Reason& reason);

}  // namespace banyan

#endif  // BANYAN_WIRE_PLAN_CODEC_H_
