#ifndef BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_
#define BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/net/http.h"
#include "tests/soak/platform_worker.h"
#include "tests/soak/run_history.h"

namespace banyan {

// How many machines of each kind there are, in the data centres dc-a, dc-b and
// dc-c by turns.
struct PlatformShape {
  int replicas = 3;
  int entries = 2;
  int workers = 6;
};

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

  // Start, kill or signal one process: "control-0", "entry-0", "agent-0".
  void StartOne(const std::string& name);
  void Kill(const std::string& name);
  void Signal(const std::string& name, int signal) const;

  // Makes a call on a job at an entry; status 0 without an answer.
  [[nodiscard]] HttpReply CallQueue(int entry,
                                    const std::string& method,
                                    const std::string& id,
                                    const std::string& body = "") const;

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
  };

  void AddProcess(const std::string& role,
                  int index,
                  const std::string& ip,
                  const std::string& settings);
  [[nodiscard]] bool InstallPlan(Time deadline) const;

  const std::string binaries_;
  const std::string folder_;
  const PlatformShape shape_;
  std::string seeds_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> controls_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  RunHistory history_;
  std::vector<std::unique_ptr<PlatformWorker>> workers_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_PLATFORM_CLUSTER_H_
