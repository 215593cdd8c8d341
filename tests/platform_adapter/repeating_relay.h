// Proxy between a node and its worker that duplicates responses: the copy arrives where the node
// expects the next response on the connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::platform_adapter {

// Forwards each connection of the node to the worker. Not thread-safe: runs on the given event
// loop.
class RepeatingRelay {
 public:
  // Kinds of requests that a node sends to its worker.
  enum class Exchange { kRequest, kHealthCheck, kGrant, kRelease };

  // How a response is duplicated.
  struct Repetition {
    // Delay of the copy after the next request arrives; that request is forwarded without delay.
    Duration after{0};
  };
  // Decides whether the response to `former` is duplicated where the one to `next` is expected;
  // nullopt when it is not.
  using Policy = std::function<std::optional<Repetition>(Exchange former, Exchange next)>;

  // Listens on a free port of the loopback interface.
  RepeatingRelay(event::EventLoop& loop, event::Endpoint worker);
  ~RepeatingRelay();
  RepeatingRelay(const RepeatingRelay&) = delete;
  RepeatingRelay& operator=(const RepeatingRelay&) = delete;

  event::Endpoint endpoint() const;
  void set_policy(Policy policy) { policy_ = std::move(policy); }
  // Maximum number of concurrent connections; further ones are closed.
  void set_connection_limit(size_t limit) { connection_limit_ = limit; }
  // Number of requests of this kind that the node has sent.
  size_t Sent(Exchange exchange) const { return sent_[static_cast<size_t>(exchange)]; }
  // Number of duplicated responses.
  size_t repeated() const { return repeated_; }
  // Number of connections closed because of the limit.
  size_t rejected_connections() const { return rejected_connections_; }

 private:
  class Pair;

  event::EventLoop& loop_;
  event::Endpoint worker_;
  event::TcpListener listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
  Policy policy_;
  size_t sent_[4] = {};
  size_t repeated_ = 0;
  size_t rejected_connections_ = 0;
  size_t connection_limit_ = SIZE_MAX;
};

}  // namespace runshelf::platform_adapter
