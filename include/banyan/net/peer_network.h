#ifndef BANYAN_NET_PEER_NETWORK_H_
#define BANYAN_NET_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "banyan/base/time.h"
#include "banyan/net/transport.h"
#include "banyan/wire/message.h"

namespace banyan {

// Something that the network tells a process.
struct PeerEvent {
  enum class Kind : std::uint8_t { kUp, kDown, kMessage };
  Kind kind = Kind::kMessage;
  Sender sender;
  // The address that was connected to; empty on an accepted connection.
  std::string address;
  Message message;
};

// Connections to other processes by their ids, over the transport. Each side
// says hello first, and every frame is decoded on the network thread. A frame
// that can't be decoded ends its connection and nothing else.
class PeerNetwork {
 public:
  // Called on the network thread; must not block.
  using Handler = std::function<void(PeerEvent&&)>;

  PeerNetwork(std::string id, std::uint64_t incarnation, Handler handler);
  ~PeerNetwork();

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Accepts connections on "IP:port"; false when the address is not free.
  [[nodiscard]] bool Listen(const std::string& address);

  // Both sides of a pair may connect: an address that is also the id of a
  // connected peer needs no connection of its own, and the side with the
  // greater id waits a little for the other one.
  void set_symmetric() { is_symmetric_ = true; }

  // Starts the network thread.
  void Start();

  // Keeps connections to just these addresses; call it again to retry those
  // that were lost.
  void Maintain(Time now, const std::set<std::string>& addresses);

  // Sends a message; without a connection it is dropped.
  void Send(const std::string& peer, const Message& message);

  // Closes every connection.
  void DisconnectAll();

  // Closes the connection to one peer.
  void Disconnect(const std::string& peer);

  // Sets the incarnation that later messages carry.
  void set_incarnation(std::uint64_t incarnation);

  // Bytes sent so far, frames without their headers.
  [[nodiscard]] std::uint64_t sent_bytes() const;

  void Stop();

 private:
  struct Peer {
    ConnectionId connection = 0;
    std::uint64_t incarnation = 0;
    std::string address;
  };

  void OnOpen(ConnectionId connection, const std::string& address);
  void OnFrame(ConnectionId connection, const std::string& frame);
  void OnClose(ConnectionId connection, const std::string& address);
  void Register(ConnectionId connection, const Sender& sender);
  void SendOn(ConnectionId connection, const Message& message);
  [[nodiscard]] Time EarliestDialTime(Time now,
                                      const std::string& address) const;

  std::string id_;
  Handler handler_;
  mutable std::mutex mutex_;
  std::uint64_t incarnation_;
  std::uint64_t sent_bytes_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<ConnectionId, std::string> peer_by_connection_;
  std::map<ConnectionId, std::string> address_by_connection_;
  // Addresses that are connected or being connected, and when to try again.
  std::map<std::string, Time> next_dial_at_;
  std::set<std::string> open_addresses_;
  bool is_symmetric_ = false;
  Transport transport_;
};

}  // namespace banyan

#endif  // BANYAN_NET_PEER_NETWORK_H_
