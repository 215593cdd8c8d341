// Sends requests that crash the worker that processes them, repeatedly and through random nodes.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "tests/soak/caller_connection.h"
#include "tests/soak/soak_node.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

// A load generator for fatal requests at random intervals.
class FatalRequests {
 public:
  // `nodes` must outlive this object.
  FatalRequests(event::EventLoop& loop, Witness& witness,
                const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed);

  void Start();

 private:
  struct OpenRequest {
    std::string id;
    std::unique_ptr<CallerConnection> connection;
    bool over = false;
  };

  void Send();
  // All requests of a route have the same path, key and body.
  Attempt MakeAttempt(const SoakNode& node, http::RequestHead* head);

  event::EventLoop& loop_;
  Witness& witness_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  SeededRandom random_;
  event::Timer timer_;
  std::list<OpenRequest> open_;
  uint64_t sent_ = 0;
};

}  // namespace runshelf::soak
