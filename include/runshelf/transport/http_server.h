// An HTTP server on one address: bounded threads, bounded messages, slow senders cut off.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/transport/http_message.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::transport {

// Handles the requests of one server. Called by several threads at once.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  // Returns the response. `caller` tells when the other end has gone away.
  virtual HttpResponse Handle(HttpRequest request, PeerWatch caller) = 0;

  // Returns the response to a request that could not be read whole: 400. Its parts may be missing;
  // without a method nothing is known of it.
  virtual HttpResponse RefuseUnreadable(const HttpRequest& request, int status);
};

struct HttpServerOptions {
  int max_threads = 256;  // Connections served at once; each has a thread.
  int max_queued = 256;   // Connections that wait for a thread; more are closed.
  size_t max_body_bytes = size_t{1} << 20;
  // A request must arrive whole within this time, and each write of a response must be taken.
  Duration read_allowance = std::chrono::seconds(10);
  Duration keep_alive_timeout = std::chrono::seconds(15);
  // Drain() goes on to accept until no request has come for the first time, at most for the second:
  // waiting does not end callers that do not mind the closed connections.
  Duration drain_quiet_time = std::chrono::milliseconds(500);
  Duration drain_longest_wait = std::chrono::seconds(2);
  // Then it closes connections on which nothing arrives for this long.
  Duration drain_idle_time = std::chrono::seconds(1);
};

class HttpServer {
 public:
  // Binds `address` ("ip:port"; port 0 picks a free one) and starts to serve. `clock` and `handler`
  // must outlive the server. kUnavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(const Clock& clock,
                                                           const std::string& address,
                                                           HttpServerOptions options,
                                                           HttpHandler& handler);

  // Stops as Stop() does.
  virtual ~HttpServer() = default;

  // The bound address, "ip:port".
  virtual std::string address() const = 0;

  // Ends the service without cutting a request: from now on every response closes its connection.
  // Once no request has come for a short while, or callers keep coming anyway, accepts no more
  // connections, answers what arrives on the others and closes them when they are idle. Returns
  // whether that was done by `deadline`. Stop() is still needed.
  virtual bool Drain(Instant deadline) = 0;

  // Accepts no more connections, lets each request that has arrived finish, then closes. A caller
  // that sends at this instant finds its connection cut; Drain() before avoids that.
  virtual void Stop() = 0;
};

}  // namespace runshelf::transport
