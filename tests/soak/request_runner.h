// Simulates request processing at the workers. Each request takes a random time, some make a nested
// call through their node, and those that outlast their key grant or deadline fail.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/http/server.h"
#include "tests/soak/caller_connection.h"
#include "tests/soak/soak_node.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

class RequestRunner {
 public:
  RequestRunner(event::EventLoop& loop, Witness& witness, uint64_t seed);
  ~RequestRunner();

  // Starts processing a request at the node's worker. `others`: other workers that also hold the
  // request's key.
  void Begin(const SoakNode& node, const http::ExchangePtr& exchange,
             const std::vector<std::string>& others);
  // The node's worker has terminated; aborts all its requests.
  void OnWorkerEnded(const SoakNode& node);
  // True if the node's worker is processing a request with a key in [first, last].
  bool Busy(const SoakNode& node, uint32_t first, uint32_t last) const;

 private:
  struct Run;

  void Continue(Run* run);
  void Call(Run* run);
  void OnCalled(Run* run, CallerConnection::End end, http::Response&& response);
  void Answer(Run* run, int status);
  void End(Run* run, WorkEnd end, int status);
  std::unique_ptr<CallerConnection> TakeConnection(const SoakNode& node);

  event::EventLoop& loop_;
  Witness& witness_;
  SeededRandom random_;
  std::vector<std::unique_ptr<Run>> runs_;
  // Idle connections from each worker to its node.
  std::map<const SoakNode*, std::vector<std::unique_ptr<CallerConnection>>> idle_;
  uint64_t calls_ = 0;
};

}  // namespace runshelf::soak
