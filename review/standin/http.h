#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

// A request as a server reads it. Names of fields are in lower case.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> fields;
  std::string body;
};

// A response; status 0 means that there was none.
struct Response {
  int status = 0;
  std::string body;
};

// Sends one request on a connection of its own and waits for the response.
// The connection is closed when the time is up, as a caller does that gives up.
[[nodiscard]] Response Call(const std::string& address,
                            const std::string& method,
                            const std::string& path,
                            const std::string& host,
                            const std::string& body,
                            int timeout_ms);

// Whether an address can be listened on.
[[nodiscard]] bool IsFree(const std::string& address);

// A server with a thread per connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(std::string address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] bool Start();
  // Closes the listening socket and all connections.
  void Stop();

 private:
  void Accept();
  void Serve(int fd);

  std::string address_;
  Handler handler_;
  std::atomic<bool> must_end_{false};
  int listener_ = -1;
  std::thread accept_thread_;
  std::mutex mutex_;
  std::set<int> connections_;
  std::atomic<int> active_{0};
};

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_H_
