// Streams of jobs and lagging usage reports through the scheduler, under
// virtual time, policy against baseline.
//
// What the fakes assume: ten workers of 30 processors, each shared with the
// booking service, whose use is 30% and rises to 75% on three workers at a time
// for 4 s. Reports lag by 1 s. A packet needs 2 processors, an index job 2. An
// index job beside the service slows it by 12%, a packet by 2%, and load above
// 90% slows everything in proportion. Declared run times are off by up to
// three times. An eviction loses 300 ms of work to checkpoint and restart.

#include <cmath>
#include <map>
#include <set>

#include "banyan/base/random.h"
#include "banyan/control/scheduler.h"
#include "tests/bench/bench.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr int kWorkers = 10;
constexpr std::int64_t kWorkerCpu = 30000;
constexpr std::int64_t kJobCpu = 2000;
constexpr Duration kStep = Millis(100);
constexpr Duration kLength = seconds(240);
constexpr Duration kLag = seconds(1);
constexpr Duration kReportInterval = Millis(500);
constexpr double kRestartSeconds = 0.3;
constexpr Time kStart{seconds(1000)};

// What a stream does.
struct BatchShape {
  const char* name;
  double jobs_per_second = 12;
  bool has_noise = true;
  bool has_outage = false;
  int failing_workers = 0;
  bool has_batch = true;
  std::int64_t headroom_percent = 50;
};

struct BatchOutcome {
  std::uint64_t finished = 0;
  std::uint64_t evictions = 0;
  std::uint64_t failed_attempts = 0;
  double cpu_seconds = 0;
  double free_cpu_seconds = 0;
  double outage_cpu_seconds = 0;
  double outage_free_cpu_seconds = 0;
  std::vector<double> service_slowdowns;
};

template <typename SchedulerType>
class BatchStream {
 public:
  BatchStream(BatchShape shape, std::uint64_t seed)
      : shape_(shape), random_(seed) {
    for (int i = 0; i < kWorkers; ++i) {
      InstanceInfo info;
      info.id = "w" + std::to_string(i);
      info.incarnation = 1;
      info.role = InstanceRole::kWorker;
      info.data_centre = std::string("dc-") + static_cast<char>('a' + i % 3);
      info.capacity = {kWorkerCpu, 125000, 0};
      Do(RegisterInstance{info, {}});
      info.id = "e" + std::to_string(i);
      info.role = InstanceRole::kEndpoint;
      info.service = "booking";
      info.host = "w" + std::to_string(i);
      Do(RegisterInstance{info, {}});
    }
    Preset preset;
    preset.service_headroom_percent = shape_.headroom_percent;
    Do(CreatePreset{"ordinary", preset, state_.config().version});
    scheduler_.Reset(now_, state_, std::chrono::hours(10));
  }

  BatchOutcome Run() {
    for (; now_ < kStart + kLength; now_ += kStep) {
      Submit();
      Noise();
      Work();
      Report();
      Decide();
    }
    return outcome_;
  }

 private:
  struct Running {
    std::string worker;
    std::uint64_t attempt = 0;
    double left_seconds = 0;
    double share = 1;
  };

  // A report on its way to the leader.
  struct Delayed {
    Time at;
    std::string instance;
    Heartbeat heartbeat;
  };

  void Do(Command command) {
    state_.Apply({"", ToMillis(now_.time_since_epoch()), std::move(command)});
  }

  void Submit() {
    if (!shape_.has_batch) {
      return;
    }
    owed_ += shape_.jobs_per_second * 0.1;
    for (; owed_ >= 1; owed_ -= 1) {
      SubmitJob submit;
      submit.key = "j" + std::to_string(next_job_++);
      submit.spec.team = "t" + std::to_string(random_.NextBelow(4));
      submit.spec.kind = random_.NextBelow(2) == 0 ? "packet" : "index";
      submit.spec.needs = {kJobCpu, 2000, 0};
      work_[submit.key] = 2 + random_.NextDouble() * 10;
      submit.spec.declared_run_ms = static_cast<std::int64_t>(
          1000 * work_[submit.key] * (0.3 + random_.NextDouble() * 2.7));
      Do(submit);
    }
  }

  void Noise() {
    if (shape_.has_noise && now_ >= next_wave_) {
      next_wave_ = now_ + seconds(4);
      noisy_.clear();
      for (int i = 0; i < 3; ++i) {
        noisy_.insert("w" + std::to_string(random_.NextBelow(kWorkers)));
      }
    }
    const Duration since = now_ - kStart;
    if (shape_.has_outage && since == seconds(80)) {
      Do(SetDataCentre{"dc-b", true, state_.config().version});
    }
    if (shape_.has_outage && since == seconds(140)) {
      Do(SetDataCentre{"dc-b", false, state_.config().version});
    }
  }

  [[nodiscard]] double ServicePercent(const std::string& worker) const {
    return noisy_.contains(worker) ? 75 : 30;
  }

  // Lets every worker work one step, slower where it is overloaded.
  void Work() {
    constexpr double kStepSeconds = 0.1;
    const bool is_outage = shape_.has_outage && now_ - kStart >= seconds(85) &&
                           now_ - kStart < seconds(140);
    std::map<std::string, double> batch_percent;
    std::map<std::string, double> interference;
    for (const auto& [key, running] : running_) {
      const bool is_index = state_.FindJob(key)->spec.kind == "index";
      batch_percent[running.worker] +=
          100.0 * kJobCpu / kWorkerCpu * running.share;
      interference[running.worker] += (is_index ? 0.12 : 0.02) * running.share;
    }
    std::vector<std::string> done;
    for (const auto& [id, instance] : state_.instances()) {
      if (instance.info.role != InstanceRole::kWorker) {
        continue;
      }
      const double service = ServicePercent(id);
      const double total = service + batch_percent[id];
      used_percent_[id] = std::min(total, 100.0);
      const double overload = std::max(1.0, total / 90);
      slowdown_[id] = (1 + interference[id]) * overload * overload;
      const bool is_in = !state_.IsOutOfService(instance.info.data_centre);
      if (is_in) {
        outcome_.service_slowdowns.push_back(slowdown_[id]);
        const double ceiling = 85;
        const double free =
            std::max(0.0, ceiling - service) / 100 * kWorkerCpu / 1000;
        outcome_.free_cpu_seconds += free * kStepSeconds;
        outcome_.outage_free_cpu_seconds += is_outage ? free * kStepSeconds : 0;
      }
    }
    for (auto& [key, running] : running_) {
      const double total =
          ServicePercent(running.worker) + batch_percent[running.worker];
      const double speed = running.share * std::min(1.0, 100 / total);
      running.left_seconds -= kStepSeconds * speed;
      const double cpu = kStepSeconds * speed * kJobCpu / 1000;
      outcome_.cpu_seconds += cpu;
      outcome_.outage_cpu_seconds += is_outage ? cpu : 0;
      const bool must_fail = running.worker[1] - '0' < shape_.failing_workers;
      if (must_fail || running.left_seconds <= 0) {
        done.push_back(key);
      }
    }
    for (const std::string& key : done) {
      const bool is_failed =
          running_[key].worker[1] - '0' < shape_.failing_workers;
      outcome_.finished += is_failed ? 0 : 1;
      outcome_.failed_attempts += is_failed ? 1 : 0;
      End(key, is_failed ? TaskEnd::kFailed : TaskEnd::kFinished);
    }
  }

  void End(const std::string& key, TaskEnd end) {
    const Job before = *state_.FindJob(key);
    work_[key] = running_[key].left_seconds;
    running_.erase(key);
    const EndTask command{{key, before.attempt}, end, "", ""};
    Do(command);
    Events events;
    scheduler_.OnTaskEnd(now_, before, command, events);
  }

  void Report() {
    if (now_ >= next_report_) {
      next_report_ = now_ + kReportInterval;
      for (const auto& [id, instance] : state_.instances()) {
        Heartbeat heartbeat;
        if (instance.info.role == InstanceRole::kWorker) {
          heartbeat.cpu_percent = static_cast<std::int64_t>(used_percent_[id]);
          for (const std::string& key : instance.jobs) {
            const Running& running = running_.at(key);
            const auto cpu = static_cast<std::int64_t>(kJobCpu * running.share);
            heartbeat.usage.push_back({{key, running.attempt}, cpu, 2000});
          }
        } else {
          heartbeat.latency_us = static_cast<std::int64_t>(
              8000 * std::max(1.0, slowdown_[instance.info.host]));
        }
        delayed_.push_back({now_ + kLag, id, heartbeat});
      }
    }
    while (!delayed_.empty() && delayed_.front().at <= now_) {
      const Delayed& report = delayed_.front();
      scheduler_.OnHeartbeat(state_, report.instance, 1, report.heartbeat,
                             now_ + std::chrono::hours(10));
      delayed_.pop_front();
    }
  }

  void Decide() {
    const SchedulerOutputs out = scheduler_.Decide(now_, state_);
    for (const PlaceTask& place : out.placements) {
      const Applied applied =
          state_.Apply({"", ToMillis(now_.time_since_epoch()), place});
      scheduler_.OnPlaced(place, state_.FindJob(place.task.job)->spec);
      if (applied.placed_task) {
        running_[place.task.job] = {place.worker, place.task.attempt,
                                    work_[place.task.job], 1};
      }
    }
    for (const TaskAction& order : out.actions) {
      const auto running = running_.find(order.task.job);
      if (running == running_.end()) {
        continue;
      }
      if (order.kind == TaskAction::Kind::kEvict) {
        ++outcome_.evictions;
        running->second.left_seconds += kRestartSeconds;
        End(order.task.job, TaskEnd::kEvicted);
      } else {
        running->second.share =
            static_cast<double>(order.cpu_share_percent) / 100;
      }
    }
  }

  BatchShape shape_;
  Random random_;
  Time now_ = kStart;
  ControlState state_;
  SchedulerType scheduler_;
  std::map<std::string, Running> running_;
  std::map<std::string, double> work_;
  std::map<std::string, double> used_percent_;
  std::map<std::string, double> slowdown_;
  std::set<std::string> noisy_;
  std::deque<Delayed> delayed_;
  Time next_wave_ = kStart;
  Time next_report_ = kStart;
  double owed_ = 0;
  int next_job_ = 0;
  BatchOutcome outcome_;
};

template <typename SchedulerType>
void RunOne(Figures& figures,
            const BatchShape& shape,
            const char* policy,
            std::uint64_t seed) {
  const BatchOutcome outcome = BatchStream<SchedulerType>(shape, seed).Run();
  const auto add = [&](const char* name, double value, const char* unit) {
    figures.Add({shape.name, policy, seed, name, value, unit});
  };
  const double p99 = QuantileOf(outcome.service_slowdowns, 0.99);
  add(
      "service slow-down, mean",
      [&] {
        double sum = 0;
        for (const double s : outcome.service_slowdowns) {
          sum += s;
        }
        return sum / static_cast<double>(outcome.service_slowdowns.size());
      }(),
      "x");
  add("service slow-down, p99", p99, "x");
  add("jobs finished", static_cast<double>(outcome.finished), "");
  add("evictions", static_cast<double>(outcome.evictions), "");
  add("batch work of free capacity",
      100 * outcome.cpu_seconds / outcome.free_cpu_seconds, "%");
  if (shape.failing_workers > 0) {
    add("failed attempts", static_cast<double>(outcome.failed_attempts), "");
  }
  if (shape.has_outage) {
    add("work while dc-b was out, of free",
        100 * outcome.outage_cpu_seconds / outcome.outage_free_cpu_seconds,
        "%");
  }
}

}  // namespace

void RunBatchStreams(Figures& figures) {
  const BatchShape shapes[] = {
      {.name = "no batch", .has_batch = false},
      {.name = "batch below capacity", .jobs_per_second = 4},
      {.name = "batch backlog"},
      {.name = "backlog, no headroom", .headroom_percent = 0},
      {.name = "backlog, full headroom", .headroom_percent = 100},
      {.name = "batch, dc-b out", .has_outage = true},
      {.name = "batch, bad worker", .jobs_per_second = 4, .failing_workers = 1},
  };
  for (const BatchShape& shape : shapes) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      RunOne<Scheduler>(figures, shape, "product", seed);
      RunOne<BasicScheduler<BaselinePolicies>>(figures, shape, "baseline",
                                               seed);
    }
  }
}

}  // namespace banyan
