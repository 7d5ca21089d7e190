#ifndef BANYAN_TESTS_SOAK_THIN_LINK_H_
#define BANYAN_TESTS_SOAK_THIN_LINK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyan/base/time.h"

namespace banyan {

// What a link carries in each direction.
struct LinkQuality {
  // 0 for the speed of loopback.
  std::int64_t bytes_per_s = 0;
  Duration delay{0};
};

// The link of one machine to the cell, which all its connections share. Bytes
// are read from a sender as the link carries them, so that a slow link is felt
// there.
class ThinLink {
 public:
  // Relays connections to `port` of each replica's address to `replica_port` of
  // the same address. Aborts if a port is taken.
  ThinLink(const std::vector<std::string>& replica_ips,
           int replica_port,
           int port,
           LinkQuality quality);
  ~ThinLink();
  ThinLink(const ThinLink&) = delete;
  ThinLink& operator=(const ThinLink&) = delete;

  // Returns the environment of the process whose connections take this link.
  [[nodiscard]] std::map<std::string, std::string> Environment() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SOAK_THIN_LINK_H_
