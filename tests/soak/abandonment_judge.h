// Judges whether the nodes stop work for callers that have left. Free of input and output.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

class AbandonmentJudge {
 public:
  // A caller closed its connection before its answer; a worker may be at work on the request.
  // `repeatable`: the request may be broken off.
  void OnLeft(const std::string& id, Instant at, bool repeatable);
  // A worker began a request, or went on until `at`, of which its caller had left. `in_touch`:
  // nothing disturbed the nodes on the way. `would_last_until`: of work that was broken off.
  void OnBegan(const std::string& id, Instant at, bool in_touch);
  void OnWorkEnded(const std::string& id, Instant at, Instant would_last_until, bool in_touch);

  // One line for each finding so far: how many requests came late, and the share that went on.
  // The share is judged when the run is over.
  void Finish();
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Left {
    Instant at;
    bool repeatable = false;
  };
  std::map<std::string, Left> left_;
  int begun_late_ = 0;  // Requests that reached a worker long after their callers had left.
  int would_last_ = 0;  // Repeatable ones whose work would have gone on long after that.
  std::vector<std::string> violations_;
  int worked_on_ = 0;  // Of those: that went on.
};

}  // namespace runshelf::soak
