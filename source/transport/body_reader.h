// Reads the body of an HTTP message and tells a complete one from one that was cut short, which
// POCO's streams report alike.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

#include "source/transport/guarded_socket.h"

namespace runshelf::transport {

enum class BodyEnd { kComplete, kTooLarge, kCutShort };

struct BodyLimits {
  size_t max_bytes = 0;
  std::optional<int64_t> content_length;  // Absent: chunked.
};

// Reads `stream` to its end into `body`. With kTooLarge the rest is left unread.
BodyEnd ReadBody(std::istream& stream, const BodyLimits& limits, const GuardedSocketImpl& socket,
                 std::string& body);

}  // namespace runshelf::transport
