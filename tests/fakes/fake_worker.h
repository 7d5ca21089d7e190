#ifndef BANYAN_TESTS_FAKES_FAKE_WORKER_H_
#define BANYAN_TESTS_FAKES_FAKE_WORKER_H_

#include <mutex>

#include "banyan/net/http.h"
#include "tests/support/virtual_machines.h"

namespace banyan {

// A small worker that speaks docs/WORKER_API.md; behind it is the same worker
// that the tests run under virtual time. GET /history lists what it ran, and
// POST /control makes every start fail.
class FakeWorker {
 public:
  explicit FakeWorker(Resources capacity) : worker_("worker", capacity) {}

  HttpReply Serve(const HttpCall& call);

 private:
  [[nodiscard]] HttpReply History() const;

  std::mutex mutex_;
  VirtualWorker worker_;
};

}  // namespace banyan

#endif  // BANYAN_TESTS_FAKES_FAKE_WORKER_H_
