#include "tests/soak/platform_cluster.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/soak/power_loss.h"
#include "tests/support/cluster.h"
#include "tests/support/spawn.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr const char* kHost = "soak.example";
constexpr const char* kPrefix = "/jobs/";
constexpr const char* kService = "soak";
constexpr std::array kDataCentres = {"dc-a", "dc-b", "dc-c", "dc-d", "dc-e"};
// Ports of each machine: callers, readiness, control, peers and worker.
constexpr int kFrontPort = 26000;
constexpr int kReadyPort = 26001;
constexpr int kControlPort = 26002;
constexpr int kPeerPort = 26003;
constexpr int kWorkerPort = 26004;
// Where the link of machine 0 begins, at the address of each replica.
constexpr int kFirstLinkPort = 26100;
constexpr std::int64_t kThinLinkBytesPerS = 250'000;
constexpr Duration kThinLinkDelay = Millis(1);
constexpr Duration kCallTimeout = Millis(3000);
constexpr Duration kProbeTimeout = Millis(1000);
constexpr Duration kOperatorTimeout = Millis(1000);
// Operators give a large document longer.
constexpr Duration kLargeOperatorTimeout = Millis(2000);
constexpr std::size_t kLargeDocumentBytes = 65536;
constexpr Duration kRestartDelay = Millis(500);
// A throttled replica is stopped for the first part of each period.
constexpr Duration kThrottlePeriod = Millis(100);
constexpr Duration kThrottleStop = Millis(40);
constexpr Duration kThrottleStep = Millis(5);

std::string At(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

// Returns the address of a machine, in a network that no other test run uses.
std::string IpOf(int machine) {
  const int pid = ::getpid();
  return "127." + std::to_string(20 + pid % 200) + "." +
         std::to_string(1 + pid / 200 % 200) + "." +
         std::to_string(machine + 1);
}

// Returns the name of the route of a version; of a time before the first, one
// that is as unique.
std::string MarkerOf(std::int64_t version) {
  return (version < 0 ? "before-" : "version-") +
         std::to_string(std::abs(version));
}

// Draws eight hexadecimal digits.
std::string Digits(Random& random) {
  constexpr std::uint64_t kDigits = 8;
  std::string digits;
  while (digits.size() < kDigits) {
    digits += "0123456789abcdef"[random.NextBelow(16)];
  }
  return digits;
}

// Makes a call as a caller of queues or an operator would.
HttpReply Call(const std::string& address,
               const std::string& method,
               const std::string& path,
               const std::string& body,
               Duration timeout) {
  return Cluster::Call(
      address, method, path, body,
      {{"Host", kHost},
       {"Banyanchute-Deadline-Ms", std::to_string(ToMillis(timeout))}},
      timeout);
}

}  // namespace

PlatformShape FiveReplicaShape() {
  PlatformShape shape;
  shape.replicas = 5;
  shape.data_centres = 5;
  shape.losses_required = 2;
  shape.catch_up = std::chrono::seconds(6);
  return shape;
}

PlatformShape ThinLinkShape() {
  PlatformShape shape = FiveReplicaShape();
  shape.relays = 1;
  shape.entries = 3;
  shape.link = {kThinLinkBytesPerS, kThinLinkDelay};
  return shape;
}

std::string PlanDocument(std::int64_t version, int routes) {
  json queue = {{"name", "jobs"},         {"host", kHost},
                {"path-prefix", kPrefix}, {"kind", "unsafe"},
                {"timeout-ms", 3000},     {"slo-ms", 1000},
                {"priority", 0},          {"service", kService},
                {"max-attempts", 4},      {"stretch", 2.0}};
  json all = json::array({queue});
  for (int i = 0; i < routes; ++i) {
    if (i < kMarkedVersions) {
      const std::string marker = MarkerOf(version - i);
      queue["name"] = marker;
      queue["path-prefix"] = "/" + marker + "/";
    } else {
      // Like the names of users, these hardly compress.
      Random random(static_cast<std::uint64_t>(i));
      queue["name"] = "queue-" + Digits(random);
      queue["host"] = Digits(random) + "." + kHost;
      queue["path-prefix"] = "/" + Digits(random) + "/";
    }
    all.push_back(queue);
  }
  const json service = {{"name", kService},  {"health-path", "/health"},
                        {"max-conns", 64},   {"protocol", "h1"},
                        {"tls", false},      {"cold-start-s", 0.0},
                        {"cold-per-s", 0.0}, {"rejects-overload", false},
                        {"spare", false}};
  return json{{"version", version},
              {"routes", std::move(all)},
              {"services", {service}},
              {"limits",
               {{"max-header-bytes", 16384},
                {"max-body-bytes", 262144},
                {"header-timeout-ms", 3000},
                {"idle-timeout-ms", 15000}}}}
      .dump();
}

PlatformCluster::PlatformCluster(std::string binaries,
                                 std::string folder,
                                 PlatformShape shape)
    : binaries_(std::move(binaries)),
      folder_(std::move(folder)),
      shape_(shape) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  int machine = 0;
  for (int i = 0; i < shape_.replicas; ++i) {
    controls_.push_back(At(IpOf(i), kControlPort));
    seeds_ += (i == 0 ? "\"" : ", \"") + controls_.back() + "\"";
  }
  for (int i = 0; i < shape_.replicas; ++i) {
    const std::string data_folder = folder_ + "/data-" + std::to_string(i);
    const int entries = shape_.snapshot_interval_entries;
    AddProcess("control", i, IpOf(machine),
               "control: \"" + controls_[static_cast<std::size_t>(i)] +
                   "\"\ndata_folder: \"" + data_folder + "\"\n" +
                   (entries == 0
                        ? ""
                        : "snapshot_every: " + std::to_string(entries) + "\n"));
    processes_.at("control-" + std::to_string(i)).data_folder = data_folder;
    ++machine;
  }
  for (int i = 0; i < shape_.relays; ++i) {
    const std::string name = "relay-" + std::to_string(i);
    controls_.push_back(At(IpOf(machine), kControlPort));
    AddProcess("relay", i, IpOf(machine),
               "control: \"" + controls_.back() + "\"\n");
    processes_.at(name).role = "control";
    AddThinLink(name, machine);
    ++machine;
  }
  for (int i = 0; i < shape_.entries; ++i) {
    fronts_.push_back(At(IpOf(machine), kFrontPort));
    readies_.push_back(At(IpOf(machine), kReadyPort));
    AddProcess("entry", i, IpOf(machine),
               "front: \"" + fronts_.back() + "\"\nready: \"" +
                   readies_.back() + "\"\n");
    AddThinLink("entry-" + std::to_string(i), machine);
    ++machine;
  }
  for (int i = 0; i < shape_.workers; ++i) {
    const std::string ip = IpOf(machine);
    PlatformWorkerOptions options;
    options.name = "w" + std::to_string(i);
    options.service = kService;
    options.data_centre =
        kDataCentres[static_cast<std::size_t>(i % shape_.data_centres)];
    options.address = At(ip, kWorkerPort);
    options.agent_address = At(ip, kControlPort);
    options.max_lease_ms = shape_.max_lease_ms;
    AddProcess("agent", i, ip,
               "control: \"" + options.agent_address + "\"\nworker: \"" +
                   options.address + "\"\n");
    workers_.push_back(
        std::make_unique<PlatformWorker>(std::move(options), history_));
    ++machine;
  }
}

PlatformCluster::~PlatformCluster() {
  must_end_ = true;
  if (throttle_thread_.joinable()) {
    throttle_thread_.join();
  }
  workers_.clear();
  for (const auto& [name, process] : processes_) {
    KillAndWait(process.pid);
  }
}

void PlatformCluster::AddProcess(const std::string& role,
                                 int index,
                                 const std::string& ip,
                                 const std::string& settings) {
  const std::string name = role + "-" + std::to_string(index);
  const std::string path = folder_ + "/" + name + ".yaml";
  // What the template of the deploy file makes of a machine's settings.
  std::ofstream(path)
      << "id: \"" << name << "\"\ndata_centre: \""
      << kDataCentres[static_cast<std::size_t>(index % shape_.data_centres)]
      << "\"\nip: \"" << ip << "\"\npeer_port: " << kPeerPort << "\nseeds: ["
      << seeds_ << "]\nbootstrap: true\n"
      << settings << "drain_ms: 5500\nelection_ms: 500\ncatch_up_s: "
      << ToMillis(shape_.catch_up) / 1000
      << "\nlosses_required: " << shape_.losses_required
      << "\nodd_voters: on\nlease_ms: 5800\nstatus_wait_ms: 150\nscheduling:\n"
         "  speculative_copies: on\n  room_for_urgent: on\n"
         "  learned_run_times: on\n  look_ahead: on\n"
         "  admission_forecast: on\n";
  Process& process = processes_[name];
  process.role = role;
  process.settings_path = path;
}

void PlatformCluster::AddThinLink(const std::string& name, int machine) {
  if (shape_.link.bytes_per_s == 0) {
    return;
  }
  std::vector<std::string> replica_ips;
  replica_ips.reserve(static_cast<std::size_t>(shape_.replicas));
  for (int i = 0; i < shape_.replicas; ++i) {
    replica_ips.push_back(IpOf(i));
  }
  processes_.at(name).link = std::make_unique<ThinLink>(
      replica_ips, kPeerPort, kFirstLinkPort + machine, shape_.link);
}

void PlatformCluster::StartOne(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (process.pid > 0) {
    return;
  }
  process.is_frozen = false;
  process.is_throttled = false;
  std::map<std::string, std::string> environment;
  if (process.link) {
    environment = process.link->Environment();
  } else if (!process.data_folder.empty() && shape_.sync_time > Duration(0)) {
    environment = LossyDiskEnvironment(process.data_folder, shape_.sync_time);
  }
  process.pid = Spawn({binaries_ + "/banyanchute", process.role, "--settings",
                       process.settings_path},
                      folder_ + "/" + name + ".log", environment);
}

void PlatformCluster::Kill(const std::string& name) {
  pid_t pid = 0;
  {
    const std::lock_guard lock(mutex_);
    Process& process = processes_.at(name);
    pid = std::exchange(process.pid, 0);
    process.restart_at.reset();
  }
  KillAndWait(pid);
}

void PlatformCluster::Signal(const std::string& name, int signal) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(name);
  if (process.pid > 0) {
    ::kill(process.pid, signal);
    process.is_frozen = signal == SIGSTOP;
  }
}

std::string PlatformCluster::DrawSeeds(Random& random) const {
  constexpr std::size_t kSeeds = 3;
  std::vector<std::string> controls = controls_;
  std::string seeds;
  for (std::size_t i = 0; i < kSeeds; ++i) {
    const std::size_t pick = random.NextBelow(controls.size());
    seeds += (i == 0 ? "\"" : ", \"") + controls[pick] + "\"";
    controls.erase(controls.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return seeds;
}

void PlatformCluster::EmptyDisk(const std::string& name, Random& random) {
  const Process& process = processes_.at(name);
  std::filesystem::remove_all(process.data_folder);
  std::filesystem::remove_all(process.data_folder + ".unsynced");
  std::filesystem::create_directories(process.data_folder);
  std::ifstream file(process.settings_path);
  std::string settings{std::istreambuf_iterator<char>(file), {}};
  const std::string bootstrap = "bootstrap: true";
  if (const auto at = settings.find(bootstrap); at != std::string::npos) {
    settings.replace(at, bootstrap.size(), "bootstrap: false");
  }
  if (shape_.relays > 0) {
    const std::size_t begin = settings.find("seeds: [");
    settings.replace(begin, settings.find(']', begin) - begin,
                     "seeds: [" + DrawSeeds(random));
  }
  std::ofstream(process.settings_path) << settings;
}

void PlatformCluster::ThrottleReplicas() {
  throttle_thread_ = std::thread([this] { RunThrottle(); });
}

void PlatformCluster::RunThrottle() {
  while (!must_end_) {
    Duration phase = MonotonicClock::now().time_since_epoch();
    {
      const std::lock_guard lock(mutex_);
      for (auto& [name, process] : processes_) {
        if (process.data_folder.empty()) {
          continue;
        }
        const bool must_stop = phase % kThrottlePeriod < kThrottleStop;
        phase += kThrottlePeriod / shape_.replicas;
        if (process.pid > 0 && !process.is_frozen &&
            process.is_throttled != must_stop) {
          ::kill(process.pid, must_stop ? SIGSTOP : SIGCONT);
          process.is_throttled = must_stop;
        }
      }
    }
    std::this_thread::sleep_for(kThrottleStep);
  }
}

bool PlatformCluster::HasUnsynced(std::uint64_t bytes) const {
  return std::any_of(processes_.begin(), processes_.end(),
                     [&](const auto& item) {
                       const std::string& folder = item.second.data_folder;
                       return !folder.empty() && UnsyncedBytes(folder) >= bytes;
                     });
}

void PlatformCluster::LosePowerOfReplicas(Random& random) {
  for (const auto& [name, process] : processes_) {
    if (!process.data_folder.empty()) {
      Signal(name, SIGKILL);
    }
  }
  for (auto& [name, process] : processes_) {
    if (!process.data_folder.empty()) {
      Kill(name);
      LosePower(process.data_folder, random);
    }
  }
}

void PlatformCluster::RestartEndedReplicas() {
  const Time now = MonotonicClock::now();
  for (auto& [name, process] : processes_) {
    if (!process.data_folder.empty()) {
      const std::lock_guard lock(mutex_);
      if (process.pid > 0 &&
          ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
        process.pid = 0;
        process.restart_at = now + kRestartDelay;
        ++ended_replicas_;
      }
    }
    if (process.restart_at && now >= *process.restart_at) {
      process.restart_at.reset();
      StartOne(name);
    }
  }
}

int PlatformCluster::CountRefusedLogs() const {
  int count = 0;
  for (const auto& [name, process] : processes_) {
    int refusals = 0;
    std::ifstream log(folder_ + "/" + name + ".log");
    for (std::string line; std::getline(log, line);) {
      refusals += line.find("\"log-refused\"") == std::string::npos ? 0 : 1;
    }
    // A kill may come before the line is written.
    if (refusals == 0 && !process.data_folder.empty()) {
      for (const auto& item :
           std::filesystem::directory_iterator(process.data_folder)) {
        const std::string file = item.path().filename().string();
        refusals = file.starts_with("damaged-") ? 1 : refusals;
      }
    }
    count += refusals;
  }
  return count;
}

bool PlatformCluster::Start(Duration timeout) {
  const Time deadline = MonotonicClock::now() + timeout;
  for (const auto& [name, process] : processes_) {
    StartOne(name);
  }
  for (const std::unique_ptr<PlatformWorker>& worker : workers_) {
    if (!worker->Boot(false)) {
      return false;
    }
  }
  if (!InstallPlan(deadline)) {
    return false;
  }
  return std::all_of(
      readies_.begin(), readies_.end(), [&](const std::string& ready) {
        return Cluster::WaitUntil(deadline - MonotonicClock::now(), [&] {
          return Call(ready, "GET", "/ready", "", kOperatorTimeout).status ==
                 200;
        });
      });
}

bool PlatformCluster::InstallPlan(Time deadline) const {
  int next = 0;
  return Cluster::WaitUntil(deadline - MonotonicClock::now(), [&] {
    return CallConfig(next++, "PUT", PlanDocument(1, 0)).status == 200;
  });
}

bool PlatformCluster::IsReady(int entry) const {
  return Call(readies_[static_cast<std::size_t>(entry)], "GET", "/ready", "",
              kOperatorTimeout)
             .status == 200;
}

HttpReply PlatformCluster::CallQueue(int entry,
                                     const std::string& method,
                                     const std::string& id,
                                     const std::string& body) const {
  return Call(fronts_[static_cast<std::size_t>(entry) % fronts_.size()], method,
              kPrefix + id, body, kCallTimeout);
}

HttpReply PlatformCluster::CallConfig(int instance,
                                      const std::string& method,
                                      const std::string& body) const {
  return Call(controls_[static_cast<std::size_t>(instance) % controls_.size()],
              method, "/config", body,
              body.size() > kLargeDocumentBytes ? kLargeOperatorTimeout
                                                : kOperatorTimeout);
}

bool PlatformCluster::ServesVersion(int entry, std::int64_t version) const {
  constexpr int kOk = 200;
  return Call(fronts_[static_cast<std::size_t>(entry)], "GET",
              "/" + MarkerOf(version) + "/", "", kProbeTimeout)
             .status == kOk;
}

}  // namespace banyan
