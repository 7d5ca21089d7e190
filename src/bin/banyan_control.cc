#include "banyan/process/control_process.h"

// Entry point of banyan-control.
int main(int argc, char** argv) {
  return banyan::RunProgram<banyan::ControlProcess, banyan::ControlSettings>(
      argc, argv,
      {"banyan-control",
       "One replica of the control cell: replicated state, scheduler, operator "
       "API."},
      banyan::LoadControlSettings);
}
