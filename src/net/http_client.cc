#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <istream>
#include <iterator>

#include "banyan/net/http.h"

namespace banyan {
namespace {

// Lower bound of socket timeouts; 0 would disable SO_SNDTIMEO and SO_RCVTIMEO.
constexpr Duration kMinTimeout = Millis(1);
constexpr long kMicrosPerSecond = 1000000;

Poco::Timespan ToTimespan(Duration span) {
  const auto micros = std::max(span, kMinTimeout).count();
  return {static_cast<long>(micros / kMicrosPerSecond),
          static_cast<long>(micros % kMicrosPerSecond)};
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const std::string& address) : address_(address) {}

  HttpExchange Exchange(const HttpCall& call,
                        std::string_view request_id,
                        Time deadline) {
    HttpExchange exchange;
    if (!Connect(deadline, exchange)) {
      return exchange;
    }
    try {
      Send(call, request_id, deadline);
      Receive(request_id, exchange);
    } catch (const Poco::TimeoutException& error) {
      exchange.outcome = RequestOutcome::kUnknown;
      exchange.is_timeout = true;
      exchange.text = error.displayText();
    } catch (const Poco::Exception& error) {
      exchange.outcome = RequestOutcome::kUnknown;
      exchange.text = error.displayText();
    }
    if (exchange.outcome != RequestOutcome::kRan) {
      session_.reset();
    }
    return exchange;
  }

 private:
  // Opens the connection unless there is one that can be reused. Sets the
  // outcome to kNotRun on failure, as nothing has been sent.
  bool Connect(Time deadline, HttpExchange& exchange) {
    try {
      // An idle connection that is readable was closed by the server or holds
      // a response that no request is waiting for.
      if (session_ && session_->socket().poll(Poco::Timespan(0),
                                              Poco::Net::Socket::SELECT_READ)) {
        session_.reset();
      }
      if (!session_) {
        Poco::Net::StreamSocket socket;
        socket.connect(address_, ToTimespan(deadline - MonotonicClock::now()));
        socket.setNoDelay(true);
        session_ = std::make_unique<Poco::Net::HTTPClientSession>(socket);
        session_->setKeepAlive(true);
      }
      return true;
    } catch (const Poco::Exception& error) {
      session_.reset();
      exchange.outcome = RequestOutcome::kNotRun;
      exchange.text = error.displayText();
      return false;
    }
  }

  void Send(const HttpCall& call, std::string_view request_id, Time deadline) {
    // The session applies its timeout only to sockets that it connects itself,
    // so the timeouts of this socket are set directly.
    const Poco::Timespan remaining =
        ToTimespan(deadline - MonotonicClock::now());
    session_->setTimeout(remaining);
    session_->socket().setSendTimeout(remaining);
    session_->socket().setReceiveTimeout(remaining);
    Poco::Net::HTTPRequest request(
        call.method,
        call.query.empty() ? call.path : call.path + "?" + call.query,
        Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address_.host().toString(), address_.port());
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    if (!call.content_type.empty()) {
      request.setContentType(call.content_type);
    }
    if (!request_id.empty()) {
      request.set("X-Request-Id", std::string(request_id));
    }
    for (const HttpField& field : call.fields) {
      request.set(field.name, field.value);
    }
    std::ostream& out = session_->sendRequest(request);
    out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    out.flush();
  }

  void Receive(std::string_view request_id, HttpExchange& exchange) {
    Poco::Net::HTTPResponse response;
    std::istream& in = session_->receiveResponse(response);
    std::string body(std::istreambuf_iterator<char>(in), {});
    exchange.reply.status = response.getStatus();
    exchange.reply.content_type = response.getContentType();
    for (const auto& [name, value] : response) {
      exchange.reply.fields.push_back({name, value});
    }
    exchange.outcome = RequestOutcome::kUnknown;
    // Poco reports no error if the connection closes within a chunked body, so
    // such a body counts as complete only if the connection is still open.
    const bool is_closed = session_->socket().poll(
        Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    const bool is_complete =
        (response.getChunkedTransferEncoding() && !is_closed) ||
        (response.hasContentLength() &&
         response.getContentLength64() ==
             static_cast<Poco::Int64>(body.size()));
    if (!is_complete) {
      exchange.text = "the answer is cut short";
      return;
    }
    if (!request_id.empty() && response.get("X-Request-Id", "") != request_id) {
      exchange.text = "the answer belongs to another request";
      return;
    }
    exchange.reply.body = std::move(body);
    exchange.outcome = RequestOutcome::kRan;
    if (!response.getKeepAlive()) {
      session_.reset();
    }
  }

  Poco::Net::SocketAddress address_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

HttpClient::HttpClient(const std::string& address)
    : impl_(std::make_unique<Impl>(address)) {}

HttpClient::~HttpClient() = default;

HttpExchange HttpClient::Exchange(const HttpCall& call,
                                  std::string_view request_id,
                                  Time deadline) {
  return impl_->Exchange(call, request_id, deadline);
}

}  // namespace banyan
