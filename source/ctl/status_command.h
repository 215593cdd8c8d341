// The status command of runshelfctl: fetches one daemon's view of the fleet and prints it.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// Formats the daemon's JSON status as indented "name: value" lines. Returns kInvalidArgument if
// `json` is not a JSON object.
absl::StatusOr<std::string> FormatStatus(std::string_view json);

// Sends GET http://<address>/status and returns the response body. Returns kUnavailable if the
// address is invalid, the connection fails or times out, the status is not 200, or the body exceeds
// 16 MiB.
absl::StatusOr<std::string> FetchStatus(const std::string& address);

// Prints the status of the daemon. Returns kExitOk, or kExitUnavailable if there is no valid
// response.
int RunStatusCommand(const StatusCommand& command, const Streams& streams);

}  // namespace runshelf::ctl
