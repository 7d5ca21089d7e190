#include "banyan/process/program.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

#include "banyan/events/json_log.h"
#include "banyan/settings/settings_reader.h"

namespace banyan {

std::optional<ProgramArgs> ParseProgramArgs(int argc,
                                            char** argv,
                                            const std::string& description,
                                            int& exit_code) {
  // EX_USAGE in sysexits.h.
  constexpr int kUsageExitCode = 64;
  ProgramArgs args;
  try {
    TCLAP::CmdLine line(description, ' ', kVersion);
    line.setExceptionHandling(false);
    // The platform passes the path of the file in the environment.
    const char* path_from_environment = std::getenv(kSettingsVariable);
    const TCLAP::ValueArg<std::string> settings(
        "s", "settings", "YAML file with the settings",
        path_from_environment == nullptr,
        path_from_environment == nullptr ? "" : path_from_environment, "FILE",
        line);
    const TCLAP::SwitchArg check("c", "check-settings",
                                 "check the settings and start nothing", line);
    line.parse(argc, argv);
    args.settings_path = settings.getValue();
    args.check_only = check.getValue();
    return args;
  } catch (const TCLAP::ExitException& exit) {
    exit_code = exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    exit_code = kUsageExitCode;
  }
  return std::nullopt;
}

void StartLog(const char* program, const std::string& folder) {
  if (folder.empty()) {
    FLAGS_logtostderr = true;
    StartJsonLog(program);
  } else {
    std::filesystem::create_directories(folder);
    FLAGS_log_dir = folder;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
  }
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program);
}

int ReportBadSettings(const Reason& reason) {
  std::cerr << "settings: " << ToString(reason) << "\n";
  return kSettingsExitCode;
}

std::string JoinAddresses(std::span<const std::string> addresses) {
  std::string text;
  for (const std::string& address : addresses) {
    text += (text.empty() ? "" : ",") + address;
  }
  return text;
}

void LogLifecycleEvent(EventId event_id,
                       const ProgramInfo& info,
                       const std::string& seeds) {
  const Event event =
      Event(event_id).With("program", info.name).With("version", kVersion);
  WriteEvent(seeds.empty() ? event : Event(event).With("seeds", seeds));
}

void LogReload(const ProgramInfo& info,
               const Reason* error,
               const std::string& seeds) {
  WriteEvent(Event(EventId::kSettingsReloaded)
                 .With("program", info.name)
                 .With("seeds", seeds)
                 .With("fault", error == nullptr ? "" : ToString(*error)));
}

std::optional<HttpReply> ServeHealthAndMetrics(const HttpCall& call,
                                               bool is_leaving,
                                               Metrics& metrics) {
  if (call.path == "/healthz" && is_leaving) {
    return ErrorReply(ErrorKind::kLeaving, "this process is stopping");
  }
  if (call.path == "/healthz") {
    return JsonReply("{\"status\":\"ok\"}\n");
  }
  if (call.path == "/metrics") {
    metrics.SetGauge("log_dropped_lines",
                     static_cast<double>(DroppedLogLines()));
    return HttpReply{200, "text/plain; version=0.0.4", metrics.Render(), {}};
  }
  return std::nullopt;
}

void LogOperatorCall(const HttpCall& call, const HttpReply& reply, Time start) {
  WriteEvent(
      Event(EventId::kCallAnswered)
          .With("method", call.method)
          .With("path", call.path)
          .With("status", reply.status)
          .With("request_bytes", call.body.size())
          .With("reply_bytes", reply.body.size())
          .With("age_ms", ToMillis(start - call.arrived_at.value_or(start)))
          .With("took_ms", ToMillis(MonotonicClock::now() - start))
          .With("reason", reply.Field("Banyan-Error")));
}

void LogSwitch(CellLink& link) {
  if (const auto change = link.TakeSwitch()) {
    WriteEvent(Event(EventId::kReplicaLeft)
                   .With("replica", change->from)
                   .With("next", change->to)
                   .With("reason", change->reason)
                   .With("waited_ms", ToMillis(change->waited)));
  }
}

SignalWaiter::SignalWaiter() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  sigaddset(&signals_, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

SignalWaiter::Result SignalWaiter::Wait(Duration timeout) {
  const auto whole = std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec limit{};
  limit.tv_sec = static_cast<std::time_t>(whole.count());
  limit.tv_nsec = static_cast<long>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(timeout - whole)
          .count());
  const int signal = sigtimedwait(&signals_, nullptr, &limit);
  if (signal < 0 && errno != EAGAIN && errno != EINTR) {
    std::this_thread::sleep_for(timeout);
  }
  if (signal < 0) {
    return Result::kTimeout;
  }
  return signal == SIGHUP ? Result::kReload : Result::kStop;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace banyan
