#include "tests/support/small_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <sstream>
#include <utility>

#include "banyan/net/http.h"
#include "tests/support/free_address.h"

namespace banyan {
namespace {

using std::chrono::seconds;

constexpr std::size_t kSize = 3;
constexpr Duration kCallTimeout = seconds(1);

}  // namespace

SmallCell::SmallCell(std::string folder) : folder_(std::move(folder)) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  Start start;
  start.may_bootstrap = true;
  for (std::size_t i = 0; i < kSize; ++i) {
    replicas_.push_back({FreeAddress(), FreeAddress(), nullptr});
    start.seeds.push_back(replicas_.back().address);
  }
  for (std::size_t i = 0; i < kSize; ++i) {
    StartReplica(i, start);
  }
  CPPUNIT_ASSERT(IsWhole(0, seconds(5)));
}

SmallCell::~SmallCell() = default;

std::vector<std::string> SmallCell::Addresses() const {
  std::vector<std::string> addresses;
  for (const Replica& replica : replicas_) {
    if (replica.process) {
      addresses.push_back(replica.address);
    }
  }
  return addresses;
}

void SmallCell::StartReplica(std::size_t position, const Start& start) {
  Replica& replica = replicas_[position];
  ControlSettings settings;
  settings.id = replica.address;
  settings.data_centre = "dc-a";
  settings.data_folder = folder_ + "/data-" + std::to_string(position);
  settings.listen = replica.address;
  settings.api = replica.api;
  settings.seeds = start.seeds;
  settings.bootstrap = start.may_bootstrap;
  settings.election_timeout = Millis(500);
  settings.catch_up = seconds(4);
  settings.losses_required = 1;
  settings.odd_voters = true;
  settings.lease = Millis(5800);
  settings.snapshot_interval_entries = 1000;
  settings.drain_timeout = seconds(2);
  replica.process = std::make_unique<ControlProcess>(settings);
  Reason reason;
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), replica.process->Start(reason));
}

void SmallCell::Remove(std::size_t position) {
  replicas_[position].process.reset();
}

std::size_t SmallCell::AddReplica(const std::vector<std::string>& seeds) {
  replicas_.push_back({FreeAddress(), FreeAddress(), nullptr});
  StartReplica(replicas_.size() - 1, {seeds, false});
  return replicas_.size() - 1;
}

void SmallCell::SetSeeds(std::size_t position,
                         const std::vector<std::string>& seeds) {
  replicas_[position].process->SetSeeds(seeds);
}

double SmallCell::Metric(std::size_t position, const std::string& name) const {
  HttpClient client(replicas_[position].api);
  HttpCall call;
  call.method = "GET";
  call.path = "/metrics";
  const HttpExchange exchange =
      client.Exchange(call, "", MonotonicClock::now() + kCallTimeout);
  const std::string prefix = "banyan_" + name + " ";
  std::istringstream lines(exchange.reply.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(prefix)) {
      return std::stod(line.substr(prefix.size()));
    }
  }
  return -1;
}

bool SmallCell::IsWhole(std::size_t position, Duration bound) const {
  return HoldsWithin(bound, [&] {
    return Metric(position, "cell_voters") == kSize &&
           Metric(position, "cell_learners") == 0;
  });
}

CellSettings RelaySettings(const std::string& address,
                           const std::vector<std::string>& seeds) {
  CellSettings settings;
  settings.id = "relay at " + address;
  settings.listen = address;
  settings.seeds = seeds;
  settings.readiness_address = FreeAddress();
  settings.control_address = FreeAddress();
  settings.threads = 2;
  settings.drain_timeout = seconds(2);
  return settings;
}

std::unique_ptr<GatewayProcess> StartRelay(const CellSettings& settings) {
  auto relay = std::make_unique<GatewayProcess>(settings, GatewayApis{});
  Reason reason;
  CPPUNIT_ASSERT_MESSAGE(ToString(reason), relay->Start(reason));
  return relay;
}

bool IsReady(const CellSettings& settings, Duration bound) {
  return HoldsWithin(bound, [&] {
    HttpClient client(settings.readiness_address);
    HttpCall call;
    call.method = "GET";
    call.path = "/ready";
    return client.Exchange(call, "", MonotonicClock::now() + kCallTimeout)
               .reply.status == 200;
  });
}

}  // namespace banyan
