// The same faults as in the matrix, a handful of them, on real processes.

#include <signal.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <nlohmann/json.hpp>
#include <thread>

#include "banyan/audit/audit.h"
#include "tests/support/cluster.h"
#include "tests/support/load.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

using nlohmann::json;
using std::chrono::seconds;

// Bounds from the stated target: configuration in force within 7 s; a failed
// control instance must not cost callers more than a few seconds.
constexpr Duration kStartBound = seconds(30);
constexpr Duration kInForceBound = seconds(7);
constexpr Duration kRecoverBound = seconds(8);
constexpr Duration kJobBound = seconds(90);
constexpr Duration kStopBound = seconds(25);
constexpr Duration kReadmitBound = seconds(20);

json StatusOf(Cluster& cluster) {
  const HttpReply reply = cluster.Operate("GET", "/v1/status", "");
  return reply.status == 200 ? json::parse(reply.body) : json::object();
}

bool IsInForceEverywhere(Cluster& cluster) {
  return StatusOf(cluster).value("in_force_everywhere", false);
}

// Books one class once and returns the outcome that the caller is told.
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

// Books one class under a new key until it ran.
bool BooksWithin(Cluster& cluster, const std::string& key, Duration bound) {
  int send = 0;
  return Cluster::WaitUntil(bound, [&] {
    const int entry = send++;
    return BookOnce(cluster, key, entry, entry > 0) == "ran";
  });
}

// Books classes until one ran. A key whose outcome is not known can't be run
// again while the agent that holds it is silent: it is added to `held`, and
// the next try has a new one.
bool BooksBesideFrozenAgent(Cluster& cluster,
                            const std::string& prefix,
                            Duration bound,
                            std::vector<std::string>& held) {
  int send = 0;
  return Cluster::WaitUntil(bound, [&] {
    const std::string key = prefix + "-" + std::to_string(send);
    const std::string outcome = BookOnce(cluster, key, send++, false);
    if (outcome != "ran" && outcome != "not-run") {
      held.push_back(key);
    }
    return outcome == "ran";
  });
}

void CheckVerdict(Cluster& cluster, Load& load) {
  CPPUNIT_ASSERT_MESSAGE("jobs finish", load.WaitForJobs(kJobBound));
  load.Stop();
  const LoadVerdict verdict = load.Verify();
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.lost);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.doubled);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.ran_after_not_run);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, verdict.overlaps);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load.bookings().wrong);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, load.drafts().wrong);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("every process stops gracefully", 0,
                               cluster.StopAll(kStopBound));
  const AuditReport audit = AuditLogs(cluster.logs());
  CPPUNIT_ASSERT_MESSAGE(ToString(audit), audit.violations.empty());
}

void KillsUnderLoad() {
  ClusterShape shape;
  shape.first_port = 22000;
  Cluster cluster(Paths().binaries, Paths().scratch + "/kills", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartBound));
  Load load(cluster);
  load.Start(2, 2);
  CPPUNIT_ASSERT_EQUAL(12, load.SubmitJobs("packet", 12, 3000));
  const std::string leader = cluster.LeaderName();
  cluster.Kill(leader);
  CPPUNIT_ASSERT_MESSAGE("bookings go on after the leader's death",
                         BooksWithin(cluster, "after-leader", kRecoverBound));
  cluster.StartOne(leader);
  cluster.Kill("booking-0");
  CPPUNIT_ASSERT(BooksWithin(cluster, "after-agent", kRecoverBound));
  cluster.StartOne("booking-0");
  cluster.Kill("worker-1");
  cluster.StartOne("worker-1");
  cluster.Kill("entry-0");
  CPPUNIT_ASSERT(BooksWithin(cluster, "after-entry", kRecoverBound));
  cluster.StartOne("entry-0");
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/out").status);
  CPPUNIT_ASSERT_MESSAGE("in force everywhere",
                         Cluster::WaitUntil(kInForceBound, [&] {
                           return IsInForceEverywhere(cluster);
                         }));
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/in").status);
  CheckVerdict(cluster, load);
}

void FreezesUnderLoad() {
  ClusterShape shape;
  shape.first_port = 22100;
  Cluster cluster(Paths().binaries, Paths().scratch + "/freezes", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartBound));
  Load load(cluster);
  load.Start(2, 2);
  CPPUNIT_ASSERT_EQUAL(12, load.SubmitJobs("packet", 12, 3000));
  const std::string leader = cluster.LeaderName();
  cluster.Signal(leader, SIGSTOP);
  CPPUNIT_ASSERT(BooksWithin(cluster, "leader-frozen", kRecoverBound));
  cluster.Signal(leader, SIGCONT);
  // With the other data centres out every entry hands the request to the agent
  // that is frozen.
  for (const std::string out : {"dc-a", "dc-c"}) {
    CPPUNIT_ASSERT_EQUAL(
        200, cluster.Change("/v1/data-centres/" + out + "/out").status);
  }
  CPPUNIT_ASSERT(Cluster::WaitUntil(
      kInForceBound, [&] { return IsInForceEverywhere(cluster); }));
  cluster.Signal("booking-1", SIGSTOP);
  std::vector<std::string> held = {"held-by-frozen-agent"};
  for (int send = 0; send < 3; ++send) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "what a frozen agent holds may still run", std::string("unknown"),
        BookOnce(cluster, held.front(), send, send > 0));
  }
  for (const std::string in : {"dc-a", "dc-c"}) {
    CPPUNIT_ASSERT_EQUAL(
        200, cluster.Change("/v1/data-centres/" + in + "/in").status);
  }
  CPPUNIT_ASSERT_MESSAGE(
      "other callers are served beside the frozen agent",
      BooksBesideFrozenAgent(cluster, "agent-frozen", kRecoverBound, held));
  cluster.Signal("booking-1", SIGCONT);
  for (const std::string& key : held) {
    CPPUNIT_ASSERT_MESSAGE("what it held is settled when it wakes: " + key,
                           BooksWithin(cluster, key, kRecoverBound));
  }
  cluster.Signal("worker-0", SIGSTOP);
  cluster.Signal("entry-1", SIGSTOP);
  std::this_thread::sleep_for(seconds(1));
  cluster.Signal("entry-1", SIGCONT);
  cluster.Signal("worker-0", SIGCONT);
  CheckVerdict(cluster, load);
}

void LosesADiskThenAnotherReplica() {
  ClusterShape shape;
  shape.first_port = 22200;
  Cluster cluster(Paths().binaries, Paths().scratch + "/disks", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartBound));
  Load load(cluster);
  load.Start(2, 0);
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-c/out").status);
  const std::string leader = cluster.LeaderName();
  const std::string lost = leader == "control-0" ? "control-1" : "control-0";
  const json before = StatusOf(cluster)["voters"];
  cluster.Kill(lost);
  cluster.LoseDisk(lost);
  cluster.StartOne(lost);
  CPPUNIT_ASSERT_MESSAGE(
      "the empty replica is re-admitted under a new identity",
      Cluster::WaitUntil(kReadmitBound, [&] {
        const json status = StatusOf(cluster);
        return status.contains("voters") && status["voters"].size() == 3 &&
               status["voters"] != before && status["learners"].empty();
      }));
  cluster.Kill(leader);
  CPPUNIT_ASSERT(BooksWithin(cluster, "after-repair", kRecoverBound));
  const json out = StatusOf(cluster)["config"]["out"];
  CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing accepted was lost",
                               json::array({"dc-c"}).dump(), out.dump());
  cluster.StartOne(leader);
  CheckVerdict(cluster, load);
}

void LosesAReplicaSilently() {
  ClusterShape shape;
  shape.first_port = 22400;
  shape.has_relays = true;
  Cluster cluster(Paths().binaries, Paths().scratch + "/cut", shape);
  CPPUNIT_ASSERT(cluster.Start(kStartBound));
  Load load(cluster);
  load.Start(2, 2);
  // Every connection of the last replica is made by the others, so its relay
  // cuts it off in both directions, without a word.
  cluster.SetRelay(2, Relay::Mode::kSwallow);
  CPPUNIT_ASSERT_EQUAL(200, cluster.Change("/v1/data-centres/dc-b/out").status);
  CPPUNIT_ASSERT(BooksWithin(cluster, "cut-off", kRecoverBound));
  const HttpReply stale =
      Cluster::Call(cluster.ApiAddress(2), "GET", "/v1/config", "");
  CPPUNIT_ASSERT_MESSAGE("a replica that is cut off does not call itself fresh",
                         stale.Field("Banyan-Fresh") != "true" ||
                             stale.body.find("dc-b") != std::string::npos);
  cluster.SetRelay(2, Relay::Mode::kRefuse);
  cluster.SetRelay(2, Relay::Mode::kPass);
  CPPUNIT_ASSERT_MESSAGE("in force everywhere after the cut",
                         Cluster::WaitUntil(kRecoverBound, [&] {
                           return IsInForceEverywhere(cluster);
                         }));
  CheckVerdict(cluster, load);
}

// Sends raw bytes and returns what comes back first.
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
  CPPUNIT_ASSERT(cluster.Start(kStartBound));
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
  CPPUNIT_ASSERT(BooksWithin(cluster, "after-all-that", kRecoverBound));
  const HttpReply metrics = Cluster::Call(entry, "GET", "/metrics", "");
  CPPUNIT_ASSERT(metrics.body.find("banyan_request_seconds_count") !=
                 std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, cluster.StopAll(kStopBound));
}

}  // namespace

Section ProcessStory() {
  Section story("Real processes");
  story
      .With(Section("under load")
                .Then("survive kills and a data centre out and back",
                      KillsUnderLoad)
                .Then("survive freezes", FreezesUnderLoad)
                .Then("survive a lost disk and then another replica's death",
                      LosesADiskThenAnotherReplica))
      .With(Section("behind relays")
                .Then("survive a replica that is cut off silently",
                      LosesAReplicaSilently))
      .With(Section("given nonsense")
                .Then("answer with a typed error and go on",
                      SurvivesMalformedInput));
  return story;
}

}  // namespace banyan
