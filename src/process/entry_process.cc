#include "banyan/process/entry_process.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "banyan/base/random.h"
#include "banyan/process/operator_api.h"
#include "banyan/process/push_or_log.h"

namespace banyan {
namespace {

constexpr std::size_t kRingCapacity = 8192;
// Longest wait of the core thread for input.
constexpr Duration kTickInterval = Millis(5);
// Time that an HTTP thread waits for the core's answer beyond the request's
// deadline, and after a freeze that lasted beyond it.
constexpr Duration kAnswerGracePeriod = Millis(500);
// Upper limit of the time-out that a caller can request; larger values are
// reduced to it. Also used if the caller sets none.
constexpr std::int64_t kMaxTimeoutMs = 600000;
// Longest wait for the reply to a job submission.
constexpr Duration kCommandTimeout = std::chrono::seconds(5);

RouterOptions OptionsFor(const EntrySettings& settings) {
  RouterOptions options;
  options.data_centre = settings.data_centre;
  options.seed = NewIncarnation();
  options.first_seq = NewIncarnation();
  return options;
}

HttpReply ToHttpReply(const CallerAnswer& answer) {
  if (answer.error) {
    return ErrorReply(*answer.error, answer.text);
  }
  HttpReply reply;
  reply.status = answer.status;
  reply.content_type = answer.content_type;
  reply.body = answer.body;
  reply.fields.push_back(
      {"Banyan-Outcome", std::string(ToString(answer.outcome))});
  reply.fields.push_back({"Banyan-Endpoint", answer.endpoint});
  return reply;
}

// Parses a request time-out in milliseconds. Returns nullopt if the text does
// not start with a positive number.
std::optional<std::int64_t> ParseTimeoutMs(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value <= 0) {
    return std::nullopt;
  }
  return std::min(value, kMaxTimeoutMs);
}

}  // namespace

EntryProcess::EntryProcess(EntrySettings settings)
    : settings_(std::move(settings)),
      core_(OptionsFor(settings_), MonotonicClock::now()),
      control_(settings_.control, settings_.data_centre),
      inputs_(kRingCapacity),
      network_(settings_.id, NewIncarnation(), [this](PeerEvent&& event) {
        PushOrLog(inputs_, std::move(event), "entry-core");
      }) {}

EntryProcess::~EntryProcess() {
  Stop();
}

bool EntryProcess::Start(Reason& reason) {
  network_.Start();
  core_thread_ = std::thread([this] { RunCore(); });
  const HttpServer::Limits limits{static_cast<int>(settings_.threads),
                                  settings_.max_body_bytes};
  return server_.Start(
      settings_.http, limits,
      [this](const HttpCall& call) { return Serve(call); }, reason);
}

bool EntryProcess::Stop() {
  if (!core_thread_.joinable()) {
    return true;
  }
  is_leaving_ = true;
  static_cast<void>(inputs_.TryPush(LeaveInput{}));
  const Time deadline = MonotonicClock::now() + settings_.drain_timeout;
  const auto is_idle = [this] { return is_drained_ && server_.active() == 0; };
  while (!is_idle() && MonotonicClock::now() < deadline) {
    std::this_thread::sleep_for(kTickInterval);
  }
  const bool was_drained = is_idle();
  const bool was_clean = server_.Stop(deadline) && was_drained;
  must_end_ = true;
  core_thread_.join();
  network_.Stop();
  return was_clean;
}

HttpReply EntryProcess::Serve(const HttpCall& call) {
  if (auto common = ServeHealthAndMetrics(call, is_leaving_, metrics_)) {
    return *std::move(common);
  }
  if (call.path == "/v1/jobs") {
    return ServeSubmit(call);
  }
  return ServeRequest(call);
}

bool EntryProcess::IsIdempotent(const HttpCall& call,
                                const std::string& service,
                                const std::string& path) const {
  static const std::set<std::string> safe_methods = {"GET", "HEAD", "OPTIONS",
                                                     "PUT", "DELETE"};
  if (safe_methods.contains(call.method) ||
      call.Field("Banyan-Idempotent") == "true") {
    return true;
  }
  for (const ServiceSettings& known : settings_.services) {
    if (known.name != service) {
      continue;
    }
    return std::any_of(
        known.idempotent_prefixes.begin(), known.idempotent_prefixes.end(),
        [&](const std::string& prefix) { return path.starts_with(prefix); });
  }
  return false;
}

HttpReply EntryProcess::ServeRequest(const HttpCall& call) {
  const std::size_t slash = call.path.find('/', 1);
  CallerRequest request;
  request.service = call.path.substr(
      1, slash == std::string::npos ? std::string::npos : slash - 1);
  const bool is_known = std::any_of(
      settings_.services.begin(), settings_.services.end(),
      [&](const ServiceSettings& s) { return s.name == request.service; });
  if (!is_known) {
    return ErrorReply(ErrorKind::kNotFound,
                      "no service '" + request.service + "'");
  }
  const std::string path =
      slash == std::string::npos ? "/" : call.path.substr(slash);
  request.method = call.method;
  request.path = call.query.empty() ? path : path + "?" + call.query;
  request.content_type = call.content_type;
  request.body = call.body;
  request.idempotency_key = std::string(call.Field("Idempotency-Key"));
  request.is_idempotent = IsIdempotent(call, request.service, path);
  request.is_resend = call.Field("Banyan-Resend") == "true";
  const Time now = MonotonicClock::now();
  Time wait_until = now + Millis(kMaxTimeoutMs);
  const std::string_view timeout = call.Field("Banyan-Timeout-Ms");
  if (!timeout.empty()) {
    const auto budget = ParseTimeoutMs(timeout);
    if (!budget) {
      return ErrorReply(ErrorKind::kBadRequest,
                        "Banyan-Timeout-Ms must be a positive number");
    }
    request.deadline = call.arrived_at.value_or(now) + Millis(*budget);
    if (request.deadline <= now) {
      return ErrorReply(ErrorKind::kDeadline, "the caller has given up");
    }
    wait_until = request.deadline + kAnswerGracePeriod;
  }
  auto [ticket, reply] = pending_.Open();
  request.ticket = ticket;
  HttpReply answer =
      Await(ticket, std::move(reply), std::move(request), wait_until);
  metrics_.Observe("request_seconds", MonotonicClock::now() - now);
  return answer;
}

HttpReply EntryProcess::ServeSubmit(const HttpCall& call) {
  if (call.method != "POST") {
    return ErrorReply(ErrorKind::kBadRequest, "jobs are submitted by POST");
  }
  LoggedCommand command;
  Reason reason;
  auto job = ParseSubmitJob(call.body, reason);
  if (!job) {
    return ErrorReply(reason.kind, reason.text);
  }
  command.command = *std::move(job);
  auto [ticket, reply] = pending_.Open();
  return Await(ticket, std::move(reply), CommandInput{ticket, command},
               MonotonicClock::now() + kCommandTimeout);
}

HttpReply EntryProcess::Await(std::uint64_t ticket,
                              std::future<HttpReply> reply,
                              Input input,
                              Time deadline) {
  if (!inputs_.TryPush(std::move(input))) {
    pending_.Abandon(ticket);
    return ErrorReply(ErrorKind::kOverloaded, "too many requests wait");
  }
  if (!WaitForResponse(reply, deadline, kAnswerGracePeriod)) {
    pending_.Abandon(ticket);
    return ErrorReply(ErrorKind::kUnknownOutcome, "no answer in time");
  }
  return reply.get();
}

void EntryProcess::RunCore() {
  Time next_maintenance = MonotonicClock::now();
  while (!must_end_) {
    std::vector<Input> batch =
        inputs_.PopAll(MonotonicClock::now() + kTickInterval);
    for (Input& input : batch) {
      HandleInput(MonotonicClock::now(), std::move(input));
    }
    const Time now = MonotonicClock::now();
    core_.Tick(now, WallNow());
    ApplyOutputs(core_.TakeOutputs());
    is_drained_ = core_.drained();
    if (now >= next_maintenance) {
      next_maintenance = now + Millis(100);
      std::set<std::string> addresses = {control_.current().address};
      for (const auto& [id, endpoint] : core_.pool().endpoints()) {
        addresses.insert(endpoint.info.address);
      }
      network_.Maintain(now, addresses);
    }
  }
}

void EntryProcess::HandleInput(Time now, Input input) {
  if (const auto* event = std::get_if<PeerEvent>(&input)) {
    HandleInput(now, *event);
  } else if (const auto* request = std::get_if<CallerRequest>(&input)) {
    core_.Request(now, WallNow(), *request);
  } else if (auto* command = std::get_if<CommandInput>(&input)) {
    core_.Command(now, command->ticket, std::move(command->command));
  } else {
    core_.Leave();
  }
}

void EntryProcess::HandleInput(Time now, const PeerEvent& event) {
  const bool is_control = control_.IsControlReplica(event.sender.id);
  switch (event.kind) {
    case PeerEvent::Kind::kUp: {
      WriteEvent(Event(EventId::kPeerUp).With("peer", event.sender.id));
      if (!is_control) {
        core_.AgentUp(event.sender);
      } else if (event.sender.id == control_.current().id) {
        core_.ControlUp(now);
      }
      return;
    }
    case PeerEvent::Kind::kDown: {
      WriteEvent(Event(EventId::kPeerDown).With("peer", event.sender.id));
      if (!is_control) {
        core_.AgentDown(now, WallNow(), event.sender.id);
      } else if (event.sender.id == control_.current().id) {
        core_.ControlDown(now);
        control_.SwitchToNext();
      }
      return;
    }
    case PeerEvent::Kind::kMessage:
      core_.Receive(now, WallNow(), event.sender, event.message);
      return;
  }
}

void EntryProcess::ApplyOutputs(RouterOutputs outputs) {
  WriteEvents(outputs.events);
  for (const Outbound& outbound : outputs.messages) {
    network_.Send(outbound.to, outbound.message);
  }
  control_.Send(network_, outputs.to_control);
  if (outputs.switch_control) {
    network_.Disconnect(control_.current().id);
    core_.ControlDown(MonotonicClock::now());
    control_.SwitchToNext();
  }
  for (const CallerAnswer& answer : outputs.answers) {
    metrics_.Increment("answers{outcome=\"" +
                       std::string(ToString(answer.outcome)) + "\"}");
    pending_.Resolve(answer.ticket, ToHttpReply(answer));
  }
  for (const CommandAnswer& answer : outputs.command_answers) {
    pending_.Resolve(answer.ticket, CommandReplyFor(answer.result));
  }
  metrics_.SetGauge("config_version",
                    static_cast<double>(core_.config_version()));
  metrics_.SetGauge("retries", static_cast<double>(core_.counters().retries));
  metrics_.SetGauge("hedges", static_cast<double>(core_.counters().hedges));
  metrics_.SetGauge("sent_bytes", static_cast<double>(network_.sent_bytes()));
}

}  // namespace banyan
