#ifndef BANYAN_BASE_ERROR_KIND_H_
#define BANYAN_BASE_ERROR_KIND_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

// All error kinds. Each has one row in kErrorResponses.
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

// Whether a request was executed, as reported to its caller.
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

// The HTTP response to an error kind.
struct ErrorResponse {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  RequestOutcome outcome;
  // Value of the Retry-After header in seconds; 0 omits the header.
  int retry_after_seconds;
};

// Responses indexed by ErrorKind.
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

// Returns whether each row's index equals its kind.
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

[[nodiscard]] constexpr const ErrorResponse& ResponseFor(
    ErrorKind kind) noexcept {
  return kErrorResponses[static_cast<std::size_t>(kind)];
}

// A 1-based position in a file; line 0 means that the position is unknown.
struct SourcePosition {
  std::string file;
  int line = 0;
  int column = 0;
};

// Why an operation failed.
struct Reason {
  ErrorKind kind = ErrorKind::kInternal;
  std::string text;
  SourcePosition where;
};

// Returns "file:line:column: text", or only the text if the position is
// unknown.
[[nodiscard]] std::string ToString(const Reason& reason);

}  // namespace banyan

#endif  // BANYAN_BASE_ERROR_KIND_H_
