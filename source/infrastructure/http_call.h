// One HTTP request on a connection of its own, sent at most once.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::infrastructure {

// Largest answer in bytes that is read.
inline constexpr size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;  // JSON.
};

struct HttpAnswer {
  int status = 0;
  std::string body;
};

// Parses "ip:port"; kInvalidArgument for anything else, also for host names.
absl::StatusOr<Poco::Net::SocketAddress> ParseAddress(const std::string& address);

// Sends `request` and reads the whole answer within `timeout`.
// kUnavailable: no connection, and certainly nothing was sent.
// kUnknown: bytes were handed over, and the answer did not arrive whole.
absl::StatusOr<HttpAnswer> Call(const Poco::Net::SocketAddress& address, const HttpRequest& request,
                                Duration timeout);

// Sends `request` and hands each line of an answer with status 200 to `on_line`, until that returns
// a status other than OK, which is then returned, or `stop` returns true, which gives OK. `timeout`
// bounds the connection and the time to the first line. An answer with another status is returned
// in `refusal`, with kFailedPrecondition.
// kUnavailable: the connection was not made, or it broke.
absl::Status CallForLines(const Poco::Net::SocketAddress& address, const HttpRequest& request,
                          Duration timeout,
                          const std::function<absl::Status(const std::string& line)>& on_line,
                          const std::function<bool()>& stop, HttpAnswer& refusal);

}  // namespace runshelf::infrastructure
