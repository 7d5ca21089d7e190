#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timestamp.h>
#include <Poco/URI.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <concepts>
#include <istream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
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
// Interval at which a stopping server checks its connections.
constexpr Duration kStopCheckInterval = Millis(5);

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

class Connection;

// The open connections of a server, and how far its stop has come. Thread-safe.
class OpenConnections {
 public:
  // Adds a connection. Returns whether it may read requests.
  [[nodiscard]] bool Add(Connection* connection);
  void Remove(Connection* connection);

  // Makes each further answer the last one of its connection.
  void StartStop() noexcept { is_stopping_ = true; }
  [[nodiscard]] bool is_stopping() const noexcept { return is_stopping_; }

  // Closes the connections on which no request has arrived.
  void CloseIdle();
  // Closes all connections, and each one that is added later.
  void AbortAll();
  [[nodiscard]] bool empty() const;

 private:
  mutable std::mutex mutex_;
  std::set<Connection*> connections_;
  bool is_aborted_ = false;
  std::atomic<bool> is_stopping_{false};
};

// What the connections of one server share.
struct ServerState {
  HttpServer::Limits limits;
  HttpServer::Handler handler;
  Poco::Net::HTTPServerParams::Ptr params;
  std::atomic<int> active_count{0};
  OpenConnections connections;
};

// Returns how long ago the kernel received the last byte on a connection; zero
// if it doesn't tell.
Duration TimeSinceArrival(int socket) noexcept {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
             ? Millis(info.tcpi_last_data_recv)
             : Duration::zero();
}

// Returns whether the peer has closed or reset a connection. A peer that closes
// only its sending side counts as gone.
bool HasPeerClosed(int socket) noexcept {
  char byte = 0;
  const ssize_t size =
      ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                       errno != EINTR);
}

// Serves one request that was read from a socket.
void Serve(ServerState& state,
           int socket,
           Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response) {
  const ActiveRequest active(state.active_count);
  HttpCall call;
  call.has_caller_closed = [socket] { return HasPeerClosed(socket); };
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
      request.getContentLength64() > state.limits.max_body_bytes;
  if (is_declared_too_large ||
      (has_body &&
       !ReadBody(request.stream(), state.limits.max_body_bytes, call.body))) {
    // Closing the connection while the caller is still sending would reset
    // it and could lose the reply, so up to kMaxDiscardedBytes of the rest
    // are read and discarded first.
    request.stream().ignore(kMaxDiscardedBytes);
    response.setKeepAlive(false);
    WriteReply(
        response,
        ErrorReply(ErrorKind::kTooLarge,
                   "the body is larger than " +
                       std::to_string(state.limits.max_body_bytes) + " bytes"));
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
  call.arrived_at = MonotonicClock::now() - TimeSinceArrival(socket);
  const HttpReply reply = state.handler(call);
  if (state.connections.is_stopping()) {
    response.setKeepAlive(false);
  }
  WriteReply(response, reply);
}

// Answers a request that can't be served, as the last one of its connection.
void SendFailure(Poco::Net::HTTPServerSession& session,
                 Poco::Net::HTTPResponse::HTTPStatus status) {
  Poco::Net::HTTPServerResponseImpl response(session);
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setStatusAndReason(status);
  response.setKeepAlive(false);
  response.send();
}

// A connection that is never closed by a stop between the reading of a request
// and its answer. The one of Poco is, unless the stop waits for each request
// without a time limit.
class Connection : public Poco::Net::TCPServerConnection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, ServerState& state)
      : TCPServerConnection(socket), state_(state) {
    if (!state_.connections.Add(this)) {
      Abort();
    }
  }
  ~Connection() override { state_.connections.Remove(this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void run() override {
    Poco::Net::HTTPServerSession session(socket(), state_.params);
    bool is_usable = true;
    while (is_usable && session.hasMoreRequests() && StartRequest()) {
      is_usable = ServeNext(session);
      EndRequest();
    }
  }

  // Closes the connection unless a request is in progress or has arrived.
  void CloseIfIdle() {
    const std::lock_guard lock(mutex_);
    if (!is_serving_ && !is_closed_ && !HasInput()) {
      Shutdown();
    }
  }

  void Abort() {
    const std::lock_guard lock(mutex_);
    Shutdown();
  }

 private:
  // Returns whether the next request may be read.
  bool StartRequest() {
    const std::lock_guard lock(mutex_);
    is_serving_ = !is_closed_;
    return is_serving_;
  }

  [[nodiscard]] bool is_closed() {
    const std::lock_guard lock(mutex_);
    return is_closed_;
  }

  void EndRequest() {
    const std::lock_guard lock(mutex_);
    is_serving_ = false;
  }

  // Reads and answers one request. Returns whether the connection may be used
  // for another one.
  bool ServeNext(Poco::Net::HTTPServerSession& session) {
    try {
      Poco::Net::HTTPServerResponseImpl response(session);
      Poco::Net::HTTPServerRequestImpl request(response, session,
                                               state_.params);
      // The parser takes the end of the connection for the end of the header.
      if (is_closed()) {
        return false;
      }
      response.setDate(Poco::Timestamp());
      response.setVersion(request.getVersion());
      response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive());
      if (request.getExpectContinue()) {
        response.sendContinue();
      }
      try {
        Serve(state_, socket().impl()->sockfd(), request, response);
      } catch (const Poco::Exception&) {
        if (!response.sent()) {
          SendFailure(session,
                      Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        }
        return false;
      }
      session.setKeepAlive(response.getKeepAlive());
      return response.getKeepAlive();
    } catch (const Poco::Net::NoMessageException&) {
      return false;
    } catch (const Poco::Net::MessageException&) {
      SendFailure(session, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
      return false;
    }
  }

  // Returns whether there are bytes to be read, or the end of the connection.
  [[nodiscard]] bool HasInput() {
    try {
      return socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  void Shutdown() {
    is_closed_ = true;
    try {
      socket().shutdown();
    } catch (const Poco::Exception&) {
      // The peer has closed the connection already.
    }
  }

  ServerState& state_;
  std::mutex mutex_;
  bool is_serving_ = false;
  bool is_closed_ = false;
};

bool OpenConnections::Add(Connection* connection) {
  const std::lock_guard lock(mutex_);
  connections_.insert(connection);
  return !is_aborted_;
}

void OpenConnections::Remove(Connection* connection) {
  const std::lock_guard lock(mutex_);
  connections_.erase(connection);
}

void OpenConnections::CloseIdle() {
  const std::lock_guard lock(mutex_);
  for (Connection* connection : connections_) {
    connection->CloseIfIdle();
  }
}

void OpenConnections::AbortAll() {
  const std::lock_guard lock(mutex_);
  is_aborted_ = true;
  for (Connection* connection : connections_) {
    connection->Abort();
  }
}

bool OpenConnections::empty() const {
  const std::lock_guard lock(mutex_);
  return connections_.empty();
}

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit ConnectionFactory(ServerState& state) : state_(state) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new Connection(socket, state_);
  }

 private:
  ServerState& state_;
};

// Refuses connections once the server stops.
class ConnectionFilter : public Poco::Net::TCPServerConnectionFilter {
 public:
  explicit ConnectionFilter(const ServerState& state) : state_(state) {}

  bool accept(const Poco::Net::StreamSocket& /*socket*/) override {
    return !state_.connections.is_stopping();
  }

 private:
  const ServerState& state_;
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
    state_.limits = limits;
    state_.handler = std::move(handler);
    listener_.bind(Poco::Net::SocketAddress(address), true, false);
    listener_.listen(kListenBacklog);
    state_.params = new Poco::Net::HTTPServerParams;
    state_.params->setMaxThreads(limits.threads);
    state_.params->setMaxQueued(kMaxQueuedConnections);
    state_.params->setKeepAlive(true);
    state_.params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
    state_.params->setMaxKeepAliveRequests(kMaxKeepAliveRequests);
    state_.params->setTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
    server_ = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(state_), pool_, listener_, state_.params);
    server_->setConnectionFilter(new ConnectionFilter(state_));
    server_->start();
  }

  bool Stop(Time deadline) {
    state_.connections.StartStop();
    // TCPServer::stop() drops connections that wait for a thread. They get the
    // threads that idle connections occupied.
    CloseIdleUntil(deadline, [this] {
      return server_->queuedConnections() == 0 && state_.connections.empty();
    });
    server_->stop();
    listener_.close();
    CloseIdleUntil(deadline, [this] { return state_.connections.empty(); });
    const bool was_clean = state_.active_count == 0;
    state_.connections.AbortAll();
    return was_clean;
  }

  [[nodiscard]] int active() const {
    return state_.active_count + server_->queuedConnections();
  }

 private:
  template <std::predicate Done>
  void CloseIdleUntil(Time deadline, Done is_done) {
    while (!is_done() && MonotonicClock::now() < deadline) {
      state_.connections.CloseIdle();
      std::this_thread::sleep_for(kStopCheckInterval);
    }
  }

  ServerState state_;
  Poco::ThreadPool pool_;
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
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

bool HttpServer::Stop(Time deadline) {
  if (!impl_) {
    return true;
  }
  const bool was_clean = impl_->Stop(deadline);
  impl_.reset();
  return was_clean;
}

bool HttpServer::Stop() {
  return Stop(MonotonicClock::now() + kDefaultStopTimeout);
}

}  // namespace banyan
