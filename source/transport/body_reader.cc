#include "source/transport/body_reader.h"

#include <array>
#include <istream>
#include <string_view>

namespace runshelf::transport {
namespace {

constexpr size_t kReadBytes = 16384;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace

BodyEnd ReadBody(std::istream& stream, const BodyLimits& limits, const GuardedSocketImpl& socket,
                 std::string& body) {
  if (limits.content_length.has_value() &&
      *limits.content_length > static_cast<int64_t>(limits.max_bytes)) {
    return BodyEnd::kTooLarge;
  }
  std::array<char, kReadBytes> buffer{};
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    const auto count = static_cast<size_t>(stream.gcount());
    if (body.size() + count > limits.max_bytes) {
      return BodyEnd::kTooLarge;
    }
    body.append(buffer.data(), count);
  }
  if (limits.content_length.has_value()) {
    return static_cast<int64_t>(body.size()) == *limits.content_length ? BodyEnd::kComplete
                                                                       : BodyEnd::kCutShort;
  }
  // The chunked stream ends alike at the last chunk, at a broken chunk and at a cut connection.
  const bool ended_by_last_chunk =
      socket.failure() == SocketFailure::kNone && socket.received_tail().ends_with(kLastChunk);
  return ended_by_last_chunk ? BodyEnd::kComplete : BodyEnd::kCutShort;
}

}  // namespace runshelf::transport
