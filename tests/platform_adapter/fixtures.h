// Helpers shared by the sidecar tests and the soak test, independent of any test framework.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "source/event/tcp_stream.h"

namespace runshelf::platform_adapter {

// Returns `count` endpoints of `ip` with distinct ports on which nothing listens at present.
std::vector<event::Endpoint> FreeEndpoints(const std::string& ip, size_t count);

// The initial route configuration of a test fleet, in the operator's JSON format. `plain_service`
// is the service of the routes "read" and "send".
std::string TestConfiguration(int version, const std::string& plain_service);

}  // namespace runshelf::platform_adapter
