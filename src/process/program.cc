#include "banyan/process/program.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>
#include <utility>

#include "banyan/settings/settings_reader.h"

namespace banyan {

std::optional<ProgramArgs> ParseProgramArgs(int argc,
                                            char** argv,
                                            const std::string& description,
                                            int& exit_code) {
  constexpr int kUsageExitCode = 64;
  ProgramArgs args;
  try {
    TCLAP::CmdLine line(description, ' ', kVersion);
    line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> settings(
        "s", "settings", "YAML file with the settings", true, "", "FILE", line);
    const TCLAP::SwitchArg check("c", "check-settings",
                                 "check the settings and start nothing", line);
    line.parse(argc, argv);
    args.settings = settings.getValue();
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

void LogStage(EventId stage, const ProgramInfo& info) {
  const Event event =
      Event(stage).With("program", info.name).With("version", kVersion);
  WriteEvents({&event, 1});
}

std::optional<HttpReply> ServeHealthAndMetrics(const HttpCall& call,
                                               bool is_leaving,
                                               const Metrics& metrics) {
  if (call.path == "/healthz" && is_leaving) {
    return ErrorReply(ErrorKind::kLeaving, "this process is stopping");
  }
  if (call.path == "/healthz") {
    return HttpReply{200, "application/json", "{\"status\":\"ok\"}\n", {}};
  }
  if (call.path == "/metrics") {
    return HttpReply{200, "text/plain; version=0.0.4", metrics.Render(), {}};
  }
  return std::nullopt;
}

StopSignal::StopSignal() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

void StopSignal::Wait() {
  int signal = 0;
  sigwait(&signals_, &signal);
}

std::pair<std::uint64_t, std::future<HttpReply>> PendingReplies::Open() {
  const std::lock_guard lock(mutex_);
  const std::uint64_t ticket = next_++;
  return {ticket, waiting_[ticket].get_future()};
}

void PendingReplies::Deliver(std::uint64_t ticket, HttpReply reply) {
  std::promise<HttpReply> promise;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
      return;
    }
    promise = std::move(found->second);
    waiting_.erase(found);
  }
  promise.set_value(std::move(reply));
}

void PendingReplies::GiveUp(std::uint64_t ticket) {
  const std::lock_guard lock(mutex_);
  waiting_.erase(ticket);
}

std::size_t PendingReplies::open() const {
  const std::lock_guard lock(mutex_);
  return waiting_.size();
}

}  // namespace banyan
