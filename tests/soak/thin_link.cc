#include "tests/soak/thin_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <deque>
#include <thread>
#include <utility>

namespace banyan {
namespace {

constexpr int kBacklog = 64;
// The payload of a packet on an Ethernet.
constexpr int kPacketBytes = 1448;
constexpr int kSocketBufferBytes = 16384;
// What one connection may have on its way in a direction.
constexpr std::size_t kMaxFlowBytes = 16384;
constexpr Duration kLongestWait = Millis(100);
// A thread that wakes late makes up for at most so much of the link's time.
constexpr Duration kCatchUp = Millis(5);

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] int fd() const { return fd_; }

 private:
  const int fd_;
};

// Returns a socket with the buffers and packets of a thin link.
int OpenSocket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof(int));
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes, sizeof(int));
  ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kPacketBytes, sizeof(int));
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

sockaddr_in ToSockaddr(const std::string& ip, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
  return result;
}

struct Packet {
  Time arrives_at;
  std::string bytes;
};

// One direction of a connection.
struct Flow {
  [[nodiscard]] bool CanRead() const {
    return !has_ended && queued_bytes < kMaxFlowBytes;
  }

  int from = -1;
  int to = -1;
  std::deque<Packet> packets;
  std::size_t queued_bytes = 0;
  bool has_ended = false;
};

struct Connection {
  Connection(int near_fd, int far_fd)
      : near(near_fd),
        far(far_fd),
        flows{Flow{near_fd, far_fd, {}}, Flow{far_fd, near_fd, {}}} {}

  [[nodiscard]] bool IsOver() const {
    return is_broken ||
           std::any_of(flows.begin(), flows.end(), [](const Flow& flow) {
             return flow.has_ended && flow.packets.empty();
           });
  }

  Socket near;
  Socket far;
  // To the replica, and from it.
  std::array<Flow, 2> flows;
  bool is_broken = false;
};

}  // namespace

class ThinLink::Impl {
 public:
  Impl(const std::vector<std::string>& replica_ips,
       int replica_port,
       int port,
       LinkQuality quality)
      : replica_port_(replica_port), port_(port), quality_(quality) {
    for (const std::string& ip : replica_ips) {
      listeners_.push_back(std::make_unique<Socket>(OpenSocket()));
      targets_.push_back(ToSockaddr(ip, replica_port));
      const sockaddr_in own = ToSockaddr(ip, port);
      const int fd = listeners_.back()->fd();
      if (::bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) !=
              0 ||
          ::listen(fd, kBacklog) != 0) {
        std::abort();
      }
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~Impl() {
    must_end_ = true;
    thread_.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  [[nodiscard]] std::map<std::string, std::string> Environment() const {
    return {{"LD_PRELOAD", BANYAN_THIN_LINK},
            {"THIN_LINK_REPLICA_PORT", std::to_string(replica_port_)},
            {"THIN_LINK_PORT", std::to_string(port_)}};
  }

 private:
  void Run() {
    while (!must_end_) {
      Wait();
      const Time now = MonotonicClock::now();
      for (const auto& connection : connections_) {
        for (Flow& flow : connection->flows) {
          connection->is_broken |= !Deliver(flow, now);
        }
      }
      Carry(0, now);
      Carry(1, now);
      std::erase_if(connections_,
                    [](const auto& item) { return item->IsOver(); });
    }
  }

  // Waits until a socket is ready or the time of a packet has come.
  void Wait() {
    const Time now = MonotonicClock::now();
    Time until = now + kLongestWait;
    std::vector<pollfd> polled;
    for (const auto& listener : listeners_) {
      polled.push_back({listener->fd(), POLLIN, 0});
    }
    for (const auto& connection : connections_) {
      for (std::size_t way = 0; way < connection->flows.size(); ++way) {
        const Flow& flow = connection->flows[way];
        if (flow.CanRead() && free_at_[way] > now) {
          until = std::min(until, free_at_[way]);
        } else if (flow.CanRead()) {
          polled.push_back({flow.from, POLLIN, 0});
        }
        if (!flow.packets.empty() && flow.packets.front().arrives_at > now) {
          until = std::min(until, flow.packets.front().arrives_at);
        } else if (!flow.packets.empty()) {
          polled.push_back({flow.to, POLLOUT, 0});
        }
      }
    }
    const auto ns =
        std::chrono::duration_cast<std::chrono::nanoseconds>(until - now);
    timespec timeout{};
    timeout.tv_nsec = static_cast<long>(ns.count());
    ::ppoll(polled.data(), polled.size(), &timeout, nullptr);
    for (std::size_t i = 0; i < listeners_.size(); ++i) {
      if (polled[i].revents != 0) {
        Accept(i);
      }
    }
  }

  void Accept(std::size_t replica) {
    const int near =
        ::accept4(listeners_[replica]->fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (near < 0) {
      return;
    }
    const sockaddr_in& target = targets_[replica];
    auto connection = std::make_unique<Connection>(near, OpenSocket());
    if (::connect(connection->far.fd(),
                  reinterpret_cast<const sockaddr*>(&target),
                  sizeof target) == 0) {
      connections_.push_back(std::move(connection));
    }
  }

  // Hands over what has arrived; false if the receiver is gone.
  static bool Deliver(Flow& flow, Time now) {
    while (!flow.packets.empty() && flow.packets.front().arrives_at <= now) {
      std::string& bytes = flow.packets.front().bytes;
      const ssize_t sent = ::send(flow.to, bytes.data(), bytes.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0) {
        return errno == EAGAIN;
      }
      flow.queued_bytes -= static_cast<std::size_t>(sent);
      bytes.erase(0, static_cast<std::size_t>(sent));
      if (bytes.empty()) {
        flow.packets.pop_front();
      }
    }
    return true;
  }

  // Takes packets, of the connections in turn, as far as the link is free.
  void Carry(std::size_t way, Time now) {
    while (free_at_[way] <= now) {
      free_at_[way] = std::max(free_at_[way], now - kCatchUp);
      if (!CarryOne(way)) {
        return;
      }
    }
  }

  bool CarryOne(std::size_t way) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      Connection& connection =
          *connections_[turn_[way]++ % connections_.size()];
      Flow& flow = connection.flows[way];
      if (!flow.CanRead()) {
        continue;
      }
      std::array<char, kPacketBytes> buffer{};
      const ssize_t size =
          ::recv(flow.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size > 0) {
        free_at_[way] +=
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(size) /
                static_cast<double>(quality_.bytes_per_s)));
        flow.packets.push_back(
            {free_at_[way] + quality_.delay,
             std::string(buffer.data(), static_cast<std::size_t>(size))});
        flow.queued_bytes += static_cast<std::size_t>(size);
        return true;
      }
      flow.has_ended |= size == 0;
      connection.is_broken |= size < 0 && errno != EAGAIN;
    }
    return false;
  }

  const int replica_port_;
  const int port_;
  const LinkQuality quality_;
  std::vector<std::unique_ptr<Socket>> listeners_;
  std::vector<sockaddr_in> targets_;
  std::vector<std::unique_ptr<Connection>> connections_;
  // Of each direction, when the link is free again and whose turn it is.
  std::array<Time, 2> free_at_{};
  std::array<std::size_t, 2> turn_{};
  std::atomic<bool> must_end_{false};
  std::thread thread_;
};

ThinLink::ThinLink(const std::vector<std::string>& replica_ips,
                   int replica_port,
                   int port,
                   LinkQuality quality)
    : impl_(std::make_unique<Impl>(replica_ips, replica_port, port, quality)) {}

ThinLink::~ThinLink() = default;

std::map<std::string, std::string> ThinLink::Environment() const {
  return impl_->Environment();
}

}  // namespace banyan
