#include "tests/support/cluster.h"

#include <Poco/URI.h>
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "banyan/base/random.h"
#include "tests/support/spawn.h"

namespace banyan {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = Millis(20);
constexpr const char* kDataCentres[] = {"dc-a", "dc-b", "dc-c"};

std::string DataCentreOf(int index) {
  return kDataCentres[index % 3];
}

}  // namespace

Cluster::Cluster(std::string binaries, std::string folder, ClusterShape shape)
    : binaries_(std::move(binaries)),
      folder_(std::move(folder)),
      shape_(shape),
      next_port_(shape.first_port) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  WriteSettings();
}

Cluster::~Cluster() {
  for (auto& [name, program] : programs_) {
    KillAndWait(program.pid);
  }
}

std::string Cluster::NewAddress() {
  return "127.0.0.1:" + std::to_string(next_port_++);
}

std::string Cluster::WriteFile(const std::string& name,
                               const std::string& text) {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Cluster::AddProgram(const std::string& name,
                         const std::string& binary,
                         std::vector<std::string> args) {
  programs_[name] = {binary, std::move(args), 0};
  order_.push_back(name);
}

void Cluster::AddAgent(const std::string& name,
                       int index,
                       const std::string& data_centre,
                       const std::string& section) {
  std::ostringstream yaml;
  yaml << "id: " << name << "\ndata_centre: " << data_centre << "\nrack: rack-"
       << index / 3 << "\nlisten: " << NewAddress()
       << "\nadmin: " << NewAddress() << "\ncontrol:\n"
       << members_yaml_ << section << "drain_ms: 8000\nlog_folder: " << folder_
       << "/log-" << name << "\n";
  AddProgram(name, "banyan-agent",
             {"--settings", WriteFile(name + ".yaml", yaml.str())});
}

void Cluster::WriteSettings() {
  std::vector<std::string> addresses;
  for (int i = 0; i < shape_.controls; ++i) {
    addresses.push_back(NewAddress());
    apis_.push_back(NewAddress());
    std::string reached_at = addresses.back();
    if (shape_.has_relays) {
      reached_at = NewAddress();
      relays_.push_back(std::make_unique<Relay>(reached_at, addresses.back()));
    }
    members_yaml_ += "  - {id: control-" + std::to_string(i) +
                     ", data_centre: " + DataCentreOf(i) + ", address: \"" +
                     reached_at + "\", api: \"" + apis_.back() + "\"}\n";
  }
  for (int i = 0; i < shape_.controls; ++i) {
    const std::string name = "control-" + std::to_string(i);
    std::ostringstream yaml;
    yaml << "id: " << name << "\ndata_centre: " << DataCentreOf(i)
         << "\ndata_folder: " << folder_ << "/data-" << name
         << "\nlisten: " << addresses[i] << "\napi: " << apis_[i]
         << "\nmembers:\n"
         << members_yaml_ << "election_ms: 600\nlease_ms: " << shape_.lease_ms
         << "\nsnapshot_every: " << shape_.snapshot_every
         << "\ndrain_ms: 5000\nlog_folder: " << folder_ << "/log-" << name
         << "\n";
    AddProgram(name, "banyan-control",
               {"--settings", WriteFile(name + ".yaml", yaml.str())});
  }
  for (int i = 0; i < shape_.entries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    entries_.push_back(NewAddress());
    std::ostringstream yaml;
    yaml << "id: " << name << "\ndata_centre: " << DataCentreOf(i)
         << "\nhttp: " << entries_.back() << "\ncontrol:\n"
         << members_yaml_
         << "services:\n  - name: booking\n"
            "  - {name: minutes, idempotent: [/draft-checks]}\n"
            "drain_ms: 8000\nlog_folder: "
         << folder_ << "/log-" << name << "\n";
    AddProgram(name, "banyan-entry",
               {"--settings", WriteFile(name + ".yaml", yaml.str())});
  }
  for (int i = 0; i < shape_.bookings + shape_.minutes; ++i) {
    const bool is_booking = i < shape_.bookings;
    const int index = is_booking ? i : i - shape_.bookings;
    const std::string service = is_booking ? "booking" : "minutes";
    const std::string name = service + "-" + std::to_string(index);
    endpoints_.push_back(NewAddress());
    AddProgram(
        "fake-" + name, "fake-endpoint",
        {name, endpoints_.back(), std::to_string(shape_.endpoint_delay_ms)});
    std::string section = "endpoint:\n  service: " + service +
                          "\n  address: " + endpoints_.back() +
                          "\n  slots: 8\n  connections: 60\n";
    if (index < shape_.workers) {
      section += "  host: worker-" + std::to_string(index) + "\n";
    }
    AddAgent(name, index, DataCentreOf(index), section);
  }
  for (int i = 0; i < shape_.workers; ++i) {
    const std::string name = "worker-" + std::to_string(i);
    workers_.push_back(NewAddress());
    AddProgram("fake-" + name, "fake-worker",
               {workers_.back(), "16000", "61440"});
    AddAgent(name, i, DataCentreOf(i),
             "worker:\n  address: " + workers_.back() +
                 "\n  cpu_millis: 16000\n  memory_mib: 61440\n");
  }
}

void Cluster::StartOne(const std::string& name) {
  Program& program = programs_.at(name);
  std::vector<std::string> words = {binaries_ + "/" + program.binary};
  if (program.binary.starts_with("fake-")) {
    words[0] = binaries_ + "/tests/" + program.binary;
  }
  words.insert(words.end(), program.args.begin(), program.args.end());
  program.pid = Spawn(std::move(words), folder_ + "/" + name + ".out");
}

bool Cluster::Start(Duration bound) {
  for (const std::string& name : order_) {
    StartOne(name);
  }
  const int instances = shape_.bookings + shape_.minutes + shape_.workers;
  return WaitUntil(bound, [&] {
    const HttpReply reply = Operate("GET", "/v1/status", "");
    if (reply.status != 200) {
      return false;
    }
    const json status = json::parse(reply.body);
    const bool all_known =
        static_cast<int>(status["instances"].size()) == instances;
    const bool all_entries =

        static_cast<int>(status["entries"].size()) == shape_.entries;
    return all_known && all_entries && status["in_force_everywhere"] == true;
  });
}

void Cluster::Signal(const std::string& name, int signal) {
  const pid_t pid = programs_.at(name).pid;
  if (pid > 0) {
    ::kill(pid, signal);
  }
}

void Cluster::Kill(const std::string& name) {
  Program& program = programs_.at(name);
  KillAndWait(std::exchange(program.pid, 0));
}

bool Cluster::Terminate(const std::string& name, Duration bound) {
  Program& program = programs_.at(name);
  if (program.pid <= 0) {
    return false;
  }
  ::kill(program.pid, SIGTERM);
  int status = 0;
  const bool ended = WaitUntil(bound, [&] {
    return ::waitpid(program.pid, &status, WNOHANG) == program.pid;
  });
  if (!ended) {
    Kill(name);
    return false;
  }
  program.pid = 0;
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

int Cluster::StopAll(Duration bound) {
  int failed = 0;
  // Callers' side first, the control cell and the fakes last.
  const auto rank = [&](const std::string& name) {
    const std::string& binary = programs_.at(name).binary;
    return binary == "banyan-entry"     ? 0
           : binary == "banyan-agent"   ? 1
           : binary == "banyan-control" ? 2
                                        : 3;
  };
  for (int step = 0; step < 4; ++step) {
    std::vector<std::thread> stops;
    std::atomic<int> step_failed{0};
    for (const std::string& name : order_) {
      if (rank(name) == step && programs_.at(name).pid > 0) {
        stops.emplace_back([this, name, bound, &step_failed] {
          step_failed += Terminate(name, bound) ? 0 : 1;
        });
      }
    }
    for (std::thread& stop : stops) {
      stop.join();
    }
    failed += step_failed;
  }
  return failed;
}

void Cluster::LoseDisk(const std::string& name) {
  std::filesystem::remove_all(folder_ + "/data-" + name);
}

bool Cluster::DamageLog(const std::string& name) {
  constexpr int kInsideFirstRecord = 20;
  std::string first;
  for (const auto& item :
       std::filesystem::directory_iterator(folder_ + "/data-" + name)) {
    const std::string path = item.path().string();
    if (item.path().filename().string().starts_with("log-") &&
        item.file_size() > kInsideFirstRecord &&
        (first.empty() || path < first)) {
      first = path;
    }
  }
  std::fstream file(first, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(kInsideFirstRecord);
  const int byte = file.get();
  file.seekp(kInsideFirstRecord);
  file.put(static_cast<char>(byte + 1));
  return file.good();
}

void Cluster::SetRelay(int index, Relay::Mode mode) {
  relays_.at(index)->set_mode(mode);
}

std::string Cluster::EntryAddress(int index) const {
  return entries_.at(index);
}

std::string Cluster::ApiAddress(int index) const {
  return apis_.at(index);
}

std::vector<std::string> Cluster::endpoint_addresses() const {
  return endpoints_;
}

std::vector<std::string> Cluster::worker_addresses() const {
  return workers_;
}

double Cluster::CpuSeconds(const std::string& name) const {
  // Fields 14 and 15 of the line are user and system time in clock ticks.
  constexpr int kFieldsBeforeTimes = 11;
  std::ifstream file("/proc/" + std::to_string(programs_.at(name).pid) +
                     "/stat");
  std::string line;
  std::getline(file, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double Cluster::ResidentMib(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(programs_.at(name).pid) +
                     "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kBytesPerMib = 1 << 20;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMib;
}

std::vector<std::string> Cluster::logs() const {
  std::vector<std::string> logs;
  for (const auto& item :
       std::filesystem::recursive_directory_iterator(folder_)) {
    const std::string path = item.path().string();
    if (item.is_regular_file() && !item.is_symlink() &&
        path.find(".INFO.") != std::string::npos) {
      logs.push_back(path);
    }
  }
  return logs;
}

HttpReply Cluster::Call(const std::string& address,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        const std::vector<HttpField>& fields,
                        Duration timeout) {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.content_type = "application/json";
  call.fields = fields;
  HttpExchange exchange =
      HttpClient(address).Exchange(call, "", MonotonicClock::now() + timeout);
  if (exchange.outcome != RequestOutcome::kRan) {
    exchange.reply.status = 0;
  }
  if (exchange.reply.status == kTemporaryRedirect) {
    const Poco::URI uri{std::string(exchange.reply.Field("Location"))};
    return Call(uri.getAuthority(), method, path, body, fields, timeout);
  }
  return exchange.reply;
}

HttpReply Cluster::Operate(const std::string& method,
                           const std::string& path,
                           const std::string& body) {
  HttpReply reply;
  reply.status = 0;
  for (const std::string& api : apis_) {
    reply = Call(api, method, path, body);
    if (reply.status != 0 && reply.status != 503) {
      return reply;
    }
  }
  return reply;
}

HttpReply Cluster::Change(const std::string& path) {
  HttpReply reply;
  reply.status = 0;
  const std::string command_id = "test-" + std::to_string(NewIncarnation());
  WaitUntil(std::chrono::seconds(10), [&] {
    const HttpReply config = Operate("GET", "/v1/config", "");
    if (config.status != 200) {
      return false;
    }
    const json body = {
        {"expected_version", json::parse(config.body).at("version")},
        {"command_id", command_id}};
    reply = Operate("POST", path, body.dump());
    return reply.status == 200;
  });
  return reply;
}

std::string Cluster::LeaderName() {
  const HttpReply reply = Operate("GET", "/v1/status", "");
  if (reply.status != 200) {
    return "";
  }
  return json::parse(reply.body).at("leader");
}

bool Cluster::WaitUntil(Duration bound,
                        const std::function<bool()>& condition) {
  const Time deadline = MonotonicClock::now() + bound;
  while (MonotonicClock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

}  // namespace banyan
