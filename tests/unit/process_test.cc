// Runs some faults of the fault matrix against real processes.

#include <signal.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

#include "banyan/audit/audit.h"
#include "tests/soak/platform_cluster.h"
#include "tests/support/cluster.h"
#include "tests/support/load.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr Duration kStartTimeout = seconds(30);
// Required: a configuration change is in force everywhere within 7 s.
constexpr Duration kConfigTimeout = seconds(7);
// Required: a failed control instance costs callers a few seconds at most.
constexpr Duration kRecoveryTimeout = seconds(8);
constexpr Duration kJobTimeout = seconds(90);
constexpr Duration kStopTimeout = seconds(25);
constexpr Duration kReadmissionTimeout = seconds(20);

json StatusOf(Cluster& cluster) {
  const HttpReply reply = cluster.Operate("GET", "/v1/status", "");
  return reply.status == 200 ? json::parse(reply.body) : json::object();
}

bool IsInForceEverywhere(Cluster& cluster) {
  return StatusOf(cluster).value("in_force_everywhere", false);
}

// Sends one booking request and returns the outcome reported to the caller.
std::string BookOnce(Cluster& cluster,
                     const std::string& key,
                     int entry,
                     bool is_resend) {
  std::vector<HttpField> fields = {{"Idempotency-Key", key},
                                   {"Banyan-Timeout-Ms", "1000"}};
  if (is_resend) {
    fields.push_back({"Banyan-Resend", "true"});
  }
  const HttpReply reply = Cluster::Call(cluster.EntryAddress(entry % 2), "POST",
                                        "/booking/probe", key, fields);
  return std::string(reply.Field("Banyan-Outcome"));
}

// Resends a booking request under one idempotency key until it ran. Returns
// whether that succeeded before the time-out.
bool CanBookWithin(Cluster& cluster, const std::string& key, Duration timeout) {
  int attempt = 0;
  return Cluster::WaitUntil(timeout, [&] {
    const int entry = attempt++;
    return BookOnce(cluster, key, entry, entry > 0) == "ran";
  });
}

// Sends booking requests, each under a new idempotency key, until one ran. A
// request that reached a frozen agent has an unknown outcome and can't be
// executed elsewhere until the agent answers; its key is added to
// `unresolved_keys`.
bool CanBookWithFrozenAgent(Cluster& cluster,
                            const std::string& prefix,
                            Duration timeout,
                            std::vector<std::string>& unresolved_keys) {
  int attempt = 0;
  return Cluster::WaitUntil(timeout, [&] {
    const std::string key = prefix + "-" + std::to_string(attempt);
    const std::string outcome = BookOnce(cluster, key, attempt++, false);
    if (outcome != "ran" && outcome != "not-run") {
      unresolved_keys.push_back(key);
    }
    return outcome == "ran";
  });
}

void CheckVerdict(Cluster& cluster, Load& load) {
  CPPUNIT_ASSERT_MESSAGE("jobs did not finish in time",
                         load.WaitForJobs(kJobTimeout));
  load.Stop();
  const LoadVerdict verdict = load.Verify();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.lost);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.doubled);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.ran_after_not_run);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.overlaps);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load.bookings().wrong);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load.drafts().wrong);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("processes that did not stop gracefully", 0,
                               cluster.StopAll(kStopTimeout));
  const AuditReport audit = AuditLogs(cluster.logs());
  CPPUNIT_ASSERT_MESSAGE(ToString(audit), audit.violations.empty());
}

void SurvivesKillsUnderLoad() {
  ClusterShape shape;
  shape.first_port = 22000;
  Cluster cluster(Paths().binaries, Paths().scratch + "/kills", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  Load load(cluster);
  load.Start(2, 2);
  CPPUNIT_ASSERT_EQUAL(12, load.SubmitJobs("packet", 12, 3000));
  const std::string leader = cluster.LeaderName();
  cluster.Kill(leader);
  CPPUNIT_ASSERT_MESSAGE(
      "no booking succeeded after the leader was killed",
      CanBookWithin(cluster, "after-leader", kRecoveryTimeout));
  cluster.StartOne(leader);
  cluster.Kill("booking-0");
  CPPUNIT_ASSERT(CanBookWithin(cluster, "after-agent", kRecoveryTimeout));
  cluster.StartOne("booking-0");
  cluster.Kill("worker-1");
  cluster.StartOne("worker-1");
  cluster.Kill("entry-0");
  CPPUNIT_ASSERT(CanBookWithin(cluster, "after-entry", kRecoveryTimeout));
  cluster.StartOne("entry-0");
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/out").status);
  CPPUNIT_ASSERT_MESSAGE("configuration not in force everywhere in time",
                         Cluster::WaitUntil(kConfigTimeout, [&] {
                           return IsInForceEverywhere(cluster);
                         }));
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/in").status);
  CheckVerdict(cluster, load);
}

void SurvivesFreezesUnderLoad() {
  ClusterShape shape;
  shape.first_port = 22100;
  Cluster cluster(Paths().binaries, Paths().scratch + "/freezes", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  Load load(cluster);
  load.Start(2, 2);
  CPPUNIT_ASSERT_EQUAL(12, load.SubmitJobs("packet", 12, 3000));
  const std::string leader = cluster.LeaderName();
  cluster.Signal(leader, SIGSTOP);
  CPPUNIT_ASSERT(CanBookWithin(cluster, "leader-frozen", kRecoveryTimeout));
  cluster.Signal(leader, SIGCONT);
  // With the other data centres out of service, every entry routes the request
  // to the frozen agent.
  for (const std::string out : {"dc-a", "dc-c"}) {
    CPPUNIT_ASSERT_EQUAL(
        200, cluster.Change("/v1/data-centres/" + out + "/out").status);
  }
  CPPUNIT_ASSERT(Cluster::WaitUntil(
      kConfigTimeout, [&] { return IsInForceEverywhere(cluster); }));
  cluster.Signal("booking-1", SIGSTOP);
  std::vector<std::string> unresolved_keys = {"held-by-frozen-agent"};
  for (int attempt = 0; attempt < 3; ++attempt) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "a request at a frozen agent may still run, so its outcome is unknown",
        std::string("unknown"),
        BookOnce(cluster, unresolved_keys.front(), attempt, attempt > 0));
  }
  for (const std::string in : {"dc-a", "dc-c"}) {
    CPPUNIT_ASSERT_EQUAL(
        200, cluster.Change("/v1/data-centres/" + in + "/in").status);
  }
  CPPUNIT_ASSERT_MESSAGE(
      "other callers were not served while one agent was frozen",
      CanBookWithFrozenAgent(cluster, "agent-frozen", kRecoveryTimeout,
                             unresolved_keys));
  cluster.Signal("booking-1", SIGCONT);
  for (const std::string& key : unresolved_keys) {
    CPPUNIT_ASSERT_MESSAGE(
        "request not resolved after the agent resumed: " + key,
        CanBookWithin(cluster, key, kRecoveryTimeout));
  }
  cluster.Signal("worker-0", SIGSTOP);
  cluster.Signal("entry-1", SIGSTOP);
  std::this_thread::sleep_for(seconds(1));
  cluster.Signal("entry-1", SIGCONT);
  cluster.Signal("worker-0", SIGCONT);
  CheckVerdict(cluster, load);
}

// Loses what one replica holds, by `lose`, and then another replica.
void LoseReplicaThenAnother(
    Cluster& cluster,
    const std::function<void(const std::string& name)>& lose) {
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  Load load(cluster);
  load.Start(2, 0);
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-c/out").status);
  const std::string leader = cluster.LeaderName();
  const std::string replaced =
      leader == "control-0" ? "control-1" : "control-0";
  const json before = StatusOf(cluster)["voters"];
  cluster.Kill(replaced);
  lose(replaced);
  cluster.StartOne(replaced);
  CPPUNIT_ASSERT_MESSAGE(
      "the empty replica was not re-admitted under a new identity",
      Cluster::WaitUntil(kReadmissionTimeout, [&] {
        const json status = StatusOf(cluster);
        return status.contains("voters") && status["voters"].size() == 3 &&
               status["voters"] != before && status["learners"].empty();
      }));
  cluster.Kill(leader);
  CPPUNIT_ASSERT(CanBookWithin(cluster, "after-repair", kRecoveryTimeout));
  const json out = StatusOf(cluster)["config"]["out"];
  CPPUNIT_ASSERT_EQUAL_MESSAGE("an accepted change was lost",
                               json::array({"dc-c"}).dump(), out.dump());
  cluster.StartOne(leader);
  CheckVerdict(cluster, load);
}

void SurvivesDiskLossThenReplicaLoss() {
  ClusterShape shape;
  shape.first_port = 22200;
  Cluster cluster(Paths().binaries, Paths().scratch + "/disks", shape);
  LoseReplicaThenAnother(
      cluster, [&](const std::string& name) { cluster.LoseDisk(name); });
}

// Guards against a replica that exits at each start since its log is damaged,
// so that the cell no longer bears the loss of another one.
void SurvivesDamagedLogThenReplicaLoss() {
  ClusterShape shape;
  shape.first_port = 23000;
  Cluster cluster(Paths().binaries, Paths().scratch + "/damaged", shape);
  LoseReplicaThenAnother(cluster, [&](const std::string& name) {
    CPPUNIT_ASSERT(cluster.DamageLog(name));
  });
}

// Guards against replicas whose logs are all damaged and that form a new cell,
// which has forgotten what they acknowledged.
void DamagedLogsFormNoNewCell() {
  ClusterShape shape;
  shape.first_port = 23200;
  const std::string folder = Paths().scratch + "/all-damaged";
  Cluster cluster(Paths().binaries, folder, shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  for (int i = 0; i < shape.controls; ++i) {
    cluster.Kill("control-" + std::to_string(i));
  }
  for (int i = 0; i < shape.controls; ++i) {
    const std::string name = "control-" + std::to_string(i);
    CPPUNIT_ASSERT(cluster.DamageLog(name));
    cluster.StartOne(name);
  }
  // A cell forms within a second or two when it may.
  std::this_thread::sleep_for(seconds(5));
  const json status = StatusOf(cluster);
  CPPUNIT_ASSERT_EQUAL(std::string(), status.value("leader", "no status"));
  for (int i = 0; i < shape.controls; ++i) {
    const std::string data = folder + "/data-control-" + std::to_string(i);
    CPPUNIT_ASSERT_MESSAGE(
        data, std::filesystem::exists(data + "/damaged-log-00000001"));
  }
}

void SurvivesSilentPartition() {
  ClusterShape shape;
  shape.first_port = 22400;
  shape.has_relays = true;
  Cluster cluster(Paths().binaries, Paths().scratch + "/cut", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  Load load(cluster);
  load.Start(2, 2);
  // All connections of the last replica are opened by the others, so its relay
  // can partition it in both directions by dropping all bytes silently.
  cluster.SetRelay(2, Relay::Mode::kSwallow);
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/out").status);
  CPPUNIT_ASSERT(CanBookWithin(cluster, "cut-off", kRecoveryTimeout));
  const HttpReply stale =
      Cluster::Call(cluster.ApiAddress(2), "GET", "/v1/config", "");
  CPPUNIT_ASSERT_MESSAGE(
      "a partitioned replica without the change claimed to be fresh",
      stale.Field("Banyan-Fresh") != "true" ||
          stale.body.find("dc-b") != std::string::npos);
  cluster.SetRelay(2, Relay::Mode::kRefuse);
  cluster.SetRelay(2, Relay::Mode::kPass);
  CPPUNIT_ASSERT_MESSAGE(
      "configuration not in force everywhere after the partition",
      Cluster::WaitUntil(kRecoveryTimeout,
                         [&] { return IsInForceEverywhere(cluster); }));
  CheckVerdict(cluster, load);
}

// Sends raw bytes and returns the first bytes received, up to 4096.
std::string SendRaw(const std::string& address, const std::string& bytes) {
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  socket.setReceiveTimeout(Poco::Timespan(3, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string reply(4096, '\0');
  const int size =
      socket.receiveBytes(reply.data(), static_cast<int>(reply.size()));
  reply.resize(static_cast<std::size_t>(std::max(0, size)));
  return reply;
}

void SurvivesMalformedInput() {
  ClusterShape shape;
  shape.first_port = 22300;
  Cluster cluster(Paths().binaries, Paths().scratch + "/malformed", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  const std::string entry = cluster.EntryAddress(0);
  const std::string api = cluster.ApiAddress(0);
  CPPUNIT_ASSERT(SendRaw(entry, "NOT HTTP AT ALL\r\n\r\n").find("400") !=
                 std::string::npos);
  CPPUNIT_ASSERT_EQUAL(
      404, Cluster::Call(entry, "POST", "/no-such-service/x", "").status);
  const HttpReply large =
      Cluster::Call(entry, "POST", "/booking/x", std::string(2 << 20, 'x'));
  CPPUNIT_ASSERT_EQUAL(413, large.status);
  CPPUNIT_ASSERT(large.Field("Banyan-Outcome") == "not-run");
  const HttpReply bad_timeout = Cluster::Call(entry, "POST", "/booking/x", "",
                                              {{"Banyan-Timeout-Ms", "-3"}});
  CPPUNIT_ASSERT_EQUAL(400, bad_timeout.status);
  CPPUNIT_ASSERT_EQUAL(400, Cluster::Call(api, "POST", "/v1/jobs", "{").status);
  CPPUNIT_ASSERT_EQUAL(
      400, Cluster::Call(api, "POST", "/v1/jobs", "{\"colour\":1}").status);
  CPPUNIT_ASSERT_EQUAL(404, Cluster::Call(api, "POST", "/v1/x", "{}").status);
  CPPUNIT_ASSERT(CanBookWithin(cluster, "after-all-that", kRecoveryTimeout));
  const HttpReply metrics = Cluster::Call(entry, "GET", "/metrics", "");
  CPPUNIT_ASSERT(metrics.body.find("banyan_request_seconds_count") !=
                 std::string::npos);
  // Guards against decisions that only the log shows.
  CPPUNIT_ASSERT(Cluster::Call(api, "GET", "/metrics", "")
                     .body.find("banyan_events{event=") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, cluster.StopAll(kStopTimeout));
}

// Guards against a request that an entry runs after its caller has given up,
// when the entry was frozen meanwhile.
void FrozenEntryRunsNoExpiredRequest() {
  constexpr Duration kFreeze = Millis(1500);
  ClusterShape shape;
  shape.first_port = 27000;
  Cluster cluster(Paths().binaries, Paths().scratch + "/frozen-entry", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartTimeout));
  CPPUNIT_ASSERT(CanBookWithin(cluster, "before", kRecoveryTimeout));
  cluster.Signal("entry-0", SIGSTOP);
  HttpReply reply;
  std::thread caller([&] {
    reply = Cluster::Call(
        cluster.EntryAddress(0), "POST", "/booking/probe", "late",
        {{"Idempotency-Key", "late"}, {"Banyan-Timeout-Ms", "500"}});
  });
  std::this_thread::sleep_for(kFreeze);
  cluster.Signal("entry-0", SIGCONT);
  caller.join();
  CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                       std::string(reply.Field("Banyan-Outcome")));
  CPPUNIT_ASSERT_EQUAL(0, cluster.StopAll(kStopTimeout));
}

// Required of a process whose settings name a replica.
constexpr Duration kContactTimeout = seconds(3);
// Longer than a process takes to notice that its settings file has changed.
constexpr Duration kNoticeTime = Millis(2500);

// A cell with one entry, whose settings file is rewritten without a signal.
class RewrittenSettings {
 public:
  explicit RewrittenSettings(const std::string& folder)
      : cluster_(Paths().binaries, Paths().scratch + "/" + folder, Shape()),
        path_(cluster_.SettingsPath("entry-0")) {
    CPPUNIT_ASSERT(cluster_.Start(kStartTimeout));
    std::ifstream file(path_);
    good_.assign(std::istreambuf_iterator<char>(file), {});
    // Nothing listens there.
    const std::size_t begin = good_.find("seeds: [");
    const std::size_t end = good_.find(']', begin);
    dead_ = good_.substr(0, begin) + "seeds: [\"127.77.0.9:8166\"" +
            good_.substr(end);
    cluster_.Kill("entry-0");
  }

  // Starts the entry with settings whose seeds are dead.
  void StartWithDeadSeeds() {
    Write(dead_);
    cluster_.StartOne("entry-0");
    CPPUNIT_ASSERT(!BecomesReady(kNoticeTime));
  }

  void Write(const std::string& text) const {
    std::ofstream(path_, std::ios::trunc) << text;
  }
  void Remove() const { std::filesystem::remove(path_); }
  [[nodiscard]] bool BecomesReady(Duration timeout) const {
    return Cluster::WaitUntil(timeout, [&] { return cluster_.IsReady(0); });
  }
  // The settings that name the replicas.
  [[nodiscard]] const std::string& good() const { return good_; }

 private:
  static PlatformShape Shape() {
    PlatformShape shape;
    shape.entries = 1;
    shape.workers = 0;
    return shape;
  }

  PlatformCluster cluster_;
  std::string path_;
  std::string good_;
  std::string dead_;
};

// Guards against processes that keep the seeds of their start, since the
// platform has sent them no signal with the next ones.
void ChangedSettingsAreTakenOver() {
  RewrittenSettings settings("settings-changed");
  settings.StartWithDeadSeeds();
  settings.Write(settings.good());
  CPPUNIT_ASSERT(settings.BecomesReady(kContactTimeout));
}

// Guards against settings that are never read because a process has looked at
// the file while it was written, and against an end of the process then.
void SettingsAreReadOnceTheyAreWhole() {
  RewrittenSettings settings("settings-torn");
  settings.StartWithDeadSeeds();
  settings.Write(settings.good().substr(0, settings.good().size() / 4));
  CPPUNIT_ASSERT(!settings.BecomesReady(kNoticeTime));
  settings.Remove();
  CPPUNIT_ASSERT(!settings.BecomesReady(kNoticeTime));
  settings.Write(settings.good());
  CPPUNIT_ASSERT(settings.BecomesReady(kContactTimeout));
  settings.Write("");
  std::this_thread::sleep_for(kNoticeTime);
  CPPUNIT_ASSERT_MESSAGE("the old settings are kept",
                         settings.BecomesReady(Millis(500)));
}

}  // namespace

Section ProcessStory() {
  Section story("Real processes");
  story
      .With(Section("under load")
                .Then("survive kills and a data centre taken out of service "
                      "and back",
                      SurvivesKillsUnderLoad)
                .Then("survive freezes", SurvivesFreezesUnderLoad)
                .Then("run nothing whose caller has given up",
                      FrozenEntryRunsNoExpiredRequest)
                .Then("survive a lost disk and then a killed replica",
                      SurvivesDiskLossThenReplicaLoss)
                .Then("survive a damaged log and then a killed replica",
                      SurvivesDamagedLogThenReplicaLoss))
      .With(Section("with every log damaged")
                .Then("form no new cell", DamagedLogsFormNoNewCell))
      .With(Section("behind relays")
                .Then("survive a silent network partition of one replica",
                      SurvivesSilentPartition))
      .With(Section("whose settings file changes without a signal")
                .Then("take it over", ChangedSettingsAreTakenOver)
                .Then("keep the settings before until it is whole",
                      SettingsAreReadOnceTheyAreWhole))
      .With(Section("given malformed input")
                .Then("answer with a typed error and keep serving",
                      SurvivesMalformedInput));
  return story;
}

}  // namespace banyan
