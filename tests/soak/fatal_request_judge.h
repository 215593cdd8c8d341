// Judges whether requests that end the workers that begin them are kept away from workers. Free of
// input and output.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Tells such a request, for workers that are to end under it as well.
inline bool IsFatalRequest(const std::string& target) { return target.ends_with("/fatal"); }

// A worker began such a request.
struct FatalRun {
  std::string target;
  std::string worker;  // Its life.
  size_t node = 0;     // That its caller sent it to.
  Instant at{};
  bool in_touch = false;  // Nothing disturbed that node, nor the store.
};

class FatalRequestJudge {
 public:
  void OnBegan(const FatalRun& run);
  // It ended the worker.
  void OnEnded(const std::string& target, Instant at);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }
  // Ends of workers by all such requests.
  int ends() const { return ends_; }

 private:
  struct Request {
    std::vector<Instant> ends;
    std::vector<FatalRun> runs;
    int begun_too_late = 0;  // By nodes in touch.
  };

  // All runs of the request, for whoever looks for the ends that nobody counted.
  static std::string History(const Request& request);

  std::map<std::string, Request> requests_;  // By target.
  std::vector<std::string> violations_;
  int ends_ = 0;
};

}  // namespace runshelf::soak
