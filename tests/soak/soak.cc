#include "tests/soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "banyan/base/random.h"
#include "tests/soak/config_load.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr Duration kStartTimeout = std::chrono::seconds(30);
constexpr Duration kStepInterval = Millis(5);
constexpr Duration kJobInterval = Millis(250);
constexpr int kLanes = 2;
constexpr int kEveryLongJob = 3;
// Work of all tasks of a long job, and of one of them.
constexpr int kLongJobMs = 24000;
constexpr int kLongTaskMs = 3000;
constexpr int kLongestTaskMs = 10000;
constexpr std::int64_t kLongestLeaseMs = 10000;
// So many calls are carried out late by a next incarnation.
constexpr std::size_t kLateCalls = 6;
// Accepted jobs are asked for this long after the last fault.
constexpr Duration kFinishTimeout = std::chrono::seconds(40);
constexpr Duration kLongestFreeze = Millis(6800);
constexpr std::uint64_t kLargeRecordBytes = 16384;
constexpr Duration kLargeRecordTimeout = Millis(500);
// After a loss of power the cell serves within this time.
constexpr Duration kRecoverTimeout = std::chrono::seconds(12);
// The final fault lasts so long, and the configuration is read back within the
// timeout from its start.
constexpr Duration kFinalOff = Millis(1000);
constexpr Duration kFinalTimeout = std::chrono::seconds(15);
// On thin links, faults are played for so long at a time, and no fault is near
// when the last one is so long ago. Then changes are judged for so long.
constexpr Duration kFaultRound = std::chrono::seconds(6);
constexpr Duration kContact = std::chrono::seconds(5);
constexpr Duration kCalmRound = std::chrono::seconds(4);
// Once the last replica is back, the whole site serves within this time.
constexpr Duration kRecoverTarget = std::chrono::seconds(15);
// Without an acknowledged change the final fault comes all the same.
constexpr Duration kFinalChangeTimeout = std::chrono::seconds(10);

// Hands in jobs and remembers those that were accepted. Thread-safe.
class JobLoad {
 public:
  JobLoad(const PlatformCluster& cluster, int long_task_ms)
      : cluster_(cluster), long_task_ms_(long_task_ms) {
    for (int lane = 0; lane < kLanes; ++lane) {
      threads_.emplace_back([this, lane] { Run(lane); });
    }
  }
  ~JobLoad() { Stop(); }
  JobLoad(const JobLoad&) = delete;
  JobLoad& operator=(const JobLoad&) = delete;

  void Stop() {
    must_end_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  [[nodiscard]] std::set<std::string> accepted() const {
    const std::lock_guard lock(mutex_);
    return accepted_;
  }

 private:
  void Run(int lane) {
    constexpr std::size_t kIdLength = 16;
    for (int number = lane; !must_end_; number += kLanes) {
      std::string id = std::to_string(number);
      id.insert(0, kIdLength - id.size(), '0');
      const bool is_long = number % kEveryLongJob == 0;
      const int work_ms = is_long ? long_task_ms_ : 150;
      const json step = {{"count", is_long ? kLongJobMs / work_ms : 12},
                         {"cpu", 500},
                         {"mem-mb", 200},
                         {"estimate-ms", work_ms}};
      const json job = {{"spec", std::to_string(work_ms)}, {"steps", {step}}};
      // The same id is sent again until there is an answer.
      int status = 0;
      for (int entry = number; status == 0 && !must_end_; ++entry) {
        status = cluster_.CallQueue(entry, "POST", id, job.dump()).status;
      }
      if (status == 200) {
        const std::lock_guard lock(mutex_);
        accepted_.insert(id);
      }
      std::this_thread::sleep_for(kJobInterval);
    }
  }

  const PlatformCluster& cluster_;
  const int long_task_ms_;
  mutable std::mutex mutex_;
  std::set<std::string> accepted_;
  std::atomic<bool> must_end_{false};
  std::vector<std::thread> threads_;
};

// Draws the faults of one soak from its seed.
class FaultPlayer {
 public:
  // `configs` is null without losses of power or of disks.
  FaultPlayer(PlatformCluster& cluster,
              ConfigLoad* configs,
              const SoakOptions& options)
      : cluster_(cluster), configs_(configs), random_(options.seed) {
    const auto add = [&](bool is_on, void (FaultPlayer::*fault)()) {
      if (is_on) {
        kinds_.push_back(fault);
      }
    };
    add(options.faults.foreign_reports, &FaultPlayer::ReportForeign);
    add(options.faults.worker_restarts, &FaultPlayer::RestartWorker);
    add(options.faults.restart_cuts, &FaultPlayer::RestartAndCutWorker);
    add(options.faults.agents, &FaultPlayer::DisturbAgent);
    add(options.faults.replicas && !options.faults.lost_disks,
        &FaultPlayer::DisturbReplica);
    add(options.faults.power_losses, &FaultPlayer::LosePower);
    add(options.faults.lost_disks, &FaultPlayer::LoseReplicas);
    for (int i = 0; i < cluster.shape().replicas; ++i) {
      lost_until_["control-" + std::to_string(i)] = Time();
    }
  }

  // Plays faults for the span, then ends those that last.
  void Play(Duration span) {
    const Time end = MonotonicClock::now() + span;
    Time next = MonotonicClock::now();
    while (MonotonicClock::now() < end || !later_.empty()) {
      const Time now = MonotonicClock::now();
      Step();
      if (now >= next && now < end && !kinds_.empty()) {
        next = now + Between(100, 1200);
        ++count_;
        (this->*kinds_[random_.NextBelow(kinds_.size())])();
      }
    }
  }

  // Lets no fault happen until none is near, and then has changes judged.
  void PlayCalm() {
    const Time calm_at =
        MonotonicClock::now() + (count_ > 0 ? kContact : Duration(0));
    while (CountLost() > 0 || MonotonicClock::now() < calm_at) {
      Step();
    }
    configs_->SetCalm(true);
    const Time end = MonotonicClock::now() + kCalmRound;
    while (MonotonicClock::now() < end) {
      Step();
    }
    configs_->SetCalm(false);
    while (configs_->IsAnyPending()) {
      Step();
    }
  }

  // Plays the final fault as soon as no replica counts as lost, and returns
  // when its read back is judged.
  void PlayFinal() {
    while (CountLost() > 0 || configs_->IsReadBackPending()) {
      Step();
    }
    const bool has_thin_links = cluster_.shape().link.bytes_per_s > 0;
    if (has_thin_links) {
      configs_->UseLargest();
    }
    // The first change from here on may be one that was already on its way.
    const std::int64_t version =
        configs_->acknowledged() + (has_thin_links ? 2 : 1);
    const Time deadline = MonotonicClock::now() + kFinalChangeTimeout;
    while (configs_->acknowledged() < version &&
           MonotonicClock::now() < deadline) {
      std::this_thread::sleep_for(Millis(1));
    }
    ++count_;
    configs_->ExpectReadBack(MonotonicClock::now() + kFinalTimeout);
    if (has_thin_links) {
      configs_->ExpectEverywhere(MonotonicClock::now() + kFinalOff +
                                 kRecoverTarget);
    }
    cluster_.LosePowerOfReplicas(random_);
    // Those that have been voters without a break lose their disks.
    std::vector<std::string> names = ShuffledReplicas();
    std::stable_sort(names.begin(), names.end(),
                     [&](const std::string& a, const std::string& b) {
                       return lost_until_[a] < lost_until_[b];
                     });
    for (std::size_t i = 0; i < names.size(); ++i) {
      const std::string& name = names[i];
      if (static_cast<int>(i) < cluster_.shape().losses_required) {
        EmptyDisk(name);
      }
      After(kFinalOff, name, [this, name] { cluster_.StartOne(name); });
    }
    while (!later_.empty() || configs_->IsReadBackPending() ||
           configs_->IsAnyPending()) {
      Step();
    }
  }

  [[nodiscard]] int count() const { return count_; }
  [[nodiscard]] int power_losses() const { return power_losses_; }
  [[nodiscard]] int lost_disks() const { return lost_disks_; }

 private:
  struct Later {
    Time at;
    std::string subject;
    std::function<void()> work;
  };

  Duration Between(std::int64_t least_ms, std::int64_t most_ms) {
    return Millis(least_ms +
                  static_cast<std::int64_t>(random_.NextBelow(
                      static_cast<std::uint64_t>(most_ms - least_ms))));
  }
  bool Chance(std::uint64_t percent) {
    return random_.NextBelow(100) < percent;
  }

  [[nodiscard]] bool IsDisturbed(std::string_view subject) const {
    return std::any_of(later_.begin(), later_.end(), [&](const Later& later) {
      return later.subject.starts_with(subject);
    });
  }

  void Step() {
    RunDue(MonotonicClock::now());
    cluster_.RestartEndedReplicas();
    std::this_thread::sleep_for(kStepInterval);
  }

  [[nodiscard]] int CountLost() const {
    const Time now = MonotonicClock::now();
    return static_cast<int>(
        std::count_if(lost_until_.begin(), lost_until_.end(),
                      [&](const auto& item) { return item.second > now; }));
  }

  std::vector<std::string> ShuffledReplicas() {
    std::vector<std::string> names;
    for (const auto& [name, until] : lost_until_) {
      names.insert(names.begin() + static_cast<std::ptrdiff_t>(
                                       random_.NextBelow(names.size() + 1)),
                   name);
    }
    return names;
  }

  void EmptyDisk(const std::string& name) {
    cluster_.EmptyDisk(name, random_);
    ++lost_disks_;
  }

  void MarkLost(const std::string& name, Duration off) {
    lost_until_[name] =
        std::max(lost_until_[name],
                 MonotonicClock::now() + off + cluster_.shape().catch_up);
  }

  void LoseReplicas() {
    const int bearable = cluster_.shape().losses_required - CountLost();
    const int wanted = Chance(70) ? 2 : 1;
    const Time now = MonotonicClock::now();
    int lost = 0;
    for (const std::string& name : ShuffledReplicas()) {
      if (lost < std::min(bearable, wanted) && lost_until_[name] <= now) {
        ++lost;
        LoseReplica(name, Between(2000, 5000));
      }
    }
  }

  void LoseReplica(const std::string& name, Duration off) {
    MarkLost(name, off);
    if (Chance(33)) {
      cluster_.Signal(name, SIGSTOP);
      After(off, name, [this, name] { cluster_.Signal(name, SIGCONT); });
      return;
    }
    cluster_.Kill(name);
    if (Chance(50)) {
      EmptyDisk(name);
    }
    After(off, name, [this, name] { cluster_.StartOne(name); });
  }

  void RunDue(Time now) {
    for (std::size_t i = 0; i < later_.size();) {
      if (later_[i].at > now) {
        ++i;
        continue;
      }
      const Later later = std::move(later_[i]);
      later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(i));
      later.work();
    }
  }

  void After(Duration delay, std::string subject, std::function<void()> work) {
    later_.push_back(
        {MonotonicClock::now() + delay, std::move(subject), std::move(work)});
  }

  [[nodiscard]] std::size_t AnyWorker() {
    return random_.NextBelow(cluster_.workers().size());
  }

  void ReportForeign() {
    PlatformWorker& worker = *cluster_.workers()[AnyWorker()];
    json report = worker.Report();
    std::string id = worker.id();
    report["born"] = report["born"].get<std::int64_t>() +
                     (Chance(30) ? -1 : 1) * ToMillis(Between(1, 5000));
    if (Chance(50)) {
      report["service"] = "unknown";
    }
    if (Chance(30)) {
      id = "i-another";
    }
    worker.Send(id, report);
  }

  void RestartWorker() {
    const std::size_t index = AnyWorker();
    const std::string subject = "worker-" + std::to_string(index);
    if (IsDisturbed(subject)) {
      return;
    }
    PlatformWorker& worker = *cluster_.workers()[index];
    worker.Crash();
    After(Between(300, 4500), subject, [&worker, keeps_id = Chance(50)] {
      static_cast<void>(worker.Boot(keeps_id));
    });
  }

  void RestartAndCutWorker() {
    // The other half is there for the tasks of those that are cut off.
    const std::size_t index =
        random_.NextBelow((cluster_.workers().size() + 1) / 2);
    const std::string subject = "worker-" + std::to_string(index);
    if (IsDisturbed(subject)) {
      return;
    }
    PlatformWorker& worker = *cluster_.workers()[index];
    // Calls of the last moments are left to the next incarnation.
    const Duration crash = Between(100, 1000);
    worker.CutOff(MonotonicClock::now() + 2 * crash);
    After(crash, subject, [&worker] { worker.Crash(); });
    const Duration boot = crash + Between(200, 1000);
    const Duration cut = boot + Between(1000, 3500);
    const Duration span = Between(6500, 9500);
    After(boot, subject, [&worker, count = random_.NextBelow(4)] {
      static_cast<void>(worker.Boot(true));
      worker.CarryOutFormerCalls(count);
    });
    for (std::size_t i = 0; i < kLateCalls; ++i) {
      After(boot + Between(0, 5000), subject,
            [&worker] { worker.CarryOutFormerCalls(1); });
    }
    After(cut, subject,
          [&worker, span] { worker.CutOff(MonotonicClock::now() + span); });
    After(cut + span, subject, [] {});
  }

  void Disturb(const std::string& name) {
    if (Chance(50)) {
      cluster_.Signal(name, SIGSTOP);
      After(Between(500, ToMillis(kLongestFreeze)), name,
            [this, name] { cluster_.Signal(name, SIGCONT); });
    } else {
      cluster_.Kill(name);
      After(Between(100, 2500), name,
            [this, name] { cluster_.StartOne(name); });
    }
  }

  void DisturbAgent() {
    const std::string name = "agent-" + std::to_string(AnyWorker());
    if (!IsDisturbed(name)) {
      Disturb(name);
    }
  }

  void DisturbReplica() {
    // The cell bears the loss of one replica at a time.
    if (!IsDisturbed("control-")) {
      Disturb("control-" +
              std::to_string(random_.NextBelow(
                  static_cast<std::uint64_t>(cluster_.shape().replicas))));
    }
  }

  void LosePower() {
    // Each loss is judged before the next series begins.
    if (!configs_->IsReadBackPending()) {
      LosePowerNow(Chance(30));
    }
  }

  void LosePowerNow(bool is_followed) {
    const Duration off = Between(100, 2000);
    // Most losses come while a large record is synced.
    const Duration delay = Between(0, 8);
    if (Chance(70)) {
      const Time deadline = MonotonicClock::now() + kLargeRecordTimeout;
      while (!cluster_.HasUnsynced(kLargeRecordBytes) &&
             MonotonicClock::now() < deadline) {
        std::this_thread::sleep_for(Millis(1));
      }
      std::this_thread::sleep_for(delay);
    }
    cluster_.LosePowerOfReplicas(random_);
    ++power_losses_;
    configs_->ExpectReadBack(MonotonicClock::now() + off + kRecoverTimeout);
    for (int i = 0; i < cluster_.shape().replicas; ++i) {
      const std::string name = "control-" + std::to_string(i);
      MarkLost(name, off);
      After(off, name, [this, name] { cluster_.StartOne(name); });
    }
    if (is_followed) {
      After(off + Between(50, 1000), "control-",
            [this] { LosePowerNow(false); });
    }
  }

  PlatformCluster& cluster_;
  ConfigLoad* const configs_;
  Random random_;
  int power_losses_ = 0;
  int lost_disks_ = 0;
  // Until when a replica counts as lost.
  std::map<std::string, Time> lost_until_;
  std::vector<void (FaultPlayer::*)()> kinds_;
  std::vector<Later> later_;
  int count_ = 0;
};

// Returns a line for each accepted job that is not completed in time.
std::vector<std::string> FindUnfinished(PlatformCluster& cluster,
                                        std::set<std::string> jobs) {
  const Time deadline = MonotonicClock::now() + kFinishTimeout;
  int entry = 0;
  while (!jobs.empty() && MonotonicClock::now() < deadline) {
    cluster.RestartEndedReplicas();
    std::erase_if(jobs, [&](const std::string& id) {
      const HttpReply reply = cluster.CallQueue(entry++, "GET", id);
      const json state = json::parse(reply.body, nullptr, false);
      return reply.status == 200 && state.is_object() &&
             state.value("state", "") == "completed";
    });
  }
  std::vector<std::string> found;
  found.reserve(jobs.size());
  for (const std::string& id : jobs) {
    found.push_back("the accepted job " + id + " is not completed");
  }
  return found;
}

}  // namespace

SoakResult RunSoak(const std::string& binaries,
                   const std::string& folder,
                   const SoakOptions& options) {
  SoakResult result;
  PlatformShape shape = options.shape;
  const bool has_configs =
      options.faults.power_losses || options.faults.lost_disks;
  if (has_configs) {
    Random random(options.seed);
    shape.sync_time =
        Millis(4 + static_cast<std::int64_t>(random.NextBelow(12)));
    shape.snapshot_interval_entries =
        static_cast<int>(200 + random.NextBelow(4000));
  }
  if (options.faults.restart_cuts) {
    shape.max_lease_ms = kLongestLeaseMs;
  }
  PlatformCluster cluster(binaries, folder, shape);
  if (!cluster.Start(kStartTimeout)) {
    result.violations.emplace_back("the cluster does not start");
    return result;
  }
  if (options.faults.slow_replicas) {
    cluster.ThrottleReplicas();
  }
  JobLoad load(cluster,
               options.faults.restart_cuts ? kLongestTaskMs : kLongTaskMs);
  std::optional<ConfigLoad> configs;
  if (has_configs) {
    configs.emplace(cluster, options.seed);
  }
  FaultPlayer player(cluster, configs ? &*configs : nullptr, options);
  if (shape.link.bytes_per_s > 0) {
    player.PlayCalm();
    for (Duration left = options.span; left > Duration(0);
         left -= kFaultRound) {
      player.Play(std::min(left, kFaultRound));
      player.PlayCalm();
    }
  } else {
    player.Play(options.span);
  }
  if (options.faults.lost_disks) {
    player.PlayFinal();
  }
  load.Stop();
  if (configs) {
    result.violations = configs->Stop();
    result.config_version = configs->acknowledged();
    result.slowest_change = configs->slowest_change();
  }
  const std::set<std::string> accepted = load.accepted();
  result.faults = player.count();
  result.jobs = accepted.size();
  for (std::string& line : FindUnfinished(cluster, accepted)) {
    result.violations.push_back(std::move(line));
  }
  result.power_losses = player.power_losses();
  result.lost_disks = player.lost_disks();
  result.ended_replicas = cluster.ended_replicas();
  result.refused_logs = cluster.CountRefusedLogs();
  if (result.refused_logs > 0) {
    result.violations.push_back("replicas refuse their logs, " +
                                std::to_string(result.refused_logs) + " times");
  }
  result.runs = cluster.history().size();
  for (std::string& line : cluster.history().FindRunsTwice()) {
    result.violations.push_back(std::move(line));
  }
  return result;
}

}  // namespace banyan
