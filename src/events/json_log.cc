#include "banyan/events/json_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace banyan {
namespace {

// Holds about one second of output at peak load.
constexpr std::size_t kQueueCapacityLines = 4096;
constexpr std::chrono::seconds kFlushInterval{1};

std::shared_ptr<spdlog::async_logger>& Logger() {
  static std::shared_ptr<spdlog::async_logger> logger;
  return logger;
}

}  // namespace

std::string ToJsonLine(const Event& event, WallMillis time) {
  nlohmann::ordered_json line = {{"time_ms", time},
                                 {"event", EventName(event.id())},
                                 {"id", static_cast<int>(event.id())}};
  std::map<std::string_view, std::string_view> sorted;
  for (const auto& [key, value] : event.fields()) {
    sorted[key] = value;
  }
  for (const auto& [key, value] : sorted) {
    line[std::string(key)] = value;
  }
  // A field may hold bytes from a caller that are not valid UTF-8.
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void StartJsonLog(const std::string& program) {
  if (Logger() != nullptr) {
    return;
  }
  spdlog::init_thread_pool(kQueueCapacityLines, 1);
  Logger() = std::make_shared<spdlog::async_logger>(
      program, std::make_shared<spdlog::sinks::stdout_sink_st>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  Logger()->set_pattern("%v");
  spdlog::register_logger(Logger());
  spdlog::flush_every(kFlushInterval);
}

bool IsJsonLogStarted() noexcept {
  return Logger() != nullptr;
}

void WriteJsonEvents(std::span<const Event> events) {
  const WallMillis now = WallNow();
  for (const Event& event : events) {
    Logger()->info(ToJsonLine(event, now));
  }
}

std::uint64_t DroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0 : pool->overrun_counter();
}

void StopJsonLog() {
  if (Logger() == nullptr) {
    return;
  }
  Logger()->flush();
  Logger().reset();
  spdlog::shutdown();
}

}  // namespace banyan
