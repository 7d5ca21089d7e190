#ifndef BANYAN_TESTS_FAKES_RELAY_H_
#define BANYAN_TESTS_FAKES_RELAY_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace banyan {

// A TCP relay in front of one address. It can cut its connections, refuse new
// ones, or swallow everything silently in either direction.
class Relay {
 public:
  // What the relay does with what it receives.
  enum class Mode : int { kPass, kSwallow, kSwallowForward, kRefuse };

  // Relays from one "IP:port" to another.
  Relay(const std::string& from, const std::string& to);
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
