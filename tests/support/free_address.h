#ifndef BANYAN_TESTS_SUPPORT_FREE_ADDRESS_H_
#define BANYAN_TESTS_SUPPORT_FREE_ADDRESS_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string>

namespace banyan {

// Returns a loopback address that nothing listens on.
inline std::string FreeAddress() {
  const Poco::Net::ServerSocket socket{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  return socket.address().toString();
}

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_FREE_ADDRESS_H_
