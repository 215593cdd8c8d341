// HTTP/1.1 client on the event loop, with a pool of reusable connections for each endpoint.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "source/event/tcp_stream.h"
#include "source/http/answer_match.h"
#include "source/http/message.h"

namespace runshelf::http {

// Why no complete answer was received.
enum class ClientFailure {
  // The connection was refused: certainly no byte of the request was sent.
  kRefused,
  // No connection could be made, for another reason: certainly no byte of the request was sent.
  kNotSent,
  kBroken,      // The connection broke before the head of the answer was received.
  kIncomplete,  // The answer was truncated or malformed.
};

inline bool CertainlyNotSent(ClientFailure failure) {
  return failure == ClientFailure::kRefused || failure == ClientFailure::kNotSent;
}

// Receives the answer to one request. Exactly one of OnResponseComplete and OnClientFailure is
// called, last, unless the call is cancelled.
class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  virtual void OnResponseHead(ResponseHead&& head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnResponseComplete() = 0;
  virtual void OnClientFailure(ClientFailure failure) = 0;
};

struct CallOptions {
  // `call_purpose`: for logs; must be a string literal.
  CallOptions(AnswerMatch match, std::string_view call_purpose)
      : answer_match(std::move(match)), purpose(call_purpose) {}

  AnswerMatch answer_match;
  std::string_view purpose;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // An idle connection is closed after this time, or earlier when the server's Keep-Alive header
  // states a shorter one.
  Duration idle_timeout = std::chrono::seconds(4);
  bool head_request = false;  // The method is HEAD.
  // For a SimpleCall: its timeout limits the time until the answer's head and then between its
  // parts, so that a large answer can arrive over a slow link, while a stalled one is abandoned.
  bool wait_while_answer_arrives = false;
  // For a SimpleCall: an answer with a larger body is a failure.
  size_t max_body_bytes = kDefaultMaxBodyBytes;

  // More than any answer that only states a fact.
  static constexpr size_t kDefaultMaxBodyBytes = size_t{64} * 1024;
};

class ClientConnection;

// Bytes from a server that do not belong to the current request on their connection.
struct UnexpectedAnswer {
  enum class Kind {
    kSkipped,   // Does not match the current request; see AnswerMatch.
    kTrailing,  // Directly followed a complete answer.
    kIdle,      // Arrived while no request was in progress.
  };
  Kind kind = Kind::kSkipped;
  event::Endpoint endpoint;
  Duration connection_age{0};
  uint64_t requests = 0;            // Sent on the connection so far.
  std::string_view purpose;         // Of the latest request.
  std::string_view purpose_before;  // Of the request before it; empty: there was none.
  std::string expected_id;          // Identifies the latest request's answer; empty: none.
  std::string found_id;             // In the answer; empty: none, or it was not parsed.
};

std::string_view NameOf(UnexpectedAnswer::Kind kind);

// A request in progress. Destroying it cancels the request by closing its connection.
class ClientCall {
 public:
  explicit ClientCall(std::shared_ptr<ClientConnection> connection);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  // Stop and restart reading, to limit what is buffered for a slow reader.
  void Pause();
  void Resume();
  // Whether the request was sent on a connection that had carried another request before.
  bool on_reused_connection() const;
  // When its connection was established; Instant{} before that.
  Instant connection_made_at() const;

 private:
  std::shared_ptr<ClientConnection> connection_;
  uint64_t request_number_;  // Among those of the connection.
};

// Keeps idle connections for each endpoint and lane (see AnswerMatch), and opens a new one when no
// idle one is usable. Must outlive its calls.
class ConnectionPool {
 public:
  explicit ConnectionPool(event::EventLoop& loop);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends the serialized request. The observer must outlive the call, unless the call completes
  // before.
  std::unique_ptr<ClientCall> Send(const event::Endpoint& endpoint, std::string_view request,
                                   const CallOptions& options, ResponseObserver* observer);
  // The same without a copy of a large body.
  std::unique_ptr<ClientCall> Send(const event::Endpoint& endpoint,
                                   const SerializedRequest& request, const CallOptions& options,
                                   ResponseObserver* observer);
  // Closes the idle connections to an endpoint.
  void CloseIdle(const event::Endpoint& endpoint);
  // Whether a connection to the endpoint, in use or idle, is open as far as the operating system
  // knows, so that the process at the other end still runs. Makes a system call for each connection
  // until an open one is found.
  bool HasOpenConnection(const event::Endpoint& endpoint) const;
  // The same for a connection that was established at `made_by` or earlier and received data at
  // `heard_from` or later. The latter excludes a dead connection, which can look open for seconds.
  bool HasLiveConnection(const event::Endpoint& endpoint, Instant made_by,
                         Instant heard_from) const;
  // When a connection to the endpoint was last closed by the peer or broken; Instant{}: never.
  Instant LostAt(const event::Endpoint& endpoint) const;
  uint64_t opened() const { return opened_; }
  // Called when an idle connection is closed by the peer or broken.
  void set_on_idle_lost(std::function<void(const event::Endpoint&)> callback) {
    on_idle_lost_ = std::move(callback);
  }
  void set_on_unexpected_answer(std::function<void(const UnexpectedAnswer&)> callback) {
    on_unexpected_answer_ = std::move(callback);
  }

 private:
  friend class ClientConnection;
  using IdleConnections = std::deque<std::shared_ptr<ClientConnection>>;

  // An idle connection, removed from the pool, or a new one.
  std::shared_ptr<ClientConnection> TakeConnection(const event::Endpoint& endpoint,
                                                   const CallOptions& options);
  // Removes an idle connection that the request may use from the pool; nullptr: there is none.
  std::shared_ptr<ClientConnection> TakeIdle(const event::Endpoint& endpoint,
                                             const CallOptions& options);
  void OnIdle(const std::shared_ptr<ClientConnection>& connection);
  void Forget(const ClientConnection* connection);
  void OnClosed(const ClientConnection* connection);
  void OnIdleLost(const ClientConnection* connection);
  void OnUnexpectedAnswer(const UnexpectedAnswer& answer);

  event::EventLoop& loop_;
  std::map<event::Endpoint, std::map<std::string, IdleConnections>> idle_;  // By lane.
  std::map<event::Endpoint, std::set<const ClientConnection*>> made_;       // Open connections.
  std::map<event::Endpoint, Instant> lost_at_;
  uint64_t opened_ = 0;
  std::function<void(const event::Endpoint&)> on_idle_lost_;
  std::function<void(const UnexpectedAnswer&)> on_unexpected_answer_;
};

// Sends one request and collects the complete answer. The callback is invoked exactly once, unless
// the call is destroyed before.
class SimpleCall : public ResponseObserver {
 public:
  // The response is absent when the call failed or took longer than `timeout`.
  using Callback = std::function<void(std::optional<Response>, ClientFailure)>;
  SimpleCall(event::EventLoop& loop, ConnectionPool& pool, const event::Endpoint& endpoint,
             std::string_view request, const CallOptions& options, Duration timeout,
             Callback callback);

  void OnResponseHead(ResponseHead&& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseComplete() override;
  void OnClientFailure(ClientFailure failure) override;
  // When the connection of the answer was established; valid in the callback.
  Instant connection_made_at() const { return connection_made_at_; }

 private:
  void Finish(std::optional<Response> response, ClientFailure failure);
  void OnAnswerArrives();

  bool wait_while_answer_arrives_;
  size_t max_body_bytes_;
  Duration timeout_;
  event::EventLoop& loop_;
  Instant give_up_at_;
  Callback callback_;
  Response response_;
  event::Timer timer_;
  std::unique_ptr<ClientCall> call_;
  Instant connection_made_at_{};
};

}  // namespace runshelf::http
