#ifndef BANYAN_GRAPH_PLACEMENT_WAIT_H_
#define BANYAN_GRAPH_PLACEMENT_WAIT_H_

#include <string>

namespace banyan {

// Why a ready task was not placed: the number of workers of its pool that were
// rejected, by reason.
struct PlacementWait {
  std::string graph;
  std::string image;
  // Too little uncommitted memory or CPU time.
  int unfit = 0;
  // Too little idle CPU time for a best-effort task.
  int busy = 0;
  // A co-located latency-sensitive task would miss its target.
  int interference = 0;
  // The interference of the image is uncertain there, and the load leaves too
  // little headroom to try it.
  int uncertain = 0;
  // A required label is missing, the limit of the step's tasks per worker is
  // reached, or the worker is suspected.
  int excluded = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLACEMENT_WAIT_H_
