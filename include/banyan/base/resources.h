#ifndef BANYAN_BASE_RESOURCES_H_
#define BANYAN_BASE_RESOURCES_H_

#include <algorithm>
#include <cstdint>
#include <limits>

namespace banyan {

// Amounts of the resources that a worker offers or a task requires.
struct Resources {
  // Thousandths of a CPU core.
  std::int64_t cpu_millis = 0;
  // Memory in MiB.
  std::int64_t memory_mib = 0;
  // Number of accelerators.
  std::int64_t accelerators = 0;

  friend constexpr bool operator==(const Resources&,
                                   const Resources&) noexcept = default;

  constexpr Resources& operator+=(const Resources& other) noexcept {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }

  constexpr Resources& operator-=(const Resources& other) noexcept {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }

  friend constexpr Resources operator+(Resources a,
                                       const Resources& b) noexcept {
    return a += b;
  }

  friend constexpr Resources operator-(Resources a,
                                       const Resources& b) noexcept {
    return a -= b;
  }
};

// Returns whether `need` is at most `free` in every dimension.
[[nodiscard]] constexpr bool Fits(const Resources& need,
                                  const Resources& free) noexcept {
  return need.cpu_millis <= free.cpu_millis &&
         need.memory_mib <= free.memory_mib &&
         need.accelerators <= free.accelerators;
}

// Returns how often `need` fits into `free`; 0 for no need.
[[nodiscard]] constexpr std::int64_t TimesFitting(
    const Resources& need,
    const Resources& free) noexcept {
  std::int64_t times = std::numeric_limits<std::int64_t>::max();
  const auto restrict_by = [&](std::int64_t needed, std::int64_t available) {
    if (needed > 0) {
      times = std::min(times, std::max<std::int64_t>(available, 0) / needed);
    }
  };
  restrict_by(need.cpu_millis, free.cpu_millis);
  restrict_by(need.memory_mib, free.memory_mib);
  restrict_by(need.accelerators, free.accelerators);
  return times == std::numeric_limits<std::int64_t>::max() ? 0 : times;
}

// Returns the smaller amount in each dimension.
[[nodiscard]] constexpr Resources Min(const Resources& a,
                                      const Resources& b) noexcept {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mib, b.memory_mib),
          std::min(a.accelerators, b.accelerators)};
}

// Returns the larger amount in each dimension.
[[nodiscard]] constexpr Resources Max(const Resources& a,
                                      const Resources& b) noexcept {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mib, b.memory_mib),
          std::max(a.accelerators, b.accelerators)};
}

// Returns whether no dimension is negative.
[[nodiscard]] constexpr bool IsNonNegative(const Resources& r) noexcept {
  return r.cpu_millis >= 0 && r.memory_mib >= 0 && r.accelerators >= 0;
}

static_assert(Fits({1, 1, 0}, {1, 2, 0}));
static_assert(!Fits({1, 1, 1}, {1, 2, 0}));
static_assert(TimesFitting({2, 1, 0}, {5, 9, 0}) == 2);

}  // namespace banyan

#endif  // BANYAN_BASE_RESOURCES_H_
