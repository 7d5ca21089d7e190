#include "banyan/graph/gang_checkpoint.h"

#include <utility>

namespace banyan {

void GangCheckpoint::Update(const GangCheckpoint& saved) {
  if (std::pair(saved.run, saved.is_final) >= std::pair(run, is_final)) {
    *this = saved;
  }
}

}  // namespace banyan
