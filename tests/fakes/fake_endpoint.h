#ifndef BANYAN_TESTS_FAKES_FAKE_ENDPOINT_H_
#define BANYAN_TESTS_FAKES_FAKE_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "banyan/base/random.h"
#include "banyan/net/http.h"

namespace banyan {

// A small endpoint: it runs bookings and draft checks after a short delay and
// remembers each body that it ran. POST /control sets how it behaves, and
// GET /ran lists what it ran.
class FakeEndpoint {
 public:
  FakeEndpoint(std::string id, std::int64_t delay_ms)
      : id_(std::move(id)), delay_ms_(delay_ms) {}

  HttpReply Serve(const HttpCall& call);

 private:
  // How the endpoint answers.
  enum class Mode : std::uint8_t { kNormal, kCrossed, kFailing, kSlow };

  HttpReply Control(const HttpCall& call);
  HttpReply Ran() const;

  std::string id_;
  std::int64_t delay_ms_;
  mutable std::mutex mutex_;
  Mode mode_ = Mode::kNormal;
  std::map<std::string, int> ran_;
  int running_ = 0;
  int most_running_ = 0;
  std::string last_request_id_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_FAKES_FAKE_ENDPOINT_H_
