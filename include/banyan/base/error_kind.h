#ifndef BANYAN_BASE_ERROR_KIND_H_
#define BANYAN_BASE_ERROR_KIND_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

// The closed list of error kinds. Each has one row in the table of answers.
enum class ErrorKind : std::uint8_t {
  kBadRequest,
  kTooLarge,
  kBadMessage,
  kUnknownMessage,
  kBadSettings,
  kNotFound,
  kConflict,
  kNeverRunnable,
  kOverloaded,
  kNoEndpoint,
  kNoQuorum,
  kNotLeader,
  kLeaving,
  kDataCentreOut,
  kStale,
  kDeadline,
  kBrokenAnswer,
  kUnknownOutcome,
  kDiskFailed,
  kDiskFull,
  kCorruptLog,
  kInternal,
  kCount,
};

// What became of a request, as told to its caller.
enum class RequestOutcome : std::uint8_t { kRan, kNotRun, kUnknown };

// Returns the value of the outcome header: "ran", "not-run" or "unknown".
[[nodiscard]] constexpr std::string_view ToString(
    RequestOutcome outcome) noexcept {
  switch (outcome) {
    case RequestOutcome::kRan:
      return "ran";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// The answer that belongs to an error kind.
struct ErrorResponse {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  RequestOutcome outcome;
  // Whole seconds for the Retry-After header; 0 leaves the header out.
  int retry_after_seconds;
};

// The table from kind to answer, in the order of the list.
inline constexpr std::array<ErrorResponse,
                            static_cast<std::size_t>(ErrorKind::kCount)>
    kErrorResponses = {{
        {ErrorKind::kBadRequest, "bad-request", 400, RequestOutcome::kNotRun,
         0},
        {ErrorKind::kTooLarge, "too-large", 413, RequestOutcome::kNotRun, 0},
        {ErrorKind::kBadMessage, "bad-message", 400, RequestOutcome::kNotRun,
         0},
        {ErrorKind::kUnknownMessage, "unknown-message", 400,
         RequestOutcome::kNotRun, 0},
        {ErrorKind::kBadSettings, "bad-settings", 500, RequestOutcome::kNotRun,
         0},
        {ErrorKind::kNotFound, "not-found", 404, RequestOutcome::kNotRun, 0},
        {ErrorKind::kConflict, "conflict", 409, RequestOutcome::kNotRun, 0},
        {ErrorKind::kNeverRunnable, "never-runnable", 422,
         RequestOutcome::kNotRun, 0},
        {ErrorKind::kOverloaded, "overloaded", 503, RequestOutcome::kNotRun, 1},
        {ErrorKind::kNoEndpoint, "no-endpoint", 503, RequestOutcome::kNotRun,
         2},
        {ErrorKind::kNoQuorum, "no-quorum", 503, RequestOutcome::kNotRun, 3},
        {ErrorKind::kNotLeader, "not-leader", 503, RequestOutcome::kNotRun, 1},
        {ErrorKind::kLeaving, "leaving", 503, RequestOutcome::kNotRun, 1},
        {ErrorKind::kDataCentreOut, "data-centre-out", 503,
         RequestOutcome::kNotRun, 1},
        {ErrorKind::kStale, "stale", 503, RequestOutcome::kNotRun, 1},
        {ErrorKind::kDeadline, "deadline", 503, RequestOutcome::kNotRun, 1},
        {ErrorKind::kBrokenAnswer, "broken-answer", 502,
         RequestOutcome::kUnknown, 1},
        {ErrorKind::kUnknownOutcome, "unknown-outcome", 504,
         RequestOutcome::kUnknown, 5},
        {ErrorKind::kDiskFailed, "disk-failed", 500, RequestOutcome::kNotRun,
         5},
        {ErrorKind::kDiskFull, "disk-full", 503, RequestOutcome::kNotRun, 5},
        {ErrorKind::kCorruptLog, "corrupt-log", 500, RequestOutcome::kNotRun,
         5},
        {ErrorKind::kInternal, "internal", 500, RequestOutcome::kUnknown, 5},
    }};

// Returns whether every row stands at the index of its own kind.
[[nodiscard]] consteval bool IsErrorTableInOrder() {
  for (std::size_t i = 0; i < kErrorResponses.size(); ++i) {
    if (static_cast<std::size_t>(kErrorResponses[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsErrorTableInOrder(),
              "a row of kErrorResponses is out of place");

// Returns the answer of a kind.
[[nodiscard]] constexpr const ErrorResponse& ResponseFor(
    ErrorKind kind) noexcept {
  return kErrorResponses[static_cast<std::size_t>(kind)];
}

// A place in a file, counted from 1; line 0 means that there is none.
struct SourcePosition {
  std::string file;
  int line = 0;
  int column = 0;
};

// Why the last operation gave no value.
struct Reason {
  ErrorKind kind = ErrorKind::kInternal;
  std::string text;
  SourcePosition where;
};

// Returns "file:line:column: text", or the text alone where there is no place.
[[nodiscard]] std::string ToString(const Reason& reason);

}  // namespace banyan

#endif  // BANYAN_BASE_ERROR_KIND_H_
