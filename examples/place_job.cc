// Places a job on the better of two workers, without starting any process.

#include <iostream>
#include <vector>

#include "banyan/control.h"

int main() {
  std::vector<banyan::WorkerView> workers(2);
  workers[0].id = "busy";
  workers[0].capacity = workers[0].free = {16000, 61440, 0};
  workers[0].cpu_percent = 70;
  workers[1].id = "idle";
  workers[1].capacity = workers[1].free = {16000, 61440, 0};
  banyan::JobSpec job;
  job.needs = {2000, 4096, 0};
  constexpr double kCpuCeilingPercent = 85;
  banyan::ScoredPlacement policy(kCpuCeilingPercent);
  const auto choice = banyan::ChooseWorker(
      policy, job, std::span<const banyan::WorkerView>(workers));
  std::cout << "placed on " << workers[choice->worker_index].id << "\n";
  return 0;
}
