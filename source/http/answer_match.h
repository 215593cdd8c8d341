// How a client tells the answer to its request from others on the connection.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace runshelf::http {

// A server may answer a request twice, the second time where the next answer on the connection is
// expected. Each call states what keeps it from taking such an answer for its own; there is no
// default.
class AnswerMatch {
 public:
  // The server repeats this header of the request in its answer. An answer with another value is
  // skipped, and so is one without the header when the connection has carried other requests. A
  // value that is sent again goes out on another connection.
  static AnswerMatch EchoedHeader(std::string name, std::string value) {
    AnswerMatch match(kEchoedHeaderLane);
    match.header_ = std::move(name);
    match.value_ = std::move(value);
    return match;
  }
  // The answer carries this header, and no answer to any other request of the lane does. The
  // connection carries no request after it.
  static AnswerMatch MarkedAnswer(std::string name, std::string_view lane) {
    AnswerMatch match = Lane(lane);
    match.header_ = std::move(name);
    match.last_on_connection_ = true;
    return match;
  }
  // Nothing in the answer tells. Its connection carries no other request.
  static AnswerMatch OwnConnection() {
    AnswerMatch match(std::nullopt);
    match.last_on_connection_ = true;
    return match;
  }
  // Nothing in the answer tells, and the answer to any request of this lane serves each of them as
  // well: their connections carry no others.
  static AnswerMatch Lane(std::string_view lane) {
    return AnswerMatch("lane " + std::string(lane));
  }
  // The server answers each request once, in the order of the requests.
  static AnswerMatch InOrder() { return AnswerMatch(kInOrderLane); }

  // Connections are shared within a lane only; nullopt: by nobody.
  const std::optional<std::string>& lane() const { return lane_; }
  // The answer is known by a header, and by the value of it unless that is empty.
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
  std::string header_;  // Empty: the answer is not known by a header.
  std::string value_;
  bool last_on_connection_ = false;
};

}  // namespace runshelf::http
