// One client connection that sends each request at most once.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/transport/answer_match.h"
#include "runshelf/transport/http_connection_pool.h"
#include "runshelf/transport/http_message.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::transport {

class SingleUseSession;

// Not safe for use by several threads at once.
class HttpConnection {
 public:
  // Connects to `address` ("ip:port"). kFailedPrecondition: refused, nobody listens there.
  // kUnavailable: any other failure, also when `timeout` passes.
  static absl::StatusOr<std::unique_ptr<HttpConnection>> Connect(const Clock& clock,
                                                                 const std::string& address,
                                                                 Duration timeout);
  ~HttpConnection();

  // Whether the idle connection can take another request: the peer has neither closed it nor sent
  // anything unasked.
  bool IsIdle() const;

  // Sends `request` and receives the response. After any outcome but kAnswered, and when
  // reusable() is false, the connection must be dropped.
  HttpResult Exchange(const HttpRequest& request, Instant deadline, PeerWatch caller,
                      size_t max_response_bytes);

  bool reusable() const { return reusable_; }
  // Whether a request was sent on it.
  bool reused() const { return reused_; }

  // Notes what the answer to the request that is about to be sent is known by.
  void RememberValue(const AnswerMatch& match);
  // Whether a request whose answer is known by the same went out on it lately.
  bool HasCarried(const AnswerMatch& match) const;

 private:
  HttpConnection(std::string address, std::unique_ptr<SingleUseSession> session);

  void Send(const HttpRequest& request);
  HttpResult Receive(const HttpRequest& request, size_t max_response_bytes);
  HttpResult Failed(std::string detail) const;

  const std::string address_;
  std::unique_ptr<SingleUseSession> session_;
  std::deque<size_t> values_;  // Hashes of what the latest answers were known by.
  bool reusable_ = false;
  bool reused_ = false;
};

}  // namespace runshelf::transport
