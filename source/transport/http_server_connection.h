// One connection that an HttpServer accepted: reads its requests, has them handled and answers.
//
// In place of POCO's own HTTPServerConnection, which when the server stops closes connections
// without regard to requests that have already arrived on them.
#pragma once

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "runshelf/common/clock.h"
#include "runshelf/transport/http_server.h"
#include "source/transport/server_lifecycle.h"

namespace runshelf::transport {

class ServerSession;

// What the connections of one server share; it outlives them.
struct ServerContext {
  const Clock& clock;
  HttpHandler& handler;
  const HttpServerOptions options;
  ServerLifecycle& lifecycle;
};

class HttpServerConnection : public Poco::Net::TCPServerConnection {
 public:
  HttpServerConnection(const Poco::Net::StreamSocket& socket, const ServerContext& context,
                       Poco::Net::HTTPServerParams::Ptr params);

  void run() override;

 private:
  enum class Arrival { kBytes, kNothing };

  Arrival AwaitBytes(ServerSession& session, Duration patience);
  bool WaitReadable(Instant now, Instant until);
  Instant IdleEnd(Instant idle_since, Duration patience) const;
  void Serve(ServerSession& session);
  void RefuseUnreadable(ServerSession& session);
  void CloseIdle();

  const ServerContext& context_;
  Poco::Net::HTTPServerParams::Ptr params_;
};

class HttpServerConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  HttpServerConnectionFactory(const ServerContext& context, Poco::Net::HTTPServerParams::Ptr params)
      : context_(context), params_(std::move(params)) {}

  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return new HttpServerConnection(socket, context_, params_);
  }

 private:
  const ServerContext& context_;
  Poco::Net::HTTPServerParams::Ptr params_;
};

}  // namespace runshelf::transport
