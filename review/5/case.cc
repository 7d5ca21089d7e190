// A client gets no answer to its job from a frozen entry, cancels the job at
// another entry and is told that there is no such job. The job runs when the
// first entry wakes.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/deployment.h"
#include "review/standin/record.h"

namespace review {
namespace {

// Shorter than the longest freeze that the site names, 7.3 s.
constexpr std::int64_t kFreezeMs = 7000;
// Deadline of the clients.
constexpr int kDeadlineMs = 3000;
constexpr std::int64_t kCancelMs = 3000;
constexpr int kJobs = 5;

bool IsCancelled(const Response& response) {
  return response.status == 410 ||
         (response.status >= 200 && response.status < 300);
}

int Play() {
  // The entry that freezes is on a machine without a disk, so the core stays
  // stable.
  Deployment deployment({"zone-a", "zone-b", "zone-c"}, 7, 1);
  if (!deployment.Start()) {
    return 2;
  }
  EdgeMachine& machine = deployment.edges().back();
  const std::int64_t frozen_at = NowMs();
  if (HasTrouble()) {
    Record("the machine without a disk in " + machine.zone + " freezes");
    machine.entry->Freeze();
  }
  std::vector<std::int64_t> cancelled_at(kJobs, 0);
  std::vector<std::thread> clients;
  for (int i = 0; i < kJobs; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = JobId(0xf001 + i);
      const Response response =
          Call(machine.front, "POST", kPrefix + id, kHost,
               R"({"spec":"work=500","steps":[{"count":1,"cpu":1000,)"
               R"("mem-mb":500,"estimate-ms":500}]})",
               kDeadlineMs);
      Record("client: POST " + id + " at the machine without a disk: " +
             (response.status == 0 ? "no response until the deadline"
                                   : std::to_string(response.status)));
      if (IsCancelled(deployment.Ask("DELETE", id, "",
                                     static_cast<std::size_t>(i % 3)))) {
        cancelled_at[static_cast<std::size_t>(i)] = NowMs();
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (HasTrouble()) {
    SleepMs(frozen_at + kFreezeMs - NowMs());
    machine.entry->Thaw();
    Record("the machine wakes again");
  }
  SleepMs(kCancelMs + 5000);
  int broken = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::int64_t at = cancelled_at[static_cast<std::size_t>(i)];
    if (at == 0) {
      return 2;
    }
    for (const RunRecord& run : deployment.log().runs()) {
      if (run.task.starts_with(JobId(0xf001 + i)) &&
          run.started_ms > at + kCancelMs) {
        ++broken;
        Record("UNASKED: " + run.task + " starts " +
               std::to_string(run.started_ms - at) +
               " ms after its job's cancelling was acknowledged");
      }
    }
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
