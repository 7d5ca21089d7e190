// Plays soaks with one seed after the other and prints a line for each.

#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/soak/soak.h"

namespace {

constexpr int kMinWords = 6;
constexpr int kMaxWords = 11;
constexpr const char* kUsage =
    "usage: banyan-soak BINARIES FOLDER FIRST-SEED COUNT SECONDS\n"
    "       [FAULTS [REPLICAS [ENTRIES [WORKERS [RELAYS]]]]]\n"
    "FAULTS are all, or some of reports,workers,agents,replicas,power; cuts,\n"
    "disks, slow and thin are not part of all. With cuts, workers restart\n"
    "under their id, take calls to their former incarnation and are cut off\n"
    "from their agent. With disks, REPLICAS are five in five data centres:\n"
    "up to two at once lose their disks, are killed or freeze, and two lose\n"
    "their disks at the end. With slow, replicas have a share of a processor.\n"
    "With thin, which needs disks, relays and entries are behind links of\n"
    "2 Mbit/s and configurations are large. For example\n"
    "  banyan-soak build /tmp/soak 1 50 20 workers,agents,disks,slow\n";

bool HasFault(const std::string& names, const std::string& name) {
  return ("," + names + ",").find("," + name + ",") != std::string::npos;
}

banyan::SoakFaults ReadFaults(const std::string& names) {
  const auto has = [&](const char* name) {
    return names == "all" || HasFault(names, name);
  };
  return {.foreign_reports = has("reports"),
          .worker_restarts = has("workers"),
          .agents = has("agents"),
          .replicas = has("replicas"),
          .power_losses = has("power"),
          // The cell of three replicas does not bear these.
          .lost_disks = names != "all" && has("disks"),
          .restart_cuts = names != "all" && has("cuts"),
          .slow_replicas = names != "all" && has("slow")};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < kMinWords || argc > kMaxWords) {
    std::cerr << kUsage;
    return 64;
  }
  banyan::SoakOptions options;
  int word = kMinWords;
  options.faults = ReadFaults(argc > word ? argv[word] : "all");
  if (options.faults.lost_disks) {
    options.shape = banyan::FiveReplicaShape();
  }
  if (options.faults.lost_disks && HasFault(argv[kMinWords], "thin")) {
    options.shape = banyan::ThinLinkShape();
  }
  for (int* const machines : {&options.shape.replicas, &options.shape.entries,
                              &options.shape.workers, &options.shape.relays}) {
    if (argc > ++word) {
      *machines = std::atoi(argv[word]);
    }
  }
  const std::uint64_t first = std::strtoull(argv[3], nullptr, 10);
  const std::uint64_t count = std::strtoull(argv[4], nullptr, 10);
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    options.span = std::chrono::seconds(std::strtoll(argv[5], nullptr, 10));
    const banyan::SoakResult result =
        banyan::RunSoak(argv[1], argv[2], options);
    std::cout << "seed " << seed << ": " << result.faults << " faults, "
              << result.power_losses << " losses of power, "
              << result.lost_disks << " lost disks, " << result.config_version
              << " configurations, in force after at most "
              << banyan::ToMillis(result.slowest_change) << " ms, "
              << result.refused_logs << " refused logs, "
              << result.ended_replicas << " ended replicas, " << result.jobs
              << " jobs, " << result.runs << " runs, "
              << result.violations.size() << " violations" << std::endl;
    for (const std::string& line : result.violations) {
      std::cout << "  " << line << "\n";
    }
    failed += result.violations.empty() ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
