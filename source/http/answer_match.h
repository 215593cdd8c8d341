// How a client distinguishes the answer to its request from other answers on the connection.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace runshelf::http {

// A faulty server may answer a request twice, and the second answer arrives where the answer to the
// next request on the connection is expected. Each call therefore states how it avoids accepting
// such an answer; there is no default.
class AnswerMatch {
 public:
  // The server echoes this header of the request in its answer. An answer with another value is
  // skipped, and so is one without the header when the connection has carried other requests. A
  // request that repeats a value is sent on another connection.
  static AnswerMatch EchoedHeader(std::string name, std::string value) {
    AnswerMatch match(kEchoedHeaderLane);
    match.header_ = std::move(name);
    match.value_ = std::move(value);
    return match;
  }
  // The answer has this header, and no answer to any other request of the lane does. The connection
  // carries no further request.
  static AnswerMatch MarkedAnswer(std::string name, std::string_view lane) {
    AnswerMatch match = Lane(lane);
    match.header_ = std::move(name);
    match.last_on_connection_ = true;
    return match;
  }
  // The answer does not identify its request. Its connection carries no other request.
  static AnswerMatch OwnConnection() {
    AnswerMatch match(std::nullopt);
    match.last_on_connection_ = true;
    return match;
  }
  // The answer does not identify its request, but answers to requests of this lane are
  // interchangeable. The connections of the lane carry no other requests.
  static AnswerMatch Lane(std::string_view lane) {
    return AnswerMatch("lane " + std::string(lane));
  }
  // The server answers each request once, in the order of the requests.
  static AnswerMatch InOrder() { return AnswerMatch(kInOrderLane); }

  // The group of requests that may share connections; nullopt: the connection is not shared.
  const std::optional<std::string>& lane() const { return lane_; }
  // Whether the answer is identified by a header, and by that header's value.
  bool by_header() const { return !header_.empty(); }
  bool by_value() const { return by_header() && !value_.empty(); }
  // The connection is closed after the answer.
  bool last_on_connection() const { return last_on_connection_; }
  const std::string& header() const { return header_; }
  const std::string& value() const { return value_; }

 private:
  static constexpr const char* kEchoedHeaderLane = "echoed-header";
  static constexpr const char* kInOrderLane = "in-order";

  explicit AnswerMatch(std::optional<std::string> lane) : lane_(std::move(lane)) {}

  std::optional<std::string> lane_;
  std::string header_;  // Empty: the answer is not identified by a header.
  std::string value_;
  bool last_on_connection_ = false;
};

}  // namespace runshelf::http
