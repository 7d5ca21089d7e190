#ifndef BANYAN_PROCESS_PROGRAM_H_
#define BANYAN_PROCESS_PROGRAM_H_

#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"
#include "banyan/events/event.h"
#include "banyan/events/json_log.h"
#include "banyan/graph/cell_link.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/process/pending.h"

namespace banyan {

// The version that every binary reports.
inline constexpr const char* kVersion = "0.1.0";

// Environment variable with the path of the settings file, used if the command
// line gives none.
inline constexpr const char* kSettingsVariable = "BANYANCHUTE_CONFIG";

// Parsed command line of a daemon.
struct ProgramArgs {
  std::string settings_path;
  bool check_only = false;
};

// Parses the command line. Returns nullopt and sets `exit_code` if the process
// should exit: after --help, --version or a usage error.
[[nodiscard]] std::optional<ProgramArgs> ParseProgramArgs(
    int argc,
    char** argv,
    const std::string& description,
    int& exit_code);

// Starts the process log: files in `folder`, or JSON lines on standard output
// if `folder` is empty.
void StartLog(const char* program, const std::string& folder);

// Prints why the settings are invalid and returns the exit code for that.
[[nodiscard]] int ReportBadSettings(const Reason& reason);

// Logs the final answer to a call of an operator, which began at `start`.
void LogOperatorCall(const HttpCall& call, const HttpReply& reply, Time start);

// Logs that a process has turned to another replica, if it has since the last
// call.
void LogSwitch(CellLink& link);

// Blocks SIGTERM, SIGINT and SIGHUP, so that Wait() receives them, and ignores
// SIGPIPE. Create it before any thread starts, because threads inherit the
// signal mask.
class SignalWaiter {
 public:
  enum class Result : std::uint8_t { kReload, kStop, kTimeout };

  SignalWaiter();
  // Waits for one of the signals, at most for `timeout`. SIGHUP requests a
  // reload of the settings.
  [[nodiscard]] Result Wait(Duration timeout);

 private:
  sigset_t signals_{};
};

// Interval at which a daemon checks whether its settings file has changed.
inline constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);

// Returns the content of a file; empty if it can't be read.
[[nodiscard]] std::string ReadText(const std::string& path);

// Name and description of a daemon, for its usage text and log.
struct ProgramInfo {
  const char* name;
  const char* description;
};

// Joins addresses with commas.
[[nodiscard]] std::string JoinAddresses(std::span<const std::string> addresses);

// Returns the seeds in the settings, joined with commas; empty for settings
// without seeds.
template <typename Settings>
[[nodiscard]] std::string SeedsOf(const Settings& settings) {
  if constexpr (requires { settings.seeds; }) {
    return JoinAddresses(settings.seeds);
  }
  return "";
}

// Logs an event of the process lifecycle, such as its start.
void LogLifecycleEvent(EventId event_id,
                       const ProgramInfo& info,
                       const std::string& seeds = "");

// Logs a reload of the settings. `error` is null if they were valid.
void LogReload(const ProgramInfo& info,
               const Reason* error,
               const std::string& seeds);

// Runs a daemon: parses its command line and settings, starts it, waits for
// signals and stops it gracefully. Returns the exit code.
// Process needs Start(Reason&) and Stop(), which returns whether all work was
// finished. With a Reload(const Settings&) it also reloads on SIGHUP, and when
// the content of the file has changed.
template <typename Process, typename Settings>
int RunProgram(int argc,
               char** argv,
               const ProgramInfo& info,
               std::optional<Settings> (*load)(const std::string&, Reason&)) {
  int exit_code = 0;
  const auto args = ParseProgramArgs(argc, argv, info.description, exit_code);
  if (!args) {
    return exit_code;
  }
  Reason reason;
  std::string text = ReadText(args->settings_path);
  std::string refused_text;
  auto settings = load(args->settings_path, reason);
  if (!settings) {
    return ReportBadSettings(reason);
  }
  if (args->check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  SignalWaiter signals;
  StartLog(info.name, settings->log_folder);
  Process process(*settings);
  if (!process.Start(reason)) {
    std::cerr << info.name << ": " << ToString(reason) << "\n";
    StopJsonLog();
    return 1;
  }
  LogLifecycleEvent(EventId::kProcessStarted, info, SeedsOf(*settings));
  for (auto signal = signals.Wait(kSettingsCheckInterval);
       signal != SignalWaiter::Result::kStop;
       signal = signals.Wait(kSettingsCheckInterval)) {
    if constexpr (requires { process.Reload(*settings); }) {
      const std::string new_text = ReadText(args->settings_path);
      const bool is_timeout = signal == SignalWaiter::Result::kTimeout;
      if (is_timeout && new_text == text) {
        continue;
      }
      const auto changed = load(args->settings_path, reason);
      if (changed) {
        text = new_text;
        process.Reload(*changed);
      }
      if (changed || !is_timeout || new_text != refused_text) {
        LogReload(info, changed ? nullptr : &reason,
                  changed ? SeedsOf(*changed) : "");
      }
      // It may have been read while it was written, and is read again.
      refused_text = changed ? "" : new_text;
    }
  }
  LogLifecycleEvent(EventId::kProcessStopping, info);
  const bool was_clean = process.Stop();
  LogLifecycleEvent(
      was_clean ? EventId::kProcessStopped : EventId::kProcessCutShort, info);
  StopJsonLog();
  return 0;
}

// Serves the health check and the metrics page, common to all daemons. Returns
// nullopt for any other path.
[[nodiscard]] std::optional<HttpReply>
ServeHealthAndMetrics(const HttpCall& call, bool is_leaving, Metrics& metrics);

// HTTP replies that the threads of the HTTP server wait for.
using PendingHttpReplies = PendingResponses<HttpReply>;

}  // namespace banyan

#endif  // BANYAN_PROCESS_PROGRAM_H_
