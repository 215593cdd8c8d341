// Clients that exceed the limits or do not complete their requests, beside the others, and the
// check that each process keeps within its memory.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "tests/overload/crowd.h"
#include "tests/soak/soak_node.h"

namespace runshelf::soak {

// Limits of each process in a run with such clients, as its settings state them.
constexpr uint64_t kRudeMemoryMb = 64;
constexpr uint64_t kRudeFileDescriptors = 700;

// Sends crowds of connections to random ports of random nodes. No request of them is complete.
class RudeClients {
 public:
  // `nodes` must outlive this object.
  RudeClients(event::EventLoop& loop, const std::vector<std::unique_ptr<SoakNode>>& nodes,
              uint64_t seed);

  // Sends crowds until `end`.
  void Start(Instant end);
  // Notes which processes use more than their memory; to be called at short intervals.
  void Watch();
  // Number of connections so far.
  uint64_t connections() const { return connections_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct OpenCrowd {
    std::unique_ptr<overload::Crowd> crowd;
    Instant leaves_at{};
  };

  void Send();
  overload::RudeRequest MakeRequest();
  event::Endpoint ChoosePort(const SoakNode& node);

  event::EventLoop& loop_;
  const std::vector<std::unique_ptr<SoakNode>>& nodes_;
  SeededRandom random_;
  event::Timer timer_;
  std::list<OpenCrowd> open_;
  Instant end_{};
  Instant measured_at_{};
  uint64_t connections_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
