// Clients that download more than the links of the workers' machines carry. Some use persistent
// connections until these are closed, also while the node stops.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "tests/soak/caller_connection.h"
#include "tests/soak/soak_node.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

// Bandwidth of each machine's link as its settings state it. Nothing enforces it.
constexpr int kLinkMegabits = 10;

// A load generator for large answers, at random intervals and through random nodes.
class Downloads {
 public:
  // `nodes` must outlive this object.
  Downloads(event::EventLoop& loop, Witness& witness,
            const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed);

  void Start();
  // Number of downloads that workers answered.
  uint64_t served() const { return served_; }

 private:
  struct OpenDownload {
    std::string id;
    std::unique_ptr<CallerConnection> connection;
    std::unique_ptr<event::Timer> timer;
    bool over = false;
  };

  void Send();
  Attempt MakeAttempt(const SoakNode& node, http::RequestHead* head);
  std::unique_ptr<CallerConnection> TakeConnection(const SoakNode& node);
  void OnEnded(const SoakNode& node, OpenDownload* open, CallerConnection::End end,
               const http::Response& response);
  void GiveUp(OpenDownload* open);

  event::EventLoop& loop_;
  Witness& witness_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  SeededRandom random_;
  event::Timer timer_;
  std::list<OpenDownload> open_;
  std::map<const SoakNode*, std::vector<std::unique_ptr<CallerConnection>>> idle_;
  uint64_t sent_ = 0;
  uint64_t served_ = 0;
};

}  // namespace runshelf::soak
