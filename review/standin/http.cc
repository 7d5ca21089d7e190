#include "review/standin/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

int Remaining(Clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool WaitFor(int fd, short events, Clock::time_point deadline) {
  pollfd item{fd, events, 0};
  return ::poll(&item, 1, Remaining(deadline)) == 1;
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// A message as far as it has been read.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;
};

// Reads one message; what follows it stays in `buffer`.
bool ReadMessage(int fd,
                 std::string& buffer,
                 Clock::time_point deadline,
                 Message& out) {
  const auto read_more = [&] {
    if (!WaitFor(fd, POLLIN, deadline)) {
      return false;
    }
    char chunk[16384];
    const ssize_t n = ::recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) {
      return false;
    }
  }
  std::size_t from = buffer.find("\r\n");
  out.start_line = buffer.substr(0, from);
  while (from < end) {
    const std::size_t begin = from + 2;
    from = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, from - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    out.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  buffer.erase(0, end + 4);
  const auto length = out.fields.find("content-length");
  const std::size_t size =
      length == out.fields.end()
          ? 0
          : std::strtoull(length->second.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!read_more()) {
      return false;
    }
  }
  out.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

}  // namespace

Response Call(const std::string& address,
              const std::string& method,
              const std::string& path,
              const std::string& host,
              const std::string& body,
              int timeout_ms) {
  Response response;
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nContent-Type: application/json\r\nBanyanchute-Deadline-Ms: " +
      std::to_string(timeout_ms) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) == 0 &&
      SendAll(fd, request)) {
    std::string buffer;
    Message message;
    if (ReadMessage(fd, buffer, deadline, message)) {
      response.status = std::atoi(
          message.start_line.substr(message.start_line.find(' ') + 1).c_str());
      response.body = message.body;
    }
  }
  ::close(fd);
  return response;
}

bool IsFree(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&target),
                              sizeof(target)) == 0;
  ::close(fd);
  return is_free;
}

Server::Server(std::string address, Handler handler)
    : address_(std::move(address)), handler_(std::move(handler)) {}

Server::~Server() {
  Stop();
}

bool Server::Start() {
  must_end_ = false;
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = ToSocketAddress(address_);
  if (::bind(listener_, reinterpret_cast<const sockaddr*>(&target),
             sizeof(target)) != 0 ||
      ::listen(listener_, 128) != 0) {
    return false;
  }
  accept_thread_ = std::thread([this] { Accept(); });
  return true;
}

void Server::Stop() {
  must_end_ = true;
  if (accept_thread_.joinable()) {
    accept_thread_.join();
    ::close(listener_);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : connections_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  while (active_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Server::Accept() {
  while (!must_end_) {
    if (!WaitFor(listener_, POLLIN,
                 Clock::now() + std::chrono::milliseconds(20))) {
      continue;
    }
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(fd);
    }
    ++active_;
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  std::string buffer;
  while (!must_end_) {
    Message message;
    if (!ReadMessage(fd, buffer, Clock::now() + std::chrono::minutes(3),
                     message)) {
      break;
    }
    Request request;
    const std::size_t first = message.start_line.find(' ');
    const std::size_t second = message.start_line.find(' ', first + 1);
    request.method = message.start_line.substr(0, first);
    request.path = message.start_line.substr(first + 1, second - first - 1);
    request.fields = std::move(message.fields);
    request.body = std::move(message.body);
    const Response response = handler_(request);
    if (must_end_ || response.status == 0 ||
        !SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(response.body.size()) + "\r\n\r\n" +
                         response.body)) {
      break;
    }
  }
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(fd);
  }
  ::close(fd);
  --active_;
}

}  // namespace review
