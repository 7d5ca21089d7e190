#ifndef BANYAN_ROUTING_BUDGET_H_
#define BANYAN_ROUTING_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace banyan {

// Bounds extra attempts to a share of recent successes, so that they can't
// multiply the load of a service that is in trouble.
class AttemptBudget {
 public:
  // Earns a share, in percent, of one attempt for a success.
  constexpr void Deposit(std::int64_t percent) noexcept {
    constexpr double kPercent = 100;
    tokens_ =
        std::min(kMaxTokens, tokens_ + static_cast<double>(percent) / kPercent);
  }

  // Spends one attempt if there is one left.
  [[nodiscard]] constexpr bool TryWithdraw() noexcept {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 20;
  static constexpr double kInitialTokens = 3;
  double tokens_ = kInitialTokens;
};

}  // namespace banyan

#endif  // BANYAN_ROUTING_BUDGET_H_
