// banyanctl: the operators' command-line client.

#include <tclap/CmdLine.h>
#include <yaml-cpp/yaml.h>

#include <Poco/URI.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "banyan/audit/audit.h"
#include "banyan/base/random.h"
#include "banyan/net/http.h"
#include "banyan/process/program.h"
#include "banyan/settings/settings_reader.h"

namespace banyan {
namespace {

using nlohmann::json;

// Exit codes; 64 and 69 are EX_USAGE and EX_UNAVAILABLE of sysexits.h.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 64;
constexpr int kExitUnavailable = 69;

constexpr Duration kCallTimeout = std::chrono::seconds(6);
constexpr Duration kRetryDelay = Millis(300);
constexpr int kMaxCallRounds = 10;
constexpr int kFirstNonSuccessStatus = 300;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr const char* kCommandSyntax =
    "status | config | job KEY | cancel KEY | preset NAME FILE.yaml | "
    "activate NAME | out DATA-CENTRE | in DATA-CENTRE | "
    "team NAME CPU_MILLIS MEMORY_MIB ACCELERATORS | "
    "submit KEY TEAM KIND CPU_MILLIS MEMORY_MIB RUN_MS [urgent] | "
    "audit LOG...";

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, separator)) {
    parts.push_back(part);
  }
  return parts;
}

// Client of the operator API that fails over between control replicas.
class ApiClient {
 public:
  explicit ApiClient(std::vector<std::string> addresses)
      : addresses_(std::move(addresses)) {}

  // Sends the identical request to the replicas in turn until one answers.
  // Returns nullopt if none has answered after kMaxCallRounds rounds.
  std::optional<HttpReply> Call(const std::string& method,
                                const std::string& path,
                                const std::string& body) {
    for (int round = 0; round < kMaxCallRounds; ++round) {
      for (const std::string& address : addresses_) {
        HttpReply reply = CallReplica(address, method, path, body);
        if (reply.status != 0 && reply.status != kServiceUnavailable &&
            reply.status != kGatewayTimeout) {
          return reply;
        }
      }
      std::this_thread::sleep_for(kRetryDelay);
    }
    return std::nullopt;
  }

 private:
  static HttpReply CallReplica(const std::string& address,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body) {
    HttpCall call;
    call.method = method;
    call.path = path;
    call.body = body;
    call.content_type = "application/json";
    HttpExchange exchange = HttpClient(address).Exchange(
        call, "", MonotonicClock::now() + kCallTimeout);
    if (exchange.outcome != RequestOutcome::kRan) {
      exchange.reply.status = 0;
    }
    if (exchange.reply.status == kTemporaryRedirect) {
      const auto location = exchange.reply.Field("Location");
      const Poco::URI uri{std::string(location)};
      return CallReplica(uri.getAuthority(), method, path, body);
    }
    return exchange.reply;
  }

  std::vector<std::string> addresses_;
};

int PrintReply(const std::optional<HttpReply>& reply) {
  if (!reply) {
    std::cerr << "no control replica answered\n";
    return kExitUnavailable;
  }
  const bool is_ok = reply->status < kFirstNonSuccessStatus;
  (is_ok ? std::cout : std::cerr) << reply->body;
  return is_ok ? kExitSuccess : kExitFailure;
}

// Posts a configuration change under a new command id. If `expected_version` is
// 0, uses the current configuration version.
int PostConfigChange(ApiClient& api,
                     const std::string& path,
                     json body,
                     std::uint64_t expected_version) {
  if (expected_version == 0) {
    const auto config = api.Call("GET", "/v1/config", "");
    if (!config) {
      return PrintReply(config);
    }
    expected_version = json::parse(config->body).at("version");
  }
  body["expected_version"] = expected_version;
  body["command_id"] = "ctl-" + std::to_string(NewIncarnation());
  return PrintReply(api.Call("POST", path, body.dump()));
}

json ReadPresetFile(const std::string& path) {
  json preset = json::object();
  for (const auto& item : YAML::LoadFile(path)) {
    const std::string key = item.first.as<std::string>();
    if (key == "batch_enabled") {
      preset[key] = item.second.as<bool>();
    } else {
      preset[key] = item.second.as<std::int64_t>();
    }
  }
  return preset;
}

json ParseResources(const std::vector<std::string>& arguments,
                    std::size_t first_index) {
  json resources = {{"cpu_millis", std::stoll(arguments.at(first_index))},
                    {"memory_mib", std::stoll(arguments.at(first_index + 1))}};
  return resources;
}

int PostJob(ApiClient& api, const std::vector<std::string>& arguments) {
  constexpr std::size_t kUrgentIndex = 7;
  json job = {{"key", arguments.at(1)},
              {"team", arguments.at(2)},
              {"kind", arguments.at(3)},
              {"needs", ParseResources(arguments, 4)},
              {"declared_run_ms", std::stoll(arguments.at(6))}};
  job["urgent"] =
      arguments.size() > kUrgentIndex && arguments[kUrgentIndex] == "urgent";
  return PrintReply(api.Call("POST", "/v1/jobs", job.dump()));
}

int RunCommand(ApiClient& api,
               const std::vector<std::string>& arguments,
               std::uint64_t expected_version) {
  const std::string& command = arguments.at(0);
  if (command == "status" || command == "config") {
    return PrintReply(api.Call("GET", "/v1/" + command, ""));
  }
  if (command == "job") {
    return PrintReply(api.Call("GET", "/v1/jobs/" + arguments.at(1), ""));
  }
  if (command == "cancel") {
    return PrintReply(
        api.Call("POST", "/v1/jobs/" + arguments.at(1) + "/cancel", "{}"));
  }
  if (command == "submit") {
    return PostJob(api, arguments);
  }
  if (command == "preset") {
    return PostConfigChange(api, "/v1/presets/" + arguments.at(1),
                            {{"preset", ReadPresetFile(arguments.at(2))}},
                            expected_version);
  }
  if (command == "activate") {
    return PostConfigChange(api, "/v1/presets/" + arguments.at(1) + "/activate",
                            json::object(), expected_version);
  }
  if (command == "out" || command == "in") {
    return PostConfigChange(
        api, "/v1/data-centres/" + arguments.at(1) + "/" + command,
        json::object(), expected_version);
  }
  if (command == "team") {
    json quota = ParseResources(arguments, 2);
    quota["accelerators"] = std::stoll(arguments.at(4));
    return PostConfigChange(api, "/v1/teams/" + arguments.at(1),
                            {{"quota", quota}}, expected_version);
  }
  std::cerr << "unknown command '" << command
            << "'; known commands: " << kCommandSyntax << "\n";
  return kExitUsage;
}

int RunAudit(const std::vector<std::string>& arguments) {
  const AuditReport report =
      AuditLogs(std::span<const std::string>(arguments).subspan(1));
  std::cout << ToString(report);
  return report.violations.empty() ? kExitSuccess : kExitFailure;
}

int Main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line("Operator command line for banyanchute", ' ',
                                kVersion);
    command_line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> api_arg(
        "a", "api", "operator API addresses, separated by commas", false,
        "127.0.0.1:7101", "IP:PORT,...", command_line);
    const TCLAP::ValueArg<std::uint64_t> expected_version_arg(
        "e", "expect", "configuration version that a change is based on", false,
        0, "VERSION", command_line);
    const TCLAP::UnlabeledMultiArg<std::string> command_arg(
        "command", kCommandSyntax, true, "COMMAND", command_line);
    command_line.parse(argc, argv);
    const std::vector<std::string>& arguments = command_arg.getValue();
    if (arguments.front() == "audit") {
      return RunAudit(arguments);
    }
    for (const std::string& address : Split(api_arg.getValue(), ',')) {
      if (!IsIpAddressAndPort(address)) {
        std::cerr << "'" << address << "' is not an IP address and port\n";
        return kExitUsage;
      }
    }
    ApiClient api(Split(api_arg.getValue(), ','));
    return RunCommand(api, arguments, expected_version_arg.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
  } catch (const std::out_of_range&) {
    std::cerr << "missing argument; known commands: " << kCommandSyntax << "\n";
  } catch (const std::invalid_argument&) {
    std::cerr << "invalid number in an argument; known commands: "
              << kCommandSyntax << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return kExitUsage;
}

}  // namespace
}  // namespace banyan

// Entry point of banyanctl.
int main(int argc, char** argv) {
  return banyan::Main(argc, argv);
}
