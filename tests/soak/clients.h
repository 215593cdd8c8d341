// Clients that send requests to the nodes. Some use persistent connections until these are closed,
// also while the node stops; others open a new connection for each request. Some requests are
// abandoned early.
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

class Clients {
 public:
  // `nodes` must outlive the clients.
  Clients(event::EventLoop& loop, Witness& witness,
          const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed);
  ~Clients();

  void Start();

 private:
  class Client;

  Attempt DrawAttempt(const SoakNode& node, http::RequestHead* head);

  event::EventLoop& loop_;
  Witness& witness_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  SeededRandom random_;
  std::string prefix_;  // Prefix of attempt ids.
  std::vector<std::unique_ptr<Client>> clients_;
  uint64_t attempts_ = 0;
};

}  // namespace runshelf::soak
