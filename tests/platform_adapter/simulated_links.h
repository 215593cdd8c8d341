// Links between machines, with a bandwidth each, on the test's event loop: for tests of what nodes
// send each other when their links are narrow. Packets wait in line, first come first served; each
// flow has a window of packets in line and adds others as these leave.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "source/event/event_loop.h"

namespace runshelf::platform_adapter {

class SimulatedLinks {
 public:
  explicit SimulatedLinks(event::EventLoop& loop);

  void AddMachine(const std::string& machine, double bytes_per_second);

  // Bytes on their way from one machine to another.
  struct Flow {
    std::string from;
    std::string to;
    size_t left = 0;       // Not in line yet.
    size_t in_line = 0;    // In line at the sender's link.
    Instant not_before{};  // Nothing is sent earlier.
    std::function<void(size_t bytes)> on_arrival;
  };
  std::shared_ptr<Flow> Send(Flow flow);
  // The sender gives up: what is in line is still sent, and leads nowhere.
  void Abandon(const std::shared_ptr<Flow>& flow);

  // Bytes that a machine has sent since the start, those of abandoned flows included.
  size_t BytesSent(const std::string& machine) const;
  // The longest time that a packet has waited to leave a machine: so long its answers to health
  // checks took.
  Duration LongestWait(const std::string& machine) const;

 private:
  struct Packet {
    std::shared_ptr<Flow> flow;
    size_t bytes = 0;
    Instant queued_at{};
  };
  // One direction of a machine's link.
  struct Direction {
    double credit = 0;  // Bytes that may pass now.
    std::deque<Packet> line;
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
