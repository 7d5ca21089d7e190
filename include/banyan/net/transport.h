#ifndef BANYAN_NET_TRANSPORT_H_
#define BANYAN_NET_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyan {

// Identifies a connection within this process; never reused. 0 is no
// connection.
using ConnectionId = std::uint64_t;

// Sends and receives binary frames over WebSocket connections, on one network
// thread. Addresses are "IP:port". The implementation is hidden so that only
// one translation unit includes the WebSocket library.
class Transport {
 public:
  // Called on the network thread; must not block.
  struct Callbacks {
    // A connection is open. The address is empty on an accepted connection.
    std::function<void(ConnectionId, const std::string& address)> on_open;
    std::function<void(ConnectionId, std::string&& frame)> on_frame;
    // A connection was closed, or an attempt to connect to `address` failed.
    std::function<void(ConnectionId, const std::string& address)> on_close;
  };

  explicit Transport(Callbacks callbacks);
  ~Transport();

  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Accepts connections on "IP:port". Returns false if the address can't be
  // bound.
  [[nodiscard]] bool Listen(const std::string& address);

  // Starts the network thread.
  void Start();

  // Starts to connect to "IP:port"; the result is reported by on_open or
  // on_close.
  void Connect(const std::string& address);

  // Queues a frame for sending. Closes the connection instead if its unsent
  // bytes exceed 64 MiB.
  void Send(ConnectionId connection, std::string frame);

  // Closes a connection without the WebSocket closing handshake.
  void Close(ConnectionId connection);

  // Calls `done` on the network thread once that thread has looked for frames
  // on all connections after this call and has delivered those that it found.
  void AfterReading(std::function<void()> done);

  // Closes all connections and joins the network thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyan

#endif  // BANYAN_NET_TRANSPORT_H_
