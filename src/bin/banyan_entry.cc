#include "banyan/process/entry_process.h"

// Entry point of banyan-entry.
int main(int argc, char** argv) {
  return banyan::RunProgram<banyan::EntryProcess, banyan::EntrySettings>(
      argc, argv,
      {"banyan-entry",
       "Request entry point for callers: routing, admission, retries, claims."},
      banyan::LoadEntrySettings);
}
