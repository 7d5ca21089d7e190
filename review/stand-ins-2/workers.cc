#include "review/stand-ins-2/workers.h"

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <utility>

namespace banyan::review {
namespace {

using nlohmann::json;

constexpr int kServerThreads = 8;
constexpr std::int64_t kMaxBodyBytes = 1 << 20;
constexpr Duration kClockInterval = Millis(5);
constexpr Duration kReportTimeout = Millis(1000);
constexpr std::int64_t kMaxWaitMs = 2000;
// Within this time the connections of a worker that crashes are shut down.
constexpr Duration kAbortTime = Millis(500);
// How late a start without an answer is carried out.
constexpr double kMinLateMs = 2000;
constexpr double kMaxLateMs = 12000;
// The clock of an incarnation starts here.
constexpr std::int64_t kFirstClockMs = 1000;
constexpr int kProgressDigits = 8;

std::int64_t MsOf(const json& body, const char* name) {
  return body.value(name, std::int64_t{0});
}

std::string Hex(std::int64_t value) {
  std::ostringstream out;
  out << std::hex << std::setw(kProgressDigits) << std::setfill('0') << value;
  return out.str();
}

// Returns the work that a checkpoint stands for.
std::int64_t WorkIn(const std::string& checkpoint) {
  return checkpoint.empty()
             ? 0
             : std::stoll(checkpoint.substr(0, kProgressDigits), nullptr, 16);
}

std::string StepName(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

Workers::Workers(Deployment& deployment, Record& record, WorkerBounds bounds)
    : deployment_(deployment),
      record_(record),
      bounds_(bounds),
      workers_(static_cast<std::size_t>(deployment.shape().agents)) {
  clock_thread_ = std::thread([this] { RunClock(); });
  report_thread_ = std::thread([this] { RunReports(); });
}

Workers::~Workers() {
  must_end_ = true;
  clock_thread_.join();
  report_thread_.join();
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    Crash(static_cast<int>(i));
  }
}

void Workers::Expect(const std::string& id, JobWork work) {
  const std::lock_guard lock(mutex_);
  jobs_[id] = std::move(work);
}

bool Workers::Boot(int index, bool keeps_id, Duration first_report) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  {
    const std::lock_guard lock(mutex_);
    ++worker.life;
    if (!keeps_id || worker.id.empty()) {
      worker.id = "i-" + std::to_string(index) + "-" +
                  std::to_string(worker.life) + "-" + std::to_string(WallNow());
    }
    worker.born_ms = std::max(WallNow(), worker.born_ms + 1);
    worker.booted_at = MonotonicClock::now();
    worker.sequence = 0;
    worker.fencing_token = 0;
    worker.lease_until_ms = 0;
    worker.last_end = 0;
    worker.barred.clear();
    worker.ended.clear();
    worker.next_report = worker.booted_at + first_report;
  }
  auto server = std::make_unique<HttpServer>();
  Reason reason;
  if (!server->Start(
          deployment_.WorkerAddress(index), {kServerThreads, kMaxBodyBytes},
          [this, index](const HttpCall& call) { return Serve(index, call); },
          reason)) {
    record_.Write("worker " + std::to_string(index) + ": " + reason.text);
    return false;
  }
  const std::lock_guard lock(mutex_);
  worker.server = std::move(server);
  worker.is_up = true;
  record_.Write("worker " + std::to_string(index) + " is up as " + worker.id);
  return true;
}

void Workers::Crash(int index) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  std::unique_ptr<HttpServer> server;
  {
    const std::lock_guard lock(mutex_);
    if (!worker.is_up) {
      return;
    }
    worker.is_up = false;
    server = std::move(worker.server);
    record_.Write("worker " + std::to_string(index) + " crashes");
    const auto active = std::exchange(worker.active, {});
    for (const auto& [task, run] : active) {
      seen_[run.seen].ended_ms = record_.ElapsedMs();
      seen_[run.seen].how = "crashed";
      record_.Write("run " + task + " #" + std::to_string(run.number) +
                    " crashed with worker " + std::to_string(index));
    }
    for (const auto& [task, run] : active) {
      BreakGang(run.gang, task);
    }
  }
  server->Stop(MonotonicClock::now());
}

void Workers::LeaveUnanswered(double share) {
  const std::lock_guard lock(mutex_);
  unanswered_share_ = share;
}

bool Workers::IsUp(int index) const {
  const std::lock_guard lock(mutex_);
  return workers_[static_cast<std::size_t>(index)].is_up;
}

std::vector<SeenRun> Workers::runs() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

std::set<int> Workers::WorkersOf(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  std::set<int> found;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    for (const auto& [task, run] : workers_[i].active) {
      if (task.starts_with(prefix)) {
        found.insert(static_cast<int>(i));
      }
    }
  }
  return found;
}

json Workers::Report(int index, std::string& id) {
  const std::lock_guard lock(mutex_);
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  id = worker.id;
  return {{"service", kService},
          {"address", deployment_.WorkerAddress(index)},
          {"zone", deployment_.ZoneOf(index)},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 62500}, {"gpu", 0}}},
          {"labels", {"a", "r1-" + std::to_string(index / 3)}},
          {"clock-ms", ClockMs(worker)},
          {"sequence", ++worker.sequence},
          {"born", worker.born_ms}};
}

int Workers::Send(int index, const std::string& id, const json& report) {
  HttpCall call;
  call.method = "PUT";
  call.path = "/instances/" + id;
  call.content_type = "application/json";
  call.body = report.dump();
  const HttpExchange exchange =
      HttpClient(deployment_.AgentAddress(index))
          .Exchange(call, "", MonotonicClock::now() + kReportTimeout);
  return exchange.outcome == RequestOutcome::kRan ? exchange.reply.status : 0;
}

std::int64_t Workers::ClockMs(const Worker& worker) {
  return kFirstClockMs + ToMillis(MonotonicClock::now() - worker.booted_at);
}

HttpReply Workers::Answer(const Worker& worker, int status, json body) const {
  body["clock-ms"] = ClockMs(worker);
  body["born"] = worker.born_ms;
  HttpReply reply = JsonReply(body.dump());
  reply.status = status;
  return reply;
}

HttpReply Workers::NoAnswer(std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  std::this_thread::sleep_for(kAbortTime);
  return {};
}

HttpReply Workers::Serve(int index, const HttpCall& call) {
  SeenRun started;
  HttpReply reply;
  {
    std::unique_lock lock(mutex_);
    Worker& worker = workers_[static_cast<std::size_t>(index)];
    const int life = worker.life;
    const auto has_crashed = [&] {
      return !worker.is_up || worker.life != life;
    };
    if (has_crashed()) {
      return NoAnswer(lock);
    }
    const std::string_view expected = call.Field("Banyanchute-Expect-Instance");
    const json body = json::parse(call.body, nullptr, false);
    if (!expected.empty() && expected != worker.id) {
      return Answer(worker, 421, json::object());
    }
    if (!body.is_object()) {
      return Answer(worker, 400, json::object());
    }
    if (call.path == "/run-start" && random_.NextDouble() < unanswered_share_) {
      const auto delay_ms = static_cast<std::int64_t>(
          kMinLateMs + random_.NextDouble() * (kMaxLateMs - kMinLateMs));
      worker.late.push_back({record_.ElapsedMs() + delay_ms, worker.id, body});
      record_.Write(
          "order to worker " + std::to_string(index) + ": start " +
          body.value("task", "") + " #" + std::to_string(MsOf(body, "run")) +
          " gets no answer, due in " + std::to_string(delay_ms) + " ms");
      return NoAnswer(lock);
    }
    if (MsOf(body, "fencing-token") < worker.fencing_token) {
      return Answer(worker, 409, {{"reason", "fence"}});
    }
    worker.fencing_token = MsOf(body, "fencing-token");
    if (call.path == "/run-start") {
      reply = StartRun(index, body, started);
      record_.Write("order to worker " + std::to_string(index) + ": start " +
                    body.value("task", "") + " #" +
                    std::to_string(MsOf(body, "run")) + " last-checkpoint '" +
                    body.value("last-checkpoint", "") + "' -> " +
                    std::to_string(reply.status));
    } else if (call.path == "/run-stop") {
      const std::string task = body.value("task", "");
      const auto found = worker.active.find(task);
      if (found != worker.active.end() &&
          found->second.number <= MsOf(body, "run")) {
        EndRun(index, task, "stopped");
      }
      worker.barred[task] = std::max(worker.barred[task], MsOf(body, "run"));
      reply = Answer(worker, 200, json::object());
      record_.Write("order to worker " + std::to_string(index) + ": stop " +
                    task + " #" + std::to_string(MsOf(body, "run")));
    } else if (call.path == "/hold") {
      reply = List(index, body, lock);
      if (has_crashed()) {
        return NoAnswer(lock);
      }
    } else {
      reply = Answer(worker, call.path == "/pace" ? 200 : 400, json::object());
    }
  }
  if (observer_ && started.number > 0) {
    observer_(started);
  }
  return reply;
}

void Workers::RenewLease(Worker& worker, const json& body) const {
  worker.lease_until_ms =
      std::max(worker.lease_until_ms,
               std::min(MsOf(body, "deadline-ms"),
                        ClockMs(worker) + bounds_.longest_lease_ms));
}

HttpReply Workers::StartRun(int index, const json& body, SeenRun& started) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  const std::string task = body.value("task", "");
  const std::int64_t number = MsOf(body, "run");
  const auto found = worker.active.find(task);
  if (found != worker.active.end() && found->second.number == number) {
    return Answer(worker, 200, json::object());
  }
  RenewLease(worker, body);
  if (found != worker.active.end() ||
      (worker.barred.contains(task) && number <= worker.barred.at(task))) {
    return Answer(worker, 409, {{"reason", "old"}});
  }
  if (worker.lease_until_ms <= ClockMs(worker)) {
    return Answer(worker, 409, {{"reason", "late"}});
  }
  if (!jobs_.contains(JobOf(task))) {
    return Answer(worker, 400, json::object());
  }
  Active run;
  run.number = number;
  run.seen = seen_.size();
  run.saved = body.value("last-checkpoint", "");
  run.resumed_ms = WorkIn(run.saved);
  if (StepOf(task).value("gang", false)) {
    run.gang = StepName(task) + " #" + std::to_string(number);
  } else {
    run.is_working = true;
    run.working_since_ms =
        record_.ElapsedMs() + (run.saved.empty() ? 0 : bounds_.restore_ms);
  }
  SeenRun& seen = seen_.emplace_back();
  seen.task = task;
  seen.number = number;
  seen.worker = index;
  seen.started_ms = record_.ElapsedMs();
  seen.carried = run.saved;
  started = seen;
  worker.active[task] = std::move(run);
  return Answer(worker, 200, json::object());
}

HttpReply Workers::List(int index,
                        const json& body,
                        std::unique_lock<std::mutex>& lock) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  RenewLease(worker, body);
  const std::int64_t acknowledged = MsOf(body, "last-seen");
  std::erase_if(worker.ended, [&](const End& end) {
    if (end.number <= acknowledged) {
      seen_[end.seen].noted_ms = record_.ElapsedMs();
      record_.Write("end " + end.task + " #" + std::to_string(end.run) + " " +
                    end.how + " on worker " + std::to_string(index) +
                    " is taken note of");
    }
    return end.number <= acknowledged;
  });
  const Time deadline = MonotonicClock::now() +
                        Millis(std::min(MsOf(body, "wait-ms"), kMaxWaitMs));
  while (worker.ended.empty() && worker.is_up &&
         MonotonicClock::now() < deadline) {
    lock.unlock();
    std::this_thread::sleep_for(kClockInterval);
    lock.lock();
  }
  json lists = {{"running", json::array()}, {"ended", json::array()}};
  for (const auto& [task, run] : worker.active) {
    const std::int64_t work = WorkOf(task);
    const std::int64_t percent =
        run.is_working ? std::min<std::int64_t>(99, 100 * DoneMs(run) / work)
                       : 0;
    lists["running"].push_back(
        {task, run.number, run.saved, percent,
         run.is_working ? StepOf(task).value("cpu", 0) : 0});
  }
  for (const End& end : worker.ended) {
    lists["ended"].push_back(
        {end.number, end.task, end.run, end.how, end.saved});
  }
  return Answer(worker, 200, std::move(lists));
}

const json& Workers::StepOf(const std::string& task) const {
  const std::string step = StepName(task);
  return jobs_.at(JobOf(task))
      .steps.at(std::stoul(step.substr(step.rfind('.') + 1)));
}

std::int64_t Workers::WorkOf(const std::string& task) const {
  const std::string step = StepName(task);
  return jobs_.at(JobOf(task))
      .work_ms.at(std::stoul(step.substr(step.rfind('.') + 1)));
}

std::int64_t Workers::DoneMs(const Active& run) const {
  return run.resumed_ms +
         std::max<std::int64_t>(0, record_.ElapsedMs() - run.working_since_ms);
}

std::string Workers::Checkpoint(const std::string& task,
                                const Active& run,
                                std::int64_t done_ms) const {
  // The members of a gang share their checkpoints.
  const std::string owner = run.gang.empty() ? task : StepName(task);
  return Hex(done_ms) + Hex(static_cast<std::int64_t>(
                            std::hash<std::string>{}(owner)&0xffffffffU));
}

void Workers::EndRun(int index,
                     const std::string& task,
                     const std::string& how) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  const auto found = worker.active.find(task);
  Active run = found->second;
  worker.active.erase(found);
  if (how == "stopped" && run.is_working &&
      StepOf(task).value("checkpointing", false)) {
    run.saved = Checkpoint(task, run, DoneMs(run));
  }
  worker.ended.push_back(
      {run.seen, ++worker.last_end, task, run.number, how, run.saved});
  worker.barred[task] = std::max(worker.barred[task], run.number);
  seen_[run.seen].ended_ms = record_.ElapsedMs();
  seen_[run.seen].how = how;
  record_.Write("run " + task + " #" + std::to_string(run.number) +
                " on worker " + std::to_string(index) + " ended " + how +
                " saved '" + run.saved + "'");
  if (how != "done" && how != "broken" && how != "alone") {
    BreakGang(run.gang, task);
  }
}

void Workers::BreakGang(const std::string& gang, const std::string& except) {
  if (gang.empty()) {
    return;
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    std::vector<std::string> members;
    for (const auto& [task, run] : workers_[i].active) {
      // Members that have not begun wait for the others.
      if (run.gang == gang && run.is_working && task != except) {
        members.push_back(task);
      }
    }
    for (const std::string& task : members) {
      EndRun(static_cast<int>(i), task, "broken");
    }
  }
}

void Workers::AdvanceGang(const std::string& gang) {
  std::vector<std::pair<int, std::string>> members;
  std::set<std::string> carried;
  std::size_t count = 0;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    for (const auto& [task, run] : workers_[i].active) {
      if (run.gang == gang) {
        members.emplace_back(static_cast<int>(i), task);
        carried.insert(run.saved);
        count = StepOf(task).value("count", std::size_t{0});
      }
    }
  }
  const std::int64_t now_ms = record_.ElapsedMs();
  const auto run_of =
      [&](const std::pair<int, std::string>& member) -> Active& {
    return workers_[static_cast<std::size_t>(member.first)].active.at(
        member.second);
  };
  if (run_of(members.front()).is_working) {
    if (DoneMs(run_of(members.front())) >= WorkOf(members.front().second)) {
      for (const auto& member : members) {
        EndRun(member.first, member.second, "done");
      }
    }
    return;
  }
  // All members are there, and all carry the same checkpoint.
  if (members.size() == count && carried.size() == 1) {
    record_.Write("gang " + gang + " begins from '" + *carried.begin() + "'");
    for (const auto& member : members) {
      Active& run = run_of(member);
      run.is_working = true;
      run.working_since_ms =
          now_ms + (run.saved.empty() ? 0 : bounds_.restore_ms);
    }
    return;
  }
  for (const auto& member : members) {
    if (seen_[run_of(member).seen].started_ms + bounds_.gang_ms <= now_ms) {
      EndRun(member.first, member.second, "alone");
    }
  }
}

void Workers::CarryOutLate(int index) {
  Worker& worker = workers_[static_cast<std::size_t>(index)];
  const auto is_due = [&](const LateStart& start) {
    return start.due_ms <= record_.ElapsedMs();
  };
  std::vector<LateStart> due;
  std::copy_if(worker.late.begin(), worker.late.end(), std::back_inserter(due),
               is_due);
  std::erase_if(worker.late, is_due);
  for (const LateStart& start : due) {
    // What falls due while the worker is down is lost.
    if (!worker.is_up || start.id != worker.id ||
        MsOf(start.body, "fencing-token") < worker.fencing_token) {
      continue;
    }
    worker.fencing_token = MsOf(start.body, "fencing-token");
    SeenRun started;
    const HttpReply reply = StartRun(index, start.body, started);
    if (started.number > 0) {
      seen_.back().is_late = true;
    }
    record_.Write("worker " + std::to_string(index) +
                  " carries out late: start " + start.body.value("task", "") +
                  " #" + std::to_string(MsOf(start.body, "run")) + " -> " +
                  std::to_string(reply.status));
  }
}

void Workers::Advance() {
  std::set<std::string> gangs;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    Worker& worker = workers_[i];
    CarryOutLate(static_cast<int>(i));
    if (!worker.is_up) {
      continue;
    }
    const bool has_lease = worker.lease_until_ms > ClockMs(worker);
    for (const End& end : worker.ended) {
      seen_[end.seen].has_lapsed = seen_[end.seen].has_lapsed || !has_lease;
    }
    std::vector<std::string> due;
    for (auto& [task, run] : worker.active) {
      const std::int64_t done_ms = DoneMs(run);
      const json& step = StepOf(task);
      const std::int64_t saved_ms =
          done_ms / bounds_.checkpoint_ms * bounds_.checkpoint_ms;
      if (run.is_working && step.value("checkpointing", false) &&
          saved_ms > WorkIn(run.saved)) {
        run.saved = Checkpoint(task, run, saved_ms);
      }
      const bool is_done = run.gang.empty() &&
                           !step.value("long-running", false) &&
                           done_ms >= WorkOf(task);
      if (!has_lease || is_done) {
        due.push_back(task);
      } else if (!run.gang.empty()) {
        gangs.insert(run.gang);
      }
    }
    for (const std::string& task : due) {
      if (worker.active.contains(task)) {
        EndRun(static_cast<int>(i), task, has_lease ? "done" : "lapsed");
      }
    }
  }
  for (const std::string& gang : gangs) {
    const bool is_active =
        std::any_of(workers_.begin(), workers_.end(), [&](const Worker& w) {
          return std::any_of(
              w.active.begin(), w.active.end(),
              [&](const auto& item) { return item.second.gang == gang; });
        });
    if (is_active) {
      AdvanceGang(gang);
    }
  }
}

void Workers::RunClock() {
  while (!must_end_) {
    {
      const std::lock_guard lock(mutex_);
      Advance();
    }
    std::this_thread::sleep_for(kClockInterval);
  }
}

void Workers::RunReports() {
  while (!must_end_) {
    for (int i = 0; i < deployment_.shape().agents; ++i) {
      {
        const std::lock_guard lock(mutex_);
        Worker& worker = workers_[static_cast<std::size_t>(i)];
        if (!worker.is_up || worker.next_report > MonotonicClock::now()) {
          continue;
        }
        worker.next_report =
            MonotonicClock::now() + Millis(bounds_.heartbeat_ms);
      }
      std::string id;
      const json report = Report(i, id);
      // Without an answer the next report follows soon.
      static_cast<void>(Send(i, id, report));
    }
    std::this_thread::sleep_for(kClockInterval);
  }
}

}  // namespace banyan::review
