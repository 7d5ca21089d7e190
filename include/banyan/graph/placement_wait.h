#ifndef BANYAN_GRAPH_PLACEMENT_WAIT_H_
#define BANYAN_GRAPH_PLACEMENT_WAIT_H_

#include <string>

namespace banyan {

// Why a ready task was not placed: how many workers of its pool were passed
// over for each reason.
struct PlacementWait {
  std::string graph;
  std::string image;
  // Too little memory, or processor time that is committed.
  int unfit = 0;
  // Too little processor time that is left unused.
  int busy = 0;
  // A latency-sensitive task there would miss its target.
  int interference = 0;
  // It is open whether the image interferes there, and the load leaves too
  // little to find out.
  int uncertain = 0;
  // Labels, spread, or a worker that is under suspicion.
  int excluded = 0;
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_PLACEMENT_WAIT_H_
