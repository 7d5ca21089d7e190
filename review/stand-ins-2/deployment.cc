#include "review/stand-ins-2/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <thread>

namespace banyan::review {
namespace {

using nlohmann::json;

constexpr int kFrontPort = 8161;
constexpr int kWorkerPort = 8165;
constexpr int kControlPort = 8166;
constexpr int kReadyPort = 8167;
constexpr int kPeerPort = 7720;
constexpr std::array kZones = {"zone-a", "zone-b", "zone-c"};
constexpr Duration kClientTimeout = Millis(3000);
constexpr Duration kRetryDelay = Millis(200);
constexpr int kClientAttempts = 5;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Returns the value at a path of names with dots between them.
json Find(const json& fields, const std::string& path) {
  const json* value = &fields;
  std::istringstream names(path);
  for (std::string name; std::getline(names, name, '.');) {
    if (value->is_array()) {
      value = &value->at(std::stoul(name));
    } else if (value->is_object() && value->contains(name)) {
      value = &value->at(name);
    } else {
      return {};
    }
  }
  return *value;
}

std::string Plain(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Fills in the parts of a template that the deploy file's template uses:
// values, values as JSON, and sections of one value.
std::string Render(const std::string& text, const json& fields) {
  std::string out;
  std::size_t at = 0;
  while (true) {
    const std::size_t open = text.find("{{", at);
    out += text.substr(at, open - at);
    if (open == std::string::npos) {
      return out;
    }
    const std::size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name.starts_with('#')) {
      name = name.substr(1);
      const std::string end_mark = "{{/" + name + "}}";
      const std::size_t end = text.find(end_mark, at);
      const json value = Find(fields, name);
      if (!value.is_null()) {
        json inner = fields;
        inner["."] = value;
        std::string part = text.substr(at, end - at);
        for (std::size_t dot = part.find("{{.}}"); dot != std::string::npos;
             dot = part.find("{{.}}")) {
          part.replace(dot, 5, Plain(value));
        }
        out += Render(part, inner);
      }
      at = end + end_mark.size();
      continue;
    }
    const std::size_t bar = name.find('|');
    const json value = Find(fields, name.substr(0, bar));
    out += bar == std::string::npos ? Plain(value) : value.dump();
  }
}

// Returns the words of a role's command in the deploy file.
std::vector<std::string> CommandOf(const std::string& role) {
  std::istringstream lines(ReadFile("deploy/system.toml"));
  bool is_role = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with('[')) {
      is_role = line == "[roles." + role + "]";
    }
    if (is_role && line.starts_with("run = \"")) {
      std::istringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> command;
      for (std::string word; words >> word;) {
        command.push_back(word);
      }
      return command;
    }
  }
  return {};
}

bool IsFree(const std::string& ip, int port) {
  try {
    const Poco::Net::ServerSocket socket{
        Poco::Net::SocketAddress(ip, static_cast<std::uint16_t>(port))};
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

// Starts a program whose output is appended to a file. It inherits no sockets
// of this process. Returns its process id; 0 if it can't be started.
pid_t Spawn(std::vector<std::string> words,
            const std::string& output,
            const std::string& settings_path) {
  std::vector<char*> argv;
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  std::string settings = "BANYANCHUTE_CONFIG=" + settings_path;
  std::vector<char*> environment = {settings.data()};
  for (char** variable = environ; *variable != nullptr; ++variable) {
    environment.push_back(*variable);
  }
  environment.push_back(nullptr);
  constexpr int kFirstOther = STDERR_FILENO + 1;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, kFirstOther);
  pid_t pid = 0;
  const int error = ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(),
                                  environment.data());
  posix_spawn_file_actions_destroy(&actions);
  return error == 0 ? pid : 0;
}

std::string At(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace

Record::Record(const std::string& path)
    : out_(path, std::ios::trunc), start_(MonotonicClock::now()) {}

std::int64_t Record::ElapsedMs() const {
  return ToMillis(MonotonicClock::now() - start_);
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << std::setw(7) << ElapsedMs() << " ms  " << line << std::endl;
}

Deployment::Deployment(Shape shape, Record& record)
    : shape_(shape), record_(record) {
  ChooseNetwork();
  std::string pattern =
      (std::filesystem::temp_directory_path() / "banyan-review-XXXXXX")
          .string();
  folder_ = ::mkdtemp(pattern.data());
  for (int i = 0; i < shape_.controls; ++i) {
    Add("control", i);
  }
  for (int i = 0; i < shape_.entries; ++i) {
    Add("entry", i);
  }
  for (int i = 0; i < shape_.agents; ++i) {
    Add("agent", i);
  }
}

Deployment::~Deployment() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      ::kill(process.pid, SIGKILL);
      ::waitpid(process.pid, nullptr, 0);
    }
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    record_.Write("logs in " + folder_);
  }
}

void Deployment::ChooseNetwork() {
  const int machines = shape_.controls + shape_.entries + shape_.agents;
  for (int attempt = ::getpid();; attempt += 7) {
    network_ = "127." + std::to_string(20 + attempt % 200) + "." +
               std::to_string(1 + attempt / 200 % 250) + ".";
    bool is_free = true;
    for (int i = 0; i < machines && is_free; ++i) {
      for (const int port :
           {kFrontPort, kWorkerPort, kControlPort, kReadyPort, kPeerPort}) {
        is_free = is_free && IsFree(IpOf(i), port);
      }
    }
    if (is_free) {
      return;
    }
  }
}

std::string Deployment::IpOf(int machine) const {
  return network_ + std::to_string(machine + 1);
}

int Deployment::MachineOf(const std::string& role, int index) const {
  if (role == "control") {
    return index;
  }
  return shape_.controls + index + (role == "agent" ? shape_.entries : 0);
}

std::string Deployment::ZoneOf(int machine) const {
  return kZones[static_cast<std::size_t>(machine) % kZones.size()];
}

std::string Deployment::FrontOf(int entry) const {
  return At(IpOf(MachineOf("entry", entry)), kFrontPort);
}

std::string Deployment::AgentAddress(int agent) const {
  return At(IpOf(MachineOf("agent", agent)), kControlPort);
}

std::string Deployment::WorkerAddress(int agent) const {
  return At(IpOf(MachineOf("agent", agent)), kWorkerPort);
}

void Deployment::Add(const std::string& role, int index) {
  const std::string name = role + "-" + std::to_string(index);
  const std::string ip = IpOf(MachineOf(role, index));
  json fields = {
      {"node", name},
      {"role", role},
      {"ip", ip},
      {"zone", ZoneOf(index)},
      {"internal-ports", {kPeerPort, kPeerPort + 15}},
      {"bootstrap", true},
      {"listen", json::object()},
      {"bounds",
       {{"catch-up-s", 4}, {"config-ms", 2000}, {"hold-max-ms", 6000}}},
      {"tolerate", {{"machines", 1}, {"zones", 1}, {"regions", 0}}}};
  for (int i = 0; i < shape_.controls; ++i) {
    fields["seeds"].push_back(At(IpOf(i), kControlPort));
  }
  if (role == "control") {
    fields["data-dir"] = folder_ + "/data-" + name;
    fields["listen"]["control"] = At(ip, kControlPort);
  } else if (role == "entry") {
    fields["listen"]["front"] = At(ip, kFrontPort);
    fields["listen"]["ready"] = At(ip, kReadyPort);
  } else {
    fields["app"] = At(ip, kWorkerPort);
    fields["listen"]["control"] = At(ip, kControlPort);
  }
  Process process;
  process.words = CommandOf(role);
  process.settings_path = folder_ + "/" + name + ".yaml";
  std::ofstream(process.settings_path)
      << Render(ReadFile("deploy/settings.yaml.template"), fields);
  processes_[name] = std::move(process);
}

void Deployment::Start(const std::string& name) {
  Process& process = processes_.at(name);
  process.pid = Spawn(process.words, folder_ + "/" + name + ".log",
                      process.settings_path);
  record_.Write("start " + name + ", process " + std::to_string(process.pid));
}

void Deployment::StartAll() {
  for (const auto& [name, process] : processes_) {
    Start(name);
  }
}

void Deployment::Signal(const std::string& name, int signal) {
  record_.Write("signal " + std::to_string(signal) + " to " + name);
  ::kill(processes_.at(name).pid, signal);
}

void Deployment::Reap(const std::string& name) {
  Process& process = processes_.at(name);
  ::waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

pid_t Deployment::PidOf(const std::string& name) const {
  return processes_.at(name).pid;
}

HttpReply Deployment::CallControl(int replica,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body,
                                  Duration timeout) {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.content_type = "application/json";
  call.body = body;
  const HttpExchange exchange =
      HttpClient(At(IpOf(replica), kControlPort))
          .Exchange(call, "", MonotonicClock::now() + timeout);
  HttpReply reply = exchange.reply;
  reply.status = exchange.outcome == RequestOutcome::kRan ? reply.status : 0;
  record_.Write("operator " + method + " " + path + " at control-" +
                std::to_string(replica) + " -> " +
                std::to_string(reply.status));
  return reply;
}

bool Deployment::InstallPlan(const json& plan, Duration timeout) {
  const Time deadline = MonotonicClock::now() + timeout;
  for (int i = 0; MonotonicClock::now() < deadline; ++i) {
    if (CallControl(i % shape_.controls, "PUT", "/config", plan.dump(),
                    Millis(1000))
            .status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return false;
}

bool Deployment::AwaitReady(Duration timeout) {
  const Time deadline = MonotonicClock::now() + timeout;
  for (int i = 0; i < shape_.entries;) {
    HttpCall call;
    call.method = "GET";
    call.path = "/ready";
    const HttpExchange exchange =
        HttpClient(At(IpOf(MachineOf("entry", i)), kReadyPort))
            .Exchange(call, "", MonotonicClock::now() + Millis(1000));
    if (exchange.outcome == RequestOutcome::kRan &&
        exchange.reply.status == 200) {
      ++i;
    } else if (MonotonicClock::now() >= deadline) {
      return false;
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  return true;
}

HttpReply Deployment::Call(int entry,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body,
                           Duration timeout) {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.content_type = "application/json";
  call.body = body;
  call.fields.push_back({"Host", kHost});
  call.fields.push_back(
      {"Banyanchute-Deadline-Ms", std::to_string(ToMillis(timeout))});
  const HttpExchange exchange =
      HttpClient(FrontOf(entry))
          .Exchange(call, "", MonotonicClock::now() + timeout);
  HttpReply reply = exchange.reply;
  reply.status = exchange.outcome == RequestOutcome::kRan ? reply.status : 0;
  record_.Write("client " + method + " " + path + " at entry-" +
                std::to_string(entry) + " -> " + std::to_string(reply.status) +
                " " + reply.body.substr(0, 100) +
                (reply.status == 0 ? exchange.text : ""));
  return reply;
}

HttpReply Deployment::CallWithRetries(const std::string& method,
                                      const std::string& path,
                                      const std::string& body) {
  HttpReply reply;
  for (int i = 0; i < kClientAttempts; ++i) {
    reply = Call(i % shape_.entries, method, path, body, kClientTimeout);
    if (reply.status != 0 && reply.status != 429 && reply.status < 500) {
      break;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return reply;
}

json SimplePlan(std::int64_t version) {
  const json route = {{"name", "jobs"},         {"host", kHost},
                      {"path-prefix", kPrefix}, {"kind", "unsafe"},
                      {"timeout-ms", 3000},     {"slo-ms", 1000},
                      {"priority", 0},          {"service", kService},
                      {"max-attempts", 4},      {"stretch", 2.0}};
  const json service = {{"name", kService},  {"health-path", "/health"},
                        {"max-conns", 64},   {"protocol", "h1"},
                        {"tls", false},      {"cold-start-s", 0.0},
                        {"cold-per-s", 0.0}, {"rejects-overload", false},
                        {"spare", false}};
  return {{"version", version},
          {"routes", json::array({route})},
          {"services", json::array({service})},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 262144},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::string JobId(std::uint64_t number) {
  // Odd, so that different numbers give different ids.
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15ULL;
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0')
      << (number + 1) * kSpread;
  return out.str();
}

}  // namespace banyan::review
