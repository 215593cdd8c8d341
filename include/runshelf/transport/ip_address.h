// Addresses as the project writes them: an IP number and a port, "127.0.0.1:7101" or "[::1]:7101".
#pragma once

#include <absl/status/status.h>

#include <string>

namespace runshelf::transport {

// kInvalidArgument, with the reason, unless `address` is an IP number and a port. Names are
// refused, so that no lookup ever blocks. Port 0, "any free port", is for servers of tests.
absl::Status CheckIpAddress(const std::string& address, bool allow_port_zero = false);

}  // namespace runshelf::transport
