#ifndef BANYAN_TESTS_SOAK_PLATFORM_WORKER_H_
#define BANYAN_TESTS_SOAK_PLATFORM_WORKER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "banyan/net/http.h"
#include "tests/soak/run_history.h"

namespace banyan {

// Where a worker is and whom it reports to.
struct PlatformWorkerOptions {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string address;
  std::string agent_address;
  // Longest lease that the worker accepts.
  std::int64_t max_lease_ms = 6000;
};

// A worker on a machine of the users' platform: it speaks their protocol, runs
// tasks for as many milliseconds as their payload names, guards its fencing
// token and its lease, and lists ends until they are acknowledged. It can crash
// and start again, and be another writer's victim.
class PlatformWorker {
 public:
  PlatformWorker(PlatformWorkerOptions options, RunHistory& history);
  ~PlatformWorker();
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  // Starts an incarnation, under the id of the last one or under a new one.
  // Returns whether its address is free.
  [[nodiscard]] bool Boot(bool keeps_id);
  // Ends the incarnation with all that it runs, without a word.
  void Crash();
  [[nodiscard]] bool is_up() const { return is_up_; }

  // Carries out calls that the former incarnation with this id had not answered
  // when it crashed, the first ones. Their answers reach nobody.
  void CarryOutFormerCalls(std::size_t count);
  // Lets neither calls nor reports through until then. Calls that arrive
  // meanwhile are carried out late.
  void CutOff(Time until);

  [[nodiscard]] std::string id() const;
  // Returns a report as the worker would send it next.
  [[nodiscard]] nlohmann::json Report();
  // Sends a report in the name of an id to the agent.
  void Send(const std::string& id, const nlohmann::json& report) const;

 private:
  struct ActiveRun {
    std::int64_t number = 0;
    std::int64_t started_at_ms = 0;
    std::int64_t ends_at_ms = 0;
    std::size_t index = 0;
  };
  struct ListedEnd {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string ending;
    std::size_t index = 0;
  };

  struct OpenCall {
    std::string path;
    nlohmann::json body;
  };

  HttpReply Serve(const HttpCall& call);
  HttpReply CarryOut(const std::string& path,
                     const nlohmann::json& body,
                     std::unique_lock<std::mutex>& lock);
  void AwaitContact(std::unique_lock<std::mutex>& lock) const;
  [[nodiscard]] bool IsCutOff() const;
  HttpReply StartRun(const nlohmann::json& body);
  HttpReply StopRun(const nlohmann::json& body);
  HttpReply List(const nlohmann::json& body,
                 std::unique_lock<std::mutex>& lock);
  [[nodiscard]] HttpReply Answer(
      int status,
      nlohmann::json body = nlohmann::json::object()) const;
  void RenewLease(const nlohmann::json& body);
  void EndRun(const std::string& task, const std::string& ending);
  void EndDueRuns();
  [[nodiscard]] std::int64_t ClockMs() const;
  void RunClock();
  void RunHeartbeat();

  const PlatformWorkerOptions options_;
  RunHistory& history_;
  mutable std::mutex mutex_;
  int life_ = 0;
  std::string id_;
  std::int64_t born_ms_ = 0;
  Time booted_at_;
  std::int64_t sequence_ = 0;
  std::int64_t fencing_token_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, ActiveRun> active_;
  // The highest run of each task that was stopped or ended here.
  std::map<std::string, std::int64_t> barred_;
  std::vector<ListedEnd> ended_;
  // Calls without an answer, of this incarnation and of the former one.
  std::deque<OpenCall> open_calls_;
  std::deque<OpenCall> former_calls_;
  Time cut_until_;
  std::atomic<bool> is_up_{false};
  std::unique_ptr<HttpServer> server_;
  std::thread clock_thread_;
  std::thread heartbeat_thread_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_PLATFORM_WORKER_H_
