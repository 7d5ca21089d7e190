#ifndef BANYAN_BASE_RANDOM_H_
#define BANYAN_BASE_RANDOM_H_

#include <cstdint>

namespace banyan {

// A deterministic pseudo-random number generator (splitmix64). The same seed
// gives the same sequence on every machine.
class Random {
 public:
  explicit constexpr Random(std::uint64_t seed) noexcept : state_(seed) {}

  // Returns 64 uniformly distributed bits.
  constexpr std::uint64_t Next() noexcept {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }

  // Returns an integer in [0, bound), or 0 if the bound is 0.
  constexpr std::uint64_t NextBelow(std::uint64_t bound) noexcept {
    return bound == 0 ? 0 : Next() % bound;
  }

  // Returns a uniformly distributed number in [0, 1).
  constexpr double NextDouble() noexcept {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// Returns a random non-zero incarnation from the system's entropy source.
[[nodiscard]] std::uint64_t NewIncarnation();

}  // namespace banyan

#endif  // BANYAN_BASE_RANDOM_H_
