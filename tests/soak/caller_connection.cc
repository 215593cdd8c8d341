#include "tests/soak/caller_connection.h"

#include <utility>

namespace runshelf::soak {

CallerConnection::CallerConnection(event::EventLoop& loop, const event::Endpoint& endpoint)
    : loop_(loop), endpoint_(endpoint), parser_(http::ParserKind::kResponse, this) {}

bool CallerConnection::usable() const {
  return stream_ != nullptr && !callback_ && keep_alive_ && !stream_->PeerDisconnected();
}

void CallerConnection::Send(std::string_view request, Callback callback) {
  callback_ = std::move(callback);
  response_ = http::Response();
  complete_ = false;
  ++requests_;
  if (stream_ == nullptr) stream_ = event::TcpStream::Connect(loop_, endpoint_, this);
  stream_->Write(request);
}

void CallerConnection::OnData(std::string_view data) {
  // Unsolicited data makes the connection unusable for further requests.
  if (!callback_) {
    keep_alive_ = false;
    return;
  }
  while (!data.empty()) {
    const http::ParseResult result = parser_.Feed(data);
    if (result.status == http::ParseStatus::kMalformed ||
        result.status == http::ParseStatus::kHeadTooLarge) {
      return Finish(End::kReset);
    }
    data.remove_prefix(result.consumed);
    if (!complete_) continue;
    if (!data.empty()) keep_alive_ = false;
    return Finish(End::kAnswered);
  }
}

void CallerConnection::OnEnd(event::StreamEnd end) {
  keep_alive_ = false;
  if (!callback_) return;
  if (!connected_) return Finish(End::kNotSent);
  if (end == event::StreamEnd::kReset) return Finish(End::kReset);
  // A response without a length is complete when the connection is closed in an orderly way.
  const bool whole = parser_.Finish() && complete_;
  Finish(whole ? End::kAnswered : End::kClosed);
}

void CallerConnection::OnResponseHead(http::ResponseHead&& head) {
  response_.status = head.status;
  response_.headers = std::move(head.headers);
}

void CallerConnection::OnMessageComplete(bool keep_alive) {
  complete_ = true;
  keep_alive_ = keep_alive_ && keep_alive;
}

void CallerConnection::Finish(End end) {
  if (end != End::kAnswered) keep_alive_ = false;
  const Callback callback = std::exchange(callback_, nullptr);
  callback(end, std::move(response_));
}

}  // namespace runshelf::soak
