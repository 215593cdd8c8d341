#include "runshelf/transport/http_server.h"

#include <Poco/Buffer.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/ThreadPool.h>

#include <array>
#include <istream>
#include <ostream>
#include <utility>

#include "runshelf/common/log.h"
#include "source/transport/body_reader.h"
#include "source/transport/guarded_socket.h"

namespace runshelf::transport {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponse;

constexpr int kMinThreads = 2;
constexpr int kThreadStackBytes = 512 * 1024;
constexpr int kListenBacklog = 512;

// Of a body over the limit, at most this much is read and discarded, so that the caller gets to
// read the answer before its own writes fail.
constexpr size_t kMaxDiscardedBytes = size_t{8} << 20;

// What the body of one request turned out to be.
struct ReceivedRequest {
  HttpRequest request;
  bool complete = false;
};

void Discard(std::istream& stream) {
  std::array<char, 16384> buffer{};
  size_t discarded = 0;
  while (stream.good() && discarded < kMaxDiscardedBytes) {
    stream.read(buffer.data(), buffer.size());
    discarded += static_cast<size_t>(stream.gcount());
  }
}

bool HasBufferedBytes(HTTPServerRequestImpl& request) {
  Poco::Buffer<char> rest(0);
  request.session().drainBuffer(rest);
  return !rest.empty();
}

ReceivedRequest ReceiveRequest(HTTPServerRequestImpl& incoming, const GuardedSocketImpl& socket,
                               size_t max_body_bytes) {
  ReceivedRequest received;
  received.request.method = incoming.getMethod();
  received.request.target = incoming.getURI();
  for (const auto& [name, value] : incoming) {
    received.request.headers.Add(name, value);
  }
  const bool chunked = incoming.getChunkedTransferEncoding();
  // POCO takes a header that ends with the connection for a whole one.
  if (socket.failure() != SocketFailure::kNone) {
    return received;
  }
  if (!chunked && !incoming.hasContentLength()) {
    received.complete = true;
    return received;
  }
  const BodyLimits limits{
      max_body_bytes,
      chunked ? std::nullopt : std::optional<int64_t>(incoming.getContentLength64())};
  const BodyEnd end = ReadBody(incoming.stream(), limits, socket, received.request.body);
  if (end == BodyEnd::kTooLarge) {
    received.request.body.clear();
    received.request.body_too_large = true;
    Discard(incoming.stream());
  }
  received.complete = end != BodyEnd::kCutShort && !(chunked && HasBufferedBytes(incoming));
  return received;
}

void SendResponse(const HttpRequest& request, const HttpResponse& response,
                  HTTPServerResponse& outgoing) {
  outgoing.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
  for (const HttpHeader& field : response.headers.All()) {
    outgoing.add(field.name, field.value);
  }
  if (response.status == 204 || response.status == 304) {
    outgoing.send();
  } else if (request.method == "HEAD") {
    const uint64_t length = response.announced_length.value_or(response.body.size());
    outgoing.setContentLength64(static_cast<Poco::Int64>(length));
    outgoing.send();
  } else {
    outgoing.sendBuffer(response.body.data(), response.body.size());
  }
}

class RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(HttpHandler& handler, size_t max_body_bytes)
      : handler_(handler), max_body_bytes_(max_body_bytes) {}

  void handleRequest(HTTPServerRequest& incoming, HTTPServerResponse& outgoing) override {
    auto& connection = dynamic_cast<HTTPServerRequestImpl&>(incoming);
    auto& socket = dynamic_cast<GuardedSocketImpl&>(*connection.socket().impl());
    ReceivedRequest received = ReceiveRequest(connection, socket, max_body_bytes_);
    // A chunked body may be followed by bytes that belong to nothing; never read on after one.
    bool keep_alive = !incoming.getChunkedTransferEncoding() && !received.request.body_too_large;
    if (!received.complete) {
      outgoing.setKeepAlive(false);
      outgoing.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
      outgoing.add("Runshelf-Verdict", "not-run");
      outgoing.sendBuffer("", 0);
      return;
    }
    HttpRequest head;
    head.method = received.request.method;
    const HttpResponse response =
        handler_.Handle(std::move(received.request), PeerWatch(socket.sockfd()));
    keep_alive = keep_alive && !response.close_connection;
    if (!keep_alive) {
      outgoing.setKeepAlive(false);
    }
    SendResponse(head, response, outgoing);
  }

 private:
  HttpHandler& handler_;
  const size_t max_body_bytes_;
};

class RequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  RequestHandlerFactory(HttpHandler& handler, size_t max_body_bytes)
      : handler_(handler), max_body_bytes_(max_body_bytes) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
    return new RequestHandler(handler_, max_body_bytes_);
  }

 private:
  HttpHandler& handler_;
  const size_t max_body_bytes_;
};

Poco::Net::HTTPServerParams::Ptr ServerParams(const HttpServerOptions& options) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(options.max_threads);
  params->setMaxQueued(options.max_queued);
  params->setTimeout(Poco::Timespan(options.read_allowance.count()));
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(options.keep_alive_timeout.count()));
  return params;
}

class PocoHttpServer : public HttpServer {
 public:
  PocoHttpServer(const Clock& clock, const Poco::Net::SocketAddress& address,
                 const HttpServerOptions& options, HttpHandler& handler)
      : threads_(kMinThreads, options.max_threads, 60, kThreadStackBytes),
        server_(new RequestHandlerFactory(handler, options.max_body_bytes), threads_,
                GuardedServerSocket(clock, address, kListenBacklog, options.read_allowance),
                ServerParams(options)),
        address_(server_.socket().address().toString()) {
    server_.start();
  }

  ~PocoHttpServer() override { StopNow(); }

  std::string address() const override { return address_; }

  void Stop() override { StopNow(); }

 private:
  void StopNow() {
    try {
      server_.stopAll(false);
      threads_.joinAll();
    } catch (const Poco::Exception& exception) {
      LogEvent(LogLevel::kWarning, "http_server_stop_failed",
               {{"address", address_}, {"reason", exception.displayText()}});
    }
  }

  Poco::ThreadPool threads_;
  Poco::Net::HTTPServer server_;
  const std::string address_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(const Clock& clock,
                                                              const std::string& address,
                                                              HttpServerOptions options,
                                                              HttpHandler& handler) {
  try {
    std::unique_ptr<HttpServer> server = std::make_unique<PocoHttpServer>(
        clock, Poco::Net::SocketAddress(address), options, handler);
    return server;
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(address + ": " + exception.displayText());
  }
}

}  // namespace runshelf::transport
