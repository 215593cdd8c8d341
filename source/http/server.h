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
#include "source/http/answer_sequence.h"
#include "source/http/message.h"
#include "source/http/server_resources.h"

namespace runshelf::http {

class ServerConnection;

// Limits on the size and duration of requests. Shared by all connections of a server; changes apply
// to later requests.
struct ServerLimits {
  size_t max_head_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  Duration request_timeout = std::chrono::seconds(10);  // From the first byte to the last.
  Duration idle_timeout = std::chrono::seconds(30);     // Between requests.
  // Idle connections may be closed sooner, to make room for others.
  bool closes_idle = true;
};

// One request and its answer. Owned by the code that answers it; once the client has disconnected,
// calls that send have no effect.
class ServerExchange {
 public:
  ServerExchange(std::weak_ptr<ServerConnection> connection, Request request, Instant received);

  const Request& request() const { return request_; }
  Request& request() { return request_; }
  // When the last byte of the request arrived.
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

  // Lets requests behind this one on its connection begin before its answer is complete, if
  // Server::set_may_overlap() allows it for them. To be called before the handler returns.
  void AllowOverlap();
  // Whether the answer to an earlier request of the connection is not complete. Until it is, what
  // is written is held.
  bool waits_for_turn() const;
  // Time for which the complete answer was held.
  Duration held_for() const { return held_for_; }
  // Called when the complete answer, which waited, has had its turn. Not called if the connection
  // ends before.
  void set_on_sent(std::function<void()> callback) { on_sent_ = std::move(callback); }

  // Bytes of the answer that are buffered because the client has not read them yet. Includes the
  // bytes that the connection holds while the answer waits for its turn.
  size_t unsent_bytes() const;
  // Called when the client disconnects before the answer is complete, and when an earlier answer
  // closes the connection.
  void set_on_client_gone(std::function<void()> callback) { on_client_gone_ = std::move(callback); }
  // Whether the answer can no longer be sent since the client has disconnected, even if the event
  // loop has not processed that event yet, or since an earlier answer closes the connection. Makes
  // a system call.
  bool client_gone() const;
  // Called when all bytes written so far were handed to the operating system.
  void set_on_drained(std::function<void()> callback) { on_drained_ = std::move(callback); }
  // Whether the answer carries "Connection: close" and the connection is closed after it.
  void set_close_after(bool value) { close_after_ = value; }

 private:
  friend class ServerConnection;
  // Whether the connection is closed after the answer.
  bool closes() const { return close_after_ || last_; }
  // Completes a head and writes it; withdraws the requests behind an answer that closes.
  void WriteHead(ServerConnection& connection, int status, Headers headers, std::string_view body);

  std::weak_ptr<ServerConnection> connection_;
  AnswerSequence::Number number_ = 0;
  Request request_;
  Instant received_;
  bool head_request_;  // The method is HEAD: the answer has no body.
  std::function<void()> on_client_gone_;
  std::function<void()> on_drained_;
  std::function<void()> on_sent_;
  Instant completed_at_{};
  Duration held_for_{0};
  bool started_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  bool withdrawn_ = false;  // The client has left, or an earlier answer closes the connection.
  bool chunked_ = false;
  bool close_after_ = false;
  bool last_ = false;  // No request behind this one is read.
};

using ExchangePtr = std::shared_ptr<ServerExchange>;

// What a server has counted since its start.
struct OverlapCounts {
  uint64_t requests = 0;      // Began before the answer to an earlier one was complete.
  uint64_t held_answers = 0;  // Complete answers that waited for an earlier one.
  Duration held_time{0};      // Sum of these waits.
};

// Answers, or ends of answers, that lie in the buffers of the process.
struct UnsentAnswers {
  size_t connections = 0;
  uint64_t bytes = 0;

  UnsentAnswers operator+(const UnsentAnswers& other) const {
    return {connections + other.connections, bytes + other.bytes};
  }
};

// Accepts connections on one address and passes each complete request to the handler.
class Server {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;
  using MayOverlap = std::function<bool(const RequestHead&)>;
  Server(event::EventLoop& loop, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Returns zero, or a negative libuv error code.
  int Listen(const event::Endpoint& endpoint);
  uint16_t bound_port() const;

  ServerLimits& limits() { return limits_; }
  // What is shared with other servers; unlimited without it. To be set before Listen().
  void set_resources(ServerResources* resources) { resources_ = resources; }
  // Headers of the answer to a request that is refused before it is complete.
  void set_refusal_headers(std::function<Headers(int status)> headers) {
    refusal_headers_ = std::move(headers);
  }
  // `may_overlap` is asked for each request that is complete while the answer to an earlier one on
  // its connection is not. Returns whether the request is passed to the handler at once; the
  // answers are sent in the order of the requests. Without it requests of a connection never
  // overlap.
  void set_may_overlap(MayOverlap may_overlap) { may_overlap_ = std::move(may_overlap); }
  const OverlapCounts& overlap_counts() const { return overlap_counts_; }
  // Makes every connection close after the answer to its next request. Requests behind that one
  // count as not read.
  void StartClosing() { closing_ = true; }
  bool closing() const { return closing_; }
  // Stops accepting connections.
  void StopListening();
  // Number of requests passed to the handler and not completely answered.
  size_t open_exchanges() const { return open_exchanges_; }
  size_t connections() const { return connections_.size(); }
  // What answers have written and the operating system has not taken yet, on all connections.
  UnsentAnswers unsent_answers() const;

 private:
  friend class ServerConnection;
  event::EventLoop& loop_;
  Handler handler_;
  MayOverlap may_overlap_;
  std::function<Headers(int)> refusal_headers_;
  ServerResources* resources_ = nullptr;
  OverlapCounts overlap_counts_;
  ServerLimits limits_;
  std::unique_ptr<event::TcpListener> listener_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  size_t open_exchanges_ = 0;
  bool closing_ = false;
};

}  // namespace runshelf::http
