#include "banyan/process/agent_process.h"

// Entry point of banyan-agent.
int main(int argc, char** argv) {
  return banyan::RunProgram<banyan::AgentProcess, banyan::AgentSettings>(
      argc, argv,
      {"banyan-agent", "Sidecar agent of one endpoint or worker instance."},
      banyan::LoadAgentSettings);
}
