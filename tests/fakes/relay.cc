#include "tests/fakes/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <deque>
#include <string_view>
#include <vector>

namespace banyan {
namespace {

constexpr int kPollMs = 20;
constexpr int kBacklog = 64;

sockaddr_in ToSockaddr(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(&address[colon + 1])));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

// Bytes on their way, or the end of the connection if there are none.
struct Chunk {
  Time due_at;
  int to = -1;
  std::string bytes;
};

// A relayed connection; its two sockets live as long as it does.
struct Pair {
  int near = -1;
  int far = -1;
  bool has_ended = false;
  std::deque<Chunk> chunks;
};

}  // namespace

class Relay::Impl {
 public:
  Impl(const std::string& from, const std::string& to, Duration delay)
      : target_(ToSockaddr(to)), delay_(delay) {
    const sockaddr_in own = ToSockaddr(from);
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&own),
               sizeof(own)) != 0 ||
        ::listen(listener_, kBacklog) != 0) {
      std::abort();
    }
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() {
    must_end_ = true;
    thread_.join();
    CloseAll();
    ::close(listener_);
  }

  void set_mode(Mode mode) { mode_ = mode; }

 private:
  void Run() {
    while (!must_end_) {
      if (mode_ == Mode::kRefuse) {
        CloseAll();
      }
      std::vector<pollfd> polled = {{listener_, POLLIN, 0}};
      for (const Pair& pair : pairs_) {
        const bool is_read = !pair.has_ended && mode_ != Mode::kHold;
        polled.push_back({is_read ? pair.near : -1, POLLIN, 0});
        polled.push_back({is_read ? pair.far : -1, POLLIN, 0});
      }
      ::poll(polled.data(), polled.size(), kPollMs);
      std::vector<Pair> kept;
      for (std::size_t i = 0; i < pairs_.size(); ++i) {
        Pair& pair = pairs_[i];
        if (polled[1 + 2 * i].revents != 0) {
          Receive(pair, pair.near, pair.far, true);
        }
        if (polled[2 + 2 * i].revents != 0) {
          Receive(pair, pair.far, pair.near, false);
        }
        if (PassOn(pair)) {
          kept.push_back(std::move(pair));
        } else {
          ::close(pair.near);
          ::close(pair.far);
        }
      }
      pairs_ = std::move(kept);
      if (polled[0].revents != 0) {
        Accept();
      }
    }
  }

  // Queues or swallows what one side sent.
  void Receive(Pair& pair, int from, int to, bool is_forward) {
    std::array<char, 65536> buffer{};
    const ssize_t size = ::recv(from, buffer.data(), buffer.size(), 0);
    const Time due_at = MonotonicClock::now() + delay_;
    if (size <= 0) {
      pair.has_ended = true;
      pair.chunks.push_back({due_at, to, ""});
      return;
    }
    const Mode mode = mode_;
    const bool is_swallowed =
        mode == Mode::kSwallow || (mode == Mode::kSwallowForward && is_forward);
    if (!is_swallowed) {
      pair.chunks.push_back(
          {due_at, to, std::string(buffer.data(), std::size_t(size))});
    }
  }

  // Sends what is due; false when the connection has ended.
  static bool PassOn(Pair& pair) {
    const Time now = MonotonicClock::now();
    while (!pair.chunks.empty() && pair.chunks.front().due_at <= now) {
      const Chunk& chunk = pair.chunks.front();
      if (chunk.bytes.empty() || !SendAll(chunk.to, chunk.bytes)) {
        return false;
      }
      pair.chunks.pop_front();
    }
    return true;
  }

  static bool SendAll(int to, std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t n = ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      bytes.remove_prefix(std::size_t(n));
    }
    return true;
  }

  void Accept() {
    const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (near < 0) {
      return;
    }
    const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (mode_ == Mode::kRefuse ||
        ::connect(far, reinterpret_cast<const sockaddr*>(&target_),
                  sizeof(target_)) != 0) {
      ::close(near);
      ::close(far);
      return;
    }
    pairs_.push_back({near, far, false, {}});
  }

  void CloseAll() {
    for (const Pair& pair : pairs_) {
      ::close(pair.near);
      ::close(pair.far);
    }
    pairs_.clear();
  }

  sockaddr_in target_;
  Duration delay_;
  int listener_ = -1;
  std::atomic<Mode> mode_{Mode::kPass};
  std::atomic<bool> must_end_{false};
  std::vector<Pair> pairs_;
  std::thread thread_;
};

Relay::Relay(const std::string& from, const std::string& to, Duration delay)
    : impl_(std::make_unique<Impl>(from, to, delay)) {}

Relay::~Relay() = default;

void Relay::set_mode(Mode mode) {
  impl_->set_mode(mode);
}

}  // namespace banyan
