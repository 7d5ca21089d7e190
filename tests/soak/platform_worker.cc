#include "tests/soak/platform_worker.h"

#include <algorithm>
#include <utility>

#include "banyan/wire/graph.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr int kServerThreads = 8;
constexpr std::int64_t kMaxBodyBytes = 1 << 20;
constexpr Duration kClockInterval = Millis(2);
constexpr Duration kHeartbeatInterval = Millis(1500);
constexpr Duration kHeartbeatTimeout = Millis(1000);
constexpr std::int64_t kMaxWaitMs = 2000;
// The clock of an incarnation starts here.
constexpr std::int64_t kFirstClockMs = 1000;

std::int64_t MsOf(const json& body, const char* name) {
  return body.value(name, std::int64_t{0});
}

}  // namespace

PlatformWorker::PlatformWorker(PlatformWorkerOptions options,
                               RunHistory& history)
    : options_(std::move(options)), history_(history) {}

PlatformWorker::~PlatformWorker() {
  Crash();
}

bool PlatformWorker::Boot(bool keeps_id) {
  {
    const std::lock_guard lock(mutex_);
    ++life_;
    if (!keeps_id || id_.empty()) {
      id_ = "i-" + options_.name + "-" + std::to_string(life_);
      open_calls_.clear();
    }
    former_calls_ = std::exchange(open_calls_, {});
    cut_until_ = Time();
    born_ms_ = std::max(WallNow(), born_ms_ + 1);
    booted_at_ = MonotonicClock::now();
    sequence_ = 0;
    fencing_token_ = 0;
    lease_until_ms_ = 0;
    last_end_ = 0;
    barred_.clear();
    ended_.clear();
  }
  server_ = std::make_unique<HttpServer>();
  Reason reason;
  is_up_ = server_->Start(
      options_.address, {kServerThreads, kMaxBodyBytes},
      [this](const HttpCall& call) { return Serve(call); }, reason);
  if (is_up_) {
    clock_thread_ = std::thread([this] { RunClock(); });
    heartbeat_thread_ = std::thread([this] { RunHeartbeat(); });
  }
  return is_up_;
}

void PlatformWorker::Crash() {
  if (!is_up_.exchange(false)) {
    return;
  }
  clock_thread_.join();
  heartbeat_thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [task, run] : active_) {
      history_.End(run.index, "crashed");
    }
    active_.clear();
  }
  server_->Stop(MonotonicClock::now());
  server_.reset();
}

std::string PlatformWorker::id() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

json PlatformWorker::Report() {
  const std::lock_guard lock(mutex_);
  return {{"service", options_.service},
          {"address", options_.address},
          {"zone", options_.data_centre},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 62500}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"clock-ms", ClockMs()},
          {"sequence", ++sequence_},
          {"born", born_ms_}};
}

void PlatformWorker::Send(const std::string& id, const json& report) const {
  HttpCall call;
  call.method = "PUT";
  call.path = "/instances/" + id;
  call.content_type = "application/json";
  call.body = report.dump();
  // Without an answer the next report follows soon.
  static_cast<void>(
      HttpClient(options_.agent_address)
          .Exchange(call, "", MonotonicClock::now() + kHeartbeatTimeout));
}

std::int64_t PlatformWorker::ClockMs() const {
  return kFirstClockMs + ToMillis(MonotonicClock::now() - booted_at_);
}

HttpReply PlatformWorker::Answer(int status, json body) const {
  body["clock-ms"] = ClockMs();
  body["born"] = born_ms_;
  HttpReply reply = JsonReply(body.dump());
  reply.status = status;
  return reply;
}

HttpReply PlatformWorker::Serve(const HttpCall& call) {
  std::unique_lock lock(mutex_);
  AwaitContact(lock);
  const std::string_view expected = call.Field("Banyanchute-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    return Answer(421);
  }
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object()) {
    return Answer(400);
  }
  const bool must_wait = !is_up_;
  HttpReply reply = must_wait ? Answer(421) : CarryOut(call.path, body, lock);
  AwaitContact(lock);
  // An order that was carried out is not carried out again.
  if (!is_up_ && (must_wait || call.path == "/hold")) {
    open_calls_.push_back({call.path, body});
  }
  return reply;
}

HttpReply PlatformWorker::CarryOut(const std::string& path,
                                   const json& body,
                                   std::unique_lock<std::mutex>& lock) {
  const std::int64_t token = MsOf(body, "fencing-token");
  if (token < fencing_token_) {
    return Answer(409, {{"reason", "fence"}});
  }
  fencing_token_ = token;
  if (path == "/run-start") {
    return StartRun(body);
  }
  if (path == "/run-stop") {
    return StopRun(body);
  }
  if (path == "/hold") {
    return List(body, lock);
  }
  return Answer(path == "/pace" ? 200 : 400);
}

void PlatformWorker::CarryOutFormerCalls(std::size_t count) {
  std::unique_lock lock(mutex_);
  for (; count > 0 && is_up_ && !former_calls_.empty(); --count) {
    OpenCall call = std::move(former_calls_.front());
    former_calls_.pop_front();
    call.body["wait-ms"] = 0;
    static_cast<void>(CarryOut(call.path, call.body, lock));
  }
}

void PlatformWorker::CutOff(Time until) {
  const std::lock_guard lock(mutex_);
  cut_until_ = until;
}

bool PlatformWorker::IsCutOff() const {
  const std::lock_guard lock(mutex_);
  return MonotonicClock::now() < cut_until_;
}

void PlatformWorker::AwaitContact(std::unique_lock<std::mutex>& lock) const {
  while (is_up_ && MonotonicClock::now() < cut_until_) {
    lock.unlock();
    std::this_thread::sleep_for(kClockInterval);
    lock.lock();
  }
}

void PlatformWorker::RenewLease(const json& body) {
  lease_until_ms_ = std::max(
      lease_until_ms_,
      std::min(MsOf(body, "deadline-ms"), ClockMs() + options_.max_lease_ms));
}

HttpReply PlatformWorker::StartRun(const json& body) {
  const std::string task = body.value("task", "");
  const std::int64_t number = MsOf(body, "run");
  const auto found = active_.find(task);
  if (found != active_.end() && found->second.number == number) {
    return Answer(200);
  }
  RenewLease(body);
  if (found != active_.end() ||
      (barred_.contains(task) && number <= barred_.at(task))) {
    return Answer(409, {{"reason", "old"}});
  }
  if (lease_until_ms_ <= ClockMs()) {
    return Answer(409, {{"reason", "late"}});
  }
  const std::int64_t work_ms = std::stoll(body.value("spec", "1"));
  const std::int64_t now_ms = ClockMs();
  active_[task] = {number, now_ms, now_ms + work_ms,
                   history_.Start(task, number, id_)};
  return Answer(200);
}

HttpReply PlatformWorker::StopRun(const json& body) {
  const std::string task = body.value("task", "");
  const std::int64_t number = MsOf(body, "run");
  const auto found = active_.find(task);
  if (found != active_.end() && found->second.number <= number) {
    EndRun(task, "stopped");
  }
  barred_[task] = std::max(barred_[task], number);
  return Answer(200);
}

HttpReply PlatformWorker::List(const json& body,
                               std::unique_lock<std::mutex>& lock) {
  RenewLease(body);
  const std::int64_t acknowledged = MsOf(body, "last-seen");
  std::erase_if(ended_, [&](const ListedEnd& end) {
    if (end.number <= acknowledged) {
      history_.Acknowledge(end.index);
    }
    return end.number <= acknowledged;
  });
  const Time deadline = MonotonicClock::now() +
                        Millis(std::min(MsOf(body, "wait-ms"), kMaxWaitMs));
  while (ended_.empty() && is_up_ && MonotonicClock::now() < deadline) {
    lock.unlock();
    std::this_thread::sleep_for(kClockInterval);
    lock.lock();
  }
  json lists = {{"running", json::array()}, {"ended", json::array()}};
  for (const auto& [task, run] : active_) {
    const std::int64_t percent = kFullPercent *
                                 (ClockMs() - run.started_at_ms) /
                                 (run.ends_at_ms - run.started_at_ms);
    lists["running"].push_back(
        {task, run.number, "", std::min(percent, kFullPercent - 1), 0});
  }
  for (const ListedEnd& end : ended_) {
    lists["ended"].push_back({end.number, end.task, end.run, end.ending, ""});
  }
  return Answer(200, std::move(lists));
}

void PlatformWorker::EndRun(const std::string& task,
                            const std::string& ending) {
  const auto found = active_.find(task);
  const ActiveRun run = found->second;
  active_.erase(found);
  history_.End(run.index, ending);
  ended_.push_back({++last_end_, task, run.number, ending, run.index});
  barred_[task] = std::max(barred_[task], run.number);
}

void PlatformWorker::EndDueRuns() {
  const std::int64_t now_ms = ClockMs();
  const bool has_lease = lease_until_ms_ > now_ms;
  std::vector<std::string> due;
  for (const auto& [task, run] : active_) {
    if (!has_lease || run.ends_at_ms <= now_ms) {
      due.push_back(task);
    }
  }
  for (const std::string& task : due) {
    EndRun(task, has_lease ? "done" : "lapsed");
  }
  if (!has_lease) {
    for (const ListedEnd& end : ended_) {
      history_.Lapse(end.index);
    }
  }
}

void PlatformWorker::RunClock() {
  while (is_up_) {
    {
      const std::lock_guard lock(mutex_);
      EndDueRuns();
    }
    std::this_thread::sleep_for(kClockInterval);
  }
}

void PlatformWorker::RunHeartbeat() {
  Time next = MonotonicClock::now();
  while (is_up_) {
    if (MonotonicClock::now() >= next && !IsCutOff()) {
      Send(id(), Report());
      next = MonotonicClock::now() + kHeartbeatInterval;
    }
    std::this_thread::sleep_for(kClockInterval);
  }
}

}  // namespace banyan
