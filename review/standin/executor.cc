#include "review/standin/executor.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "review/standin/record.h"

namespace review {
namespace {

using nlohmann::json;

constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kStartupMs = 300;
constexpr std::int64_t kLasting = -1;
constexpr std::int64_t kTickMs = 5;

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t WorkOf(const std::string& spec, const std::string& task) {
  if (spec.starts_with("exact=")) {
    return std::atoll(spec.c_str() + 6);
  }
  if (!spec.starts_with("work=")) {
    return kLasting;
  }
  const auto percent =
      static_cast<std::int64_t>(70 + std::hash<std::string>()(task) % 61);
  return std::atoll(spec.c_str() + 5) * percent / 100;
}

}  // namespace

std::size_t RunLog::Start(RunRecord record) {
  Record("run " + std::to_string(record.run) + " of " + record.task +
         " starts on " + record.executor + " in " + record.zone);
  const std::lock_guard lock(mutex_);
  record.started_ms = NowMs();
  runs_.push_back(std::move(record));
  return runs_.size() - 1;
}

void RunLog::End(std::size_t index, const std::string& how) {
  const std::lock_guard lock(mutex_);
  runs_[index].ended_ms = NowMs();
  runs_[index].how = how;
  Record("run " + std::to_string(runs_[index].run) + " of " +
         runs_[index].task + " ends on " + runs_[index].executor + ": " + how);
}

void RunLog::Note(std::size_t index) {
  const std::lock_guard lock(mutex_);
  runs_[index].is_noted = true;
}

std::vector<RunRecord> RunLog::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Executor::Executor(ExecutorSettings settings, RunLog& log)
    : settings_(std::move(settings)), log_(log) {}

Executor::~Executor() {
  if (!must_end_) {
    Crash();
  }
}

std::int64_t Executor::ClockMs() const {
  return NowMs() - clock_start_ + 1000;
}

bool Executor::Start(bool keeps_id) {
  {
    const std::lock_guard lock(mutex_);
    ++life_;
    if (!keeps_id) {
      id_ = "i-" + settings_.name + "-" + std::to_string(life_);
    }
    born_ = WallMs();
    clock_start_ = NowMs();
    sequence_ = 0;
    fence_ = 0;
    lease_until_ = 0;
    last_end_ = 0;
    highest_.clear();
    ended_.clear();
    // Calls that were due while the executor was down are lost.
    std::erase_if(late_lists_,
                  [](const LateList& late) { return late.at_ms <= NowMs(); });
  }
  server_ = std::make_unique<Server>(
      settings_.address, [this](const Request& r) { return Serve(r); });
  must_end_ = false;
  if (!server_->Start()) {
    return false;
  }
  Record("executor " + id_ + " begins");
  tick_thread_ = std::thread([this] { Tick(); });
  beat_thread_ = std::thread([this] { Beat(); });
  return true;
}

void Executor::Crash() {
  Record("executor " + id_ + " ends without a word");
  must_end_ = true;
  server_->Stop();
  tick_thread_.join();
  beat_thread_.join();
  const std::lock_guard lock(mutex_);
  for (const auto& [task, run] : running_) {
    log_.End(run.record, "crashed");
  }
  running_.clear();
}

std::string Executor::Report() {
  const std::lock_guard lock(mutex_);
  return json{
      {"service", settings_.service},
      {"address", settings_.address},
      {"zone", settings_.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold-left-ms", 0},
      {"capacity",
       {{"cpu", settings_.cpu}, {"mem-mb", settings_.mem_mb}, {"gpu", 0}}},
      {"labels", {"a", settings_.rack}},
      {"clock-ms", ClockMs()},
      {"sequence", ++sequence_},
      {"born", born_}}
      .dump();
}

Response Executor::Answer(int status, std::string extra) const {
  json body = extra.empty() ? json::object() : json::parse(extra);
  body["clock-ms"] = ClockMs();
  body["born"] = born_;
  return {status, body.dump()};
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  log_.End(found->second.record, how);
  ended_.push_back(
      {++last_end_, task, found->second.run, how, found->second.record});
  highest_[task] = std::max(highest_[task], found->second.run);
  running_.erase(found);
}

void Executor::Forget(std::int64_t last_seen) {
  std::erase_if(ended_, [&](const End& end) {
    if (end.number <= last_seen) {
      log_.Note(end.record);
    }
    return end.number <= last_seen;
  });
}

void Executor::DelayLists(int one_in) {
  const std::lock_guard lock(mutex_);
  delayed_one_in_ = one_in;
}

void Executor::CarryOutLateLists() {
  std::erase_if(late_lists_, [&](const LateList& late) {
    if (late.at_ms > NowMs()) {
      return false;
    }
    if (late.id == id_ && late.fence >= fence_) {
      fence_ = late.fence;
      lease_until_ = std::max(lease_until_,
                              std::min(late.deadline, ClockMs() + kHoldMaxMs));
      const std::size_t before = ended_.size();
      Forget(late.last_seen);
      Record("executor " + id_ +
             " carries out a late list call with last-seen " +
             std::to_string(late.last_seen) + " and forgets " +
             std::to_string(before - ended_.size()) + " ends");
    }
    return true;
  });
}

Response Executor::Serve(const Request& request) {
  std::unique_lock lock(mutex_);
  const auto expected = request.fields.find("banyanchute-expect-instance");
  if (expected != request.fields.end() && expected->second != id_) {
    return Answer(421, "");
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Answer(400, "");
  }
  const auto token = body.value("fencing-token", std::int64_t{0});
  if (token < fence_) {
    return Answer(409, R"({"reason":"fence"})");
  }
  fence_ = token;
  const std::string task = body.value("task", "");
  const auto run = body.value("run", std::int64_t{0});
  const auto extend_lease = [&] {
    const auto until = body.value("deadline-ms", std::int64_t{0});
    lease_until_ =
        std::max(lease_until_, std::min(until, ClockMs() + kHoldMaxMs));
  };
  if (request.path == "/run-start") {
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run == run) {
      return Answer(200, "");
    }
    extend_lease();
    if (found != running_.end() ||
        (highest_.contains(task) && run <= highest_[task])) {
      return Answer(409, R"({"reason":"old"})");
    }
    if (lease_until_ <= ClockMs()) {
      return Answer(409, R"({"reason":"late"})");
    }
    RunRecord record;
    record.executor = id_;
    record.zone = settings_.zone;
    record.task = task;
    record.run = run;
    record.checkpoint = body.value("last-checkpoint", "");
    const std::size_t index = log_.Start(std::move(record));
    running_[task] = {run, ClockMs(), WorkOf(body.value("spec", ""), task),
                      index};
    return Answer(200, "");
  }
  if (request.path == "/run-stop") {
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run) {
      EndRun(task, "stopped");
    }
    highest_[task] = std::max(highest_[task], run);
    return Answer(200, "");
  }
  if (request.path == "/pace") {
    return Answer(200, "");
  }
  if (request.path != "/hold") {
    return Answer(400, "");
  }
  const auto last_seen = body.value("last-seen", std::int64_t{0});
  if (delayed_one_in_ > 0 && ++list_count_ % delayed_one_in_ == 0) {
    constexpr std::int64_t kMinDelayMs = 2000;
    constexpr std::int64_t kDelayRangeMs = 10000;
    // Spreads the delays evenly over the range.
    const std::int64_t delay_ms =
        kMinDelayMs + (list_count_ * 6180) % kDelayRangeMs;
    late_lists_.push_back({NowMs() + delay_ms, id_, token,
                           body.value("deadline-ms", std::int64_t{0}),
                           last_seen});
    return {};
  }
  extend_lease();
  Forget(last_seen);
  const std::int64_t wait_until =
      NowMs() + std::min<std::int64_t>(body.value("wait-ms", 0), 2000);
  while (ended_.empty() && NowMs() < wait_until && !must_end_) {
    lock.unlock();
    SleepMs(kTickMs);
    lock.lock();
  }
  json lists = {{"running", json::array()}, {"ended", json::array()}};
  for (const auto& [name, item] : running_) {
    const std::int64_t worked = ClockMs() - item.started;
    const std::int64_t percent =
        item.work_ms == kLasting
            ? (worked >= kStartupMs ? 100 : 0)
            : std::min<std::int64_t>(99, worked * 100 / item.work_ms);
    lists["running"].push_back({name, item.run, "", percent, 0});
  }
  for (const End& end : ended_) {
    lists["ended"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  return Answer(200, lists.dump());
}

void Executor::Tick() {
  while (!must_end_) {
    {
      const std::lock_guard lock(mutex_);
      std::vector<std::pair<std::string, std::string>> over;
      for (const auto& [task, run] : running_) {
        if (lease_until_ <= ClockMs()) {
          over.emplace_back(task, "lapsed");
        } else if (run.work_ms != kLasting &&
                   ClockMs() - run.started >= run.work_ms) {
          over.emplace_back(task, "done");
        }
      }
      for (const auto& [task, how] : over) {
        EndRun(task, how);
      }
      CarryOutLateLists();
    }
    SleepMs(kTickMs);
  }
}

void Executor::Beat() {
  while (!must_end_) {
    const Response response = Call(settings_.agent, "PUT", "/instances/" + id_,
                                   settings_.agent, Report(), 1000);
    const std::int64_t next =
        NowMs() + (response.status == 200 ? kHeartbeatMs : 300);
    while (!must_end_ && NowMs() < next) {
      SleepMs(kTickMs);
    }
  }
}

}  // namespace review
