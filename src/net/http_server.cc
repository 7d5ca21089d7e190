#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <atomic>
#include <istream>
#include <nlohmann/json.hpp>
#include <utility>

#include "banyan/net/http.h"

namespace banyan {
namespace {

// Connections that the kernel queues before accept().
constexpr int kListenBacklog = 512;
// Accepted connections that wait for a free thread.
constexpr int kMaxQueuedConnections = 1024;
// Timeout of idle keep-alive connections, and of each socket read and write
// during a request.
constexpr long kKeepAliveSeconds = 30;
constexpr int kMaxKeepAliveRequests = 1000000;
constexpr std::size_t kReadChunkBytes = 16384;
// Bytes of an oversized body that are read and discarded before replying.
constexpr std::streamsize kMaxDiscardedBytes = 32 << 20;

// Reads a body; false if it is longer than `limit` bytes.
bool ReadBody(std::istream& in, std::int64_t limit, std::string& body) {
  std::vector<char> chunk(kReadChunkBytes);
  while (in) {
    in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
    if (static_cast<std::int64_t>(body.size()) > limit) {
      return false;
    }
  }
  return true;
}

void WriteReply(Poco::Net::HTTPServerResponse& response,
                const HttpReply& reply) {
  response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
  response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status)));
  response.setContentType(reply.content_type);
  for (const HttpField& field : reply.fields) {
    response.set(field.name, field.value);
  }
  response.sendBuffer(reply.body.data(), reply.body.size());
}

// Increments a counter of active requests for the lifetime of this object.
class ActiveRequest {
 public:
  explicit ActiveRequest(std::atomic<int>& count) : count_(count) { ++count_; }
  ~ActiveRequest() { --count_; }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

 private:
  std::atomic<int>& count_;
};

std::string_view FindField(const std::vector<HttpField>& fields,
                           std::string_view name) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [&](const HttpField& field) {
        return Poco::icompare(field.name, std::string(name)) == 0;
      });
  return found == fields.end() ? std::string_view() : found->value;
}

class RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(HttpServer::Limits limits,
                 const HttpServer::Handler& handler,
                 std::atomic<int>& active)
      : limits_(limits), handler_(handler), active_(active) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const ActiveRequest active(active_);
    HttpCall call;
    call.method = request.getMethod();
    call.content_type = request.getContentType();
    for (const auto& [name, value] : request) {
      call.fields.push_back({name, value});
    }
    try {
      const Poco::URI uri(request.getURI());
      call.path = uri.getPath();
      call.query = uri.getRawQuery();
    } catch (const Poco::Exception&) {
      response.setKeepAlive(false);
      WriteReply(response, ErrorReply(ErrorKind::kBadRequest, "bad URI"));
      return;
    }
    if (!call.path.starts_with('/')) {
      response.setKeepAlive(false);
      WriteReply(response, ErrorReply(ErrorKind::kBadRequest,
                                      "the path must begin with '/'"));
      return;
    }
    // A request with neither a content length nor chunked encoding has no body.
    const bool has_body =
        request.hasContentLength() || request.getChunkedTransferEncoding();
    const bool is_declared_too_large =
        request.hasContentLength() &&
        request.getContentLength64() > limits_.max_body_bytes;
    if (is_declared_too_large ||
        (has_body &&
         !ReadBody(request.stream(), limits_.max_body_bytes, call.body))) {
      // Closing the connection while the caller is still sending would reset
      // it and could lose the reply, so up to kMaxDiscardedBytes of the rest
      // are read and discarded first.
      request.stream().ignore(kMaxDiscardedBytes);
      response.setKeepAlive(false);
      WriteReply(
          response,
          ErrorReply(ErrorKind::kTooLarge,
                     "the body is larger than " +
                         std::to_string(limits_.max_body_bytes) + " bytes"));
      return;
    }
    const bool is_truncated = request.hasContentLength() &&
                              request.getContentLength64() !=
                                  static_cast<Poco::Int64>(call.body.size());
    if (is_truncated) {
      response.setKeepAlive(false);
      WriteReply(response,
                 ErrorReply(ErrorKind::kBadRequest, "the body is cut short"));
      return;
    }
    WriteReply(response, handler_(call));
  }

 private:
  HttpServer::Limits limits_;
  const HttpServer::Handler& handler_;
  std::atomic<int>& active_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(HttpServer::Limits limits,
                 HttpServer::Handler handler,
                 std::atomic<int>& active)
      : limits_(limits), handler_(std::move(handler)), active_(active) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new RequestHandler(limits_, handler_, active_);
  }

 private:
  HttpServer::Limits limits_;
  HttpServer::Handler handler_;
  std::atomic<int>& active_;
};

}  // namespace

std::string_view HttpCall::Field(std::string_view name) const noexcept {
  return FindField(fields, name);
}

std::string_view HttpReply::Field(std::string_view name) const noexcept {
  return FindField(fields, name);
}

HttpReply ErrorReply(ErrorKind kind,
                     std::string_view text,
                     std::int64_t retry_after_ms) {
  const ErrorResponse& error_response = ResponseFor(kind);
  HttpReply reply;
  reply.status = error_response.http_status;
  const nlohmann::json body = {{"error", error_response.name},
                               {"reason", text},
                               {"outcome", ToString(error_response.outcome)}};
  // The reason may quote bytes from the request that are not valid UTF-8.
  reply.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  reply.fields.push_back(
      {"Banyan-Outcome", std::string(ToString(error_response.outcome))});
  reply.fields.push_back({"Banyan-Error", std::string(error_response.name)});
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t retry_after_seconds =
      retry_after_ms > 0
          ? (retry_after_ms + kMillisPerSecond - 1) / kMillisPerSecond
          : error_response.retry_after_seconds;
  if (retry_after_seconds > 0) {
    reply.fields.push_back(
        {"Retry-After", std::to_string(retry_after_seconds)});
  }
  return reply;
}

HttpReply JsonReply(std::string body) {
  HttpReply reply;
  reply.body = std::move(body);
  return reply;
}

class HttpServer::Impl {
 public:
  Impl(const std::string& address, Limits limits, Handler handler)
      : pool_(2, limits.threads) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), true, false);
    socket.listen(kListenBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(limits.threads);
    params->setMaxQueued(kMaxQueuedConnections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
    params->setMaxKeepAliveRequests(kMaxKeepAliveRequests);
    params->setTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(limits, std::move(handler), active_), pool_, socket,
        params);
    server_->start();
  }

  void Stop() { server_->stopAll(true); }

  [[nodiscard]] int active() const {
    return active_ + server_->queuedConnections();
  }

 private:
  std::atomic<int> active_{0};
  Poco::ThreadPool pool_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() {
  Stop();
}

bool HttpServer::Start(const std::string& address,
                       Limits limits,
                       Handler handler,
                       Reason& reason) {
  try {
    impl_ = std::make_unique<Impl>(address, limits, std::move(handler));
    return true;
  } catch (const Poco::Exception& error) {
    reason = {ErrorKind::kInternal,
              "can't serve on " + address + ": " + error.displayText(),
              {}};
    return false;
  }
}

int HttpServer::active() const noexcept {
  return impl_ ? impl_->active() : 0;
}

void HttpServer::Stop() {
  if (impl_) {
    impl_->Stop();
    impl_.reset();
  }
}

}  // namespace banyan
