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

// The status of a redirection that keeps the method and the body.
inline constexpr int kTemporaryRedirect = 307;

// A header field of a request or response.
struct HttpField {
  std::string name;
  std::string value;
};

// An HTTP request, as received by a server or sent by a client.
struct HttpCall {
  std::string method;
  std::string path;
  std::string query;
  std::string content_type;
  std::string body;
  std::vector<HttpField> fields;
  // When the last byte of a received request arrived at this machine. A process
  // that was suspended may read it seconds later.
  std::optional<Time> arrived_at;
  // Tells whether the caller of a received request has closed its connection,
  // for as long as the request is being handled.
  std::function<bool()> has_caller_closed;

  // Returns the value of the named header, matched case-insensitively; empty if
  // absent.
  [[nodiscard]] std::string_view Field(std::string_view name) const noexcept;

  // Returns whether nobody waits for the answer any more: the caller has closed
  // its connection, or its deadline has passed.
  [[nodiscard]] bool IsAbandoned(Time now, Time caller_deadline) const {
    return caller_deadline <= now || (has_caller_closed && has_caller_closed());
  }
};

// An HTTP response.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpField> fields;

  // Returns the value of the named header, matched case-insensitively; empty if
  // absent.
  [[nodiscard]] std::string_view Field(std::string_view name) const noexcept;
};

// Returns the response that kErrorResponses defines for `kind`, with `text` as
// the reason in a JSON body. A `retry_after_ms` above 0, rounded up to whole
// seconds, overrides the Retry-After time of the table.
[[nodiscard]] HttpReply ErrorReply(ErrorKind kind,
                                   std::string_view text,
                                   std::int64_t retry_after_ms = 0);

// Returns a response with status 200 and a JSON body.
[[nodiscard]] HttpReply JsonReply(std::string body = "{}");

// An HTTP/1.1 server on one address. The handler runs on the server's threads,
// possibly on several at once, and may block.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpCall&)>;

  // Time that a stop without a deadline leaves for answers.
  static constexpr Duration kDefaultStopTimeout = Millis(2000);

  // Resource limits of the server.
  struct Limits {
    int threads = 16;
    std::int64_t max_body_bytes = 1 << 20;
  };

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening on "IP:port" and serving requests. Returns false and sets
  // `reason` if the address can't be bound.
  [[nodiscard]] bool Start(const std::string& address,
                           Limits limits,
                           Handler handler,
                           Reason& reason);

  // Stops gracefully: refuses new connections, closes those without a request,
  // and answers the requests that have arrived, each with "Connection: close".
  // Aborts what is still open at `deadline`. Returns whether every request that
  // was handled got its answer. Waits for handlers that overrun the deadline.
  bool Stop(Time deadline);

  // As above, with a deadline of kDefaultStopTimeout from now.
  bool Stop();

  // Returns the number of requests in progress, up to the writing of the reply,
  // plus that of accepted connections that wait for a free thread.
  [[nodiscard]] int active() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The result of one request to an HTTP server.
struct HttpExchange {
  // kRan after a complete response with any status; kNotRun only if no byte of
  // the request can have reached the server.
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // Whether the exchange ended at its deadline.
  bool is_timeout = false;
  // The error message; empty on kRan.
  std::string text;
  HttpReply reply;
};

// A client that keeps one connection to an HTTP server alive and sends one
// request at a time. After any error the connection is closed, never reused.
class HttpClient {
 public:
  explicit HttpClient(const std::string& address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request and waits for the response. `request_id`, unless empty, is
  // sent as X-Request-Id. The outcome is kUnknown if the response is incomplete
  // or does not echo this id.
  [[nodiscard]] HttpExchange Exchange(const HttpCall& call,
                                      std::string_view request_id,
                                      Time deadline);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_NET_HTTP_H_
