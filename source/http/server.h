// HTTP/1.1 server on the event loop. Requests are buffered completely; answers can be streamed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "source/event/tcp_stream.h"
#include "source/http/message.h"

namespace runshelf::http {

class ServerConnection;

// Limits on the size and duration of requests. Shared by all connections of a server; changes apply
// to later requests.
struct ServerLimits {
  size_t max_head_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  Duration request_timeout = std::chrono::seconds(10);  // From the first byte to the last.
  Duration idle_timeout = std::chrono::seconds(30);     // Between requests.
};

// One request and its answer. Owned by the code that answers it; once the client has disconnected,
// calls that send have no effect.
class ServerExchange {
 public:
  ServerExchange(std::weak_ptr<ServerConnection> connection, Request request, Instant received);

  const Request& request() const { return request_; }
  Request& request() { return request_; }
  Instant received() const { return received_; }
  bool answered() const { return started_; }
  // False once the client has disconnected or the answer is complete.
  bool open() const;

  // Sends a complete answer with Content-Length.
  void Respond(int status, const Headers& headers, std::string_view body);

  // Starts a streamed answer; without `content_length` it is sent with chunked encoding.
  void Start(int status, const Headers& headers, std::optional<uint64_t> content_length);
  void WriteBody(std::string_view data);
  void Finish();
  // Closes the connection, so that the client recognizes the answer as incomplete.
  void Abort();

  // Bytes of the answer that are buffered because the client has not read them yet.
  size_t unsent_bytes() const;
  // Called when the client disconnects before the answer is complete.
  void set_on_client_gone(std::function<void()> callback) { on_client_gone_ = std::move(callback); }
  // Whether the client has disconnected, even if the event loop has not processed that event yet.
  // Makes a system call.
  bool client_gone() const;
  // Called when all bytes written so far were handed to the operating system.
  void set_on_drained(std::function<void()> callback) { on_drained_ = std::move(callback); }
  // Whether the answer carries "Connection: close" and the connection is closed after it.
  void set_close_after(bool value) { close_after_ = value; }

 private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  Request request_;
  Instant received_;
  bool head_request_;  // The method is HEAD: the answer has no body.
  std::function<void()> on_client_gone_;
  std::function<void()> on_drained_;
  bool started_ = false;
  bool finished_ = false;
  bool chunked_ = false;
  bool close_after_ = false;
};

using ExchangePtr = std::shared_ptr<ServerExchange>;

// Accepts connections on one address and passes each complete request to the handler.
class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  Server(event::EventLoop& loop, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Returns zero, or a negative libuv error code.
  int Listen(const event::Endpoint& endpoint);
  uint16_t bound_port() const;

  ServerLimits& limits() { return limits_; }
  // Makes every connection close after the answer to its next request.
  void StartClosing() { closing_ = true; }
  bool closing() const { return closing_; }
  // Stops accepting connections.
  void StopListening();
  // Number of requests received and not completely answered.
  size_t open_exchanges() const { return open_exchanges_; }
  size_t connections() const { return connections_.size(); }

 private:
  friend class ServerConnection;
  event::EventLoop& loop_;
  Handler handler_;
  ServerLimits limits_;
  std::unique_ptr<event::TcpListener> listener_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  size_t open_exchanges_ = 0;
  bool closing_ = false;
};

}  // namespace runshelf::http
