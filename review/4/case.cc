// An order that a frozen core machine has not read yet is carried out when the
// machine wakes, after a later order on the same zone was acknowledged.

#include <algorithm>
#include <string>

#include "review/standin/deployment.h"
#include "review/standin/record.h"

namespace review {
namespace {

// Shorter than the longest freeze of a core machine that the site names, 7.3 s.
constexpr std::int64_t kFreezeMs = 6000;
constexpr std::int64_t kOrderPatienceMs = 4000;
constexpr std::int64_t kJobIntervalMs = 200;
constexpr std::int64_t kObservedMs = 12000;

// Returns the number of a core machine whose replica has not led yet.
std::size_t FindFollower(Deployment& deployment) {
  for (std::size_t i = 0; i < deployment.edges().size(); ++i) {
    if (deployment.edges()[i].control->Output().find("leader-elected") ==
        std::string::npos) {
      return i;
    }
  }
  return 0;
}

int Play() {
  Deployment deployment({"zone-a", "zone-b", "zone-c"}, 7);
  if (!deployment.Start()) {
    return 2;
  }
  const std::size_t frozen = FindFollower(deployment);
  EdgeMachine& machine = deployment.edges()[frozen];
  const std::string evacuation = "/evacuations/zone-a";
  if (deployment.Order("POST", evacuation, "", frozen + 1, kOrderPatienceMs)
          .status != 200) {
    return 2;
  }
  SleepMs(1000);
  const std::int64_t frozen_at = NowMs();
  if (HasTrouble()) {
    Record("the machine in " + machine.zone + " freezes");
    machine.control->Freeze();
    machine.entry->Freeze();
  }
  if (deployment.Order("DELETE", evacuation, "", frozen, kOrderPatienceMs)
          .status != 200) {
    return 2;
  }
  SleepMs(1000);
  if (deployment.Order("POST", evacuation, "", frozen + 1, kOrderPatienceMs)
          .status != 200) {
    return 2;
  }
  const std::int64_t acknowledged_at = NowMs();
  Record("zone-a is evacuated again, and not taken back from here on");
  if (HasTrouble()) {
    SleepMs(frozen_at + kFreezeMs - NowMs());
    machine.control->Thaw();
    machine.entry->Thaw();
    Record("the machine in " + machine.zone + " wakes again");
  }
  // The core is stable again, and all machines are in touch, contact-ms after
  // the machine has woken.
  const std::int64_t judged_from =
      std::max(acknowledged_at + kEvacMs, NowMs() + kContactMs);
  std::int64_t number = 0xc000;
  while (NowMs() < judged_from + kObservedMs) {
    deployment.Submit(
        JobId(++number), "work=300",
        R"({"count":8,"cpu":2000,"mem-mb":1000,"estimate-ms":300})",
        frozen + 1);
    SleepMs(kJobIntervalMs);
  }
  int broken = 0;
  int elsewhere = 0;
  for (const RunRecord& run : deployment.log().runs()) {
    if (run.started_ms <= judged_from) {
      continue;
    }
    if (run.zone == "zone-a") {
      ++broken;
    } else {
      ++elsewhere;
    }
  }
  Record("starts after " + std::to_string(judged_from) +
         " ms: " + std::to_string(broken) + " in zone-a, " +
         std::to_string(elsewhere) + " in the other zones");
  if (broken > 0) {
    Record("EVAC: tasks start in a zone that is evacuated");
    return 1;
  }
  return elsewhere > 0 ? 0 : 2;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
