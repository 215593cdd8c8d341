#include "source/transport/request_reader.h"

#include <Poco/Buffer.h>
#include <Poco/Net/HTTPServerSession.h>

#include <array>
#include <istream>

#include "source/transport/body_reader.h"

namespace runshelf::transport {
namespace {

constexpr int kStatusBadRequest = 400;

// Of a body over the limit, at most this much is read and discarded, so that the caller gets to
// read the answer before its own writes fail.
constexpr size_t kMaxDiscardedBytes = size_t{8} << 20;

void Discard(std::istream& stream) {
  std::array<char, 16384> buffer{};
  size_t discarded = 0;
  while (stream.good() && discarded < kMaxDiscardedBytes) {
    stream.read(buffer.data(), buffer.size());
    discarded += static_cast<size_t>(stream.gcount());
  }
}

bool HasBufferedBytes(Poco::Net::HTTPServerRequestImpl& request) {
  Poco::Buffer<char> rest(0);
  request.session().drainBuffer(rest);
  return !rest.empty();
}

}  // namespace

ReceivedRequest ReadRequest(Poco::Net::HTTPServerRequestImpl& incoming,
                            const GuardedSocketImpl& socket, size_t max_body_bytes) {
  ReceivedRequest received;
  received.request.method = incoming.getMethod();
  received.request.target = incoming.getURI();
  for (const auto& [name, value] : incoming) {
    received.request.headers.Add(name, value);
  }
  const bool chunked = incoming.getChunkedTransferEncoding();
  // POCO takes a header that ends with the connection for a whole one.
  if (socket.failure() != SocketFailure::kNone) {
    received.refusal_status = kStatusBadRequest;
    return received;
  }
  if (!chunked && !incoming.hasContentLength()) {
    received.may_read_on = true;
    return received;
  }
  const BodyLimits limits{
      max_body_bytes,
      chunked ? std::nullopt : std::optional<int64_t>(incoming.getContentLength64())};
  const BodyEnd end = ReadBody(incoming.stream(), limits, socket, received.request.body);
  if (end == BodyEnd::kTooLarge) {
    received.request.body.clear();
    received.request.body_too_large = true;
    Discard(incoming.stream());
  }
  if (end == BodyEnd::kCutShort || (chunked && HasBufferedBytes(incoming))) {
    received.refusal_status = kStatusBadRequest;
  }
  // A chunked body may be followed by bytes that belong to nothing; never read on after one.
  received.may_read_on = end == BodyEnd::kComplete && !chunked;
  return received;
}

}  // namespace runshelf::transport
