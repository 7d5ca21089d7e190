#ifndef BANYAN_REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define BANYAN_REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyan/base/time.h"
#include "banyan/net/http.h"

namespace banyan::review {

// What was sent, answered and run, one line each with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);
  [[nodiscard]] std::int64_t ElapsedMs() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Time start_;
};

// The sizes of a deployment.
struct Shape {
  int controls = 3;
  int entries = 2;
  int agents = 7;
};

// The processes of the deploy file on loopback addresses, one address a
// machine. All of them are ended, by their process ids, when the object goes.
class Deployment {
 public:
  Deployment(Shape shape, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a process: "control-0", "entry-0" or "agent-0".
  void Start(const std::string& name);
  void StartAll();
  void Signal(const std::string& name, int signal);
  // Waits for the end of a process that was signalled.
  void Reap(const std::string& name);
  [[nodiscard]] pid_t PidOf(const std::string& name) const;

  // Sends a configuration until it is accepted. Returns whether it was.
  [[nodiscard]] bool InstallPlan(const nlohmann::json& plan, Duration timeout);
  // Waits until all entries are ready.
  [[nodiscard]] bool AwaitReady(Duration timeout);

  // Makes a client's call at an entry; status 0 without an answer.
  [[nodiscard]] HttpReply Call(int entry,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body,
                               Duration timeout);
  // Makes a client's call with its retries at further entries, until an answer
  // other than 5xx or 429.
  [[nodiscard]] HttpReply CallWithRetries(const std::string& method,
                                          const std::string& path,
                                          const std::string& body);
  // Makes an operator's call at a replica.
  [[nodiscard]] HttpReply CallControl(int replica,
                                      const std::string& method,
                                      const std::string& path,
                                      const std::string& body,
                                      Duration timeout);

  [[nodiscard]] std::string FrontOf(int entry) const;
  // The address where an agent listens for its worker.
  [[nodiscard]] std::string AgentAddress(int agent) const;
  // The address where the agent calls its worker.
  [[nodiscard]] std::string WorkerAddress(int agent) const;
  [[nodiscard]] std::string ZoneOf(int machine) const;
  [[nodiscard]] const Shape& shape() const { return shape_; }

 private:
  struct Process {
    std::vector<std::string> words;
    std::string settings_path;
    pid_t pid = 0;
  };

  [[nodiscard]] std::string IpOf(int machine) const;
  [[nodiscard]] int MachineOf(const std::string& role, int index) const;
  void ChooseNetwork();
  void Add(const std::string& role, int index);

  const Shape shape_;
  Record& record_;
  std::string network_;
  std::string folder_;
  std::map<std::string, Process> processes_;
};

// Returns a configuration with one route and one service.
[[nodiscard]] nlohmann::json SimplePlan(std::int64_t version);

inline constexpr const char* kHost = "jobs.example";
inline constexpr const char* kPrefix = "/jobs/";
inline constexpr const char* kService = "pool";

// Returns whether the disruption of a case is to be left out.
[[nodiscard]] bool IsCalm();

// Returns a job's id of 16 hexadecimal digits.
[[nodiscard]] std::string JobId(std::uint64_t number);

}  // namespace banyan::review

#endif  // BANYAN_REVIEW_STAND_INS_2_DEPLOYMENT_H_
