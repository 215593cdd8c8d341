// Checks that a deregistering worker receives no requests after the drain time-out. Performs no
// I/O.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// A request that a worker began, and where it came from.
struct BegunRequest {
  std::string worker;
  std::string id;
  size_t machine = 0;  // Where the client sent it.
  Instant sent_at{};   // When the client sent it.
  Instant machine_disturbed_at{};
};

// Collects acknowledged deregistrations, and answers in which workers state that they leave;
// reports requests that begin too late.
class DrainJudge {
 public:
  // `drain_timeout`: how long requests may reach a worker after its deregistration was
  // acknowledged.
  explicit DrainJudge(Duration drain_timeout) : drain_timeout_(drain_timeout) {}

  void OnLeaveAcknowledged(const std::string& worker, Instant at) {
    acknowledged_.try_emplace(worker, at);
  }
  // A worker began a request. `in_touch`: no fault affected the nodes that forwarded it.
  void OnBegan(const std::string& worker, const std::string& id, Instant at, bool in_touch);

  // The machine passed on an answer in which the worker states that it leaves.
  void OnLeavingPassedOn(const std::string& worker, size_t machine, Instant at) {
    passed_on_.try_emplace({worker, machine}, at);
  }
  // A worker began a request; judged by what the machine passed on before.
  void OnBeganAfterStatement(const BegunRequest& request);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  Duration drain_timeout_;
  std::map<std::string, Instant> acknowledged_;
  std::map<std::pair<std::string, size_t>, Instant> passed_on_;  // By worker and machine.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
