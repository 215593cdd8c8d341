// Judges whether requests that end the workers that begin them are kept away from workers. Free of
// input and output.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Tells such a request, for workers that are to end under it as well.
inline bool IsFatalRequest(const std::string& target) { return target.ends_with("/fatal"); }

class FatalRequestJudge {
 public:
  // A worker began the request `target`. `in_touch`: nothing disturbed the node that it was sent
  // to, nor the store.
  void OnBegan(const std::string& target, Instant at, bool in_touch);
  // It ended the worker.
  void OnEnded(const std::string& target, Instant at);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }
  // Ends of workers by all such requests.
  int ends() const { return ends_; }

 private:
  struct Request {
    std::vector<Instant> ends;
    int begun_too_late = 0;  // By nodes in touch.
  };
  std::map<std::string, Request> requests_;  // By target.
  std::vector<std::string> violations_;
  int ends_ = 0;
};

}  // namespace runshelf::soak
