#ifndef BANYAN_WIRE_FIELD_LIMITS_H_
#define BANYAN_WIRE_FIELD_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"

// The largest values that fields of other writers' documents can mean. Sums,
// and conversions to Duration, of values within these limits do not overflow.
namespace banyan {

// Counters: the largest integer that every JSON implementation represents
// exactly (RFC 8259, section 6).
inline constexpr std::int64_t kMaxCounter = (std::int64_t{1} << 53) - 1;

// Points in time: the last millisecond of the year 9999, the last one that ISO
// 8601 can write.
inline constexpr WallMillis kMaxWallMillis = 253402300799999;

// Durations: 100 years, in milliseconds.
inline constexpr std::int64_t kMaxDurationMs =
    100LL * 365 * 24 * 60 * 60 * 1000;

// Amounts of one resource, in the units of Resources: a million cores, a
// petabyte of memory.
inline constexpr std::int64_t kMaxResourceAmount = 1'000'000'000;

// Ids, and names of services, data centres and labels, in bytes. DNS allows
// names of 253 bytes.
inline constexpr std::size_t kMaxNameBytes = 256;

// Returns whether `value` is at least 0 and at most `max`.
[[nodiscard]] constexpr bool IsUpTo(std::int64_t value,
                                    std::int64_t max) noexcept {
  return value >= 0 && value <= max;
}

// Returns whether every amount is within the limits.
[[nodiscard]] constexpr bool IsWithinLimits(const Resources& amounts) noexcept {
  return IsUpTo(amounts.cpu_millis, kMaxResourceAmount) &&
         IsUpTo(amounts.memory_mib, kMaxResourceAmount) &&
         IsUpTo(amounts.accelerators, kMaxResourceAmount);
}

}  // namespace banyan

#endif  // BANYAN_WIRE_FIELD_LIMITS_H_
