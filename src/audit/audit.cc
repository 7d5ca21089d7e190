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

// One event as it was read from a log.
struct LoggedEvent {
  // glog's "MMDD HH:MM:SS.micros", which sorts as text within a year.
  std::string time;
  std::string file;
  EventId id{};
  std::map<std::string, std::string> fields;

  [[nodiscard]] std::string Field(const std::string& key) const {
    const auto found = fields.find(key);
    return found == fields.end() ? "" : found->second;
  }
};

// Reads "I20261204 00:38:15.123456 4711 event.cc:12] E1203 key=value ...".
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
  std::string_view rest = std::string_view(line).substr(bracket + 3);
  int number = 0;
  while (!rest.empty() && rest.front() >= '0' && rest.front() <= '9') {
    number = number * 10 + (rest.front() - '0');
    rest.remove_prefix(1);
  }
  event.id = static_cast<EventId>(number);
  event.fields = ParseEventFields(rest);
  return event;
}

// "A few seconds" after which no task starts in a data centre that is out.
constexpr double kOutBoundSeconds = 3;

// Returns the seconds between two times of one day, "YYYYMMDD HH:MM:SS.micros".
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

// Checks the events in the order of their time.
class Checker {
 public:
  explicit Checker(AuditReport& report) : report_(report) {}

  void Take(const LoggedEvent& event) {
    switch (event.id) {
      case EventId::kTaskStarted:
        TakeStart(event);
        break;
      case EventId::kTaskEnded:
        TakeEnd(event);
        break;
      case EventId::kTaskRequeued:
        // Whatever ran under the attempt has ended or lost its lease.
        Forget(event.Field("job"));
        break;
      case EventId::kInstanceRegistered:
        capacity_[event.Field("instance")] = NeedsOf(event);
        break;
      case EventId::kInstanceRemoved:
        // Its lease ran out, so nothing runs on it.
        lost_workers_.insert(event.Field("instance"));
        break;
      case EventId::kCommandAccepted:
        TakeChange(event);
        break;
      case EventId::kJobEnded:
        TakeJobEnd(event);
        break;
      case EventId::kDispatchStarted:
        TakeDispatch(event);
        break;
      case EventId::kRequestRefused:
        if (!event.Field("claim").empty()) {
          refused_[event.Field("claim")] = event.time;
        }
        break;
      case EventId::kRequestAnswered:
        refused_.erase(event.Field("claim"));
        break;
      default:
        break;
    }
  }

  // Checks what only the whole log can tell.
  void Finish() {
    for (const auto& [claim, time] : refused_) {
      const auto ran = last_dispatch_.find(claim);
      if (ran != last_dispatch_.end() && !ended_not_run_.contains(claim)) {
        Complain(time, "claim " + claim +
                           " was told not-run but was handed to "
                           "an endpoint at " +
                           ran->second);
      }
    }
  }

  void TakeDispatchEnd(const LoggedEvent& event) {
    if (event.Field("outcome") == "not-run") {
      ended_not_run_.insert(event.Field("claim"));
    } else {
      ended_not_run_.erase(event.Field("claim"));
    }
  }

 private:
  using Task = std::pair<std::string, std::string>;

  void Complain(const std::string& time, const std::string& what) {
    report_.violations.push_back(time + " " + what);
  }

  void TakeStart(const LoggedEvent& event) {
    ++report_.task_starts;
    const Task task{event.Field("job"), event.Field("attempt")};
    if (!started_.insert(task).second) {
      Complain(event.time, "attempt " + task.second + " of job " + task.first +
                               " started twice");
    }
    const std::string worker = event.Field("worker");
    const auto running = running_.find(task.first);
    if (running != running_.end() && running->second != worker &&
        !lost_workers_.contains(running->second)) {
      Complain(event.time, "job " + task.first + " started on " + worker +
                               " while it ran on " + running->second +
                               ", in two places at once");
    }
    Forget(task.first);
    running_[task.first] = worker;
    lost_workers_.erase(worker);
    needs_[task.first] = NeedsOf(event);
    CheckCapacity(event, worker);
    const auto out = out_since_.find(event.Field("data_centre"));
    if (out != out_since_.end() &&
        SecondsBetween(out->second, event.time) > kOutBoundSeconds) {
      Complain(event.time, "job " + task.first + " started in " + out->first +
                               " after it went out at " + out->second);
    }
  }

  void TakeEnd(const LoggedEvent& event) {
    const auto running = running_.find(event.Field("job"));
    if (running != running_.end() && running->second == event.Field("worker")) {
      Forget(event.Field("job"));
    }
  }

  void Forget(const std::string& job) {
    running_.erase(job);
    needs_.erase(job);
  }

  // Processors and memory that an event names.
  static Resources NeedsOf(const LoggedEvent& event) {
    Resources needs;
    std::istringstream(event.Field("cpu_millis")) >> needs.cpu_millis;
    std::istringstream(event.Field("memory_mib")) >> needs.memory_mib;
    return needs;
  }

  void CheckCapacity(const LoggedEvent& event, const std::string& worker) {
    const auto capacity = capacity_.find(worker);
    if (capacity == capacity_.end()) {
      return;
    }
    Resources used;
    for (const auto& [job, where] : running_) {
      if (where == worker) {
        used += needs_[job];
      }
    }
    if (!Fits(used, capacity->second)) {
      Complain(event.time, worker + " is committed beyond its capacity");
    }
  }

  // "data centre dc-a out" or "data centre dc-a back".
  void TakeChange(const LoggedEvent& event) {
    std::istringstream words(event.Field("change"));
    std::string data;
    std::string centre;
    std::string name;
    std::string what;
    words >> data >> centre >> name >> what;
    if (data != "data" || centre != "centre") {
      return;
    }
    if (what == "out") {
      out_since_[name] = event.time;
    } else {
      out_since_.erase(name);
    }
  }

  void TakeJobEnd(const LoggedEvent& event) {
    const std::string job = event.Field("job");
    if (!ended_jobs_.insert({job, event.file}).second) {
      Complain(event.time, "job " + job + " ended twice");
    }
  }

  void TakeDispatch(const LoggedEvent& event) {
    ++report_.dispatches;
    const std::string claim = event.Field("claim");
    if (claim.empty()) {
      return;
    }
    last_dispatch_[claim] = event.time;
    if (!dispatched_.insert({claim, event.Field("attempt")}).second) {
      Complain(event.time, "attempt " + event.Field("attempt") + " of claim " +
                               claim + " was handed over twice");
    }
  }

  AuditReport& report_;
  std::set<Task> started_;
  // The worker that each running job runs on.
  std::map<std::string, std::string> running_;
  std::map<std::string, Resources> needs_;
  std::map<std::string, Resources> capacity_;
  std::set<std::string> lost_workers_;
  std::map<std::string, std::string> out_since_;
  std::set<std::pair<std::string, std::string>> ended_jobs_;
  std::set<Task> dispatched_;
  std::map<std::string, std::string> last_dispatch_;
  std::map<std::string, std::string> refused_;
  std::set<std::string> ended_not_run_;
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
  Checker checker(report);
  for (const LoggedEvent& event : events) {
    if (event.id == EventId::kDispatchEnded) {
      checker.TakeDispatchEnd(event);
    }
    checker.Take(event);
  }
  checker.Finish();
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
