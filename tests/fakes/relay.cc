#include "tests/fakes/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
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

// A relayed connection; its two sockets live as long as it does.
struct Pair {
  int near = -1;
  int far = -1;
};

}  // namespace

class Relay::Impl {
 public:
  Impl(const std::string& from, const std::string& to)
      : target_(ToSockaddr(to)) {
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
        polled.push_back({pair.near, POLLIN, 0});
        polled.push_back({pair.far, POLLIN, 0});
      }
      ::poll(polled.data(), polled.size(), kPollMs);
      std::vector<Pair> kept;
      for (std::size_t i = 0; i < pairs_.size(); ++i) {
        const bool near_ready = polled[1 + 2 * i].revents != 0;
        const bool far_ready = polled[2 + 2 * i].revents != 0;
        const bool is_open =
            (!near_ready || Move(pairs_[i].near, pairs_[i].far, true)) &&
            (!far_ready || Move(pairs_[i].far, pairs_[i].near, false));
        if (is_open) {
          kept.push_back(pairs_[i]);
        } else {
          ::close(pairs_[i].near);
          ::close(pairs_[i].far);
        }
      }
      pairs_ = kept;
      if (polled[0].revents != 0) {
        Accept();
      }
    }
  }

  // Passes on or swallows what one side sent; false when it closed.
  bool Move(int from, int to, bool is_forward) {
    std::array<char, 65536> buffer{};
    const ssize_t size = ::recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    const Mode mode = mode_;
    const bool is_swallowed =
        mode == Mode::kSwallow || (mode == Mode::kSwallowForward && is_forward);
    if (is_swallowed) {
      return true;
    }
    ssize_t sent = 0;
    while (sent < size) {
      const ssize_t n =
          ::send(to, buffer.data() + sent, size - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += n;
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
    pairs_.push_back({near, far});
  }

  void CloseAll() {
    for (const Pair& pair : pairs_) {
      ::close(pair.near);
      ::close(pair.far);
    }
    pairs_.clear();
  }

  sockaddr_in target_;
  int listener_ = -1;
  std::atomic<Mode> mode_{Mode::kPass};
  std::atomic<bool> must_end_{false};
  std::vector<Pair> pairs_;
  std::thread thread_;
};

Relay::Relay(const std::string& from, const std::string& to)
    : impl_(std::make_unique<Impl>(from, to)) {}

Relay::~Relay() = default;

void Relay::set_mode(Mode mode) {
  impl_->set_mode(mode);
}

}  // namespace banyan
