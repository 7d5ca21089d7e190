#include <iostream>

#include "banyan/events/event.h"
#include "banyan/process/entry_process.h"

// Entry point of banyan-entry.
int main(int argc, char** argv) {
  int exit_code = 0;
  const auto args = banyan::ParseProgramArgs(
      argc, argv,
      "Thin entry for callers: routing, admission, retries, claims.",
      exit_code);
  if (!args) {
    return exit_code;
  }
  banyan::Reason reason;
  auto settings = banyan::LoadEntrySettings(args->settings, reason);
  if (!settings) {
    return banyan::ReportBadSettings(reason);
  }
  if (args->check_only) {
    std::cout << "settings are right\n";
    return 0;
  }
  banyan::StopSignal stop;
  banyan::StartLog("banyan-entry", settings->log_folder);
  const std::string id = settings->id;
  banyan::EntryProcess process(*std::move(settings));
  if (!process.Start(reason)) {
    std::cerr << "banyan-entry: " << banyan::ToString(reason) << "\n";
    return 1;
  }
  const banyan::Event started = banyan::Event(banyan::EventId::kProcessStarted)
                                    .With("program", "banyan-entry")
                                    .With("id", id)
                                    .With("version", banyan::kVersion);
  banyan::WriteEvents({&started, 1});
  stop.Wait();
  const banyan::Event stopping =
      banyan::Event(banyan::EventId::kProcessStopping).With("id", id);
  banyan::WriteEvents({&stopping, 1});
  const bool was_clean = process.Stop();
  const banyan::Event stopped = banyan::Event(banyan::EventId::kProcessStopped)
                                    .With("id", id)
                                    .With("clean", was_clean ? 1 : 0);
  banyan::WriteEvents({&stopped, 1});
  return 0;
}
