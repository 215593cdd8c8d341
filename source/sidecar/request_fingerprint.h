// Identifies repeated requests by their content and their caller, since a retry has a new request
// id.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "source/http/message.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// 128 bits of a SHA-256 digest in hexadecimal, identical on all nodes. The digest is cryptographic
// because clients choose its input: a client must not be able to produce the fingerprint of another
// client's request.
class RequestFingerprint {
 public:
  // Returns nullopt if `text` is not a fingerprint.
  static std::optional<RequestFingerprint> Parse(std::string_view text);

  const std::string& ToString() const { return text_; }
  bool operator==(const RequestFingerprint& other) const { return text_ == other.text_; }
  bool operator<(const RequestFingerprint& other) const { return text_ < other.text_; }

 private:
  explicit RequestFingerprint(std::string text) : text_(std::move(text)) {}
  friend RequestFingerprint FingerprintOf(const http::Request& request,
                                          std::optional<sharding::ShardKey> key);

  std::string text_;
};

// Covers the method, host, path with query, body, and the credentials that identify the caller.
// Other headers (ids, deadlines, traces) may change on a retry or with the machine that receives
// the request. `key`: the shard key, for a request that only the holder of the key may run.
RequestFingerprint FingerprintOf(const http::Request& request,
                                 std::optional<sharding::ShardKey> key);

// Describes the request for operators: method, host and path, truncated to a bounded length.
std::string DescribeRequest(const http::Request& request);

}  // namespace runshelf::sidecar
