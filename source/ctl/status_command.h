// The status command of runshelfctl: asks one daemon for its view of the fleet and prints it.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// Returns the daemon's JSON status as indented "name: value" lines. kInvalidArgument when `json`
// is not a JSON object.
absl::StatusOr<std::string> FormatStatus(std::string_view json);

// GETs http://<address>/status. kUnavailable when the daemon does not answer with 200.
absl::StatusOr<std::string> FetchStatus(const std::string& address);

// Returns the exit code.
int RunStatusCommand(const StatusCommand& command, const Streams& streams);

}  // namespace runshelf::ctl
