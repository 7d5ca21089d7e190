#include "banyan/net/peer_network.h"

#include <glog/logging.h>

#include <utility>
#include <vector>

#include "banyan/events/event.h"
#include "banyan/wire/codec.h"

namespace banyan {
namespace {

// How long an address rests before it is dialled again.
constexpr Duration kRedialInterval = Millis(300);
// How much longer the side with the greater id waits before it dials.
constexpr Duration kYieldInterval = Millis(700);
// A dial that came to nothing by then is tried anew.
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
  std::vector<std::string> dial;
  std::vector<ConnectionId> close;
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& address : addresses) {
      if (is_symmetric_ && peers_.contains(address)) {
        continue;
      }
      const auto dialled =
          dialled_.try_emplace(address, FirstDial(now, address)).first;
      const bool is_due = dialled->second <= now;
      if (!open_addresses_.contains(address) && is_due) {
        dialled_[address] = now + kDialTimeout;
        dial.push_back(address);
      }
    }
    for (const auto& [connection, address] : address_of_) {
      if (!addresses.contains(address)) {
        close.push_back(connection);
      }
    }
    std::erase_if(dialled_, [&](const auto& item) {
      return !addresses.contains(item.first);
    });
  }
  for (const std::string& address : dial) {
    transport_.Connect(address);
  }
  for (const ConnectionId connection : close) {
    transport_.Close(connection);
  }
}

Time PeerNetwork::FirstDial(Time now, const std::string& address) const {
  return is_symmetric_ && address < id_ ? now + kYieldInterval : now;
}

void PeerNetwork::SendOn(ConnectionId connection, const Message& message) {
  std::string frame;
  {
    const std::lock_guard lock(mutex_);
    frame = Encode(Envelope{{id_, incarnation_}, message});
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

void PeerNetwork::DropAll() {
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

void PeerNetwork::Drop(const std::string& peer) {
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
  {
    const std::lock_guard lock(mutex_);
    address_of_[connection] = address;
    open_addresses_.insert(address);
  }
  SendOn(connection, PeerHello{});
}

void PeerNetwork::Register(ConnectionId connection, const Sender& sender) {
  ConnectionId replaced = 0;
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    const auto known = peers_.find(sender.id);
    if (known != peers_.end() && known->second.connection != connection) {
      replaced = known->second.connection;
      peer_of_.erase(replaced);
    }
    const auto dialled = address_of_.find(connection);
    address = dialled == address_of_.end() ? "" : dialled->second;
    peers_[sender.id] = {connection, sender.incarnation, address};
    peer_of_[connection] = sender.id;
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
    const auto peer = peer_of_.find(connection);
    if (peer == peer_of_.end() || peer->second != envelope->sender.id) {
      return;
    }
  }
  handler_({PeerEvent::Kind::kMessage, std::move(envelope->sender), "",
            std::move(envelope->message)});
}

void PeerNetwork::OnClose(ConnectionId connection, const std::string& address) {
  Sender gone;
  {
    const std::lock_guard lock(mutex_);
    if (!address.empty()) {
      open_addresses_.erase(address);
      address_of_.erase(connection);
      dialled_[address] =
          FirstDial(MonotonicClock::now() + kRedialInterval, address);
    }
    const auto peer = peer_of_.find(connection);
    if (peer == peer_of_.end()) {
      return;
    }
    gone = {peer->second, peers_[peer->second].incarnation};
    peers_.erase(peer->second);
    peer_of_.erase(peer);
  }
  handler_({PeerEvent::Kind::kDown, gone, address, {}});
}

}  // namespace banyan
