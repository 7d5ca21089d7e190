// Preloaded into a process behind a thin link (thin_link.h): connections to the
// port THIN_LINK_REPLICA_PORT go to THIN_LINK_PORT of the same address, where
// the link begins.

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace {

std::uint16_t PortOf(const char* name) {
  const char* value = std::getenv(name);
  return htons(static_cast<std::uint16_t>(value ? std::atoi(value) : 0));
}

}  // namespace

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
  sockaddr_in target{};
  if (address->sa_family == AF_INET && size == sizeof target) {
    std::memcpy(&target, address, sizeof target);
    if (target.sin_port == PortOf("THIN_LINK_REPLICA_PORT")) {
      target.sin_port = PortOf("THIN_LINK_PORT");
    }
    return static_cast<int>(::syscall(SYS_connect, fd, &target, sizeof target));
  }
  return static_cast<int>(::syscall(SYS_connect, fd, address, size));
}
