#include "tests/soak/config_load.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyan {
namespace {

using nlohmann::json;

constexpr Duration kChangeInterval = Millis(250);
constexpr Duration kReadInterval = Millis(100);
constexpr std::uint64_t kMinRoutes = 200;
constexpr std::uint64_t kMaxRoutes = 350;
// What entries on thin links have to take.
constexpr std::array kThinLinkRoutes = {350, 750, 1800};
// The target config-ms of the deployments.
constexpr Duration kConfigTarget = Millis(3000);
constexpr Duration kProbeInterval = Millis(50);
constexpr int kOk = 200;
constexpr int kConflict = 409;

}  // namespace

ConfigLoad::ConfigLoad(const PlatformCluster& cluster, std::uint64_t seed)
    : cluster_(cluster), random_(seed) {
  const PlatformShape& shape = cluster_.shape();
  if (shape.link.bytes_per_s > 0) {
    for (int i = 0; i < shape.entries; ++i) {
      instances_.push_back({true, i, 0});
    }
    for (int i = 0; i < shape.replicas + shape.relays; ++i) {
      instances_.push_back({false, i, 0});
    }
  }
  threads_.emplace_back([this] { RunChanges(); });
  threads_.emplace_back([this] { RunReadBacks(); });
  for (Instance& instance : instances_) {
    threads_.emplace_back([this, &instance] { RunJudge(instance); });
  }
}

ConfigLoad::~ConfigLoad() {
  static_cast<void>(Stop());
}

void ConfigLoad::ExpectReadBack(Time deadline) {
  const std::lock_guard lock(mutex_);
  expected_ = {acknowledged_, deadline};
}

void ConfigLoad::SetCalm(bool is_calm) {
  const std::lock_guard lock(mutex_);
  is_calm_ = is_calm;
}

void ConfigLoad::ExpectEverywhere(Time deadline) {
  const std::lock_guard lock(mutex_);
  expectations_.push_back(
      {acknowledged_, MonotonicClock::now(), deadline, true});
}

void ConfigLoad::Acknowledge(std::int64_t version) {
  const std::lock_guard lock(mutex_);
  acknowledged_ = version;
  if (is_calm_ && !instances_.empty()) {
    const Time now = MonotonicClock::now();
    expectations_.push_back({version, now, now + kConfigTarget, false});
  }
}

bool ConfigLoad::IsAnyPending() const {
  const std::lock_guard lock(mutex_);
  return std::any_of(instances_.begin(), instances_.end(),
                     [this](const Instance& instance) {
                       return instance.settled < expectations_.size();
                     });
}

Duration ConfigLoad::slowest_change() const {
  const std::lock_guard lock(mutex_);
  return slowest_change_;
}

bool ConfigLoad::IsReadBackPending() const {
  const std::lock_guard lock(mutex_);
  return expected_.has_value();
}

std::vector<std::string> ConfigLoad::Stop() {
  must_end_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return std::exchange(violations_, {});
}

void ConfigLoad::RunChanges() {
  std::int64_t version = 2;
  for (int replica = 0; !must_end_; ++replica) {
    const int status =
        cluster_.CallConfig(replica, "PUT", PlanDocument(version, NextRoutes()))
            .status;
    if (status == kOk) {
      Acknowledge(version);
    }
    // A conflict follows a change whose answer was lost.
    version += status == kOk || status == kConflict ? 1 : 0;
    std::this_thread::sleep_for(kChangeInterval);
  }
}

int ConfigLoad::NextRoutes() {
  if (uses_largest_) {
    return kThinLinkRoutes.back();
  }
  if (!instances_.empty()) {
    return kThinLinkRoutes[random_.NextBelow(kThinLinkRoutes.size())];
  }
  return static_cast<int>(kMinRoutes +
                          random_.NextBelow(kMaxRoutes - kMinRoutes + 1));
}

void ConfigLoad::RunJudge(Instance& instance) {
  while (!must_end_ || IsAnyPending()) {
    std::optional<Expectation> next;
    {
      const std::lock_guard lock(mutex_);
      if (instance.settled < expectations_.size()) {
        next = expectations_[instance.settled];
      }
    }
    const Time asked_at = MonotonicClock::now();
    const bool is_asked = next && (instance.is_entry || next->is_everywhere);
    const bool is_shown = is_asked && Shows(instance, next->version);
    // Whoever is asked at the deadline has to have it.
    if (next && (!is_asked || is_shown || asked_at >= next->deadline)) {
      const std::lock_guard lock(mutex_);
      ++instance.settled;
      if (is_asked && !next->is_everywhere) {
        slowest_change_ = std::max(
            slowest_change_, MonotonicClock::now() - next->acknowledged_at);
      }
      if (is_asked && !is_shown) {
        violations_.push_back(
            std::string(instance.is_entry ? "entry " : "instance of control ") +
            std::to_string(instance.index) + " lacks the configuration " +
            std::to_string(next->version) +
            (next->is_everywhere ? " after the final fault"
                                 : " config-ms after its acknowledgement"));
      }
    } else {
      std::this_thread::sleep_for(kProbeInterval);
    }
  }
}

bool ConfigLoad::Shows(const Instance& instance, std::int64_t version) const {
  return instance.is_entry ? cluster_.ServesVersion(instance.index, version)
                           : ReadVersion(instance.index) >= version;
}

std::int64_t ConfigLoad::ReadVersion(int instance) const {
  const HttpReply reply = cluster_.CallConfig(instance, "GET");
  const json config = json::parse(reply.body, nullptr, false);
  return reply.status == kOk && config.is_object()
             ? config.value("version", std::int64_t{0})
             : 0;
}

void ConfigLoad::RunReadBacks() {
  for (int replica = 0; !must_end_ || IsReadBackPending(); ++replica) {
    if (IsReadBackPending()) {
      Judge(ReadVersion(replica));
    }
    std::this_thread::sleep_for(kReadInterval);
  }
}

void ConfigLoad::Judge(std::int64_t version) {
  const std::lock_guard lock(mutex_);
  if (version >= expected_->version) {
    expected_.reset();
  } else if (MonotonicClock::now() >= expected_->deadline) {
    violations_.push_back("the configuration " +
                          std::to_string(expected_->version) +
                          " is not read back, but " + std::to_string(version));
    expected_.reset();
  }
}

}  // namespace banyan
