#include "tests/fakes/fake_endpoint.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace banyan {
namespace {

constexpr int kSlowFactor = 50;
constexpr int kInternalError = 500;

}  // namespace

HttpReply FakeEndpoint::Control(const HttpCall& call) {
  const std::lock_guard lock(mutex_);
  mode_ = call.body == "crossed"   ? Mode::kCrossed
          : call.body == "failing" ? Mode::kFailing
          : call.body == "slow"    ? Mode::kSlow
                                   : Mode::kNormal;
  return {};
}

HttpReply FakeEndpoint::Ran() const {
  const std::lock_guard lock(mutex_);
  HttpReply reply;
  reply.body =
      nlohmann::json{{"ran", ran_}, {"most_running", most_running_}}.dump();
  return reply;
}

HttpReply FakeEndpoint::Serve(const HttpCall& call) {
  if (call.path == "/control") {
    return Control(call);
  }
  if (call.path == "/ran") {
    return Ran();
  }
  Mode mode = Mode::kNormal;
  std::string request_id(call.Field("X-Request-Id"));
  std::string echoed = request_id;
  {
    const std::lock_guard lock(mutex_);
    mode = mode_;
    ++ran_[call.body];
    ++running_;
    most_running_ = std::max(most_running_, running_);
    if (mode == Mode::kCrossed) {
      // The answer bears the id of the request before.
      echoed = std::exchange(last_request_id_, request_id);
    }
  }
  std::this_thread::sleep_for(
      Millis(mode == Mode::kSlow ? delay_ms_ * kSlowFactor : delay_ms_));
  const std::lock_guard lock(mutex_);
  --running_;
  HttpReply reply;
  reply.status = mode == Mode::kFailing ? kInternalError : 200;
  reply.fields.push_back({"X-Request-Id", echoed});
  reply.body =
      nlohmann::json{{"endpoint", id_}, {"echo", call.body}}.dump() + "\n";
  return reply;
}

}  // namespace banyan
