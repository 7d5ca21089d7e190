#ifndef BANYAN_TESTS_SOAK_CONFIG_LOAD_H_
#define BANYAN_TESTS_SOAK_CONFIG_LOAD_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/base/time.h"
#include "tests/soak/platform_cluster.h"

namespace banyan {

// Changes a large configuration all the time, and judges whether it can be read
// back and, where links are thin, whether every entry serves it. Thread-safe.
class ConfigLoad {
 public:
  ConfigLoad(const PlatformCluster& cluster, std::uint64_t seed);
  ~ConfigLoad();
  ConfigLoad(const ConfigLoad&) = delete;
  ConfigLoad& operator=(const ConfigLoad&) = delete;

  // From the deadline on it is a violation if no replica has shown what was
  // acknowledged before this call, or something newer.
  void ExpectReadBack(Time deadline);
  [[nodiscard]] bool IsReadBackPending() const;
  // While it is set, every entry has to serve each acknowledged change within
  // config-ms. No fault may be near until nothing is pending any more.
  void SetCalm(bool is_calm);
  // From the next change on, all are of the largest size.
  void UseLargest() { uses_largest_ = true; }
  // Every entry has to serve what was acknowledged before this call by the
  // deadline, and every replica and relay to show it.
  void ExpectEverywhere(Time deadline);
  // Returns whether something is yet to be served or shown.
  [[nodiscard]] bool IsAnyPending() const;
  // Returns the longest time from an acknowledgement in calm time until an
  // entry served the change.
  [[nodiscard]] Duration slowest_change() const;
  // Ends the changes. Returns a line for each time the configuration was not
  // read back.
  [[nodiscard]] std::vector<std::string> Stop();
  [[nodiscard]] std::int64_t acknowledged() const { return acknowledged_; }

 private:
  struct ReadBack {
    std::int64_t version = 0;
    Time deadline;
  };

  struct Expectation {
    std::int64_t version = 0;
    Time acknowledged_at;
    Time deadline;
    // Whether replicas and relays have to show it, too.
    bool is_everywhere = false;
  };
  // An entry, a replica or a relay, and how many expectations it has behind it.
  struct Instance {
    bool is_entry = false;
    int index = 0;
    std::size_t settled = 0;
  };

  void RunChanges();
  [[nodiscard]] int NextRoutes();
  void Acknowledge(std::int64_t version);
  void RunJudge(Instance& instance);
  [[nodiscard]] bool Shows(const Instance& instance,
                           std::int64_t version) const;
  [[nodiscard]] std::int64_t ReadVersion(int instance) const;
  void RunReadBacks();
  void Judge(std::int64_t version);

  const PlatformCluster& cluster_;
  Random random_;
  std::atomic<std::int64_t> acknowledged_{1};
  mutable std::mutex mutex_;
  std::optional<ReadBack> expected_;
  std::vector<Expectation> expectations_;
  std::vector<Instance> instances_;
  bool is_calm_ = false;
  Duration slowest_change_{0};
  std::vector<std::string> violations_;
  std::atomic<bool> uses_largest_{false};
  std::atomic<bool> must_end_{false};
  std::vector<std::thread> threads_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_CONFIG_LOAD_H_
