// Holds the requests of each caller class at one worker below the node's share of the table's
// limit.
#pragma once

#include <map>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A token bucket for each class. Deterministic; not thread-safe.
class ClassLimiter {
 public:
  // Takes one request of the class at `rate` requests a second; zero admits none. Returns zero when
  // it is admitted, else after what time the next one may be.
  Duration Admit(Instant now, const std::string& caller_class, double rate);

 private:
  struct Bucket {
    double tokens = 1;
    Instant refilled_at{};
  };
  std::map<std::string, Bucket> buckets_;
};

}  // namespace runshelf::sidecar
