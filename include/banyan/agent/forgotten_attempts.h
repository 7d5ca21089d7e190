#ifndef BANYAN_AGENT_FORGOTTEN_ATTEMPTS_H_
#define BANYAN_AGENT_FORGOTTEN_ATTEMPTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// Remembers which attempts had a record that was dropped, as a Bloom filter in
// two generations: an attempt that was added is found for a day at least, and
// one that was not is rarely mistaken for it. Uses 1 MiB once it is not empty.
class ForgottenAttempts {
 public:
  // Adds an attempt under a claim.
  void Add(Time now, std::string_view claim_key, std::uint64_t attempt);

  // Returns whether the attempt may have been added.
  [[nodiscard]] bool MayContain(std::string_view claim_key,
                                std::uint64_t attempt) const;

 private:
  static constexpr std::size_t kBits = std::size_t{1} << 22U;
  static constexpr std::size_t kProbes = 4;

  using Generation = std::vector<bool>;

  // Returns the bits of an attempt.
  [[nodiscard]] static std::array<std::size_t, kProbes> BitsOf(
      std::string_view claim_key,
      std::uint64_t attempt) noexcept;

  Generation current_;
  Generation previous_;
  Time current_until_;
};

}  // namespace banyan

#endif  // BANYAN_AGENT_FORGOTTEN_ATTEMPTS_H_
