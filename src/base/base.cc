#include <random>

#include "banyan/base/error_kind.h"
#include "banyan/base/random.h"

namespace banyan {

std::string ToString(const Reason& reason) {
  if (reason.where.line == 0) {
    return reason.text;
  }
  return reason.where.file + ":" + std::to_string(reason.where.line) + ":" +
         std::to_string(reason.where.column) + ": " + reason.text;
}

std::uint64_t NewIncarnation() {
  // JSON readers that store numbers as doubles are exact only up to 2^53.
  constexpr std::uint64_t kMask = (1ULL << 53U) - 1;
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  const std::uint64_t value = ((high << 32U) | low) & kMask;
  return value == 0 ? 1 : value;
}

}  // namespace banyan
