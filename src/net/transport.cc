// The only translation unit that includes the WebSocket library. It is built as
// C++17, the newest standard under which that library compiles.

#include "banyan/net/transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <map>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace banyan {
namespace {

// Unsent bytes above which a connection counts as stuck and is closed.
constexpr std::size_t kMaxUnsentBytes = 64U << 20U;
// Must hold a whole snapshot, which is sent in one frame.
constexpr std::size_t kMaxFrameBytes = 256U << 20U;
// Timeout of the WebSocket opening handshake.
constexpr long kOpenHandshakeTimeoutMs = 2000;
constexpr int kListenBacklog = 512;
// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the
// connection counts as lost. A failed network path may give no reset.
constexpr unsigned kUnacknowledgedTimeoutMs = 2000;
// TCP_KEEPIDLE: idle time before the first keep-alive probe.
constexpr int kKeepAliveIdleSeconds = 1;
// TCP_KEEPINTVL: time between probes.
constexpr int kKeepAliveIntervalSeconds = 1;
// TCP_KEEPCNT: unanswered probes after which the connection counts as lost.
constexpr int kKeepAliveProbeCount = 2;

using Client = websocketpp::client<websocketpp::config::asio_client>;
using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;

// An outgoing (`is_client`) or accepted connection.
struct ConnectionEntry {
  Handle handle;
  bool is_client = false;
  std::string address;
};

}  // namespace

class Transport::Impl {
 public:
  explicit Impl(Callbacks callbacks) : callbacks_(std::move(callbacks)) {
    Prepare(client_, true);
    Prepare(server_, false);
    client_.set_open_handshake_timeout(kOpenHandshakeTimeoutMs);
    server_.set_reuse_addr(true);
    server_.set_listen_backlog(kListenBacklog);
  }

  bool Listen(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    websocketpp::lib::error_code error;
    server_.listen(address.substr(0, colon), address.substr(colon + 1), error);
    if (error) {
      return false;
    }
    server_.start_accept(error);
    return !error;
  }

  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }

  void Connect(const std::string& address) {
    boost::asio::post(context_, [this, address] {
      websocketpp::lib::error_code error;
      auto connection = client_.get_connection("ws://" + address + "/", error);
      if (error) {
        callbacks_.on_close(0, address);
        return;
      }
      Add(connection->get_handle(), true, address);
      client_.connect(connection);
    });
  }

  void Send(ConnectionId id, std::string frame) {
    boost::asio::post(context_, [this, id, frame = std::move(frame)] {
      const auto found = connections_.find(id);
      if (found == connections_.end()) {
        return;
      }
      if (found->second.is_client) {
        SendOn(client_, found->second.handle, frame);
      } else {
        SendOn(server_, found->second.handle, frame);
      }
    });
  }

  void Close(ConnectionId id) {
    boost::asio::post(context_, [this, id] { CloseImmediately(id); });
  }

  void AfterReading(std::function<void()> done) {
    // Handlers run in the order in which they are queued. The sockets are
    // polled between the first two, and what the poll finds is queued before
    // the last.
    boost::asio::post(context_, [this, done = std::move(done)] {
      boost::asio::post(context_,
                        [this, done] { boost::asio::post(context_, done); });
    });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(context_, [this] {
      websocketpp::lib::error_code error;
      if (server_.is_listening()) {
        server_.stop_listening(error);
      }
      while (!connections_.empty()) {
        CloseImmediately(connections_.begin()->first);
      }
      context_.stop();
    });
    thread_.join();
  }

 private:
  template <typename Endpoint>
  void Prepare(Endpoint& endpoint, bool is_client) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context_);
    endpoint.set_max_message_size(kMaxFrameBytes);
    endpoint.set_tcp_post_init_handler([this, &endpoint](Handle handle) {
      websocketpp::lib::error_code error;
      auto connection = endpoint.get_con_from_hdl(handle, error);
      if (!error) {
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), ignored);
        EnableDeadPeerDetection(connection->get_raw_socket().native_handle());
      }
    });
    endpoint.set_open_handler([this, is_client](Handle handle) {
      const ConnectionId id = is_client ? IdOf(handle) : Add(handle, false, "");
      const auto found = connections_.find(id);
      if (found != connections_.end()) {
        callbacks_.on_open(id, found->second.address);
      }
    });
    endpoint.set_message_handler([this](Handle handle, auto message) {
      const ConnectionId id = IdOf(handle);
      if (id != 0) {
        callbacks_.on_frame(id, std::string(message->get_payload()));
      }
    });
    endpoint.set_close_handler([this](Handle handle) { Remove(handle); });
    endpoint.set_fail_handler([this](Handle handle) { Remove(handle); });
  }

  static void EnableDeadPeerDetection(int socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
               sizeof(kKeepAliveIdleSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
               sizeof(kKeepAliveIntervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbeCount,
               sizeof(kKeepAliveProbeCount));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
               sizeof(kUnacknowledgedTimeoutMs));
  }

  ConnectionId Add(Handle handle, bool is_client, const std::string& address) {
    const ConnectionId id = next_id_++;
    connections_[id] = ConnectionEntry{handle, is_client, address};
    ids_[handle] = id;
    return id;
  }

  ConnectionId IdOf(const Handle& handle) const {
    const auto found = ids_.find(handle);
    return found == ids_.end() ? 0 : found->second;
  }

  void Remove(const Handle& handle) {
    const ConnectionId id = IdOf(handle);
    if (id == 0) {
      return;
    }
    const std::string address = connections_[id].address;
    connections_.erase(id);
    ids_.erase(handle);
    callbacks_.on_close(id, address);
  }

  // Closes the connection without the WebSocket closing handshake, which a
  // frozen or unreachable peer would never complete.
  void CloseImmediately(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    const ConnectionEntry entry = found->second;
    if (entry.is_client) {
      ShutDownSocket(client_, entry.handle);
    } else {
      ShutDownSocket(server_, entry.handle);
    }
    Remove(entry.handle);
  }

  template <typename Endpoint>
  void ShutDownSocket(Endpoint& endpoint, const Handle& handle) {
    websocketpp::lib::error_code error;
    auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error) {
      return;
    }
    boost::system::error_code ignored;
    connection->get_raw_socket().shutdown(
        boost::asio::ip::tcp::socket::shutdown_both, ignored);
  }

  template <typename Endpoint>
  void SendOn(Endpoint& endpoint,
              const Handle& handle,
              const std::string& frame) {
    websocketpp::lib::error_code error;
    auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error) {
      return;
    }
    if (connection->get_buffered_amount() > kMaxUnsentBytes) {
      CloseImmediately(IdOf(handle));
      return;
    }
    endpoint.send(handle, frame, websocketpp::frame::opcode::binary, error);
  }

  Callbacks callbacks_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_{context_.get_executor()};
  Client client_;
  Server server_;
  std::thread thread_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, ConnectionEntry> connections_;
  std::map<Handle, ConnectionId, std::owner_less<Handle>> ids_;
};

Transport::Transport(Callbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(callbacks))) {}

Transport::~Transport() {
  Stop();
}

bool Transport::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void Transport::Start() {
  impl_->Start();
}

void Transport::Connect(const std::string& address) {
  impl_->Connect(address);
}

void Transport::Send(ConnectionId connection, std::string frame) {
  impl_->Send(connection, std::move(frame));
}

void Transport::Close(ConnectionId connection) {
  impl_->Close(connection);
}

void Transport::AfterReading(std::function<void()> done) {
  impl_->AfterReading(std::move(done));
}

void Transport::Stop() {
  impl_->Stop();
}

}  // namespace banyan
