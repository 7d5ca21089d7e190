#ifndef REVIEW_STANDIN_EXECUTOR_H_
#define REVIEW_STANDIN_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/http.h"

namespace review {

// What one executor ran, for the judgement of a case.
struct RunRecord {
  std::string executor;
  std::string zone;
  std::string task;
  std::int64_t run = 0;
  std::string checkpoint;
  std::int64_t started_ms = 0;
  // 0 while it runs.
  std::int64_t ended_ms = 0;
  // How it ended; "crashed" for one that ended with its executor.
  std::string how;
  // Whether a `last-seen` has reached its end.
  bool is_noted = false;
};

// All runs of a deployment. Thread-safe.
class RunLog {
 public:
  std::size_t Start(RunRecord record);
  void End(std::size_t index, const std::string& how);
  void Note(std::size_t index);
  [[nodiscard]] std::vector<RunRecord> runs() const;

 private:
  mutable std::mutex mutex_;
  std::vector<RunRecord> runs_;
};

struct ExecutorSettings {
  std::string name;
  std::string service;
  std::string zone;
  std::string rack;
  // Where it is called.
  std::string address;
  // Where it reports: the `control` address of its machine.
  std::string agent;
  std::int64_t cpu = 16000;
  std::int64_t mem_mb = 62500;
};

// A sound executor as PROTOCOL.md tells it, with `command-mode` = `call` and
// `rejects-overload` = false. The `spec` of a job says what its tasks do:
// "work=MS" ends `done` after about that time (30 % more or less, by task),
// "exact=MS" after just that time, "lasts" runs until it is stopped.
class Executor {
 public:
  Executor(ExecutorSettings settings, RunLog& log);
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  // Begins a life of this executor, under a new id or the one that it had.
  [[nodiscard]] bool Start(bool keeps_id = false);
  // From now on leaves every `one_in`th list call without an answer, and
  // carries it out 2 to 12 s after its arrival; 0 ends that.
  void DelayLists(int one_in);
  // Ends the life without a word, and all that runs in it.
  void Crash();

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] const ExecutorSettings& settings() const { return settings_; }
  // The report that it sends as a heartbeat.
  [[nodiscard]] std::string Report();

 private:
  struct Run {
    std::int64_t run = 0;
    std::int64_t started = 0;
    std::int64_t work_ms = 0;
    std::size_t record = 0;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::size_t record = 0;
  };
  // A list call that is carried out late.
  struct LateList {
    std::int64_t at_ms = 0;
    std::string id;
    std::int64_t fence = 0;
    std::int64_t deadline = 0;
    std::int64_t last_seen = 0;
  };

  [[nodiscard]] std::int64_t ClockMs() const;
  Response Serve(const Request& request);
  Response Answer(int status, std::string extra) const;
  void EndRun(const std::string& task, const std::string& how);
  void Forget(std::int64_t last_seen);
  void CarryOutLateLists();
  void Tick();
  void Beat();

  ExecutorSettings settings_;
  RunLog& log_;
  std::string id_;
  std::int64_t born_ = 0;
  std::int64_t life_ = 0;
  std::int64_t clock_start_ = 0;
  std::unique_ptr<Server> server_;
  std::atomic<bool> must_end_{true};
  std::thread tick_thread_;
  std::thread beat_thread_;

  mutable std::mutex mutex_;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  // The highest run of each task that was stopped or ended here.
  std::map<std::string, std::int64_t> highest_;
  std::vector<End> ended_;
  // These outlast a life, as they are on their way.
  int delayed_one_in_ = 0;
  std::int64_t list_count_ = 0;
  std::vector<LateList> late_lists_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_EXECUTOR_H_
