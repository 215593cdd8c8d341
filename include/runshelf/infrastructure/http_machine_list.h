// A MachineList that is read by GET /machines (docs/PROTOCOLS.md, "Platform").
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/infrastructure/machine_list.h"

namespace runshelf::infrastructure {

// Returns a list that is safe to read from any thread. `address` is the IP number and port of the
// service; `timeout` bounds each read as a whole. kInvalidArgument: a malformed address, or a
// timeout that is not positive. Any failure to read is kUnavailable.
absl::StatusOr<std::unique_ptr<MachineList>> MakeHttpMachineList(const std::string& address,
                                                                 Duration timeout);

}  // namespace runshelf::infrastructure
