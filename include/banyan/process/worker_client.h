#ifndef BANYAN_PROCESS_WORKER_CLIENT_H_
#define BANYAN_PROCESS_WORKER_CLIENT_H_

#include <string>

#include "banyan/agent/task_runner.h"
#include "banyan/net/http.h"

namespace banyan {

// Client of the worker's HTTP API, which docs/WORKER_API.md describes.
class WorkerClient {
 public:
  explicit WorkerClient(const std::string& address) : client_(address) {}

  // Makes one call and waits for the reply, 500 ms at most.
  [[nodiscard]] WorkerReply Call(const WorkerCall& call);

 private:
  HttpClient client_;
};

}  // namespace banyan

#endif  // BANYAN_PROCESS_WORKER_CLIENT_H_
