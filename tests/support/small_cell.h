#ifndef BANYAN_TESTS_SUPPORT_SMALL_CELL_H_
#define BANYAN_TESTS_SUPPORT_SMALL_CELL_H_

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "banyan/process/control_process.h"
#include "banyan/process/gateway_process.h"

namespace banyan {

// A cell of three replicas in this process, with their disks and connections on
// loopback, and whatever else a test starts beside them.
class SmallCell {
 public:
  // `folder` holds the data folders and is emptied first.
  explicit SmallCell(std::string folder);
  ~SmallCell();
  SmallCell(const SmallCell&) = delete;
  SmallCell& operator=(const SmallCell&) = delete;

  // Stops a replica for good.
  void Remove(std::size_t position);

  // Starts a replica on an empty disk that knows these seeds, and returns its
  // position.
  std::size_t AddReplica(const std::vector<std::string>& seeds);

  // Gives a replica that runs other seeds.
  void SetSeeds(std::size_t position, const std::vector<std::string>& seeds);

  // Returns the address at which other processes reach a replica.
  [[nodiscard]] const std::string& Address(std::size_t position) const {
    return replicas_[position].address;
  }
  // Returns the addresses of those that run.
  [[nodiscard]] std::vector<std::string> Addresses() const;

  // Returns a metric of a replica, or -1 if it does not answer.
  [[nodiscard]] double Metric(std::size_t position,
                              const std::string& name) const;

  // Waits until a replica is one of three voters that all are heard. Returns
  // whether that was in time.
  [[nodiscard]] bool IsWhole(std::size_t position, Duration bound) const;

 private:
  // What is needed to start a replica.
  struct Start {
    std::vector<std::string> seeds;
    bool may_bootstrap = false;
  };
  struct Replica {
    std::string address;
    std::string api;
    std::unique_ptr<ControlProcess> process;
  };

  void StartReplica(std::size_t position, const Start& start);

  std::string folder_;
  std::vector<Replica> replicas_;
};

// Returns the settings of a relay for operators.
[[nodiscard]] CellSettings RelaySettings(const std::string& address,
                                         const std::vector<std::string>& seeds);

// Starts a relay.
[[nodiscard]] std::unique_ptr<GatewayProcess> StartRelay(
    const CellSettings& settings);

// Returns whether a gateway reaches a replica with a live leader before the
// bound.
[[nodiscard]] bool IsReady(const CellSettings& settings, Duration bound);

// Returns whether the condition holds before the bound, polling it.
template <typename Condition>
[[nodiscard]] bool HoldsWithin(Duration bound, const Condition& condition) {
  constexpr Duration kPollInterval = Millis(10);
  for (const Time end = MonotonicClock::now() + bound;
       MonotonicClock::now() < end;) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_SMALL_CELL_H_
