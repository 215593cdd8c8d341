#include "runshelf/transport/control_transport.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "runshelf/common/log.h"
#include "runshelf/transport/http_connection_pool.h"
#include "runshelf/transport/http_server.h"
#include "runshelf/transport/ip_address.h"

namespace runshelf::transport {
namespace {

constexpr size_t kMaxQueuedMessages = 128;
constexpr size_t kReceiveBufferBytes = 65536;
constexpr int kSocketBufferBytes = 1 << 20;
constexpr int kBindAttempts = 20;
constexpr Duration kPostTimeout = std::chrono::seconds(2);
constexpr Duration kPostConnectTimeout = std::chrono::milliseconds(250);
const Poco::Timespan kReceivePollInterval(0, 100'000);

struct QueuedMessage {
  std::string address;
  std::string message;
};

// Takes the messages that are too large for a datagram.
class ControlPostHandler : public HttpHandler {
 public:
  explicit ControlPostHandler(std::function<void(std::string)> deliver)
      : deliver_(std::move(deliver)) {}

  HttpResponse Handle(HttpRequest request, PeerWatch) override {
    HttpResponse response;
    if (request.method != "POST" || request.target != "/control") {
      response.status = 404;
      return response;
    }
    if (request.body_too_large) {
      response.status = 413;
      return response;
    }
    deliver_(std::move(request.body));
    response.status = 204;
    return response;
  }

 private:
  std::function<void(std::string)> deliver_;
};

// A UDP socket and an HTTP server that share one address.
struct BoundSockets {
  Poco::Net::DatagramSocket datagram;
  std::unique_ptr<HttpServer> server;
};

HttpServerOptions ControlServerOptions() {
  HttpServerOptions options;
  options.max_threads = 64;
  options.max_body_bytes = kMaxControlMessageBytes;
  return options;
}

absl::StatusOr<BoundSockets> BindOnce(const Clock& clock, const std::string& address,
                                      HttpHandler& handler) {
  try {
    BoundSockets sockets;
    sockets.datagram.bind(Poco::Net::SocketAddress(address), false);
    sockets.datagram.setBlocking(false);
    sockets.datagram.setReceiveBufferSize(kSocketBufferBytes);
    const std::string bound = sockets.datagram.address().toString();
    auto server = HttpServer::Start(clock, bound, ControlServerOptions(), handler);
    if (!server.ok()) {
      return server.status();
    }
    sockets.server = std::move(*server);
    return sockets;
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(address + ": " + exception.displayText());
  }
}

// A free UDP port may be taken for TCP: with port 0 another one is tried.
absl::StatusOr<BoundSockets> Bind(const Clock& clock, const std::string& address,
                                  HttpHandler& handler) {
  absl::StatusOr<BoundSockets> sockets = BindOnce(clock, address, handler);
  const bool any_port = address.ends_with(":0");
  for (int attempt = 1; any_port && !sockets.ok() && attempt < kBindAttempts; ++attempt) {
    sockets = BindOnce(clock, address, handler);
  }
  return sockets;
}

class PocoControlTransport : public ControlTransport {
 public:
  PocoControlTransport(const Clock& clock, Receiver receiver)
      : clock_(clock),
        receiver_(std::move(receiver)),
        post_handler_([this](std::string message) { Deliver(std::move(message)); }),
        pool_(clock, PoolOptions()) {}

  ~PocoControlTransport() override { StopThreads(); }

  absl::Status Open(const std::string& address) {
    absl::Status valid = CheckIpAddress(address, true);
    if (!valid.ok()) {
      return valid;
    }
    auto sockets = Bind(clock_, address, post_handler_);
    if (!sockets.ok()) {
      return sockets.status();
    }
    datagram_ = sockets->datagram;
    server_ = std::move(sockets->server);
    address_ = server_->address();
    receive_thread_ = std::thread([this] { ReceiveLoop(); });
    post_thread_ = std::thread([this] { PostLoop(); });
    return absl::OkStatus();
  }

  void Send(const std::string& address, const std::string& message) override {
    if (!CheckIpAddress(address).ok()) {
      ++dropped_;
    } else if (message.size() <= kMaxDatagramBytes) {
      SendDatagram(address, message);
    } else {
      QueuePost(address, message);
    }
  }

  std::string address() const override { return address_; }

  ControlCounters counters() const override {
    ControlCounters counters;
    counters.datagrams_sent = datagrams_sent_;
    counters.posts_sent = posts_sent_;
    counters.bytes_sent = bytes_sent_;
    counters.messages_received = messages_received_;
    counters.bytes_received = bytes_received_;
    counters.dropped = dropped_;
    return counters;
  }

  void Stop() override { StopThreads(); }

 private:
  static HttpConnectionPoolOptions PoolOptions() {
    HttpConnectionPoolOptions options;
    options.max_idle_per_address = 1;
    options.connect_timeout = kPostConnectTimeout;
    return options;
  }

  void SendDatagram(const std::string& address, const std::string& message) {
    try {
      datagram_.sendTo(message.data(), static_cast<int>(message.size()),
                       Poco::Net::SocketAddress(address));
      ++datagrams_sent_;
      bytes_sent_ += message.size();
    } catch (const Poco::Exception&) {
      ++dropped_;
    }
  }

  void QueuePost(const std::string& address, const std::string& message) {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueuedMessages || message.size() > kMaxControlMessageBytes) {
      ++dropped_;
      return;
    }
    queue_.push_back({address, message});
    queue_changed_.notify_one();
  }

  void ReceiveLoop() {
    std::vector<char> buffer(kReceiveBufferBytes);
    while (!stopping_) {
      try {
        if (!datagram_.poll(kReceivePollInterval, Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        Poco::Net::SocketAddress sender;
        const int received =
            datagram_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
        if (received > 0) {
          Deliver(std::string(buffer.data(), static_cast<size_t>(received)));
        }
      } catch (const Poco::Exception& exception) {
        LogEvent(LogLevel::kDebug, "control_receive_failed", {{"reason", exception.displayText()}});
      }
    }
  }

  void PostLoop() {
    while (true) {
      std::unique_lock lock(mutex_);
      queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) {
        return;
      }
      const QueuedMessage next = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      Post(next);
    }
  }

  void Post(const QueuedMessage& queued) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = queued.message;
    const HttpResult result =
        pool_.Call(queued.address, request, AnswerMatch::InOrder(), clock_.Now() + kPostTimeout);
    if (result.outcome == HttpOutcome::kAnswered) {
      ++posts_sent_;
      bytes_sent_ += queued.message.size();
    } else {
      ++dropped_;
    }
  }

  void Deliver(std::string message) {
    ++messages_received_;
    bytes_received_ += message.size();
    receiver_(std::move(message));
  }

  void StopThreads() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      queue_changed_.notify_all();
    }
    if (receive_thread_.joinable()) {
      receive_thread_.join();
    }
    if (post_thread_.joinable()) {
      post_thread_.join();
    }
    if (server_ != nullptr) {
      server_->Stop();
    }
  }

  const Clock& clock_;
  const Receiver receiver_;
  ControlPostHandler post_handler_;
  HttpConnectionPool pool_;
  Poco::Net::DatagramSocket datagram_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<QueuedMessage> queue_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> datagrams_sent_{0};
  std::atomic<uint64_t> posts_sent_{0};
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> messages_received_{0};
  std::atomic<uint64_t> bytes_received_{0};
  std::atomic<uint64_t> dropped_{0};
  std::thread receive_thread_;
  std::thread post_thread_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<ControlTransport>> ControlTransport::Start(
    const Clock& clock, const std::string& address, Receiver receiver) {
  auto transport = std::make_unique<PocoControlTransport>(clock, std::move(receiver));
  absl::Status opened = transport->Open(address);
  if (!opened.ok()) {
    return opened;
  }
  return std::unique_ptr<ControlTransport>(std::move(transport));
}

}  // namespace runshelf::transport
