// Sends HTTP requests over kept-alive connections, each at most once.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/transport/answer_match.h"
#include "runshelf/transport/http_message.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::transport {

enum class HttpOutcome {
  kAnswered,        // `response` is complete.
  kConnectFailed,   // No byte was handed over, or the peer said that it read none.
  kConnectionLost,  // Bytes were handed over; no complete response came.
  kTimedOut,        // As kConnectionLost; the deadline passed.
  kCancelled,       // As kConnectionLost; the watched caller went away.
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kConnectFailed;
  HttpResponse response;  // Meaningful with kAnswered only.
  bool refused = false;   // With kConnectFailed: the peer's machine refused; nobody listens there.
  std::string detail;     // For logs: what failed.
};

struct HttpConnectionPoolOptions {
  size_t max_idle_per_address = 64;  // Of each lane.
  // Must be shorter than the keep-alive timeout of the servers called.
  Duration max_idle_age = std::chrono::seconds(8);
  Duration connect_timeout = std::chrono::milliseconds(500);
  size_t max_response_bytes = size_t{16} << 20;
};

class HttpConnection;

// Safe for use by several threads at once.
class HttpConnectionPool {
 public:
  // `clock` must outlive the pool.
  HttpConnectionPool(const Clock& clock, HttpConnectionPoolOptions options);
  ~HttpConnectionPool();

  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  // Sends `request` to `address` ("ip:port") and waits for the whole response until `deadline`, or
  // until `caller` reports its peer gone. A connection whose response was given up is closed.
  // A complete response that belongs to another request, by `match`: kConnectionLost.
  HttpResult Call(const std::string& address, const HttpRequest& request, const AnswerMatch& match,
                  Instant deadline, PeerWatch caller = PeerWatch());

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    Instant since;
  };

  using AddressAndLane = std::pair<std::string, std::string>;

  HttpResult ExchangeOn(std::unique_ptr<HttpConnection> connection, const std::string& address,
                        const HttpRequest& request, const AnswerMatch& match, Instant deadline,
                        PeerWatch caller);
  std::unique_ptr<HttpConnection> TakeIdle(const std::string& address, const AnswerMatch& match,
                                           Instant now);
  void Return(const std::string& address, const AnswerMatch& match,
              std::unique_ptr<HttpConnection> connection, Instant now);
  void DropOldConnections(Instant now);

  const Clock& clock_;
  const HttpConnectionPoolOptions options_;
  std::mutex mutex_;
  std::map<AddressAndLane, std::vector<IdleConnection>> idle_;
  Instant next_sweep_{};
};

}  // namespace runshelf::transport
