// Checks that nodes stop forwarding requests that crash every worker that processes them. Performs
// no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Whether a request is fatal; workers use the same test to decide whether to crash.
inline bool IsFatalRequest(const std::string& target) { return target.ends_with("/fatal"); }

// A worker began a fatal request.
struct FatalRun {
  std::string target;
  std::string worker;  // Worker incarnation.
  size_t node = 0;     // Node that received it from the caller.
  Instant at{};
  bool in_touch = false;  // No fault affected that node or the store.
};

// Counts the crashes per request target and reports runs after the request is known to be fatal.
class FatalRequestJudge {
 public:
  void OnBegan(const FatalRun& run);
  // A request for `target` crashed its worker.
  void OnEnded(const std::string& target, Instant at);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }
  // Number of worker crashes caused by fatal requests.
  int ends() const { return ends_; }

 private:
  struct Request {
    std::vector<Instant> ends;
    std::vector<FatalRun> runs;
    int begun_too_late = 0;  // Through nodes unaffected by faults.
  };

  // All runs of the request, to help find crashes that the nodes did not count.
  static std::string History(const Request& request);

  std::map<std::string, Request> requests_;  // By target.
  std::vector<std::string> violations_;
  int ends_ = 0;
};

}  // namespace runshelf::soak
