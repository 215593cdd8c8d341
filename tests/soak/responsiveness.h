// Asks every node again and again for its readiness, to know which ones are short of processor
// time: what is bound by time is not held against a machine that is too busy for it.
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

  // Call often: asks the nodes that are due.
  void Watch();
  // The node's latest answer took too long, or is overdue.
  bool Slow(size_t node) const;
  // The longest that any node took to answer that was not paused meanwhile.
  Duration longest() const { return longest_; }

 private:
  struct Probe {
    Instant sent_at{};
    bool slow = false;
    bool paused = false;  // The node was, at some time since.
    std::unique_ptr<http::SimpleCall> call;
  };

  void Ask(size_t node);

  event::EventLoop& loop_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  http::ConnectionPool pool_;
  std::vector<Probe> probes_;
  Duration longest_{0};
};

}  // namespace runshelf::soak
