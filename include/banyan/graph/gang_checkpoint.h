#ifndef BANYAN_GRAPH_GANG_CHECKPOINT_H_
#define BANYAN_GRAPH_GANG_CHECKPOINT_H_

#include <cstdint>
#include <string>

namespace banyan {

// The newest checkpoint that any member of a gang has saved, from which the
// next run of all members starts. Part of the replicated state.
struct GangCheckpoint {
  // Empty to start from scratch.
  std::string value;
  // The run that saved it; 0 if it is not known.
  std::int64_t run = 0;
  // Whether a member reported it with its end. A list is older than the ends of
  // its run.
  bool is_final = false;

  // Takes over what a member has saved, unless a newer checkpoint is known.
  void Update(const GangCheckpoint& saved);
};

}  // namespace banyan

#endif  // BANYAN_GRAPH_GANG_CHECKPOINT_H_
