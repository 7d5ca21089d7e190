#ifndef BANYAN_REVIEW_STAND_INS_2_WORKERS_H_
#define BANYAN_REVIEW_STAND_INS_2_WORKERS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "banyan/base/random.h"
#include "banyan/net/http.h"
#include "review/stand-ins-2/deployment.h"

namespace banyan::review {

// What the workers know of a job: how long each task of a step works.
struct JobWork {
  nlohmann::json steps;
  std::vector<std::int64_t> work_ms;
};

// One run of a task, as its worker saw it.
struct SeenRun {
  std::string task;
  std::int64_t number = 0;
  int worker = 0;
  std::int64_t started_ms = 0;
  // -1 while the run is active.
  std::int64_t ended_ms = -1;
  // How it ended: one of the platform's words, or "crashed".
  std::string how;
  // The checkpoint that its start carried.
  std::string carried;
  // Whether its start got no answer and was carried out seconds later.
  bool is_late = false;
  // When the end was taken note of; -1 before that.
  std::int64_t noted_ms = -1;
  // Whether the worker's lease lapsed between the end and that time.
  bool has_lapsed = false;
};

// The bounds of the platform for its workers.
struct WorkerBounds {
  std::int64_t heartbeat_ms = 1500;
  std::int64_t longest_lease_ms = 6000;
  std::int64_t gang_ms = 3000;
  std::int64_t checkpoint_ms = 1000;
  std::int64_t restore_ms = 100;
};

// The workers of a deployment, each beside its agent. They speak the platform's
// protocol: they guard fencing tokens and leases, list ends until they are
// acknowledged, and know gangs and checkpoints. A worker can crash and start
// again under another id or the same one, and can leave starts unanswered and
// carry them out late.
class Workers {
 public:
  Workers(Deployment& deployment, Record& record, WorkerBounds bounds = {});
  ~Workers();
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  // Tells the workers of a job that a client is about to submit.
  void Expect(const std::string& id, JobWork work);
  // Called after each accepted start, without the lock.
  void OnStart(std::function<void(const SeenRun&)> observer) {
    observer_ = std::move(observer);
  }

  // Starts a worker, which sends its first report after the delay.
  [[nodiscard]] bool Boot(int worker,
                          bool keeps_id = false,
                          Duration first_report = Duration::zero());
  // Leaves this share of the starts unanswered and has them carried out 2 to
  // 12 s later, by the life that the worker's id then has.
  void LeaveUnanswered(double share);
  void Crash(int worker);
  [[nodiscard]] bool IsUp(int worker) const;

  [[nodiscard]] std::vector<SeenRun> runs() const;
  // Returns the workers that have active runs of a task whose name begins so.
  [[nodiscard]] std::set<int> WorkersOf(const std::string& prefix) const;
  // Returns what the worker reports next, with its id.
  [[nodiscard]] nlohmann::json Report(int worker, std::string& id);
  // Sends a report to an agent. Returns the status; 0 without an answer.
  int Send(int worker, const std::string& id, const nlohmann::json& report);

 private:
  struct Active {
    std::size_t seen = 0;
    std::int64_t number = 0;
    std::string gang;
    bool is_working = false;
    // Work done when it began to work, and when that was.
    std::int64_t resumed_ms = 0;
    std::int64_t working_since_ms = 0;
    std::string saved;
  };
  struct End {
    std::size_t seen = 0;
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
  };
  struct LateStart {
    std::int64_t due_ms = 0;
    std::string id;
    nlohmann::json body;
  };
  struct Worker {
    bool is_up = false;
    int life = 0;
    std::string id;
    std::int64_t born_ms = 0;
    Time booted_at;
    std::int64_t sequence = 0;
    std::int64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t last_end = 0;
    std::map<std::string, Active> active;
    std::map<std::string, std::int64_t> barred;
    std::vector<End> ended;
    std::vector<LateStart> late;
    Time next_report;
    std::unique_ptr<HttpServer> server;
  };

  // Holds back the answer of a crashed worker until its connection is gone.
  static HttpReply NoAnswer(std::unique_lock<std::mutex>& lock);
  HttpReply Serve(int index, const HttpCall& call);
  HttpReply StartRun(int index, const nlohmann::json& body, SeenRun& started);
  HttpReply List(int index,
                 const nlohmann::json& body,
                 std::unique_lock<std::mutex>& lock);
  [[nodiscard]] static std::int64_t ClockMs(const Worker& worker);
  [[nodiscard]] HttpReply Answer(const Worker& worker,
                                 int status,
                                 nlohmann::json body) const;
  void RenewLease(Worker& worker, const nlohmann::json& body) const;
  void EndRun(int index, const std::string& task, const std::string& how);
  void BreakGang(const std::string& gang, const std::string& except);
  void CarryOutLate(int index);
  void Advance();
  void AdvanceGang(const std::string& gang);
  [[nodiscard]] std::int64_t WorkOf(const std::string& task) const;
  [[nodiscard]] std::int64_t DoneMs(const Active& run) const;
  [[nodiscard]] std::string Checkpoint(const std::string& task,
                                       const Active& run,
                                       std::int64_t done_ms) const;
  [[nodiscard]] const nlohmann::json& StepOf(const std::string& task) const;
  void RunClock();
  void RunReports();

  Deployment& deployment_;
  Record& record_;
  const WorkerBounds bounds_;
  mutable std::mutex mutex_;
  std::map<std::string, JobWork> jobs_;
  std::vector<Worker> workers_;
  double unanswered_share_ = 0;
  Random random_{1};
  std::vector<SeenRun> seen_;
  std::function<void(const SeenRun&)> observer_;
  std::atomic<bool> must_end_{false};
  std::thread clock_thread_;
  std::thread report_thread_;
};

}  // namespace banyan::review

#endif  // BANYAN_REVIEW_STAND_INS_2_WORKERS_H_
