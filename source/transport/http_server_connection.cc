#include "source/transport/http_server_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timestamp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include "source/transport/closing_notice.h"
#include "source/transport/guarded_socket.h"
#include "source/transport/request_reader.h"

namespace runshelf::transport {

// Shows whether bytes beyond the latest request have been read already.
class ServerSession : public Poco::Net::HTTPServerSession {
 public:
  using HTTPServerSession::HTTPServerSession;

  bool HasBufferedBytes() const { return buffered() > 0; }
};

namespace {

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponse;
using Poco::Net::HTTPServerResponseImpl;

constexpr int kStatusBadRequest = 400;

// While the server closes, its next phase is looked for this often.
constexpr Duration kPhaseCheckInterval = std::chrono::milliseconds(50);

// After the notice, a request that crossed it is read and dropped for this long, so that no reset
// overtakes the notice.
constexpr Duration kLingerTime = std::chrono::milliseconds(200);

void SendResponse(const std::string& method, const HttpResponse& response,
                  HTTPServerResponse& outgoing) {
  outgoing.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
  for (const HttpHeader& field : response.headers.All()) {
    outgoing.add(field.name, field.value);
  }
  if (response.status == 204 || response.status == 304) {
    outgoing.send();
  } else if (method == "HEAD") {
    const uint64_t length = response.announced_length.value_or(response.body.size());
    outgoing.setContentLength64(static_cast<Poco::Int64>(length));
    outgoing.send();
  } else {
    outgoing.sendBuffer(response.body.data(), response.body.size());
  }
}

}  // namespace

HttpServerConnection::HttpServerConnection(const Poco::Net::StreamSocket& socket,
                                           const ServerContext& context,
                                           Poco::Net::HTTPServerParams::Ptr params)
    : TCPServerConnection(socket), context_(context), params_(std::move(params)) {}

void HttpServerConnection::run() {
  ServerSession session(socket(), params_);
  Duration patience = context_.options.read_allowance;
  try {
    do {
      if (AwaitBytes(session, patience) == Arrival::kNothing) {
        CloseIdle();
        return;
      }
      Serve(session);
      patience = context_.options.keep_alive_timeout;
    } while (session.getKeepAlive());
  } catch (const Poco::Net::NoMessageException&) {
    // The caller closed the connection between two requests.
  } catch (const Poco::Net::MessageException&) {
    RefuseUnreadable(session);
  }
}

HttpServerConnection::Arrival HttpServerConnection::AwaitBytes(ServerSession& session,
                                                               Duration patience) {
  const Instant idle_since = context_.clock.Now();
  while (!session.HasBufferedBytes()) {
    const Instant now = context_.clock.Now();
    const Instant end = IdleEnd(idle_since, patience);
    if (WaitReadable(now, end)) {
      break;
    }
    if (now >= end) {
      return Arrival::kNothing;
    }
  }
  return Arrival::kBytes;
}

Instant HttpServerConnection::IdleEnd(Instant idle_since, Duration patience) const {
  switch (context_.lifecycle.phase()) {
    case ServerPhase::kServing:
    case ServerPhase::kDraining:
      return idle_since + patience;
    case ServerPhase::kClosing:
      return std::max(idle_since, context_.lifecycle.closing_since()) +
             context_.options.drain_idle_time;
    case ServerPhase::kStopped:
      return idle_since;
  }
  return idle_since;
}

bool HttpServerConnection::WaitReadable(Instant now, Instant until) {
  const bool closing = context_.lifecycle.phase() >= ServerPhase::kClosing;
  Duration wait = std::max(until - now, Duration::zero());
  if (closing) {
    wait = std::min(wait, kPhaseCheckInterval);
  }
  const int closing_descriptor = closing ? -1 : context_.lifecycle.closing_descriptor();
  std::array<pollfd, 2> polled{pollfd{socket().impl()->sockfd(), POLLIN, 0},
                               pollfd{closing_descriptor, POLLIN, 0}};
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  ::poll(polled.data(), polled.size(), static_cast<int>(milliseconds));
  return polled[0].revents != 0;
}

void HttpServerConnection::Serve(ServerSession& session) {
  HTTPServerResponseImpl outgoing(session);
  HTTPServerRequestImpl incoming(outgoing, session, params_.get());
  context_.lifecycle.OnRequest(context_.clock.Now());
  outgoing.setDate(Poco::Timestamp());
  outgoing.setVersion(incoming.getVersion());
  if (incoming.getExpectContinue()) {
    outgoing.sendContinue();
  }
  auto& guard = dynamic_cast<GuardedSocketImpl&>(*socket().impl());
  ReceivedRequest received = ReadRequest(incoming, guard, context_.options.max_body_bytes);
  const std::string method = received.request.method;
  HttpResponse response;
  if (received.refusal_status.has_value()) {
    response = context_.handler.RefuseUnreadable(received.request, *received.refusal_status);
  } else {
    response = context_.handler.Handle(std::move(received.request), PeerWatch(guard.sockfd()));
  }
  const bool keep_alive = incoming.getKeepAlive() && received.may_read_on &&
                          !response.close_connection &&
                          context_.lifecycle.phase() == ServerPhase::kServing;
  outgoing.setKeepAlive(keep_alive);
  SendResponse(method, response, outgoing);
  session.setKeepAlive(keep_alive);
}

void HttpServerConnection::RefuseUnreadable(ServerSession& session) {
  HTTPServerResponseImpl outgoing(session);
  outgoing.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  outgoing.setDate(Poco::Timestamp());
  outgoing.setKeepAlive(false);
  SendResponse("", context_.handler.RefuseUnreadable(HttpRequest(), kStatusBadRequest), outgoing);
}

// A caller may send just as its idle connection is closed. What it reads then is the notice, which
// says that its request was not run, in place of a cut connection.
void HttpServerConnection::CloseIdle() {
  const int descriptor = socket().impl()->sockfd();
  const std::string notice = ClosingNotice();
  if (::send(descriptor, notice.data(), notice.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0) {
    return;
  }
  ::shutdown(descriptor, SHUT_WR);
  const Instant end = context_.clock.Now() + kLingerTime;
  std::array<char, 4096> dropped{};
  for (Instant now = context_.clock.Now(); now < end; now = context_.clock.Now()) {
    pollfd polled{descriptor, POLLIN, 0};
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - now).count();
    ::poll(&polled, 1, static_cast<int>(left));
    if (polled.revents != 0 && ::recv(descriptor, dropped.data(), dropped.size(), 0) <= 0) {
      return;
    }
  }
}

}  // namespace runshelf::transport
