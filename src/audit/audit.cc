#include "banyan/audit/audit.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "banyan/base/resources.h"
#include "banyan/events/event.h"

namespace banyan {
namespace {

// One event parsed from a log line.
struct LoggedEvent {
  // Time prefix of the log line, "YYYYMMDD HH:MM:SS.micros"; sorts as text.
  std::string time;
  std::string file;
  EventId id{};
  std::map<std::string, std::string> fields;

  // Returns the value of a field, or an empty string if there is none.
  [[nodiscard]] std::string Field(const std::string& key) const {
    const auto found = fields.find(key);
    return found == fields.end() ? "" : found->second;
  }
};

// Parses a line such as
// "I20261204 00:38:15.123456 4711 event.cc:12] E1203 key=value ...".
// Returns nothing if the line holds no event.
std::optional<LoggedEvent> ParseLine(const std::string& line,
                                     const std::string& file) {
  constexpr std::size_t kTimeBegin = 1;
  const std::size_t bracket = line.find("] E");
  const std::size_t first_space = line.find(' ');
  if (bracket == std::string::npos || first_space == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t time_end = line.find(' ', first_space + 1);
  LoggedEvent event;
  event.time = line.substr(kTimeBegin, time_end - kTimeBegin);
  event.file = file;
  std::string_view fields_text = std::string_view(line).substr(bracket + 3);
  int number = 0;
  while (!fields_text.empty() && fields_text.front() >= '0' &&
         fields_text.front() <= '9') {
    number = number * 10 + (fields_text.front() - '0');
    fields_text.remove_prefix(1);
  }
  event.id = static_cast<EventId>(number);
  event.fields = ParseEventFields(fields_text);
  return event;
}

// Tasks may still start for this long after their data centre was taken out.
constexpr double kMaxStartDelayAfterOutSeconds = 3;

// Returns the seconds between two times of the same day, each given as
// "YYYYMMDD HH:MM:SS.micros".
double SecondsBetween(const std::string& from, const std::string& to) {
  const auto seconds_of = [](const std::string& time) {
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    const std::size_t space = std::min(time.find(' '), time.size() - 1);
    std::istringstream text(time.substr(space));
    char colon = 0;
    text >> hours >> colon >> minutes >> colon >> seconds;
    return hours * 3600.0 + minutes * 60.0 + seconds;
  };
  return seconds_of(to) - seconds_of(from);
}

// Checks the invariants over events that are passed in order of time, and adds
// violations to the report.
class LogChecker {
 public:
  explicit LogChecker(AuditReport& report) : report_(report) {}

  // Processes the next event.
  void OnEvent(const LoggedEvent& event) {
    switch (event.id) {
      case EventId::kTaskStarted:
        OnTaskStarted(event);
        break;
      case EventId::kTaskEnded:
        OnTaskEnded(event);
        break;
      case EventId::kTaskRequeued:
        // The previous attempt has ended or its lease has expired.
        RemoveRunningTask(event.Field("job"));
        break;
      case EventId::kInstanceRegistered:
        capacity_by_worker_[event.Field("instance")] = ResourcesOf(event);
        break;
      case EventId::kInstanceRemoved:
        // The instance's lease has expired, so nothing runs on it any more.
        lost_workers_.insert(event.Field("instance"));
        break;
      case EventId::kCommandAccepted:
        OnCommandAccepted(event);
        break;
      case EventId::kJobEnded:
        OnJobEnded(event);
        break;
      case EventId::kDispatchStarted:
        OnDispatchStarted(event);
        break;
      case EventId::kRequestRefused:
        if (!event.Field("claim").empty()) {
          refused_at_[event.Field("claim")] = event.time;
        }
        break;
      case EventId::kRequestAnswered:
        refused_at_.erase(event.Field("claim"));
        break;
      default:
        break;
    }
  }

  // Checks that no claim whose last answer was "not-run" has run. Call this
  // after the last event.
  void CheckClaimsNotRun() {
    for (const auto& [claim, time] : refused_at_) {
      const auto dispatched_at = last_dispatch_time_.find(claim);
      if (dispatched_at != last_dispatch_time_.end() &&
          !ended_not_run_claims_.contains(claim)) {
        AddViolation(time, "claim " + claim +
                               " was answered not-run but was dispatched to "
                               "an endpoint at " +
                               dispatched_at->second);
      }
    }
  }

  // Records whether the last dispatch under a claim ended without running.
  void OnDispatchEnded(const LoggedEvent& event) {
    if (event.Field("outcome") == "not-run") {
      ended_not_run_claims_.insert(event.Field("claim"));
    } else {
      ended_not_run_claims_.erase(event.Field("claim"));
    }
  }

 private:
  // Job id or claim key, and attempt number.
  using Attempt = std::pair<std::string, std::string>;

  void AddViolation(const std::string& time, const std::string& message) {
    report_.violations.push_back(time + " " + message);
  }

  void OnTaskStarted(const LoggedEvent& event) {
    ++report_.task_starts;
    const Attempt attempt{event.Field("job"), event.Field("attempt")};
    if (!started_attempts_.insert(attempt).second) {
      AddViolation(event.time, "attempt " + attempt.second + " of job " +
                                   attempt.first + " started twice");
    }
    const std::string worker = event.Field("worker");
    const auto running = worker_by_job_.find(attempt.first);
    if (running != worker_by_job_.end() && running->second != worker &&
        !lost_workers_.contains(running->second)) {
      AddViolation(event.time, "job " + attempt.first + " started on " +
                                   worker + " while it was running on " +
                                   running->second +
                                   ", so it ran on two workers at once");
    }
    RemoveRunningTask(attempt.first);
    worker_by_job_[attempt.first] = worker;
    lost_workers_.erase(worker);
    needs_by_job_[attempt.first] = ResourcesOf(event);
    CheckCapacity(event, worker);
    const auto out_since = out_since_.find(event.Field("data_centre"));
    if (out_since != out_since_.end() &&
        SecondsBetween(out_since->second, event.time) >
            kMaxStartDelayAfterOutSeconds) {
      AddViolation(event.time,
                   "job " + attempt.first + " started in " + out_since->first +
                       ", which was taken out at " + out_since->second);
    }
  }

  void OnTaskEnded(const LoggedEvent& event) {
    const auto running = worker_by_job_.find(event.Field("job"));
    if (running != worker_by_job_.end() &&
        running->second == event.Field("worker")) {
      RemoveRunningTask(event.Field("job"));
    }
  }

  void RemoveRunningTask(const std::string& job) {
    worker_by_job_.erase(job);
    needs_by_job_.erase(job);
  }

  // Returns the CPU and memory amounts in the fields of an event.
  static Resources ResourcesOf(const LoggedEvent& event) {
    Resources needs;
    std::istringstream(event.Field("cpu_millis")) >> needs.cpu_millis;
    std::istringstream(event.Field("memory_mib")) >> needs.memory_mib;
    return needs;
  }

  void CheckCapacity(const LoggedEvent& event, const std::string& worker) {
    const auto capacity = capacity_by_worker_.find(worker);
    if (capacity == capacity_by_worker_.end()) {
      return;
    }
    Resources used;
    for (const auto& [job, where] : worker_by_job_) {
      if (where == worker) {
        used += needs_by_job_[job];
      }
    }
    if (!Fits(used, capacity->second)) {
      AddViolation(event.time, worker + " is committed beyond its capacity");
    }
  }

  // Tracks which data centres are out. The "change" field of the command reads
  // "data centre dc-a out" or "data centre dc-a back".
  void OnCommandAccepted(const LoggedEvent& event) {
    std::istringstream words(event.Field("change"));
    std::string data;
    std::string centre;
    std::string name;
    std::string state;
    words >> data >> centre >> name >> state;
    if (data != "data" || centre != "centre") {
      return;
    }
    if (state == "out") {
      out_since_[name] = event.time;
    } else {
      out_since_.erase(name);
    }
  }

  void OnJobEnded(const LoggedEvent& event) {
    const std::string job = event.Field("job");
    if (!ended_jobs_.insert({job, event.file}).second) {
      AddViolation(event.time, "job " + job + " ended twice");
    }
  }

  void OnDispatchStarted(const LoggedEvent& event) {
    ++report_.dispatches;
    const std::string claim = event.Field("claim");
    if (claim.empty()) {
      return;
    }
    last_dispatch_time_[claim] = event.time;
    if (!dispatched_attempts_.insert({claim, event.Field("attempt")}).second) {
      AddViolation(event.time, "attempt " + event.Field("attempt") +
                                   " of claim " + claim +
                                   " was dispatched twice");
    }
  }

  AuditReport& report_;
  std::set<Attempt> started_attempts_;
  // Worker of each running job, by job id.
  std::map<std::string, std::string> worker_by_job_;
  // Resource requests of running jobs.
  std::map<std::string, Resources> needs_by_job_;
  std::map<std::string, Resources> capacity_by_worker_;
  std::set<std::string> lost_workers_;
  // Time at which each data centre that is out was taken out.
  std::map<std::string, std::string> out_since_;
  // Ended jobs and the log file of the event; one end per file is valid.
  std::set<std::pair<std::string, std::string>> ended_jobs_;
  // Claimed attempts that were dispatched.
  std::set<Attempt> dispatched_attempts_;
  // Time of the last dispatch under each claim.
  std::map<std::string, std::string> last_dispatch_time_;
  // Time of the refusal of each claim whose last answer was a refusal.
  std::map<std::string, std::string> refused_at_;
  // Claims whose last finished dispatch did not run.
  std::set<std::string> ended_not_run_claims_;
};

}  // namespace

AuditReport AuditLogs(std::span<const std::string> files) {
  AuditReport report;
  std::vector<LoggedEvent> events;
  for (const std::string& name : files) {
    std::ifstream file(name);
    std::string line;
    while (std::getline(file, line)) {
      ++report.lines;
      if (auto event = ParseLine(line, name)) {
        events.push_back(*std::move(event));
      }
    }
  }
  report.events = events.size();
  std::stable_sort(events.begin(), events.end(),
                   [](const LoggedEvent& a, const LoggedEvent& b) {
                     return a.time < b.time;
                   });
  LogChecker log_checker(report);
  for (const LoggedEvent& event : events) {
    if (event.id == EventId::kDispatchEnded) {
      log_checker.OnDispatchEnded(event);
    }
    log_checker.OnEvent(event);
  }
  log_checker.CheckClaimsNotRun();
  return report;
}

std::string ToString(const AuditReport& report) {
  std::ostringstream out;
  out << report.lines << " lines, " << report.events << " events, "
      << report.task_starts << " task starts, " << report.dispatches
      << " dispatches, " << report.violations.size() << " violations\n";
  for (const std::string& violation : report.violations) {
    out << "violation: " << violation << "\n";
  }
  return out.str();
}

}  // namespace banyan
