// A client's HTTP/1.1 connection that reports exactly how each request ended.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "source/event/tcp_stream.h"
#include "source/http/message.h"

namespace runshelf::soak {

// Carries one request at a time. Distinguishes a reset from an orderly close: a process that closes
// a connection with unread data resets it, so an orderly close shows that all data had been read.
class CallerConnection : public event::StreamObserver, public http::ParserObserver {
 public:
  enum class End {
    kAnswered,
    kNotSent,  // The connection was not established, or ended before the request was sent.
    kClosed,   // Closed in an orderly way before the response was complete.
    kReset,    // Reset before the response was complete, or the response was malformed.
  };
  using Callback = std::function<void(End end, http::Response&& response)>;

  CallerConnection(event::EventLoop& loop, const event::Endpoint& endpoint);

  // The connection may be destroyed inside the callback.
  void Send(std::string_view request, Callback callback);
  // True if another request can be sent: the last one was answered and the connection is open.
  bool usable() const;
  // Number of requests sent on this connection.
  int requests() const { return requests_; }

  void OnConnected() override { connected_ = true; }
  void OnData(std::string_view data) override;
  void OnEnd(event::StreamEnd end) override;
  void OnResponseHead(http::ResponseHead&& head) override;
  void OnBody(std::string_view data) override { response_.body.append(data); }
  void OnMessageComplete(bool keep_alive) override;

 private:
  void Finish(End end);

  event::EventLoop& loop_;
  event::Endpoint endpoint_;
  http::Parser parser_;
  std::unique_ptr<event::TcpStream> stream_;
  Callback callback_;
  http::Response response_;
  int requests_ = 0;
  bool connected_ = false;
  bool complete_ = false;
  bool keep_alive_ = true;
};

}  // namespace runshelf::soak
