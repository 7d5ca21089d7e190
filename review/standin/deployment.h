#ifndef REVIEW_STANDIN_DEPLOYMENT_H_
#define REVIEW_STANDIN_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "review/standin/executor.h"
#include "review/standin/http.h"

namespace review {

// Bounds of the small sites of SYSTEM.md, in milliseconds.
inline constexpr std::int64_t kContactMs = 3000;
inline constexpr std::int64_t kEvacMs = 5000;
inline constexpr std::int64_t kVisibleMs = 3000;
inline constexpr std::int64_t kConfigMs = 2000;

inline constexpr const char* kHost = "bookings.example";
inline constexpr const char* kPrefix = "/bookings/";
inline constexpr const char* kService = "reservas";

// A process of the system, started with the command of the deploy file.
class Process {
 public:
  Process(std::string name,
          std::string command,
          std::string settings,
          std::string folder);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] bool Start();
  void Kill();
  void Freeze();
  void Thaw();
  // Whether the process runs.
  [[nodiscard]] bool IsRunning();
  // What it has written so far.
  [[nodiscard]] std::string Output() const;

 private:
  std::string name_;
  std::string command_;
  std::string settings_path_;
  std::string output_path_;
  pid_t pid_ = -1;
};

// A machine of class `edge`. One with a disk runs `control` and `entry`, any
// other one only `entry`.
struct EdgeMachine {
  std::string zone;
  std::string front;
  std::string ready;
  std::string control_address;
  std::unique_ptr<Process> control;
  std::unique_ptr<Process> entry;
};

// A machine of class `side` with its executor.
struct SideMachine {
  std::string zone;
  std::string control_address;
  std::unique_ptr<Process> agent;
  std::unique_ptr<Executor> executor;
};

// A small deployment on loopback addresses: an edge machine with a disk in each
// zone, some without, and the executors spread over the zones.
class Deployment {
 public:
  Deployment(const std::vector<std::string>& zones,
             int executors,
             int diskless_edges = 0);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts everything, sends the first configuration and waits until all
  // entries are ready.
  [[nodiscard]] bool Start();

  // The edge machines; those with a disk come first, one for each zone.
  [[nodiscard]] std::vector<EdgeMachine>& edges() { return edges_; }
  [[nodiscard]] std::vector<SideMachine>& sides() { return sides_; }
  [[nodiscard]] RunLog& log() { return log_; }

  // Sends an order of the operator until it is acknowledged: to the core
  // machine of this number first, to the next one after a failure or a second
  // without a response, for `patience_ms`. Returns the last response.
  Response Order(const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 std::size_t first,
                 std::int64_t patience_ms);
  Response PutConfig(std::int64_t version, std::size_t first);

  // Sends a client's request to an entry; after no response, a 502, 503 or 504
  // again to the next one, four times.
  Response Ask(const std::string& method,
               const std::string& path,
               const std::string& body,
               std::size_t first);
  // Hands in a job of one step; returns whether it was accepted.
  bool Submit(const std::string& id,
              const std::string& spec,
              const std::string& step,
              std::size_t first);

 private:
  [[nodiscard]] bool ReadCommands();

  std::vector<std::string> zones_;
  int executor_count_;
  int diskless_count_;
  std::string folder_;
  std::string control_command_;
  std::string entry_command_;
  std::string agent_command_;
  RunLog log_;
  std::vector<EdgeMachine> edges_;
  std::vector<SideMachine> sides_;
};

// Returns an id of a job, 16 hexadecimal digits.
[[nodiscard]] std::string JobId(std::int64_t number);

// Runs a case: opens the record, guards the time, and turns the verdict into
// the exit code. The case returns 0, 1 or 2.
int RunCase(int argc, char** argv, int (*play)());

}  // namespace review

#endif  // REVIEW_STANDIN_DEPLOYMENT_H_
