// Simulates network links of limited bandwidth on the test's event loop, for tests of the traffic
// between nodes with narrow links. Each machine has a full-duplex link with FIFO queues. A flow has
// at most one window of bytes in the sender's queue and queues more as packets leave.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "source/event/event_loop.h"

namespace runshelf::platform_adapter {

// The links of all machines. Not thread-safe: runs on the given event loop.
class SimulatedLinks {
 public:
  explicit SimulatedLinks(event::EventLoop& loop);

  // Adds a machine whose link has this bandwidth in each direction.
  void AddMachine(const std::string& machine, double bytes_per_second);

  // A transfer of bytes from one machine to another.
  struct Flow {
    std::string from;
    std::string to;
    size_t left = 0;          // Bytes not queued yet.
    size_t queued_bytes = 0;  // Bytes in the sender's uplink queue.
    Instant not_before{};     // Earliest time at which bytes are queued.
    // Called for each packet delivered.
    std::function<void(size_t bytes)> on_arrival;
  };
  // Starts the transfer.
  std::shared_ptr<Flow> Send(Flow flow);
  // Cancels the transfer: packets already queued still use bandwidth but are not delivered.
  void Abandon(const std::shared_ptr<Flow>& flow);

  // Bytes that a machine has sent since the start, including those of abandoned flows.
  size_t BytesSent(const std::string& machine) const;
  // The longest time that a packet has waited in a machine's uplink queue, which is the delay that
  // a health check response would have had.
  Duration LongestWait(const std::string& machine) const;

 private:
  struct Packet {
    std::shared_ptr<Flow> flow;
    size_t bytes = 0;
    Instant queued_at{};
  };
  // One direction of a machine's link.
  struct Direction {
    // Bytes that may be sent now; negative after overshooting by part of a packet.
    double credit = 0;
    std::deque<Packet> queue;
  };
  struct Link {
    double bytes_per_second = 0;
    Direction up;
    Direction down;
    size_t sent = 0;
    Duration longest_wait{0};
  };

  void Tick();
  void Queue(Instant now);
  void PassUp(Link* link, Instant now);
  void PassDown(Link* link);

  event::EventLoop& loop_;
  event::Timer timer_;
  std::map<std::string, Link> links_;
  std::list<std::shared_ptr<Flow>> flows_;
  Instant ticked_at_;
};

}  // namespace runshelf::platform_adapter
