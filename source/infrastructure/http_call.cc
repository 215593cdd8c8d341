#include "source/infrastructure/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>

#include "runshelf/common/message_grammar.h"
#include "source/infrastructure/observed_socket.h"

namespace runshelf::infrastructure {
namespace {

// Poco::Net::HTTPClientSession connects again and writes again by itself when a connection that is
// kept alive turns out to be closed. Here each session has one connection, made before it, and any
// attempt to make another is an error.
class SingleConnectionSession : public Poco::Net::HTTPClientSession {
 public:
  explicit SingleConnectionSession(const Poco::Net::StreamSocket& socket)
      : HTTPClientSession(socket) {
    setKeepAlive(false);
  }

 protected:
  void connect(const Poco::Net::SocketAddress& /*address*/) override {
    throw Poco::Net::NetException("the connection was lost");
  }
};

// A connection with one request on it.
class Exchange {
 public:
  explicit Exchange(Instant deadline)
      : observed_(new ObservedSocket), socket_(observed_), session_(socket_) {
    observed_->SetDeadline(deadline);
  }

  ObservedSocket& observed() { return *observed_; }

  void Connect(const Poco::Net::SocketAddress& address, Duration timeout) {
    socket_.connect(address, Poco::Timespan(timeout.count()));
    socket_.setNoDelay(true);
    socket_.setSendTimeout(Poco::Timespan(timeout.count()));
  }

  void Send(const Poco::Net::SocketAddress& address, const HttpRequest& request) {
    Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(address.toString());
    message.setKeepAlive(false);
    message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.body.empty()) message.setContentType("application/json");
    std::ostream& stream = session_.sendRequest(message);
    stream << request.body << std::flush;
    RethrowNetworkError();
  }

  // Reads the status line and the headers; the body can be read from the stream returned. POCO
  // takes any three characters for a status, and any text for the name of a header.
  std::streambuf& Receive(Poco::Net::HTTPResponse& response) {
    std::streambuf& body = *session_.receiveResponse(response).rdbuf();
    const auto is_token = [](const auto& field) { return IsToken(field.first); };
    if (!IsValidStatus(response.getStatus()) ||
        !std::all_of(response.begin(), response.end(), is_token)) {
      throw Poco::DataException("the head of the answer is malformed");
    }
    return body;
  }

 private:
  // Streams swallow exceptions; the session keeps the last one.
  void RethrowNetworkError() {
    if (session_.networkException() != nullptr) session_.networkException()->rethrow();
  }

  ObservedSocket* observed_;  // Owned by socket_.
  Poco::Net::StreamSocket socket_;
  SingleConnectionSession session_;
};

// Reads to the end. Unlike std::istream, a stream buffer lets exceptions through.
std::string ReadAll(std::streambuf& buffer, size_t max_bytes) {
  std::string text;
  constexpr size_t kBlockBytes = 16UL * 1024;
  char block[kBlockBytes];
  while (true) {
    const std::streamsize count = buffer.sgetn(block, kBlockBytes);
    if (count <= 0) return text;
    text.append(block, static_cast<size_t>(count));
    if (text.size() > max_bytes) throw Poco::DataException("the answer is too large");
  }
}

// Reads up to the next line end; false at the end of the stream.
bool ReadLine(std::streambuf& buffer, size_t max_bytes, std::string& line) {
  line.clear();
  while (true) {
    const int character = buffer.sbumpc();
    if (character == std::char_traits<char>::eof()) return false;
    if (character == '\n') return true;
    line += static_cast<char>(character);
    if (line.size() > max_bytes) throw Poco::DataException("the answer is too large");
  }
}

absl::Status ReadLines(std::streambuf& buffer, ObservedSocket& observed,
                       const std::function<absl::Status(const std::string& line)>& on_line) {
  std::string line;
  while (ReadLine(buffer, kMaxAnswerBytes, line)) {
    observed.SetDeadline(std::nullopt);
    if (absl::Status status = on_line(line); !status.ok()) return status;
  }
  return absl::UnavailableError("the stream ended");
}

absl::Status FailureStatus(const ObservedSocket& observed, const Poco::Exception& exception) {
  const std::string reason = exception.displayText();
  return observed.has_sent() ? absl::UnknownError(absl::StrCat("answer lost: ", reason))
                             : absl::UnavailableError(absl::StrCat("not sent: ", reason));
}

}  // namespace

absl::StatusOr<Poco::Net::SocketAddress> ParseAddress(const std::string& address) {
  const absl::Status malformed =
      absl::InvalidArgumentError(absl::StrCat("not an IP number and port: ", address));
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return malformed;
  Poco::Net::IPAddress host;
  if (!Poco::Net::IPAddress::tryParse(address.substr(0, colon), host)) return malformed;
  uint32_t port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port)) return malformed;
  if (port == 0 || port > std::numeric_limits<uint16_t>::max()) return malformed;
  return Poco::Net::SocketAddress(host, static_cast<uint16_t>(port));
}

absl::StatusOr<HttpAnswer> Call(const Poco::Net::SocketAddress& address, const HttpRequest& request,
                                Duration timeout) {
  Exchange exchange(SystemClock().Now() + timeout);
  try {
    exchange.Connect(address, timeout);
    exchange.Send(address, request);
    Poco::Net::HTTPResponse response;
    std::streambuf& buffer = exchange.Receive(response);
    HttpAnswer answer;
    answer.status = response.getStatus();
    answer.body = ReadAll(buffer, kMaxAnswerBytes);
    const bool truncated = response.hasContentLength() &&
                           static_cast<size_t>(response.getContentLength64()) != answer.body.size();
    if (truncated) return absl::UnknownError("answer lost: it ended early");
    return answer;
  } catch (const Poco::Exception& exception) {
    return FailureStatus(exchange.observed(), exception);
  }
}

absl::Status CallForLines(const Poco::Net::SocketAddress& address, const HttpRequest& request,
                          Duration timeout,
                          const std::function<absl::Status(const std::string& line)>& on_line,
                          const std::function<bool()>& stop, HttpAnswer& refusal) {
  Exchange exchange(SystemClock().Now() + timeout);
  exchange.observed().SetStop(stop);
  try {
    exchange.Connect(address, timeout);
    exchange.Send(address, request);
    Poco::Net::HTTPResponse response;
    std::streambuf& buffer = exchange.Receive(response);
    if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
      return ReadLines(buffer, exchange.observed(), on_line);
    }
    refusal.status = response.getStatus();
    refusal.body = ReadAll(buffer, kMaxAnswerBytes);
    return absl::FailedPreconditionError("the request was refused");
  } catch (const Poco::Exception& exception) {
    if (exchange.observed().stopped()) return absl::OkStatus();
    return absl::UnavailableError(exception.displayText());
  }
}

}  // namespace runshelf::infrastructure
