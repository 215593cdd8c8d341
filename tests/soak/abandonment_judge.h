// Checks that nodes cancel requests whose callers have disconnected. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Collects disconnects and worker activity of one run and reports violations.
class AbandonmentJudge {
 public:
  // A caller closed its connection before it got a response; a worker may still be processing the
  // request. `repeatable`: the request is idempotent, so the node may cancel it.
  void OnLeft(const std::string& id, Instant at, bool repeatable);
  // A worker began processing a request, or stopped processing it at `at`; both are ignored unless
  // the caller had disconnected. `in_touch`: no fault affected the nodes on the request's path.
  // `would_last_until`: when the work would have ended without cancellation.
  void OnBegan(const std::string& id, Instant at, bool in_touch);
  void OnWorkEnded(const std::string& id, Instant at, Instant would_last_until, bool in_touch);

  // Finish() checks, at the end of the run, the share of requests that were not cancelled.
  // violations() has one line per violation so far.
  void Finish();
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Left {
    Instant at;
    bool repeatable = false;
  };
  std::map<std::string, Left> left_;
  int begun_late_ = 0;   // Requests that reached a worker after the time limit.
  int cancellable_ = 0;  // Repeatable requests whose work would have outlasted it.
  std::vector<std::string> violations_;
  int not_cancelled_ = 0;  // Those of `cancellable_` that were not cancelled in time.
};

}  // namespace runshelf::soak
