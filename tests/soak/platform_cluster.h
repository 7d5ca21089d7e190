#ifndef BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_
#define BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_

#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/base/time.h"
#include "banyan/net/http.h"
#include "tests/soak/platform_worker.h"
#include "tests/soak/run_history.h"
#include "tests/soak/thin_link.h"

namespace banyan {

// How many machines of each kind there are, in the data centres dc-a, dc-b and
// so on by turns.
struct PlatformShape {
  int replicas = 3;
  int data_centres = 3;
  // How many replicas may be lost at a time, and how long after their return
  // the next ones may be.
  int losses_required = 1;
  Duration catch_up = std::chrono::seconds(4);
  // Instances of control without a disk, which lead operators to the cell.
  int relays = 0;
  int entries = 2;
  int workers = 6;
  // Longest lease that workers accept.
  std::int64_t max_lease_ms = 6000;
  // The link of each relay and entry to the cell.
  LinkQuality link;
  // How long a sync of a replica takes, on a disk that loses what was not
  // synced with its power; 0 for the disk of this machine.
  Duration sync_time{0};
  // After how many entries a replica writes a snapshot; 0 for the default.
  int snapshot_interval_entries = 0;
};

// Returns the shape of a cell of five replicas that bears two losses.
[[nodiscard]] PlatformShape FiveReplicaShape();

// Returns the shape of a cell of five replicas with a relay, and with links of
// 2 Mbit/s to relays and entries.
[[nodiscard]] PlatformShape ThinLinkShape();

// So many versions of the configuration have a route of each version.
inline constexpr std::int64_t kMarkedVersions = 64;

// Returns a configuration with so many routes beside the one of the jobs. The
// first of them are the routes of this version and of those before it.
[[nodiscard]] std::string PlanDocument(std::int64_t version, int routes);

// The processes of the deploy file on loopback, each machine at an address of
// its own, with stand-ins for the workers. Whatever still runs is ended, by its
// process id, when the cluster goes.
class PlatformCluster {
 public:
  // `binaries` is the folder of the program, `folder` one for settings, logs
  // and data, which is emptied first.
  PlatformCluster(std::string binaries,
                  std::string folder,
                  PlatformShape shape);
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster&) = delete;
  PlatformCluster& operator=(const PlatformCluster&) = delete;

  // Starts everything and installs the first configuration. Returns whether all
  // entries are ready before the timeout.
  [[nodiscard]] bool Start(Duration timeout);

  // Start, kill or signal one process: "control-0", "entry-0", "agent-0". One
  // that runs is not started again.
  void StartOne(const std::string& name);
  void Kill(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Empties the data folder of a replica that does not run. From now on it
  // starts like a machine that is new to the cell; where there are relays, its
  // seeds are drawn among all that serve operators.
  void EmptyDisk(const std::string& name, Random& random);
  // Stops and continues the replicas in turn until the cluster goes, so that
  // each has only a share of a processor.
  void ThrottleReplicas();
  // Returns whether a replica has written so much without a sync.
  [[nodiscard]] bool HasUnsynced(std::uint64_t bytes) const;
  // Kills all replicas at the same moment and takes what their disks lose with
  // the power.
  void LosePowerOfReplicas(Random& random);
  // Starts replicas again, after a delay, that have ended by themselves.
  void RestartEndedReplicas();
  [[nodiscard]] int ended_replicas() const { return ended_replicas_; }
  // Returns how often replicas have refused their logs.
  [[nodiscard]] int CountRefusedLogs() const;

  // Returns the path of the settings file of a process.
  [[nodiscard]] const std::string& SettingsPath(const std::string& name) const {
    return processes_.at(name).settings_path;
  }
  // Returns whether an entry says that it is ready.
  [[nodiscard]] bool IsReady(int entry) const;

  // Makes a call on a job at an entry; status 0 without an answer.
  [[nodiscard]] HttpReply CallQueue(int entry,
                                    const std::string& method,
                                    const std::string& id,
                                    const std::string& body = "") const;
  // Makes a call on the configuration at a replica or, after these, a relay,
  // and follows its redirection; status 0 without an answer.
  [[nodiscard]] HttpReply CallConfig(int instance,
                                     const std::string& method,
                                     const std::string& body = "") const;
  // Returns whether an entry serves the route of a version, which it also does
  // if it holds one of the next kMarkedVersions - 1.
  [[nodiscard]] bool ServesVersion(int entry, std::int64_t version) const;

  [[nodiscard]] std::vector<std::unique_ptr<PlatformWorker>>& workers() {
    return workers_;
  }
  [[nodiscard]] RunHistory& history() { return history_; }
  [[nodiscard]] const PlatformShape& shape() const { return shape_; }

 private:
  struct Process {
    std::string role;
    std::string settings_path;
    pid_t pid = 0;
    bool is_frozen = false;
    // Of a replica.
    std::string data_folder;
    bool is_throttled = false;
    std::optional<Time> restart_at;
    // Null at the speed of loopback.
    std::unique_ptr<ThinLink> link;
  };

  void AddProcess(const std::string& role,
                  int index,
                  const std::string& ip,
                  const std::string& settings);
  // Draws the addresses of three that serve operators.
  [[nodiscard]] std::string DrawSeeds(Random& random) const;
  void AddThinLink(const std::string& name, int machine);
  [[nodiscard]] bool InstallPlan(Time deadline) const;
  void RunThrottle();

  const std::string binaries_;
  const std::string folder_;
  const PlatformShape shape_;
  std::string seeds_;
  // Guards the process ids and what they are signalled, since the throttle must
  // not signal an id that is free again.
  std::mutex mutex_;
  std::map<std::string, Process> processes_;
  // Where operators call: the replicas, then the relays.
  std::vector<std::string> controls_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  int ended_replicas_ = 0;
  RunHistory history_;
  std::vector<std::unique_ptr<PlatformWorker>> workers_;
  std::atomic<bool> must_end_{false};
  std::thread throttle_thread_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_
