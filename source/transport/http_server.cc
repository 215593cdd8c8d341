#include "runshelf/transport/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "runshelf/common/log.h"
#include "source/transport/guarded_socket.h"
#include "source/transport/http_server_connection.h"
#include "source/transport/server_lifecycle.h"

namespace runshelf::transport {
namespace {

constexpr int kMinThreads = 2;
constexpr int kThreadStackBytes = 512 * 1024;
constexpr int kListenBacklog = 512;

// Handshakes that are under way are completed within this time.
constexpr Duration kHandshakeTime = std::chrono::milliseconds(50);

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(5);

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
      : clock_(clock),
        lifecycle_(clock.Now()),
        context_{clock, handler, options, lifecycle_},
        threads_(kMinThreads, options.max_threads, 60, kThreadStackBytes),
        listener_(clock, address, kListenBacklog, options.read_allowance),
        server_(new HttpServerConnectionFactory(context_, ServerParams(options)), threads_,
                listener_, ServerParams(options)),
        address_(listener_.address().toString()) {
    server_.start();
  }

  ~PocoHttpServer() override { StopNow(); }

  std::string address() const override { return address_; }

  bool Drain(Instant deadline) override {
    lifecycle_.Advance(clock_.Now(), ServerPhase::kDraining);
    AwaitQuiet(std::min(deadline, clock_.Now() + context_.options.drain_longest_wait));
    AcceptTheLast(deadline);
    lifecycle_.Advance(clock_.Now(), ServerPhase::kClosing);
    while (listener_.open_connections() > 0 && clock_.Now() < deadline) {
      std::this_thread::sleep_for(kDrainCheckInterval);
    }
    return listener_.open_connections() == 0;
  }

  void Stop() override { StopNow(); }

 private:
  void AwaitQuiet(Instant latest) const {
    const Instant begun = clock_.Now();
    const Duration quiet_time = context_.options.drain_quiet_time;
    while (clock_.Now() < latest &&
           clock_.Now() < std::max(begun, lifecycle_.last_request()) + quiet_time) {
      std::this_thread::sleep_for(kDrainCheckInterval);
    }
  }

  // A connection that the system has completed for us, and those on the way, are reset when the
  // listening socket is closed: they are accepted before.
  void AcceptTheLast(Instant deadline) {
    listener_.IgnoreNewConnections();
    std::this_thread::sleep_for(kHandshakeTime);
    while (listener_.HasWaitingConnection() && clock_.Now() < deadline) {
      std::this_thread::sleep_for(kDrainCheckInterval);
    }
    listener_.StopListening();
  }

  void StopNow() {
    try {
      lifecycle_.Advance(clock_.Now(), ServerPhase::kStopped);
      listener_.StopListening();
      server_.stop();
      threads_.joinAll();
      listener_.close();
    } catch (const Poco::Exception& exception) {
      LogEvent(LogLevel::kWarning, "http_server_stop_failed",
               {{"address", address_}, {"reason", exception.displayText()}});
    }
  }

  const Clock& clock_;
  ServerLifecycle lifecycle_;
  const ServerContext context_;
  Poco::ThreadPool threads_;
  GuardedServerSocket listener_;
  Poco::Net::TCPServer server_;
  const std::string address_;
};

}  // namespace

HttpResponse HttpHandler::RefuseUnreadable(const HttpRequest&, int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

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
