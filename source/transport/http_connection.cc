#include "source/transport/http_connection.h"

#include <Poco/Buffer.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/string_view.h>
#include <poll.h>

#include <algorithm>
#include <functional>
#include <istream>
#include <ostream>
#include <utility>

#include "runshelf/common/message_grammar.h"
#include "runshelf/common/status_line.h"
#include "runshelf/transport/ip_address.h"
#include "source/transport/body_reader.h"
#include "source/transport/closing_notice.h"
#include "source/transport/guarded_socket.h"

namespace runshelf::transport {

// HTTPClientSession connects again and repeats a write by itself when a kept-alive connection turns
// out to be closed. Every way to do so is shut here: a session lives and dies with the one
// connection that it was made from.
class SingleUseSession : public Poco::Net::HTTPClientSession {
 public:
  SingleUseSession(const Poco::Net::StreamSocket& stream, GuardedSocketImpl& guard)
      : HTTPClientSession(stream), guard_(guard) {
    setKeepAlive(true);
  }

  GuardedSocketImpl& guard() const { return guard_; }
  bool HasBufferedBytes() const { return buffered() > 0; }

 protected:
  void connect(const Poco::Net::SocketAddress&) override {
    throw Poco::Net::ConnectionResetException("a connection is never opened a second time");
  }
  bool mustReconnect() const override { return false; }
  int write(const char* buffer, std::streamsize length) override {
    // Past HTTPClientSession::write, which is what sends a second time.
    return HTTPSession::write(buffer, length);  // NOLINT(bugprone-parent-virtual-call)
  }

 private:
  GuardedSocketImpl& guard_;
};

namespace {

// An answer that comes a second time is not later than this many requests on its connection.
constexpr size_t kRememberedValues = 64;

size_t ValueHash(const AnswerMatch& match) { return std::hash<std::string>()(match.value()); }

constexpr int kInterimClass = 1;

// Of several answers that POCO takes for one: it passes over lines that are no header.
bool HasAnotherStatusLine(std::string_view head) {
  return !head.empty() && ContainsStatusLine(head.substr(1));
}

// POCO takes any three characters for a status, and passes over lines that are no header.
bool IsMalformed(std::string_view head, const Poco::Net::HTTPResponse& received) {
  const auto is_token = [](const auto& field) { return IsToken(field.first); };
  return MessageGrammar(MessageKind::kResponse).Check(head).status ==
             MessageGrammar::Status::kMalformed ||
         !IsValidStatus(static_cast<int>(received.getStatus())) ||
         !std::all_of(received.begin(), received.end(), is_token);
}

bool HasNoBody(const HttpRequest& request, int status) {
  return request.method == "HEAD" || status == 204 || status == 304;
}

HttpResponse HeadOf(const Poco::Net::HTTPResponse& received) {
  HttpResponse response;
  response.status = static_cast<int>(received.getStatus());
  for (const auto& [name, value] : received) {
    if (!IsConnectionHeader(name)) {
      response.headers.Add(name, value);
    }
  }
  return response;
}

}  // namespace

absl::StatusOr<std::unique_ptr<HttpConnection>> HttpConnection::Connect(const Clock& clock,
                                                                        const std::string& address,
                                                                        Duration timeout) {
  absl::Status valid = CheckIpAddress(address);
  if (!valid.ok()) {
    return valid;
  }
  try {
    auto* guard = new GuardedSocketImpl(clock);
    Poco::Net::StreamSocket stream(guard);
    stream.connect(Poco::Net::SocketAddress(address), Poco::Timespan(timeout.count()));
    stream.setNoDelay(true);
    auto session = std::make_unique<SingleUseSession>(stream, *guard);
    return std::unique_ptr<HttpConnection>(new HttpConnection(address, std::move(session)));
  } catch (const Poco::Net::ConnectionRefusedException& exception) {
    return absl::FailedPreconditionError(exception.displayText());
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(exception.displayText());
  }
}

HttpConnection::HttpConnection(std::string address, std::unique_ptr<SingleUseSession> session)
    : address_(std::move(address)), session_(std::move(session)) {}

HttpConnection::~HttpConnection() = default;

bool HttpConnection::IsIdle() const {
  pollfd polled{session_->guard().sockfd(), POLLIN | POLLRDHUP, 0};
  return ::poll(&polled, 1, 0) == 0 && !session_->HasBufferedBytes();
}

void HttpConnection::RememberValue(const AnswerMatch& match) {
  if (!match.by_header()) {
    return;
  }
  values_.push_back(ValueHash(match));
  if (values_.size() > kRememberedValues) {
    values_.pop_front();
  }
}

bool HttpConnection::HasCarried(const AnswerMatch& match) const {
  return match.by_header() &&
         std::find(values_.begin(), values_.end(), ValueHash(match)) != values_.end();
}

HttpResult HttpConnection::Exchange(const HttpRequest& request, Instant deadline, PeerWatch caller,
                                    size_t max_response_bytes) {
  reusable_ = false;
  reused_ = true;
  session_->guard().BeginExchange(deadline, caller);
  try {
    Send(request);
    if (session_->guard().failure() != SocketFailure::kNone) {
      return Failed("request not sent whole");
    }
    return Receive(request, max_response_bytes);
  } catch (const Poco::Exception& exception) {
    return Failed(exception.displayText());
  } catch (const std::exception& exception) {
    return Failed(exception.what());
  }
}

void HttpConnection::Send(const HttpRequest& request) {
  Poco::Net::HTTPRequest message(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
  for (const HttpHeader& field : request.headers.All()) {
    message.add(field.name, field.value);
  }
  message.set("Host", address_);
  message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  std::ostream& stream = session_->sendRequest(message);
  stream.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
  session_->flushRequest();
}

HttpResult HttpConnection::Receive(const HttpRequest& request, size_t max_response_bytes) {
  Poco::Net::HTTPResponse received;
  std::istream& stream = session_->receiveResponse(received);
  // POCO takes a header that ends with the connection for a whole one.
  if (session_->guard().failure() != SocketFailure::kNone) {
    return Failed("response header cut short");
  }
  if (HasAnotherStatusLine(session_->guard().received_head())) {
    return Failed("response header goes on as another response");
  }
  if (IsMalformed(session_->guard().received_head(), received)) {
    return Failed("response header is malformed");
  }
  HttpResult result;
  result.response = HeadOf(received);
  if (result.response.status / 100 == kInterimClass) {
    return Failed("interim response without a final one");
  }
  const bool chunked = received.getChunkedTransferEncoding();
  if (HasNoBody(request, result.response.status)) {
    if (received.hasContentLength()) {
      result.response.announced_length = static_cast<uint64_t>(received.getContentLength64());
    }
  } else if (!chunked && !received.hasContentLength()) {
    return Failed("response without a length: its end cannot be told from a cut connection");
  } else {
    const BodyLimits limits{
        max_response_bytes,
        chunked ? std::nullopt : std::optional<int64_t>(received.getContentLength64())};
    const BodyEnd end = ReadBody(stream, limits, session_->guard(), result.response.body);
    if (end != BodyEnd::kComplete) {
      return Failed(end == BodyEnd::kTooLarge ? "response too large" : "response cut short");
    }
  }
  reusable_ = received.getKeepAlive() && !session_->HasBufferedBytes() &&
              session_->guard().failure() == SocketFailure::kNone;
  if (chunked && session_->HasBufferedBytes()) {
    return Failed("bytes after the last chunk");
  }
  session_->guard().EndExchange();
  if (IsClosingNotice(result.response)) {
    // The request crossed it and was not read; another connection may take it.
    return {HttpOutcome::kConnectFailed, {}, false, "the peer closed the idle connection"};
  }
  result.outcome = HttpOutcome::kAnswered;
  return result;
}

HttpResult HttpConnection::Failed(std::string detail) const {
  HttpResult result;
  result.detail = std::move(detail);
  const GuardedSocketImpl& guard = session_->guard();
  if (guard.bytes_sent() == 0) {
    result.outcome = guard.failure() == SocketFailure::kPeerGone ? HttpOutcome::kCancelled
                                                                 : HttpOutcome::kConnectFailed;
  } else if (guard.failure() == SocketFailure::kTimedOut) {
    result.outcome = HttpOutcome::kTimedOut;
  } else if (guard.failure() == SocketFailure::kPeerGone) {
    result.outcome = HttpOutcome::kCancelled;
  } else {
    result.outcome = HttpOutcome::kConnectionLost;
  }
  return result;
}

}  // namespace runshelf::transport
