// Tells whether two requests are the same one sent again: by what they ask for and by whom, not by
// their ids, which are new each time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "source/http/message.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// 128 bits of a SHA-256 digest, in hexadecimal; the same on all nodes. A cryptographic digest, as
// callers choose its input: nobody can make the request of somebody else look like his own.
class RequestFingerprint {
 public:
  // nullopt when `text` is no fingerprint.
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

// Method, host, path with query, body, and the credentials by which a server tells its callers
// apart. Other headers may change when a request is sent again (ids, deadlines, traces), or with
// the machine that takes it. `key`: of a request that only the holder of its key may run.
RequestFingerprint FingerprintOf(const http::Request& request,
                                 std::optional<sharding::ShardKey> key);

// What an operator recognizes the request by: method, host and path, cut to a bounded length.
std::string DescribeRequest(const http::Request& request);

}  // namespace runshelf::sidecar
