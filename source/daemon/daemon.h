// The whole daemon: its parts, put together from settings.
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "source/daemon/settings.h"

namespace runshelf::daemon {

class Daemon {
 public:
  // Binds the addresses and starts all threads. `clock` must outlive the daemon. kUnavailable when
  // an address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Daemon>> Start(const Clock& clock,
                                                       const Settings& settings);

  // Stops at once, as far as no request is in progress.
  virtual ~Daemon() = default;

  // A planned stop: hands over all slots, lets requests in progress finish, then stops. Returns
  // false when that took longer than the setting stop_timeout and was cut short.
  virtual bool StopPlanned() = 0;
};

}  // namespace runshelf::daemon
