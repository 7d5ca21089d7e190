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

// The least time that an exchange is given.
constexpr Duration kLeastTimeout = Millis(1);
constexpr long kMicrosPerSecond = 1000000;

Poco::Timespan ToTimespan(Duration span) {
  const auto micros = std::max(span, kLeastTimeout).count();
  return {static_cast<long>(micros / kMicrosPerSecond),
          static_cast<long>(micros % kMicrosPerSecond)};
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const std::string& address) : address_(address) {}

  HttpExchange Exchange(const HttpCall& call,
                        std::string_view echo_id,
                        Time deadline) {
    HttpExchange exchange;
    if (!Connect(deadline, exchange)) {
      return exchange;
    }
    try {
      Send(call, echo_id, deadline);
      Receive(echo_id, exchange);
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
  // Opens the connection unless a sound one is there. Nothing has been handed
  // over when this fails.
  bool Connect(Time deadline, HttpExchange& exchange) {
    try {
      // A kept connection with something to read was closed by the server, or
      // bears an answer that belongs to nobody.
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

  void Send(const HttpCall& call, std::string_view echo_id, Time deadline) {
    // The session passes its own timeout on only when it connects itself.
    const Poco::Timespan left = ToTimespan(deadline - MonotonicClock::now());
    session_->setTimeout(left);
    session_->socket().setSendTimeout(left);
    session_->socket().setReceiveTimeout(left);
    Poco::Net::HTTPRequest request(
        call.method,
        call.query.empty() ? call.path : call.path + "?" + call.query,
        Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address_.host().toString(), address_.port());
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    if (!call.content_type.empty()) {
      request.setContentType(call.content_type);
    }
    if (!echo_id.empty()) {
      request.set("X-Request-Id", std::string(echo_id));
    }
    for (const HttpField& field : call.fields) {
      request.set(field.name, field.value);
    }
    std::ostream& out = session_->sendRequest(request);
    out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    out.flush();
  }

  void Receive(std::string_view echo_id, HttpExchange& exchange) {
    Poco::Net::HTTPResponse response;
    std::istream& in = session_->receiveResponse(response);
    std::string body(std::istreambuf_iterator<char>(in), {});
    exchange.reply.status = response.getStatus();
    exchange.reply.content_type = response.getContentType();
    for (const auto& [name, value] : response) {
      exchange.reply.fields.push_back({name, value});
    }
    exchange.outcome = RequestOutcome::kUnknown;
    // The library ends a chunked body quietly when the connection closes, so
    // only one whose connection is still open counts as whole.
    const bool is_closed = session_->socket().poll(
        Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    const bool is_whole =
        (response.getChunkedTransferEncoding() && !is_closed) ||
        (response.hasContentLength() &&
         response.getContentLength64() ==
             static_cast<Poco::Int64>(body.size()));
    if (!is_whole) {
      exchange.text = "the answer is cut short";
      return;
    }
    if (!echo_id.empty() && response.get("X-Request-Id", "") != echo_id) {
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
                                  std::string_view echo_id,
                                  Time deadline) {
  return impl_->Exchange(call, echo_id, deadline);
}

}  // namespace banyan
