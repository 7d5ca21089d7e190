#include "banyan/graph/worker_validation.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>

#include "banyan/wire/field_limits.h"

namespace banyan {
namespace {

// A worker names its kind and its rack.
constexpr std::size_t kMaxLabels = 64;

// Returns whether the text can be a name in a path and in a header field.
bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '/'; });
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

bool IsLabel(std::string_view text) {
  return text.size() <= kMaxNameBytes;
}

}  // namespace

std::optional<std::string> ValidateReport(const WorkerReport& report,
                                          WallMillis now) {
  const WorkerInfo& info = report.info;
  if (!IsId(info.life.id)) {
    return "the id is empty, too long or not printable";
  }
  if (!IsUpTo(info.life.started_at_ms, kMaxWallMillis)) {
    return "the start time is out of range";
  }
  if (info.life.started_at_ms > now + ToMillis(kMaxClockError)) {
    return "the start time is in the future";
  }
  if (!IsName(info.service) || !IsName(info.data_centre)) {
    return "a name is empty or too long";
  }
  if (info.labels.size() > kMaxLabels ||
      !std::all_of(info.labels.begin(), info.labels.end(), IsLabel)) {
    return "the labels are too many or too long";
  }
  if (!IsWithinLimits(info.capacity)) {
    return "the capacity is out of range";
  }
  if (!IsUpTo(info.remaining_ms, kMaxDurationMs)) {
    return "the remaining time is out of range";
  }
  if (!IsUpTo(report.sequence, kMaxCounter)) {
    return "the sequence number is out of range";
  }
  if (!IsUpTo(report.clock_ms.value_or(0), kMaxWallMillis)) {
    return "the clock is out of range";
  }
  return std::nullopt;
}

std::optional<std::string> ValidateRun(const RunRef& run) {
  const TaskRef& task = run.task;
  if (task.graph.empty() || task.graph.size() > kMaxNameBytes ||
      !IsUpTo(task.occurrence, kMaxCounter) ||
      !IsUpTo(task.step, kMaxCounter) || !IsUpTo(task.index, kMaxCounter)) {
    return "a task is out of range";
  }
  if (run.run < 1 || run.run > kMaxCounter) {
    return "a run number is out of range";
  }
  return std::nullopt;
}

bool IsHostAndPort(std::string_view text) {
  constexpr int kMaxPort = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsId(text.substr(0, colon))) {
    return false;
  }
  const char* const end = text.data() + text.size();
  int port = 0;
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  return read.ec == std::errc() && read.ptr == end && port > 0 &&
         port <= kMaxPort;
}

}  // namespace banyan
