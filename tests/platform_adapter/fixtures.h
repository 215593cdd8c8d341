// What the tests of whole nodes and the soak share, free of any test framework.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "source/event/tcp_stream.h"

namespace runshelf::platform_adapter {

// Addresses of `ip` that nothing listens on now, each with another port.
std::vector<event::Endpoint> FreeEndpoints(const std::string& ip, size_t count);

// The configuration that a fleet starts with, as the operator writes it.
std::string TestConfiguration(int version, const std::string& plain_service);

}  // namespace runshelf::platform_adapter
