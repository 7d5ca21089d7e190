#include <iostream>

#include "banyan/events/event.h"
#include "banyan/process/agent_process.h"

// Entry point of banyan-agent.
int main(int argc, char** argv) {
  int exit_code = 0;
  const auto args = banyan::ParseProgramArgs(
      argc, argv, "Agent beside one endpoint or worker instance.", exit_code);
  if (!args) {
    return exit_code;
  }
  banyan::Reason reason;
  auto settings = banyan::LoadAgentSettings(args->settings, reason);
  if (!settings) {
    return banyan::ReportBadSettings(reason);
  }
  if (args->check_only) {
    std::cout << "settings are right\n";
    return 0;
  }
  banyan::StopSignal stop;
  banyan::StartLog("banyan-agent", settings->log_folder);
  const std::string id = settings->info.id;
  banyan::AgentProcess process(*std::move(settings));
  if (!process.Start(reason)) {
    std::cerr << "banyan-agent: " << banyan::ToString(reason) << "\n";
    return 1;
  }
  const banyan::Event started = banyan::Event(banyan::EventId::kProcessStarted)
                                    .With("program", "banyan-agent")
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
