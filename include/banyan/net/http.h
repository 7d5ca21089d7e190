#ifndef BANYAN_NET_HTTP_H_
#define BANYAN_NET_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"

namespace banyan {

// One header line.
struct HttpField {
  std::string name;
  std::string value;
};

// A request as a handler sees it.
struct HttpCall {
  std::string method;
  std::string path;
  std::string query;
  std::string content_type;
  std::string body;
  std::vector<HttpField> fields;

  // Returns the value of a header, without regard to case; empty if absent.
  [[nodiscard]] std::string_view Field(std::string_view name) const noexcept;
};

// What a handler answers.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpField> fields;

  // Returns the value of a header, without regard to case; empty if absent.
  [[nodiscard]] std::string_view Field(std::string_view name) const noexcept;
};

// Returns the answer that the table of errors gives, with the reason as JSON. A
// time to come back goes before that of the table; 0 leaves it at that.
[[nodiscard]] HttpReply ErrorReply(ErrorKind kind,
                                   std::string_view text,
                                   std::int64_t retry_after_ms = 0);

// Returns a successful answer with a JSON body.
[[nodiscard]] HttpReply JsonReply(std::string body = "{}");

// An HTTP/1.1 server on one address. The handler runs on the server's threads
// and may wait.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpCall&)>;

  // What bounds the server.
  struct Limits {
    int threads = 16;
    std::int64_t max_body_bytes = 1 << 20;
  };

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts serving; false when the address is not free.
  [[nodiscard]] bool Start(const std::string& address,
                           Limits limits,
                           Handler handler,
                           Reason& reason);

  // Refuses new connections, then ends the ones that are left.
  void Stop();

  // Requests whose reply is not written yet, and connections that wait for a
  // thread, whose requests are not read yet.
  [[nodiscard]] int active() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// What an exchange with an HTTP server came to.
struct HttpExchange {
  // kNotRun when no byte of the request can have reached the server.
  RequestOutcome outcome = RequestOutcome::kUnknown;
  std::string text;
  HttpReply reply;
};

// One connection to an HTTP server, with one request at a time. After any
// error the connection is closed, never reused.
class HttpClient {
 public:
  explicit HttpClient(const std::string& address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Makes one request. The answer must be whole and, if `request_id` is not
  // empty, bear it in X-Request-Id, else the outcome is kUnknown.
  [[nodiscard]] HttpExchange Exchange(const HttpCall& call,
                                      std::string_view request_id,
                                      Time deadline);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_NET_HTTP_H_
