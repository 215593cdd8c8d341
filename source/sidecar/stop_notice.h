// Notice of a planned stop that a stopping node attaches to each of its responses.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// Both times are relative to the moment at which the notice is sent.
struct StopNotice {
  Duration takes_requests{0};  // New requests are accepted for this long; zero: no longer.
  Duration ends{0};            // The process has ended or has been replaced after this time.

  bool operator==(const StopNotice&) const = default;
};

}  // namespace runshelf::sidecar
