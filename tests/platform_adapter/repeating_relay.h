// A relay between a node and its worker that says answers a second time, in the place where the
// next answer on their connection is expected.
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

class RepeatingRelay {
 public:
  enum class Exchange { kRequest, kHealthCheck, kGrant, kRelease };

  // How an answer is said again.
  struct Repetition {
    Duration after{0};  // The request whose place it takes; that one reaches the worker at once.
  };
  // Whether the answer to `former` is said again where the one to `next` is expected; nullopt: not.
  using Policy = std::function<std::optional<Repetition>(Exchange former, Exchange next)>;

  // Listens on a free port of the loopback interface.
  RepeatingRelay(event::EventLoop& loop, event::Endpoint worker);
  ~RepeatingRelay();
  RepeatingRelay(const RepeatingRelay&) = delete;
  RepeatingRelay& operator=(const RepeatingRelay&) = delete;

  event::Endpoint endpoint() const;
  void set_policy(Policy policy) { policy_ = std::move(policy); }
  // Connections beyond so many at once are closed.
  void set_connection_limit(size_t limit) { connection_limit_ = limit; }
  // How many of them the node has sent.
  size_t Sent(Exchange exchange) const { return sent_[static_cast<size_t>(exchange)]; }
  size_t repeated() const { return repeated_; }
  // Connections that were closed since there were too many.
  size_t turned_away() const { return turned_away_; }

 private:
  class Pair;

  event::EventLoop& loop_;
  event::Endpoint worker_;
  event::TcpListener listener_;
  std::list<std::unique_ptr<Pair>> pairs_;
  Policy policy_;
  size_t sent_[4] = {};
  size_t repeated_ = 0;
  size_t turned_away_ = 0;
  size_t connection_limit_ = SIZE_MAX;
};

}  // namespace runshelf::platform_adapter
