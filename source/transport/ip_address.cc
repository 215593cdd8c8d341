#include "runshelf/transport/ip_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace runshelf::transport {
namespace {

constexpr uint32_t kHighestPort = 65535;

bool IsIpNumber(const std::string& host) {
  in_addr ipv4{};
  in6_addr ipv6{};
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    return ::inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &ipv6) == 1;
  }
  return ::inet_pton(AF_INET, host.c_str(), &ipv4) == 1;
}

}  // namespace

absl::Status CheckIpAddress(const std::string& address, bool allow_port_zero) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return absl::InvalidArgumentError("must be an IP number and a port, as in 127.0.0.1:7101");
  }
  const std::string host = address.substr(0, colon);
  if (!IsIpNumber(host)) {
    return absl::InvalidArgumentError("'" + host + "' is not an IP number");
  }
  uint32_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port > kHighestPort) {
    return absl::InvalidArgumentError("the port must be a number from 1 to 65535");
  }
  if (port == 0 && !allow_port_zero) {
    return absl::InvalidArgumentError("the port must be a number from 1 to 65535");
  }
  return absl::OkStatus();
}

}  // namespace runshelf::transport
