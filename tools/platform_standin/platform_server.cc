#include "tools/platform_standin/platform_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <absl/strings/str_cat.h>

#include <atomic>

#include "tools/platform_standin/request_handler.h"

namespace runshelf::platform_standin {
namespace {

// Each watch holds a thread, and so does each open connection.
constexpr int kMaxThreads = 512;
constexpr int kMinThreads = 4;
constexpr int kMaxQueuedConnections = 256;
constexpr int kReceiveTimeoutSeconds = 10;

class PocoPlatformServer : public PlatformServer {
 public:
  PocoPlatformServer(const Poco::Net::SocketAddress& address, uint64_t seed, const Clock& clock)
      : state_(clock, seed), threads_(kMinThreads, kMaxThreads) {
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(kMaxThreads);
    parameters->setMaxQueued(kMaxQueuedConnections);
    parameters->setTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
    Poco::Net::ServerSocket socket;
    // Without SO_REUSEPORT, which would let a second server take the same port unnoticed.
    socket.bind(address, /*reuseAddress=*/true, /*reusePort=*/false);
    socket.listen(kMaxQueuedConnections);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new RequestHandlerFactory(state_, stopping_),
                                                      threads_, socket, parameters);
    server_->start();
  }

  ~PocoPlatformServer() override {
    stopping_.store(true);
    try {
      server_->stopAll(/*abortCurrent=*/true);
      threads_.joinAll();
    } catch (const Poco::Exception&) {
      // Nothing is left to be done about it: the process lets go of the sockets.
    }
    server_.reset();
  }

  std::string address() const override { return server_->socket().address().toString(); }
  PlatformState& state() override { return state_; }

 private:
  std::atomic<bool> stopping_{false};
  PlatformState state_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<PlatformServer>> PlatformServer::Start(
    const PlatformServerOptions& options, const Clock& clock) {
  Poco::Net::SocketAddress address;
  try {
    address = Poco::Net::SocketAddress(options.listen_address);
  } catch (const Poco::Exception& exception) {
    return absl::InvalidArgumentError(
        absl::StrCat("bad address ", options.listen_address, ": ", exception.displayText()));
  }
  try {
    return std::make_unique<PocoPlatformServer>(address, options.seed, clock);
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", options.listen_address, ": ", exception.displayText()));
  }
}

}  // namespace runshelf::platform_standin
