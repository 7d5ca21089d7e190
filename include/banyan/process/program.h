#ifndef BANYAN_PROCESS_PROGRAM_H_
#define BANYAN_PROCESS_PROGRAM_H_

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "banyan/base/error_kind.h"
#include "banyan/events/event.h"
#include "banyan/events/json_log.h"
#include "banyan/metrics/metrics.h"
#include "banyan/net/http.h"
#include "banyan/process/pending.h"

namespace banyan {

// The version that every binary names.
inline constexpr const char* kVersion = "0.1.0";

// The environment variable that names the settings file where the command
// line does not.
inline constexpr const char* kSettingsVariable = "BANYANCHUTE_CONFIG";

// What a process was asked to do on its command line.
struct ProgramArgs {
  std::string settings_path;
  bool check_only = false;
};

// Reads the command line; --help and --version end the process. Without a
// value the exit code is set.
[[nodiscard]] std::optional<ProgramArgs> ParseProgramArgs(
    int argc,
    char** argv,
    const std::string& description,
    int& exit_code);

// Starts the process log, in a folder or, without one, as JSON lines on
// standard output.
void StartLog(const char* program, const std::string& folder);

// Prints what is wrong with the settings and returns the exit code for it.
[[nodiscard]] int ReportBadSettings(const Reason& reason);

// Keeps SIGTERM, SIGINT and SIGHUP from ending the process. Create it before
// any thread starts.
class SignalWaiter {
 public:
  SignalWaiter();
  // Waits for one of the signals. Returns whether it asks for a reload.
  [[nodiscard]] bool Wait();

 private:
  sigset_t signals_{};
};

// What a daemon's entry point needs to know of its process.
struct ProgramInfo {
  const char* name;
  const char* description;
};

// Writes one line for a stage in the life of a process.
void LogLifecycleEvent(EventId event_id, const ProgramInfo& info);

// Writes one line for a reload of the settings, which may have been wrong.
void LogReload(const ProgramInfo& info, const Reason* error);

// The whole life of a daemon: reads its command line and settings, starts it,
// waits for a signal and stops it gracefully. Returns the exit code. The
// process has Start and Stop; Stop tells whether everything was finished.
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
  auto settings = load(args->settings_path, reason);
  if (!settings) {
    return ReportBadSettings(reason);
  }
  if (args->check_only) {
    std::cout << "settings are right\n";
    return 0;
  }
  SignalWaiter signals;
  StartLog(info.name, settings->log_folder);
  Process process(*settings);
  if (!process.Start(reason)) {
    std::cerr << info.name << ": " << ToString(reason) << "\n";
    return 1;
  }
  LogLifecycleEvent(EventId::kProcessStarted, info);
  while (signals.Wait()) {
    if constexpr (requires { process.Reload(*settings); }) {
      auto changed = load(args->settings_path, reason);
      if (changed) {
        process.Reload(*changed);
      }
      LogReload(info, changed ? nullptr : &reason);
    }
  }
  LogLifecycleEvent(EventId::kProcessStopping, info);
  const bool was_clean = process.Stop();
  LogLifecycleEvent(
      was_clean ? EventId::kProcessStopped : EventId::kProcessCutShort, info);
  StopJsonLog();
  return 0;
}

// Answers the health check and the metrics that every daemon serves; nothing
// for any other path.
[[nodiscard]] std::optional<HttpReply>
ServeHealthAndMetrics(const HttpCall& call, bool is_leaving, Metrics& metrics);

// HTTP answers that threads wait for.
using PendingHttpReplies = PendingResponses<HttpReply>;

}  // namespace banyan

#endif  // BANYAN_PROCESS_PROGRAM_H_
