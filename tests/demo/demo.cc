// The demo: starts the thin system with its fakes, sends bookings, draft
// checks and packet builds, takes a data centre out and back while they run,
// and prints what became of everything.

#include <cstdio>
#include <iostream>
#include <string>
#include <thread>

#include "banyan/audit/audit.h"
#include "tests/support/cluster.h"
#include "tests/support/load.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr Duration kStartBound = seconds(20);
constexpr Duration kPhase = seconds(3);
constexpr Duration kJobBound = seconds(60);
constexpr Duration kStopBound = seconds(20);
// The product's default, in entries.
constexpr std::uint64_t kSnapshotEvery = 5000;
// Long enough that builds are moved while the data centre is out.
constexpr std::int64_t kRunMs = 6000;
constexpr double kMsPerUs = 0.001;

void PrintCounts(const char* name, const LoadCounts& counts) {
  std::printf("%-14s %7lu %7lu %8lu %8lu %6lu %8.2f %8.2f\n", name, counts.sent,
              counts.ran, counts.not_run, counts.unknown, counts.wrong,
              static_cast<double>(counts.Quantile(0.5).count()) * kMsPerUs,
              static_cast<double>(counts.Quantile(0.99).count()) * kMsPerUs);
}

int Run(const std::string& binaries, const std::string& folder) {
  ClusterShape shape;
  shape.snapshot_every = kSnapshotEvery;
  Cluster cluster(binaries, folder, shape);
  std::cout << "starting 3 control replicas, 2 entries, 6 endpoints and 3 "
               "workers on loopback\n";
  if (!cluster.Start(kStartBound)) {
    std::cerr << "the system did not come up within 20 s; logs are in "
              << folder << "\n";
    return 1;
  }
  Load load(cluster);
  load.Start(4, 4);
  const int jobs = load.SubmitJobs("packet", 30, kRunMs);
  std::this_thread::sleep_for(kPhase);
  std::cout << "taking data centre dc-b out\n";
  const int out_status = cluster.Change("/v1/data-centres/dc-b/out").status;
  std::this_thread::sleep_for(kPhase);
  std::cout << "bringing data centre dc-b back\n";
  const int in_status = cluster.Change("/v1/data-centres/dc-b/in").status;
  std::this_thread::sleep_for(kPhase);
  const bool jobs_done = load.WaitForJobs(kJobBound);
  load.Stop();
  const LoadVerdict verdict = load.Verify();
  const int unclean = cluster.StopAll(kStopBound);
  const AuditReport audit = AuditLogs(cluster.logs());

  std::printf("\n%-14s %7s %7s %8s %8s %6s %8s %8s\n", "requests", "sent",
              "ran", "not-run", "unknown", "wrong", "p50 ms", "p99 ms");
  PrintCounts("bookings", load.bookings());
  PrintCounts("draft checks", load.drafts());
  std::printf(
      "\npacket builds: %d submitted, %lu finished, %lu evictions, "
      "%ld ms of work repeated\n",
      jobs, verdict.jobs_finished, verdict.evictions, verdict.repeated_ms);
  std::printf(
      "lost %lu, doubled %lu, ran after not-run %lu, two places at "
      "once %lu\n",
      verdict.lost + verdict.jobs_unfinished, verdict.doubled,
      verdict.ran_after_not_run, verdict.overlaps);
  std::printf("processes that did not stop gracefully: %d\n", unclean);
  std::cout << "audit: " << ToString(audit);
  const bool is_right = verdict.clean() && jobs_done && unclean == 0 &&
                        out_status == 200 && in_status == 200 &&
                        audit.violations.empty() &&
                        load.bookings().wrong == 0 && load.drafts().wrong == 0;
  std::cout << (is_right ? "demo passed\n" : "demo FAILED\n");
  return is_right ? 0 : 1;
}

}  // namespace
}  // namespace banyan

// banyan-demo BINARIES FOLDER
int main(int argc, char** argv) {
  constexpr int kWords = 3;
  if (argc != kWords) {
    std::cerr << "usage: banyan-demo BINARIES FOLDER\n";
    return 64;
  }
  return banyan::Run(argv[1], argv[2]);
}
