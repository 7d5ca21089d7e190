#include "banyan/agent/forgotten_attempts.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace banyan {
namespace {

// Claims are kept for a day.
constexpr Duration kGenerationTime = std::chrono::hours(24);

}  // namespace

std::array<std::size_t, ForgottenAttempts::kProbes> ForgottenAttempts::BitsOf(
    std::string_view claim_key,
    std::uint64_t attempt) noexcept {
  // Double hashing: the probes are first + i * step.
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  const std::uint64_t first =
      (std::hash<std::string_view>{}(claim_key) ^ attempt) * kMultiplier;
  const std::uint64_t step = (first ^ (first >> 29U)) * kMultiplier | 1U;
  std::array<std::size_t, kProbes> bits{};
  for (std::size_t i = 0; i < kProbes; ++i) {
    bits[i] = static_cast<std::size_t>((first + i * step) >> 20U) % kBits;
  }
  return bits;
}

void ForgottenAttempts::Add(Time now,
                            std::string_view claim_key,
                            std::uint64_t attempt) {
  if (current_.empty() || current_until_ <= now) {
    previous_ = std::exchange(current_, Generation(kBits));
    current_until_ = now + kGenerationTime;
  }
  for (const std::size_t bit : BitsOf(claim_key, attempt)) {
    current_[bit] = true;
  }
}

bool ForgottenAttempts::MayContain(std::string_view claim_key,
                                   std::uint64_t attempt) const {
  const auto bits = BitsOf(claim_key, attempt);
  const auto contains = [&](const Generation& generation) {
    return !generation.empty() &&
           std::all_of(bits.begin(), bits.end(),
                       [&](std::size_t bit) { return generation[bit]; });
  };
  return contains(current_) || contains(previous_);
}

}  // namespace banyan
