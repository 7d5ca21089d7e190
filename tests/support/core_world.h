#ifndef BANYAN_TESTS_SUPPORT_CORE_WORLD_H_
#define BANYAN_TESTS_SUPPORT_CORE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "banyan/agent/agent_core.h"
#include "banyan/base/random.h"
#include "banyan/control/control_core.h"
#include "banyan/routing/router_core.h"
#include "tests/support/virtual_machines.h"

namespace banyan {

// How large a world is made.
struct WorldShape {
  int controls = 3;
  int entries = 2;
  int endpoints = 3;
  int workers = 3;
  Duration lease = std::chrono::seconds(4);
  std::uint64_t snapshot_every = 60;
  Resources worker_capacity{4000, 8192, 0};
};

// A caller's request and everything it was told about it.
struct CallerRecord {
  std::string key;
  bool is_booking = false;
  // The last outcome it was told; nothing before the first answer.
  std::optional<RequestOutcome> outcome;
  int sends = 0;
  bool is_done = false;
  bool got_wrong_answer = false;
  Time first_sent;
  Time answered;
};

// The deterministic cores joined by message queues under virtual time, with
// the smallest fakes round them. It exists to inject a fault at any step and
// to check what must hold after every event; it models no load.
class CoreWorld {
 public:
  CoreWorld(WorldShape shape, std::uint64_t seed);
  ~CoreWorld();

  // Runs for a span of virtual time.
  void Run(Duration span);
  // Does something after a span of virtual time.
  void After(Duration delay, std::function<void()> run) {
    At(delay, std::move(run));
  }
  // Runs until the condition holds; false after the bound.
  bool RunUntil(Duration bound, const std::function<bool()>& condition);

  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] Random& random() { return random_; }

  // --- Work ---
  void StartCallers(int bookings, int drafts);
  void StopCallers() { callers_active_ = false; }
  void SubmitJobs(int count,
                  std::int64_t run_ms,
                  const std::string& payload = "");
  void CancelJobs(int every);
  // Sends an operator's command through one replica, repeated until answered.
  void Operate(const Command& command, int via, const std::string& command_id);
  void TakeOut(const std::string& data_centre);
  void BringBack(const std::string& data_centre);

  // --- Faults ---
  void Kill(const std::string& id);
  void Restart(const std::string& id);
  void LoseDisk(const std::string& id);
  void Freeze(const std::string& id, Duration span);
  // Cuts messages from one group to the other; late ones are held until the
  // cut heals, others are lost with their connections.
  void Cut(std::set<std::string> from,
           std::set<std::string> to,
           bool both_ways,
           bool hold);
  void Heal();
  void Leave(const std::string& id);
  void CrashWorker(const std::string& id);
  void set_worker_failing(const std::string& id, bool is_failing);
  // How endpoints behave from now on.
  enum class EndpointMode : std::uint8_t { kNormal, kLoseAnswers, kRefuse };
  void set_endpoint_mode(EndpointMode mode) { endpoint_mode_ = mode; }
  // Restarts everything that is dead, and heals every cut and misbehaviour.
  void HealEverything();
  // Delivers a share of all messages twice, in percent.
  void set_duplicate_percent(int percent) { duplicate_percent_ = percent; }

  // --- Names ---
  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] std::string AnyFollower() const;
  [[nodiscard]] std::vector<std::string> ids() const;
  [[nodiscard]] std::vector<std::string> IdsIn(const std::string& dc) const;
  [[nodiscard]] const ControlState* StateOf(const std::string& id) const;
  [[nodiscard]] const ControlState* LeaderState() const;
  [[nodiscard]] const std::map<std::string, CallerRecord>& callers() const {
    return callers_;
  }
  [[nodiscard]] const std::set<std::string>& jobs() const { return jobs_; }
  [[nodiscard]] std::vector<VirtualRun> Runs();
  // How often each request body ran on any endpoint.
  [[nodiscard]] const std::map<std::string, int>& ran() const { return ran_; }

  // Calls back for each event that any core logs.
  void set_event_hook(
      std::function<void(const std::string&, const Event&)> hook) {
    event_hook_ = std::move(hook);
  }

  // Checks what must hold at all times; each violation is one line.
  void CheckAlways();
  // Checks what must hold once every fault is healed and time has passed.
  void CheckSettled();
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  // Whether the cell lost a majority of its disks and stands still for good.
  [[nodiscard]] bool has_lost_majority() const { return has_lost_majority_; }
  [[nodiscard]] std::uint64_t events() const { return event_count_; }
  [[nodiscard]] const std::vector<std::string>& history() const {
    return history_;
  }
  // Keeps every event as text, for whoever looks for a cause.
  void KeepHistory() { keeps_history_ = true; }

 private:
  enum class Kind : std::uint8_t { kControl, kEntry, kEndpoint, kWorker };

  struct Node {
    std::string id;
    Kind kind = Kind::kControl;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    bool is_alive = false;
    Time frozen_until;
    Time disk_free_at;
    std::size_t control = 0;
    std::uint64_t highest_config = 0;
    std::unique_ptr<ControlCore> control_core;
    std::unique_ptr<RouterCore> router;
    std::unique_ptr<AgentCore> agent;
    std::unique_ptr<VirtualDisk> disk;
    std::unique_ptr<VirtualWorker> worker;
    // Peers that messages are ignored of until they connect anew.
    std::set<std::string> muted;
    // Rises with every start, so that nothing of an earlier life arrives.
    std::uint64_t life = 0;
  };

  struct Action {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const Action& a, const Action& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  struct CutRule {
    std::set<std::string> from;
    std::set<std::string> to;
    bool hold = false;
  };

  void At(Duration delay, std::function<void()> run);
  void TickNode(Node& node);
  void Flush(Node& node);
  void FlushControl(Node& node);
  void FlushRouter(Node& node);
  void FlushAgent(Node& node);
  void Deliver(const std::string& from, const std::string& to, Message message);
  void Arrive(const Sender& from, Node& to, const Message& message);
  void Boot(Node& node);
  void Connect(Node& a, Node& b);
  void PeerUp(Node& node, const Node& peer);
  void PeerDown(Node& node, const std::string& peer);
  void CallEndpoint(Node& node, const EndpointCall& call);
  void CallWorker(Node& node, const WorkerCall& call);
  void SendCaller(const std::string& key);
  void NewCaller(bool is_booking, int caller, int index);
  void TakeAnswer(const CallerAnswer& answer);
  void LogEvents(const Node& node, const Events& events);
  void NoteLostLease(const Event& event);
  void Complain(const std::string& what);
  [[nodiscard]] bool HasLostMajorityOfDisks() const;
  void CheckLogs();
  void CheckConfig(Node& node);
  [[nodiscard]] const CutRule* FindCut(const std::string& from,
                                       const std::string& to) const;
  [[nodiscard]] bool IsFrozen(const Node& node) const {
    return node.frozen_until > now_;
  }
  [[nodiscard]] std::string ControlOf(const Node& node) const;
  [[nodiscard]] Duration Latency();

  WorldShape shape_;
  Random random_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::map<std::string, Node> nodes_;
  std::vector<CutRule> cuts_;
  std::vector<std::function<void()>> held_;
  std::map<std::string, CallerRecord> callers_;
  std::map<std::uint64_t, std::string> tickets_;
  std::uint64_t next_ticket_ = 1;
  std::set<std::string> jobs_;
  std::map<std::string, int> ran_;
  // Attempts that the cell gave up because their worker's lease expired.
  std::set<TaskId> lost_leases_;
  std::map<std::string, Time> out_since_;
  std::map<std::uint64_t, std::function<void(const CommandResult&)>>
      operations_;
  std::vector<std::string> violations_;
  std::set<std::string> seen_violations_;
  std::function<void(const std::string&, const Event&)> event_hook_;
  std::uint64_t event_count_ = 0;
  std::vector<std::string> history_;
  bool keeps_history_ = false;
  bool has_lost_majority_ = false;
  bool callers_active_ = true;
  int next_job_ = 0;
  int duplicate_percent_ = 0;
  EndpointMode endpoint_mode_ = EndpointMode::kNormal;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_CORE_WORLD_H_
