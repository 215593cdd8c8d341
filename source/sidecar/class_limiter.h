// Rate limiter for the requests of each caller class at one worker. The rate is the node's share of
// the limit in the operators' table.
#pragma once

#include <map>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Keeps one token bucket per caller class. Deterministic; not thread-safe.
class ClassLimiter {
 public:
  // Takes one token from the bucket of the class, which fills at `rate` tokens per second; a rate
  // of zero admits no request. Returns zero if the request is admitted, and otherwise the time
  // until the next request may be admitted, at most 5 s.
  Duration Admit(Instant now, const std::string& caller_class, double rate);

 private:
  struct Bucket {
    double tokens = 1;
    Instant refilled_at{};
  };
  std::map<std::string, Bucket> buckets_;
};

}  // namespace runshelf::sidecar
