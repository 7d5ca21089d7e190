#include "review/standin/deployment.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "review/standin/record.h"

namespace review {
namespace {

constexpr const char* kDeployFile = "deploy/system.toml";
constexpr int kOrderTimeoutMs = 1000;
constexpr int kClientTimeoutMs = 3000;
constexpr int kClientTries = 5;
constexpr std::int64_t kStartPatienceMs = 20000;
constexpr std::int64_t kCaseLimitMs = 112000;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the value of `run` of a role in the deploy file.
std::string CommandOf(const std::string& deploy_file, const std::string& role) {
  const std::size_t section = deploy_file.find("[roles." + role + "]");
  const std::size_t line = deploy_file.find("run = \"", section);
  if (section == std::string::npos || line == std::string::npos) {
    return "";
  }
  const std::size_t begin = line + 7;
  return deploy_file.substr(begin, deploy_file.find('"', begin) - begin);
}

std::string Short(const std::string& text) {
  constexpr std::size_t kMax = 160;
  return text.size() <= kMax ? text : text.substr(0, kMax) + "...";
}

}  // namespace

Process::Process(std::string name,
                 std::string command,
                 std::string settings,
                 std::string folder)
    : name_(std::move(name)), command_(std::move(command)) {
  settings_path_ = folder + "/" + name_ + ".yaml";
  output_path_ = folder + "/" + name_ + ".log";
  std::ofstream(settings_path_) << settings;
}

Process::~Process() {
  Kill();
}

bool Process::Start() {
  std::vector<std::string> words;
  std::istringstream in(command_);
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("BANYANCHUTE_CONFIG", settings_path_.c_str(), 1);
    std::FILE* out = std::freopen(output_path_.c_str(), "a", stdout);
    if (out != nullptr) {
      ::dup2(::fileno(out), STDERR_FILENO);
    }
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  return pid_ > 0;
}

void Process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

void Process::Freeze() {
  ::kill(pid_, SIGSTOP);
}

void Process::Thaw() {
  ::kill(pid_, SIGCONT);
}

bool Process::IsRunning() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::string Process::Output() const {
  return ReadFile(output_path_);
}

Deployment::Deployment(const std::vector<std::string>& zones,
                       int executors,
                       int diskless_edges)
    : zones_(zones),
      executor_count_(executors),
      diskless_count_(diskless_edges) {}

Deployment::~Deployment() {
  for (SideMachine& side : sides_) {
    side.agent.reset();
  }
  for (EdgeMachine& edge : edges_) {
    edge.entry.reset();
    edge.control.reset();
  }
  sides_.clear();
  if (!folder_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

bool Deployment::ReadCommands() {
  const std::string deploy_file = ReadFile(kDeployFile);
  control_command_ = CommandOf(deploy_file, "control");
  entry_command_ = CommandOf(deploy_file, "entry");
  agent_command_ = CommandOf(deploy_file, "agent");
  const std::string program =
      control_command_.substr(0, control_command_.find(' '));
  return !entry_command_.empty() && !agent_command_.empty() &&
         std::filesystem::exists(program);
}

bool Deployment::Start() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!ReadCommands() || ::mkdtemp(folder.data()) == nullptr) {
    Record("the programs of the deploy file are not there");
    return false;
  }
  folder_ = folder;
  const int pid = ::getpid();
  const std::string net = "127." + std::to_string(20 + pid % 200) + "." +
                          std::to_string(1 + pid / 200 % 200) + ".";
  int port = 21000 + pid % 500 * 10;
  const auto ip_of = [&](int machine) {
    return net + std::to_string(machine + 1);
  };
  const int edge_count = static_cast<int>(zones_.size()) + diskless_count_;
  const int machines = edge_count + executor_count_;
  for (int machine = 0; machine < machines; ++machine) {
    for (int i = 0; i < 5; ++i) {
      if (!IsFree(ip_of(machine) + ":" + std::to_string(port + i))) {
        Record("a port is in use");
        return false;
      }
    }
  }
  const std::string front = ":" + std::to_string(port);
  const std::string ready = ":" + std::to_string(port + 1);
  const std::string control = ":" + std::to_string(port + 2);
  const std::string peer = std::to_string(port + 3);
  const std::string app = ":" + std::to_string(port + 4);
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(zones_.size(), 3); ++i) {
    seeds +=
        (i == 0 ? "\"" : ",\"") + ip_of(static_cast<int>(i)) + control + "\"";
  }
  // What deploy/settings.yaml.template makes of the settings of a process.
  const auto settings = [&](const std::string& name, const std::string& zone,
                            const std::string& ip, const std::string& rest) {
    return "id: \"" + name + "\"\ndata_centre: \"" + zone + "\"\nip: \"" + ip +
           "\"\npeer_port: " + peer + "\nseeds: [" + seeds +
           "]\nbootstrap: true\n" + rest +
           "drain_ms: 5500\nelection_ms: 500\ncatch_up_s: 4\nlease_ms: 5800\n";
  };
  for (int i = 0; i < edge_count; ++i) {
    EdgeMachine edge;
    const std::string ip = ip_of(i);
    const std::size_t zone = static_cast<std::size_t>(i) % zones_.size();
    const std::string name =
        "edge-" + zones_[zone] + "-" +
        std::to_string(1 + static_cast<std::size_t>(i) / zones_.size());
    edge.zone = zones_[zone];
    edge.front = ip + front;
    edge.ready = ip + ready;
    edge.control_address = ip + control;
    if (static_cast<std::size_t>(i) < zones_.size()) {
      edge.control = std::make_unique<Process>(
          name + "-control", control_command_,
          settings(name + "-control", edge.zone, ip,
                   "data_folder: \"" + folder_ + "/" + name +
                       "-data\"\ncontrol: \"" + edge.control_address + "\"\n"),
          folder_);
    }
    edge.entry = std::make_unique<Process>(
        name + "-entry", entry_command_,
        settings(
            name + "-entry", edge.zone, ip,
            "front: \"" + edge.front + "\"\nready: \"" + edge.ready + "\"\n"),
        folder_);
    edges_.push_back(std::move(edge));
  }
  for (int i = 0; i < executor_count_; ++i) {
    SideMachine side;
    const std::string ip = ip_of(edge_count + i);
    side.zone = zones_[static_cast<std::size_t>(i) % zones_.size()];
    side.control_address = ip + control;
    const std::string name = "side-" + std::to_string(i + 1);
    side.agent = std::make_unique<Process>(
        name + "-agent", agent_command_,
        settings(name + "-agent", side.zone, ip,
                 "control: \"" + side.control_address + "\"\nworker: \"" + ip +
                     app + "\"\n"),
        folder_);
    ExecutorSettings executor;
    executor.name = name;
    executor.service = kService;
    executor.zone = side.zone;
    executor.rack = "r1-" + std::to_string(i / 3);
    executor.address = ip + app;
    executor.agent = side.control_address;
    side.executor = std::make_unique<Executor>(executor, log_);
    sides_.push_back(std::move(side));
  }
  for (EdgeMachine& edge : edges_) {
    if ((edge.control && !edge.control->Start()) || !edge.entry->Start()) {
      return false;
    }
  }
  for (SideMachine& side : sides_) {
    if (!side.agent->Start() || !side.executor->Start()) {
      return false;
    }
  }
  if (PutConfig(1, 0).status != 200) {
    Record("the first configuration is not accepted");
    return false;
  }
  const std::int64_t deadline = NowMs() + kStartPatienceMs;
  for (EdgeMachine& edge : edges_) {
    while (Call(edge.ready, "GET", "/ready", edge.ready, "", kOrderTimeoutMs)
               .status != 200) {
      if (NowMs() > deadline) {
        Record("an entry does not become ready");
        return false;
      }
      SleepMs(50);
    }
  }
  SleepMs(kContactMs);
  Record("the deployment is up");
  return true;
}

Response Deployment::Order(const std::string& method,
                           const std::string& path,
                           const std::string& body,
                           std::size_t first,
                           std::int64_t patience_ms) {
  const std::int64_t deadline = NowMs() + patience_ms;
  std::int64_t backoff_ms = 50;
  Response response;
  for (std::size_t i = first; NowMs() < deadline; ++i) {
    const EdgeMachine& edge = edges_[i % zones_.size()];
    Record("operator -> " + edge.zone + ": " + method + " " + path + " " +
           Short(body));
    response = Call(edge.control_address, method, path, edge.control_address,
                    body, kOrderTimeoutMs);
    Record("operator <- " + edge.zone + ": " +
           (response.status == 0 ? "no response"
                                 : std::to_string(response.status)));
    if (response.status >= 200 && response.status < 500 &&
        response.status != 408 && response.status != 429) {
      break;
    }
    SleepMs(backoff_ms);
    backoff_ms *= 2;
  }
  return response;
}

Response Deployment::PutConfig(std::int64_t version, std::size_t first) {
  const std::string body =
      R"({"version":)" + std::to_string(version) +
      R"(,"routes":[{"name":"r-bookings","host":")" + kHost +
      R"(","path-prefix":")" + kPrefix +
      R"(","kind":"unsafe","timeout-ms":3000,"slo-ms":1000,"priority":0,)"
      R"("service":")" +
      kService + R"(","max-attempts":2,"stretch":2.0}],"services":[{"name":")" +
      kService +
      R"(","health-path":"/health","max-conns":64,"protocol":"h1",)"
      R"("tls":false,"cold-start-s":0.0,"cold-per-s":0.0,)"
      R"("rejects-overload":false,"spare":false}],"limits":{)"
      R"("max-header-bytes":16384,"max-body-bytes":262144,)"
      R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
  return Order("PUT", "/config", body, first, kStartPatienceMs);
}

Response Deployment::Ask(const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         std::size_t first) {
  Response response;
  for (int i = 0; i < kClientTries; ++i) {
    const EdgeMachine& edge =
        edges_[(first + static_cast<std::size_t>(i)) % edges_.size()];
    response =
        Call(edge.front, method, kPrefix + path, kHost, body, kClientTimeoutMs);
    Record("client: " + method + " " + kPrefix + path + " " + Short(body) +
           " at " + edge.zone + ": " +
           (response.status == 0 ? "no response"
                                 : std::to_string(response.status)) +
           " " + Short(response.body));
    if (response.status != 0 && response.status < 500) {
      break;
    }
    SleepMs(200);
  }
  return response;
}

bool Deployment::Submit(const std::string& id,
                        const std::string& spec,
                        const std::string& step,
                        std::size_t first) {
  const Response response =
      Ask("POST", id, R"({"spec":")" + spec + R"(","steps":[)" + step + "]}",
          first);
  return response.status >= 200 && response.status < 300;
}

std::string JobId(std::int64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

int RunCase(int argc, char** argv, int (*play)()) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    return 2;
  }
  OpenRecord(argv[1]);
  std::signal(SIGPIPE, SIG_IGN);
  std::thread([] {
    SleepMs(kCaseLimitMs);
    Record("the case took too long");
    std::_Exit(2);
  }).detach();
  const int verdict = play();
  Record("exit code " + std::to_string(verdict));
  return verdict;
}

}  // namespace review
