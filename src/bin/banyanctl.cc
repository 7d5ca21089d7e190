// banyanctl: one command line for operators.

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

// Exit codes of the command line.
constexpr int kDone = 0;
constexpr int kRefused = 1;
constexpr int kUsage = 64;
constexpr int kUnreachable = 69;

constexpr Duration kCallTimeout = std::chrono::seconds(6);
constexpr Duration kRetryPause = Millis(300);
constexpr int kRounds = 10;
constexpr int kOkStatusEnd = 300;
constexpr int kTemporaryRedirect = 307;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr const char* kCommands =
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

// Makes calls to whichever control replica answers.
class Api {
 public:
  explicit Api(std::vector<std::string> addresses)
      : addresses_(std::move(addresses)) {}

  // Repeats the call, the same to the letter, until a replica answers it.
  std::optional<HttpReply> Call(const std::string& method,
                                const std::string& path,
                                const std::string& body) {
    for (int round = 0; round < kRounds; ++round) {
      for (const std::string& address : addresses_) {
        HttpReply reply = CallOne(address, method, path, body);
        if (reply.status != 0 && reply.status != kServiceUnavailable &&
            reply.status != kGatewayTimeout) {
          return reply;
        }
      }
      std::this_thread::sleep_for(kRetryPause);
    }
    return std::nullopt;
  }

 private:
  static HttpReply CallOne(const std::string& address,
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
      return CallOne(uri.getAuthority(), method, path, body);
    }
    return exchange.reply;
  }

  std::vector<std::string> addresses_;
};

int Print(const std::optional<HttpReply>& reply) {
  if (!reply) {
    std::cerr << "no control replica gave an answer\n";
    return kUnreachable;
  }
  const bool is_ok = reply->status < kOkStatusEnd;
  (is_ok ? std::cout : std::cerr) << reply->body;
  return is_ok ? kDone : kRefused;
}

// Posts a change of configuration under a new command id. The version that it
// expects is the present one unless the operator named another.
int Change(Api& api,
           const std::string& path,
           json body,
           std::uint64_t expected_version) {
  if (expected_version == 0) {
    const auto config = api.Call("GET", "/v1/config", "");
    if (!config) {
      return Print(config);
    }
    expected_version = json::parse(config->body).at("version");
  }
  body["expected_version"] = expected_version;
  body["command_id"] = "ctl-" + std::to_string(NewIncarnation());
  return Print(api.Call("POST", path, body.dump()));
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

json ResourcesFrom(const std::vector<std::string>& words, std::size_t first) {
  json resources = {{"cpu_millis", std::stoll(words.at(first))},
                    {"memory_mib", std::stoll(words.at(first + 1))}};
  return resources;
}

int Submit(Api& api, const std::vector<std::string>& words) {
  constexpr std::size_t kUrgentWord = 7;
  json job = {{"key", words.at(1)},
              {"team", words.at(2)},
              {"kind", words.at(3)},
              {"needs", ResourcesFrom(words, 4)},
              {"declared_run_ms", std::stoll(words.at(6))}};
  job["urgent"] = words.size() > kUrgentWord && words[kUrgentWord] == "urgent";
  return Print(api.Call("POST", "/v1/jobs", job.dump()));
}

int Run(Api& api,
        const std::vector<std::string>& words,
        std::uint64_t expected_version) {
  const std::string& what = words.at(0);
  if (what == "status" || what == "config") {
    return Print(api.Call("GET", "/v1/" + what, ""));
  }
  if (what == "job") {
    return Print(api.Call("GET", "/v1/jobs/" + words.at(1), ""));
  }
  if (what == "cancel") {
    return Print(api.Call("POST", "/v1/jobs/" + words.at(1) + "/cancel", "{}"));
  }
  if (what == "submit") {
    return Submit(api, words);
  }
  if (what == "preset") {
    return Change(api, "/v1/presets/" + words.at(1),
                  {{"preset", ReadPresetFile(words.at(2))}}, expected_version);
  }
  if (what == "activate") {
    return Change(api, "/v1/presets/" + words.at(1) + "/activate",
                  json::object(), expected_version);
  }
  if (what == "out" || what == "in") {
    return Change(api, "/v1/data-centres/" + words.at(1) + "/" + what,
                  json::object(), expected_version);
  }
  if (what == "team") {
    json quota = ResourcesFrom(words, 2);
    quota["accelerators"] = std::stoll(words.at(4));
    return Change(api, "/v1/teams/" + words.at(1), {{"quota", quota}},
                  expected_version);
  }
  std::cerr << "unknown command '" << what << "'; known are: " << kCommands
            << "\n";
  return kUsage;
}

int Audit(const std::vector<std::string>& words) {
  const AuditReport report =
      AuditLogs(std::span<const std::string>(words).subspan(1));
  std::cout << ToString(report);
  return report.violations.empty() ? kDone : kRefused;
}

int Main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Operators' command line of banyanchute", ' ',
                        kVersion);
    line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> api_arg(
        "a", "api", "operator API addresses, joined by commas", false,
        "127.0.0.1:7101", "IP:PORT,...", line);
    const TCLAP::ValueArg<std::uint64_t> expect_arg(
        "e", "expect", "configuration version that a change builds on", false,
        0, "VERSION", line);
    const TCLAP::UnlabeledMultiArg<std::string> words_arg(
        "command", kCommands, true, "COMMAND", line);
    line.parse(argc, argv);
    const std::vector<std::string>& words = words_arg.getValue();
    if (words.front() == "audit") {
      return Audit(words);
    }
    for (const std::string& address : Split(api_arg.getValue(), ',')) {
      if (!IsIpAddressAndPort(address)) {
        std::cerr << "'" << address << "' is no IP number and port\n";
        return kUsage;
      }
    }
    Api api(Split(api_arg.getValue(), ','));
    return Run(api, words, expect_arg.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
  } catch (const std::out_of_range&) {
    std::cerr << "a word is missing; commands are: " << kCommands << "\n";
  } catch (const std::invalid_argument&) {
    std::cerr << "a number is expected; commands are: " << kCommands << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return kUsage;
}

}  // namespace
}  // namespace banyan

// Entry point of banyanctl.
int main(int argc, char** argv) {
  return banyan::Main(argc, argv);
}
