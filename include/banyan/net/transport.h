#ifndef BANYAN_NET_TRANSPORT_H_
#define BANYAN_NET_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyan {

// Names one connection of this process; never used twice.
using ConnectionId = std::uint64_t;

// Binary frames in WebSocket connections by IP number, on one network thread.
// The header is plain so that only one unit sees the WebSocket library.
class Transport {
 public:
  // Called on the network thread.
  struct Callbacks {
    // A connection is ready. The address is empty on an accepted one.
    std::function<void(ConnectionId, const std::string& address)> on_open;
    std::function<void(ConnectionId, std::string&& frame)> on_frame;
    // A connection was lost, or one to the address could not be made.
    std::function<void(ConnectionId, const std::string& address)> on_close;
  };

  explicit Transport(Callbacks callbacks);
  ~Transport();

  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Accepts connections on "IP:port"; false when the address is not free.
  [[nodiscard]] bool Listen(const std::string& address);

  // Starts the network thread.
  void Start();

  // Begins a connection to "IP:port"; the outcome comes as a callback.
  void Connect(const std::string& address);

  // Sends a frame. A connection whose unsent bytes pass the bound is closed.
  void Send(ConnectionId connection, std::string frame);

  // Closes one connection.
  void Close(ConnectionId connection);

  // Closes everything and joins the network thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_NET_TRANSPORT_H_
