// A relay in front of a worker, which can be slow to read requests.
#pragma once

#include <list>
#include <memory>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::overload {

// Passes the bytes of each connection on in both directions.
class SlowRelay {
 public:
  SlowRelay(event::EventLoop& loop, event::Endpoint worker);
  ~SlowRelay();

  event::Endpoint endpoint() const { return {"127.0.0.1", listener_.bound_port()}; }
  // While set, the relay pauses after each read of a connection that has sent more than 64 KiB.
  void set_slow(bool value) { slow_ = value; }

 private:
  class Pair;

  event::EventLoop& loop_;
  event::Endpoint worker_;
  std::list<std::unique_ptr<Pair>> pairs_;
  event::TcpListener listener_;
  bool slow_ = false;
};

}  // namespace runshelf::overload
