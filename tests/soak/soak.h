#ifndef BANYAN_TESTS_SOAK_SOAK_H_
#define BANYAN_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "tests/soak/platform_cluster.h"

namespace banyan {

// Which faults a soak draws from.
struct SoakFaults {
  // Reports of another writer reach agents: a later or an earlier start,
  // another id, an unknown service.
  bool foreign_reports = true;
  // Workers crash and start again, under their id or a new one.
  bool worker_restarts = true;
  // Agents freeze, or are killed and start again.
  bool agents = true;
  // One replica at a time freezes, or is killed and starts again.
  bool replicas = true;
  // All replicas lose their power at the same moment, also a second time before
  // they have settled, under changes of a large configuration.
  bool power_losses = true;
  // As many replicas as the cell has to bear lose their disks, are killed or
  // freeze; takes the place of `replicas`. At the end, right after an
  // acknowledged change, so many lose their disks while all others lose their
  // power. Needs FiveReplicaShape().
  bool lost_disks = false;
  // Some workers crash, start again under their id, carry out calls that
  // their former incarnation left open, also seconds late, and are cut off from
  // their agent. They accept leases of up to 10 s, and long tasks take 10 s.
  bool restart_cuts = false;
  // Replicas have only a share of a processor.
  bool slow_replicas = false;
};

struct SoakOptions {
  std::uint64_t seed = 1;
  // How long faults occur.
  Duration span = std::chrono::seconds(20);
  SoakFaults faults;
  // With thin links, which need `lost_disks`, configurations have up to 1,800
  // routes, and rounds of faults alternate with calm ones, in which every entry
  // has to serve each change in time.
  PlatformShape shape;
};

struct SoakResult {
  // Broken rules, a line each: tasks that ran twice, accepted jobs that did not
  // end in time, a configuration that is not read back after a loss of power,
  // a log that its replica refuses, an entry without a configuration in force,
  // a cluster that does not start.
  std::vector<std::string> violations;
  int faults = 0;
  int power_losses = 0;
  // How often a replica lost its disk, also in the final fault.
  int lost_disks = 0;
  // How often a replica ended by itself, and refused its log.
  int ended_replicas = 0;
  int refused_logs = 0;
  // The last configuration that was acknowledged.
  std::int64_t config_version = 0;
  // How long an entry took at most, in calm time, to serve a change.
  Duration slowest_change{0};
  std::size_t jobs = 0;
  std::size_t runs = 0;
};

// Plays seeded faults on real processes under a load of jobs, and judges what
// callers and workers saw.
[[nodiscard]] SoakResult RunSoak(const std::string& binaries,
                                 const std::string& folder,
                                 const SoakOptions& options);

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_SOAK_H_
