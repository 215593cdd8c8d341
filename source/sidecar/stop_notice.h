// What a stopping node tells others of its stop, with each of its answers.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

struct StopNotice {
  Duration takes_requests{0};  // New requests are taken this much longer; zero: not any more.
  Duration ends{0};            // The process is gone after this time, or another one is there.

  bool operator==(const StopNotice&) const = default;
};

}  // namespace runshelf::sidecar
