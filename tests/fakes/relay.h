#ifndef BANYAN_TESTS_FAKES_RELAY_H_
#define BANYAN_TESTS_FAKES_RELAY_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "banyan/base/time.h"

namespace banyan {

// A TCP relay in front of one address. It can cut its connections, refuse new
// ones, swallow everything silently in either direction, or pass it on late.
class Relay {
 public:
  // What the relay does with what it receives.
  // kHold leaves connections open and reads nothing, as after a loss of power.
  enum class Mode : int { kPass, kSwallow, kSwallowForward, kRefuse, kHold };

  // Relays from one "IP:port" to another. What is received, and the end of a
  // connection, is passed on after `delay`.
  Relay(const std::string& from,
        const std::string& to,
        Duration delay = Duration::zero());
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void set_mode(Mode mode);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_FAKES_RELAY_H_
