#ifndef BANYAN_TESTS_FAKES_FAKE_WORKER_H_
#define BANYAN_TESTS_FAKES_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "banyan/base/resources.h"
#include "banyan/base/time.h"
#include "banyan/net/http.h"
#include "banyan/wire/job.h"

namespace banyan {

// One run of an attempt, for whoever checks what happened.
struct WorkerRun {
  TaskId task;
  Time started;
  Time ended;
  bool is_finished = false;
  // Milliseconds of work that the run began and ended with.
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

// A small worker that speaks docs/WORKER_API.md. Tasks only pass time; their
// checkpoint is the milliseconds of work done. Without a lease nothing runs.
class FakeWorker {
 public:
  explicit FakeWorker(Resources capacity) : capacity_(capacity) {}

  HttpReply Serve(const HttpCall& call);

 private:
  enum class State : std::uint8_t { kRunning, kFinished, kFailed, kStopped };

  struct Task {
    Resources needs;
    State state = State::kRunning;
    std::int64_t run_ms = 0;
    std::int64_t done_ms = 0;
    std::int64_t checkpoint_ms = 0;
    std::int64_t percent = 100;
    Time advanced;
    std::size_t run = 0;
  };

  // Lets the tasks work until now, or until their lease ran out.
  void Advance(Time now);
  void End(Task& task, State state, Time now);
  HttpReply List() const;
  HttpReply Start(Time now, const std::string& body);
  HttpReply History() const;

  Resources capacity_;
  std::mutex mutex_;
  std::map<TaskId, Task> tasks_;
  std::vector<WorkerRun> history_;
  Time lease_until_;
  bool is_failing_ = false;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_FAKES_FAKE_WORKER_H_
