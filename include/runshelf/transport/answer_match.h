// How a client tells the answer to its request from others on a kept-alive connection.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "runshelf/transport/http_message.h"

namespace runshelf::transport {

// A peer may answer a request twice, the second time where the next answer on the connection is
// expected. Each call states what keeps it from taking such an answer for its own; there is no
// default.
class AnswerMatch {
 public:
  // The peer repeats this header of the request in each answer. A value that is sent again goes out
  // on another connection.
  static AnswerMatch EchoedHeader(std::string name, std::string value) {
    return AnswerMatch(kEchoedHeaderLane, std::move(name), std::move(value), true);
  }
  // As EchoedHeader, but the peer may leave the header out. Then the connection has carried no
  // request before and carries none after.
  static AnswerMatch OptionallyEchoedHeader(std::string name, std::string value) {
    return AnswerMatch(kEchoedHeaderLane, std::move(name), std::move(value), false);
  }
  // Nothing in the answer tells. Its connection carries no other request.
  static AnswerMatch OwnConnection() { return AnswerMatch(std::nullopt, "", "", false); }
  // Nothing in the answer tells, and the answer to any request of this lane serves each of them as
  // well: their connections carry no others.
  static AnswerMatch Lane(std::string_view lane) {
    return AnswerMatch("lane " + std::string(lane), "", "", false);
  }
  // The peer answers each request once, in the order of the requests.
  static AnswerMatch InOrder() { return AnswerMatch(kInOrderLane, "", "", false); }

  // Connections are shared within a lane only; nullopt: by nobody.
  const std::optional<std::string>& lane() const { return lane_; }
  bool by_header() const { return !header_.empty(); }
  const std::string& value() const { return value_; }

  // `reused`: the connection had carried other requests.
  bool IsOwnAnswer(const HttpResponse& response, bool reused) const {
    if (!by_header()) {
      return true;
    }
    const std::optional<std::string> found = response.headers.Find(header_);
    return found.has_value() ? *found == value_ : !required_ && !reused;
  }

  // Whether the connection may carry another request after this answer, which is the own one.
  bool AllowsReuseAfter(const HttpResponse& response) const {
    return lane_.has_value() && (!by_header() || response.headers.Has(header_));
  }

 private:
  static constexpr const char* kEchoedHeaderLane = "echoed-header";
  static constexpr const char* kInOrderLane = "in-order";

  AnswerMatch(std::optional<std::string> lane, std::string header, std::string value, bool required)
      : lane_(std::move(lane)),
        header_(std::move(header)),
        value_(std::move(value)),
        required_(required) {}

  std::optional<std::string> lane_;
  std::string header_;  // Empty: the answer is not known by a header.
  std::string value_;
  bool required_;  // An answer without the header is another's.
};

}  // namespace runshelf::transport
