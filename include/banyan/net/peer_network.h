#ifndef BANYAN_NET_PEER_NETWORK_H_
#define BANYAN_NET_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "banyan/base/time.h"
#include "banyan/net/transport.h"
#include "banyan/wire/message.h"

namespace banyan {

// A message from a peer, or a change of the connection to it.
struct PeerEvent {
  enum class Kind : std::uint8_t { kUp, kDown, kMessage };
  Kind kind = Kind::kMessage;
  Sender sender;
  // The address that was dialled; empty on accepted connections and messages.
  std::string address;
  Message message;
};

// Message connections to other processes, addressed by process id, over a
// Transport. The first message of each side is a PeerHello, which carries its
// id and incarnation. Frames are decoded on the network thread; a frame that
// can't be decoded closes only the connection it arrived on.
class PeerNetwork {
 public:
  // Called on the network thread; must not block.
  using Handler = std::function<void(PeerEvent&&)>;

  PeerNetwork(std::string id, std::uint64_t incarnation, Handler handler);
  ~PeerNetwork();

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Accepts connections on "IP:port". Returns false if the address can't be
  // bound.
  [[nodiscard]] bool Listen(const std::string& address);

  // For peers that dial each other and whose ids are their addresses. A
  // connected peer is not dialled, whichever side opened the connection, and
  // the side with the greater id dials later, so that the two seldom connect
  // twice. If they do, the connection that the lesser id has opened stays.
  void set_symmetric() { is_symmetric_ = true; }

  // Starts the network thread.
  void Start();

  // Dials those of `addresses` that are not connected and due for an attempt,
  // and closes outgoing connections to all others. Call it periodically:
  // attempts are retried only from here.
  void Maintain(Time now, const std::set<std::string>& addresses);

  // Sends a message to a peer; drops it if the peer is not connected.
  void Send(const std::string& peer, const Message& message);

  // Closes the connections to all peers.
  void DisconnectAll();

  // Closes the connection to a peer, if there is one.
  void Disconnect(const std::string& peer);

  // Sets the incarnation that is sent with all later messages.
  void set_incarnation(std::uint64_t incarnation);

  // Returns the bytes passed to the transport so far, without WebSocket frame
  // headers.
  [[nodiscard]] std::uint64_t sent_bytes() const;

  // Calls `done` on the network thread once all messages that had arrived by
  // this call have been passed to the handler, as far as one read of each
  // connection holds them.
  void AfterReading(std::function<void()> done) {
    transport_.AfterReading(std::move(done));
  }

  void Stop();

 private:
  struct Peer {
    ConnectionId connection = 0;
    std::uint64_t incarnation = 0;
    std::string address;
  };

  // An open outgoing connection.
  struct Outgoing {
    std::string address;
    // Until then an accepted connection from the same peer may be one that
    // crossed it.
    Time crossed_until;
  };

  void OnOpen(ConnectionId connection, const std::string& address);
  void OnFrame(ConnectionId connection, const std::string& frame);
  void OnClose(ConnectionId connection, const std::string& address);
  void Register(ConnectionId connection, const Sender& sender);
  // Returns whether an outgoing connection to the address is open.
  [[nodiscard]] bool IsDialled(std::string_view address) const;
  // Returns whether a connection whose PeerHello has arrived has crossed one
  // that this side, which has the lesser id, has opened to the same peer.
  [[nodiscard]] bool HasCrossed(ConnectionId connection,
                                const Sender& sender) const;
  void SendOn(ConnectionId connection, const Message& message);
  [[nodiscard]] Time EarliestDialTime(Time now,
                                      const std::string& address) const;

  std::string id_;
  Handler handler_;
  mutable std::mutex mutex_;
  std::uint64_t incarnation_;
  std::uint64_t sent_bytes_ = 0;
  std::map<std::string, Peer> peers_;
  // Ids of the peers, for connections whose PeerHello has arrived.
  std::map<ConnectionId, std::string> peer_by_connection_;
  // At most one for each address.
  std::map<ConnectionId, Outgoing> outgoing_;
  // The earliest time of the next attempt to dial each maintained address.
  std::map<std::string, Time> next_dial_at_;
  bool is_symmetric_ = false;
  Transport transport_;
};

}  // namespace banyan

#endif  // BANYAN_NET_PEER_NETWORK_H_
