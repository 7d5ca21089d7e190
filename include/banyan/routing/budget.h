#ifndef BANYAN_ROUTING_BUDGET_H_
#define BANYAN_ROUTING_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace banyan {

// Token bucket that limits retries or hedges to a percentage of successful
// requests, so that they cannot multiply the load on a failing service.
class AttemptBudget {
 public:
  // Adds `percent` hundredths of a token; called once per success.
  constexpr void Deposit(std::int64_t percent) noexcept {
    constexpr double kPercent = 100;
    tokens_ =
        std::min(kMaxTokens, tokens_ + static_cast<double>(percent) / kPercent);
  }

  // Takes one token, which pays for one extra attempt. Returns false if less
  // than one token is left.
  [[nodiscard]] constexpr bool TryWithdraw() noexcept {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // Limits the burst of extra attempts after a long run of successes.
  static constexpr double kMaxTokens = 20;
  // Allows a few extra attempts before the first success.
  static constexpr double kInitialTokens = 3;
  double tokens_ = kInitialTokens;
};

}  // namespace banyan

#endif  // BANYAN_ROUTING_BUDGET_H_
