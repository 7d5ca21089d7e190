#ifndef BANYAN_PROCESS_PROGRAM_H_
#define BANYAN_PROCESS_PROGRAM_H_

#include <csignal>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "banyan/base/error_kind.h"
#include "banyan/net/http.h"

namespace banyan {

// The version that every binary names.
inline constexpr const char* kVersion = "0.1.0";

// What a process was asked to do on its command line.
struct ProgramArgs {
  std::string settings;
  bool check_only = false;
};

// Reads the command line; --help and --version end the process. Without a
// value the exit code is set.
[[nodiscard]] std::optional<ProgramArgs> ParseProgramArgs(
    int argc,
    char** argv,
    const std::string& description,
    int& exit_code);

// Starts the process log, in a folder or, without one, on standard error.
void StartLog(const char* program, const std::string& folder);

// Prints what is wrong with the settings and returns the exit code for it.
[[nodiscard]] int ReportBadSettings(const Reason& reason);

// Keeps SIGTERM and SIGINT from ending the process. Create it before any
// thread starts.
class StopSignal {
 public:
  StopSignal();
  // Waits for one of the signals.
  void Wait();

 private:
  sigset_t signals_{};
};

// Answers that HTTP threads wait for, by ticket.
class PendingReplies {
 public:
  // Opens a ticket; the future bears its reply.
  [[nodiscard]] std::pair<std::uint64_t, std::future<HttpReply>> Open();

  // Delivers a reply; a ticket that was given up is ignored.
  void Deliver(std::uint64_t ticket, HttpReply reply);

  // Gives a ticket up.
  void GiveUp(std::uint64_t ticket);

  // Tickets that are open.
  [[nodiscard]] std::size_t open() const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, std::promise<HttpReply>> waiting_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_PROGRAM_H_
