#include "banyan/net/peer_network.h"

#include <glog/logging.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "banyan/events/event.h"
#include "banyan/wire/codec.h"

namespace banyan {
namespace {

// Time from the loss of a connection, or a failed attempt, to the next attempt.
constexpr Duration kRedialInterval = Millis(300);
// Additional delay before the side with the greater id dials, in symmetric
// mode.
constexpr Duration kSymmetricDialDelay = Millis(700);
// Time after which an attempt that has neither succeeded nor failed is
// repeated.
constexpr Duration kDialTimeout = std::chrono::seconds(3);

}  // namespace

PeerNetwork::PeerNetwork(std::string id,
                         std::uint64_t incarnation,
                         Handler handler)
    : id_(std::move(id)),
      handler_(std::move(handler)),
      incarnation_(incarnation),
      transport_({[this](ConnectionId connection, const std::string& address) {
                    OnOpen(connection, address);
                  },
                  [this](ConnectionId connection, std::string&& frame) {
                    OnFrame(connection, frame);
                  },
                  [this](ConnectionId connection, const std::string& address) {
                    OnClose(connection, address);
                  }}) {}

PeerNetwork::~PeerNetwork() {
  Stop();
}

bool PeerNetwork::Listen(const std::string& address) {
  return transport_.Listen(address);
}

void PeerNetwork::Start() {
  transport_.Start();
}

void PeerNetwork::Stop() {
  transport_.Stop();
}

void PeerNetwork::Maintain(Time now, const std::set<std::string>& addresses) {
  std::vector<std::string> to_dial;
  std::vector<ConnectionId> to_close;
  {
    const std::lock_guard lock(mutex_);
    std::set<std::string_view> open_addresses;
    for (const auto& [connection, outgoing] : outgoing_) {
      open_addresses.insert(outgoing.address);
    }
    for (const std::string& address : addresses) {
      if (is_symmetric_ && peers_.contains(address)) {
        continue;
      }
      const auto next_dial =
          next_dial_at_.try_emplace(address, EarliestDialTime(now, address))
              .first;
      const bool is_due = next_dial->second <= now;
      if (!open_addresses.contains(address) && is_due) {
        next_dial_at_[address] = now + kDialTimeout;
        to_dial.push_back(address);
      }
    }
    for (const auto& [connection, outgoing] : outgoing_) {
      if (!addresses.contains(outgoing.address)) {
        to_close.push_back(connection);
      }
    }
    std::erase_if(next_dial_at_, [&](const auto& item) {
      return !addresses.contains(item.first);
    });
  }
  for (const std::string& address : to_dial) {
    transport_.Connect(address);
  }
  for (const ConnectionId connection : to_close) {
    transport_.Close(connection);
  }
}

Time PeerNetwork::EarliestDialTime(Time now, const std::string& address) const {
  return is_symmetric_ && address < id_ ? now + kSymmetricDialDelay : now;
}

void PeerNetwork::SendOn(ConnectionId connection, const Message& message) {
  std::uint64_t incarnation = 0;
  {
    const std::lock_guard lock(mutex_);
    incarnation = incarnation_;
  }
  // Without the lock, which the network thread needs for each frame it reads.
  std::string frame = Encode(Envelope{{id_, incarnation}, message});
  {
    const std::lock_guard lock(mutex_);
    sent_bytes_ += frame.size();
  }
  transport_.Send(connection, std::move(frame));
}

void PeerNetwork::Send(const std::string& peer, const Message& message) {
  ConnectionId connection = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
      return;
    }
    connection = found->second.connection;
  }
  SendOn(connection, message);
}

void PeerNetwork::DisconnectAll() {
  std::vector<ConnectionId> connections;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, peer] : peers_) {
      connections.push_back(peer.connection);
    }
  }
  for (const ConnectionId connection : connections) {
    transport_.Close(connection);
  }
}

void PeerNetwork::Disconnect(const std::string& peer) {
  ConnectionId connection = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
      return;
    }
    connection = found->second.connection;
  }
  transport_.Close(connection);
}

void PeerNetwork::set_incarnation(std::uint64_t incarnation) {
  const std::lock_guard lock(mutex_);
  incarnation_ = incarnation;
}

std::uint64_t PeerNetwork::sent_bytes() const {
  const std::lock_guard lock(mutex_);
  return sent_bytes_;
}

void PeerNetwork::OnOpen(ConnectionId connection, const std::string& address) {
  if (address.empty()) {
    return;
  }
  bool is_redundant = false;
  {
    const std::lock_guard lock(mutex_);
    is_redundant =
        IsDialled(address) || (is_symmetric_ && peers_.contains(address));
    if (!is_redundant) {
      outgoing_[connection] = {address, MonotonicClock::now() + kDialTimeout};
    }
  }
  if (is_redundant) {
    transport_.Close(connection);
  } else {
    SendOn(connection, PeerHello{});
  }
}

bool PeerNetwork::IsDialled(std::string_view address) const {
  return std::any_of(outgoing_.begin(), outgoing_.end(), [&](const auto& item) {
    return item.second.address == address;
  });
}

bool PeerNetwork::HasCrossed(ConnectionId connection,
                             const Sender& sender) const {
  if (!is_symmetric_ || sender.id < id_ || outgoing_.contains(connection)) {
    return false;
  }
  const auto known = peers_.find(sender.id);
  if (known != peers_.end() &&
      known->second.incarnation != sender.incarnation) {
    return false;
  }
  const Time now = MonotonicClock::now();
  return std::any_of(outgoing_.begin(), outgoing_.end(), [&](const auto& item) {
    return item.second.address == sender.id && now < item.second.crossed_until;
  });
}

void PeerNetwork::Register(ConnectionId connection, const Sender& sender) {
  ConnectionId replaced = 0;
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    if (HasCrossed(connection, sender)) {
      transport_.Close(connection);
      return;
    }
    const auto known = peers_.find(sender.id);
    if (known != peers_.end() && known->second.connection != connection) {
      replaced = known->second.connection;
      peer_by_connection_.erase(replaced);
    }
    const auto outgoing = outgoing_.find(connection);
    address = outgoing == outgoing_.end() ? "" : outgoing->second.address;
    peers_[sender.id] = {connection, sender.incarnation, address};
    peer_by_connection_[connection] = sender.id;
  }
  if (replaced != 0) {
    handler_({PeerEvent::Kind::kDown, sender, "", {}});
    transport_.Close(replaced);
  }
  if (address.empty()) {
    SendOn(connection, PeerHello{});
  }
  handler_({PeerEvent::Kind::kUp, sender, address, {}});
}

void PeerNetwork::OnFrame(ConnectionId connection, const std::string& frame) {
  Reason reason;
  auto envelope = DecodeEnvelope(frame, reason);
  if (!envelope) {
    WriteEvent(Event(EventId::kPeerMessageRefused)
                   .With("connection", connection)
                   .With("error", ResponseFor(reason.kind).name)
                   .With("reason", reason.text));
    transport_.Close(connection);
    return;
  }
  if (std::holds_alternative<PeerHello>(envelope->message)) {
    Register(connection, envelope->sender);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    const auto peer = peer_by_connection_.find(connection);
    if (peer == peer_by_connection_.end() ||
        peer->second != envelope->sender.id) {
      return;
    }
  }
  handler_({PeerEvent::Kind::kMessage, std::move(envelope->sender), "",
            std::move(envelope->message)});
}

void PeerNetwork::OnClose(ConnectionId connection, const std::string& address) {
  Sender disconnected;
  {
    const std::lock_guard lock(mutex_);
    if (!address.empty()) {
      outgoing_.erase(connection);
      next_dial_at_[address] =
          EarliestDialTime(MonotonicClock::now() + kRedialInterval, address);
    }
    const auto peer = peer_by_connection_.find(connection);
    if (peer == peer_by_connection_.end()) {
      return;
    }
    disconnected = {peer->second, peers_[peer->second].incarnation};
    peers_.erase(peer->second);
    peer_by_connection_.erase(peer);
  }
  handler_({PeerEvent::Kind::kDown, disconnected, address, {}});
}

}  // namespace banyan
