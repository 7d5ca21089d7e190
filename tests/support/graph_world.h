#ifndef BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_
#define BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace banyan {

// The kinds of faults that a world has; each occurs in a series of its own.
struct GraphFaults {
  // Workers drain, announce their shutdown and are gone.
  bool leaves = false;
  // The leader is lost with the end of its log, and another one follows.
  bool leader_changes = false;
  // Agents lose their connection to the leader.
  bool cuts = false;
  // Workers crash and start again under the same id.
  bool worker_restarts = false;
  // Agents start again and know nothing of before.
  bool agent_restarts = false;
  // Starts and stops get no answer and may be carried out seconds late.
  bool late_orders = false;
  // Reports of workers arrive seconds late.
  bool late_reports = false;
  // List calls get no answer while the worker works on.
  bool silent_lists = false;
  // Some tasks crash each worker that starts them.
  bool deadly_tasks = false;
  // Capacities of workers shrink and grow again.
  bool capacity_changes = false;
  // Long-running steps beside the batch load; some are cancelled. Workers have
  // the label "a" or "b", by turns.
  bool long_running = false;
  // Best-effort steps beside the batch load, which hold memory for up to 20 s
  // or for the whole play.
  bool best_effort = false;
  // Runs fail at random moments, and some long-running tasks fail shortly after
  // each start. Not a disruption: the time of it counts as calm.
  bool failing_tasks = false;
  // Workers fail all that they start for some seconds. Not a disruption either.
  bool grey_workers = false;
  // Reports of another writer, and delayed ones, name other incarnations. No
  // disruption.
  bool foreign_reports = false;
  // Wall clocks of workers step back while they are down.
  bool clock_steps = false;
  // The leader makes room for urgent tasks, and each long-running step allows
  // for one unavailable task. Not a fault.
  bool room_for_urgent = false;
  // Some steps of the batch load are speculative, and the leader runs copies of
  // their tasks. No disruption.
  bool copies = false;
  // List calls get no answer and may be carried out seconds late, also by the
  // next incarnation of the worker under the same id. That one may also take
  // those that met the worker as it crashed and while it was down.
  bool late_lists = false;
  // The same holds for all other calls.
  bool inherited_orders = false;
  // Workers crash, start again under the same id and are cut off from their
  // agent soon after, mostly until their lease has run out.
  bool restart_cuts = false;
  // Some of them crash twice within two seconds. With `restart_cuts`.
  bool double_restarts = false;
  // Some of their agents start again while the worker is down, and know nothing
  // of its former incarnation. With `restart_cuts`.
  bool joint_restarts = false;
  // Every other task of the batch load runs for up to 12 s. No disruption.
  bool long_tasks = false;
  // Workers accept leases of up to 10 s instead of 6 s. No disruption.
  bool long_leases = false;
  // The leader grants leases of 5.8 s instead of 4 s. No disruption.
  bool long_grants = false;
};

// What became of a world.
struct GraphWorldResult {
  // Each violation with the history of its task.
  std::vector<std::string> violations;
  // The number of runs that workers started.
  int starts = 0;
  // The number of faults that occurred.
  int faults = 0;
  // The number of times that tasks crashed their workers.
  int crashes_by_tasks = 0;
  // The number of graphs with a task that crashes its workers.
  int deadly_graphs = 0;
  // The number of long-running tasks that were accepted.
  int long_running_tasks = 0;
  // The number of runs that were stopped for urgent tasks.
  int preemptions = 0;
  // The number of runs that started beside another one of their task.
  int copies = 0;
  // All that was recorded, one line each.
  std::string history;
};

// Plays the graph path under virtual time: a log with one table, the leader,
// and an agent with a stand-in worker on each machine. The load and the faults
// last 24 s, the calm time after them 36 s, or 96 s with deadly tasks. Judges
// by what the workers see, not by the table: two runs of a task at once, or
// three of a speculative one, a start after an end that was taken note of, or a
// second later for a speculative task, more reserved than the capacity, a
// third start of a task after it has crashed three workers, and graphs that
// aren't completed, or aren't failed if one of their tasks crashes its workers.
// A graph may be failed as well if its workers saw one of its tasks fail as
// often as the queue allows, or, with `restart_cuts`, if two workers crashed
// that had been sent a start of one of its tasks. Long-running tasks have to
// run while there is room for them, as LongRunningJudge says; a best-effort
// graph need not complete.
[[nodiscard]] GraphWorldResult PlayGraphWorld(const GraphFaults& faults,
                                              std::uint64_t seed);

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_GRAPH_WORLD_H_
