// HTTP/1.1 client connections on the event loop, kept and reused per endpoint.
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

// Why no complete answer came.
enum class ClientFailure {
  // Nothing listens at the address: certainly no byte of the request left.
  kRefused,
  // No connection could be made, for another reason: certainly no byte of the request left.
  kNotSent,
  kBroken,      // The connection broke before the first byte of the answer.
  kIncomplete,  // The answer began and broke off, or was no message of the protocol.
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
  // `call_purpose`: for logs; a literal.
  CallOptions(AnswerMatch match, std::string_view call_purpose)
      : answer_match(std::move(match)), purpose(call_purpose) {}

  AnswerMatch answer_match;
  std::string_view purpose;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // A connection without a request for this long is closed; a shorter Keep-Alive of the server
  // wins.
  Duration idle_timeout = std::chrono::seconds(4);
  bool head_request = false;  // The method is HEAD.
  // Of a SimpleCall: its timeout is for the first byte of the answer, and then between its parts.
  // So an answer that is large for the links on its way arrives, and one that stands still is given
  // up.
  bool wait_while_answer_arrives = false;
};

class ClientConnection;

// Bytes of a server that belong to no request under way on their connection.
struct UnexpectedAnswer {
  enum class Kind {
    kSkipped,   // Not the answer to the request under way, by what identifies that.
    kTrailing,  // Followed a whole answer at once.
    kIdle,      // Came while no request was under way.
  };
  Kind kind = Kind::kSkipped;
  event::Endpoint endpoint;
  Duration connection_age{0};
  uint64_t requests = 0;            // Sent on the connection so far.
  std::string_view purpose;         // Of the latest of them.
  std::string_view purpose_before;  // Of the one before it; empty: there was none.
  std::string expected_id;          // Of the latest; empty: its answer names none.
  std::string found_id;             // In the answer; empty: none, or it was not read.
};

std::string_view NameOf(UnexpectedAnswer::Kind kind);

// One request under way. Destroying it cancels the request by closing its connection.
class ClientCall {
 public:
  explicit ClientCall(std::shared_ptr<ClientConnection> connection);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  // Stops and restarts reading, to bound what is held for a slow reader.
  void Pause();
  void Resume();
  // True when the request went out on a connection that had served another one before.
  bool on_reused_connection() const;
  // When its connection was made; Instant{} while it is not.
  Instant connection_made_at() const;

 private:
  std::shared_ptr<ClientConnection> connection_;
  uint64_t request_number_;  // Among those of the connection.
};

// Keeps idle connections for each endpoint and lane (see AnswerMatch), and opens new ones when none
// is left. Must outlive its calls.
class ConnectionPool {
 public:
  explicit ConnectionPool(event::EventLoop& loop);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends the serialized request; the observer must stay until the call is over or destroyed.
  std::unique_ptr<ClientCall> Send(const event::Endpoint& endpoint, std::string_view request,
                                   const CallOptions& options, ResponseObserver* observer);
  // Closes the idle connections to an endpoint.
  void CloseIdle(const event::Endpoint& endpoint);
  // A connection to the endpoint is open, in use or idle, as far as the operating system knows: the
  // process at its other end still runs. Costs a system call for each connection until one is
  // found.
  bool HasOpenConnection(const event::Endpoint& endpoint) const;
  // The same of a connection that was made at `made_by` or earlier and brought something at
  // `heard_from` or later: one that fell silent for good looks open for seconds.
  bool HasLiveConnection(const event::Endpoint& endpoint, Instant made_by,
                         Instant heard_from) const;
  // When the other end last closed or broke a connection to the endpoint; Instant{}: never.
  Instant LostAt(const event::Endpoint& endpoint) const;
  uint64_t opened() const { return opened_; }
  // Called when a peer closes or breaks a connection that no request is on.
  void set_on_idle_lost(std::function<void(const event::Endpoint&)> callback) {
    on_idle_lost_ = std::move(callback);
  }
  void set_on_unexpected_answer(std::function<void(const UnexpectedAnswer&)> callback) {
    on_unexpected_answer_ = std::move(callback);
  }

 private:
  friend class ClientConnection;
  using IdleConnections = std::deque<std::shared_ptr<ClientConnection>>;

  // An idle connection that the request may use, which is idle no more; nullptr: there is none.
  std::shared_ptr<ClientConnection> TakeIdle(const event::Endpoint& endpoint,
                                             const CallOptions& options);
  void OnIdle(const std::shared_ptr<ClientConnection>& connection);
  void Forget(const ClientConnection* connection);
  void OnClosed(const ClientConnection* connection);
  void OnIdleLost(const ClientConnection* connection);
  void OnUnexpectedAnswer(const UnexpectedAnswer& answer);

  event::EventLoop& loop_;
  std::map<event::Endpoint, std::map<std::string, IdleConnections>> idle_;  // By lane.
  std::map<event::Endpoint, std::set<const ClientConnection*>> made_;       // And not closed here.
  std::map<event::Endpoint, Instant> lost_at_;
  uint64_t opened_ = 0;
  std::function<void(const event::Endpoint&)> on_idle_lost_;
  std::function<void(const UnexpectedAnswer&)> on_unexpected_answer_;
};

// Sends one request and collects its whole answer; calls back exactly once, unless destroyed.
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
  // When the connection that brought the answer was made; for the callback.
  Instant connection_made_at() const { return connection_made_at_; }

 private:
  void Finish(std::optional<Response> response, ClientFailure failure);
  void OnAnswerArrives();

  bool wait_while_answer_arrives_;
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
