// What entry and agent add to a call: the same requests straight to an
// endpoint and through the system, in turn, in one run of real processes.

#include <filesystem>
#include <iostream>
#include <thread>

#include "tests/bench/bench.h"
#include "tests/support/cluster.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr int kWarmUp = 200;
constexpr int kSamples = 3000;
constexpr std::int64_t kDelayMs = 2;
// The product's default, in entries.
constexpr std::uint64_t kSnapshotEvery = 5000;
constexpr Duration kBound = seconds(30);

double OneCall(HttpClient& client, HttpCall& call) {
  const Time start = MonotonicClock::now();
  const HttpExchange exchange = client.Exchange(call, "", start + seconds(5));
  const double ms =
      std::chrono::duration<double, std::milli>(MonotonicClock::now() - start)
          .count();
  return exchange.outcome == RequestOutcome::kRan ? ms : -1;
}

// What each kind of process uses while nothing but its own upkeep goes on.
void MeasureUpkeep(Figures& figures, Cluster& cluster) {
  const std::string leader = cluster.LeaderName();
  const std::string follower =
      leader == "control-0" ? "control-1" : "control-0";
  const std::vector<std::string> names = {"worker-0", "booking-0", "entry-0",
                                          leader, follower};
  const char* const roles[] = {"worker agent", "endpoint agent", "entry",
                               "leader", "follower"};
  std::vector<double> before;
  before.reserve(names.size());
  for (const std::string& name : names) {
    before.push_back(cluster.CpuSeconds(name));
  }
  constexpr int kSeconds = 10;
  std::this_thread::sleep_for(seconds(kSeconds));
  for (std::size_t i = 0; i < names.size(); ++i) {
    const double used = cluster.CpuSeconds(names[i]) - before[i];
    figures.Add(
        {"upkeep", roles[i], 0, "share of a core", 100 * used / kSeconds, "%"});
    figures.Add({"upkeep", roles[i], 0, "memory", cluster.ResidentMib(names[i]),
                 "MiB"});
  }
}

HttpCall CallTo(const char* path) {
  HttpCall call;
  call.method = "POST";
  call.path = path;
  call.body = "{\"motion\":\"adjourn\"}";
  call.content_type = "application/json";
  return call;
}

}  // namespace

void RunPath(Figures& figures, const std::string& binaries) {
  ClusterShape shape;
  shape.first_port = 23000;
  shape.endpoint_delay_ms = kDelayMs;
  shape.snapshot_every = kSnapshotEvery;
  Cluster cluster(binaries, binaries + "/bench-path", shape);
  if (!cluster.Start(kBound)) {
    std::cerr << "the system did not come up; the path was not measured\n";
    return;
  }
  MeasureUpkeep(figures, cluster);
  HttpClient direct(cluster.endpoint_addresses().back());
  HttpClient through(cluster.EntryAddress(0));
  HttpClient booking(cluster.EntryAddress(0));
  HttpCall direct_call = CallTo("/draft-checks");
  direct_call.fields.push_back({"X-Request-Id", "bench"});
  HttpCall through_call = CallTo("/minutes/draft-checks");
  HttpCall booking_call = CallTo("/booking/reservations");
  std::vector<double> direct_ms;
  std::vector<double> through_ms;
  std::vector<double> booking_ms;
  int lost = 0;
  for (int i = 0; i < kWarmUp + kSamples; ++i) {
    booking_call.fields = {{"Idempotency-Key", "bench-" + std::to_string(i)}};
    const double a = OneCall(direct, direct_call);
    const double b = OneCall(through, through_call);
    const double c = OneCall(booking, booking_call);
    if (a < 0 || b < 0 || c < 0) {
      ++lost;
    } else if (i >= kWarmUp) {
      direct_ms.push_back(a);
      through_ms.push_back(b);
      booking_ms.push_back(c);
    }
  }
  const auto add = [&](const char* name, double value, const char* unit) {
    figures.Add({"path", "real", 0, name, value, unit});
  };
  add("direct p50", QuantileOf(direct_ms, 0.5), "ms");
  add("direct p99", QuantileOf(direct_ms, 0.99), "ms");
  add("draft check adds at p50",
      QuantileOf(through_ms, 0.5) - QuantileOf(direct_ms, 0.5), "ms");
  add("draft check adds at p99",
      QuantileOf(through_ms, 0.99) - QuantileOf(direct_ms, 0.99), "ms");
  add("booking adds at p50",
      QuantileOf(booking_ms, 0.5) - QuantileOf(direct_ms, 0.5), "ms");
  add("booking adds at p99",
      QuantileOf(booking_ms, 0.99) - QuantileOf(direct_ms, 0.99), "ms");
  add("calls without an answer", lost, "");
  if (cluster.StopAll(kBound) != 0) {
    std::cerr << "some processes did not stop gracefully\n";
  }
}

}  // namespace banyan
