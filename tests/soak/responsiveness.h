// Polls the readiness endpoint of every node to detect nodes that lack processor time. Guarantees
// with a time limit are not checked for nodes that are slow because the machine is overloaded.
#pragma once

#include <memory>
#include <vector>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "tests/soak/soak_node.h"

namespace runshelf::soak {

class Responsiveness {
 public:
  Responsiveness(event::EventLoop& loop, const std::vector<std::unique_ptr<SoakNode>>& nodes);
  ~Responsiveness();

  // Polls the nodes that are due; must be called at short intervals.
  void Watch();
  // True if the node's latest response took too long, or is overdue.
  bool Slow(size_t node) const;
  // Longest response time of any node, without probes during which the node was paused.
  Duration longest() const { return longest_; }

 private:
  struct Probe {
    Instant sent_at{};
    bool slow = false;
    bool paused = false;  // The node was paused at some time since `sent_at`.
    std::unique_ptr<http::SimpleCall> call;
  };

  void SendProbe(size_t node);

  event::EventLoop& loop_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  http::ConnectionPool pool_;
  std::vector<Probe> probes_;
  Duration longest_{0};
};

}  // namespace runshelf::soak
