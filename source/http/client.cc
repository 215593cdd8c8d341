#include "source/http/client.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace runshelf::http {
namespace {

// Maximum duration of a call, in multiples of its timeout, however slowly its answer arrives.
constexpr int kMaxAnswerTimeouts = 10;

// Fraction of the server's Keep-Alive time after which an idle connection is closed. The server
// counts from when it sent its answer, and may close early.
constexpr double kKeepAliveShare = 0.7;
constexpr size_t kMaxIdlePerLane = 32;
// Number of recent answer identifiers remembered for each connection.
constexpr size_t kRememberedValues = 64;
// After skipping an answer without an identifier, the client waits this long for the matching one.
constexpr Duration kUnidentifiedAnswerTimeout = std::chrono::milliseconds(250);

// For a duplicate answer after a HEAD request it would be unknown whether it has a body.
bool NeedsOwnConnection(const CallOptions& options) {
  return options.head_request && options.answer_match.by_header();
}

// The "timeout" of a Keep-Alive header, in whole seconds.
std::optional<Duration> KeepAliveTimeout(const Headers& headers) {
  const std::string* value = headers.Find("keep-alive");
  if (value == nullptr) return std::nullopt;
  const size_t start = value->find("timeout=");
  if (start == std::string::npos) return std::nullopt;
  std::string_view digits = std::string_view(*value).substr(start + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return ParseTime(digits, std::chrono::seconds(1));
}

}  // namespace

std::string_view NameOf(UnexpectedAnswer::Kind kind) {
  switch (kind) {
    case UnexpectedAnswer::Kind::kSkipped:
      return "skipped";
    case UnexpectedAnswer::Kind::kTrailing:
      return "trailing";
    case UnexpectedAnswer::Kind::kIdle:
      return "idle";
  }
  return "unknown";
}

// A connection to one endpoint. Owned by its call during a request, otherwise by the pool.
class ClientConnection : public event::StreamObserver,
                         public ParserObserver,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionPool* pool, event::Endpoint endpoint, const CallOptions& options)
      : pool_(pool),
        endpoint_(std::move(endpoint)),
        parser_(ParserKind::kResponse, this),
        timer_(pool->loop_, [this] { OnTimeout(); }),
        options_(options) {}

  ~ClientConnection() override { Close(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const event::Endpoint& endpoint() const { return endpoint_; }
  Instant made_at() const { return made_at_; }
  Instant heard_at() const { return heard_at_; }
  bool PeerDisconnected() const { return stream_ == nullptr || stream_->PeerDisconnected(); }
  bool reused() const { return requests_ > 1; }
  const std::optional<std::string>& lane() const { return options_.answer_match.lane(); }

  // Whether this idle connection may carry a request with this match. False when it has unread
  // bytes or was closed, which the event loop is about to report, and when it recently carried a
  // request with the same value.
  bool MayCarry(const AnswerMatch& match) const {
    const bool repeated = match.by_value() && std::find(values_.begin(), values_.end(),
                                                        ValueHash(match)) != values_.end();
    return !repeated && stream_ != nullptr && stream_->IsIdleAndOpen();
  }

  // `body_of`: request whose body follows `request`; may be null.
  void Begin(std::string_view request, const std::shared_ptr<const Request>& body_of,
             const CallOptions& options, ResponseObserver* observer) {
    observer_ = observer;
    purpose_before_ = requests_ == 0 ? std::string_view() : options_.purpose;
    options_ = options;
    reusable_ = !options.answer_match.last_on_connection() && !NeedsOwnConnection(options);
    RememberValue(options.answer_match);
    skipping_ = false;
    head_seen_ = false;
    ++requests_;
    parser_.set_response_to_head(options.head_request);
    if (stream_ == nullptr) {
      stream_ = event::TcpStream::Connect(pool_->loop_, endpoint_, this);
      timer_.Start(options.connect_timeout);
    } else {
      timer_.Stop();
    }
    stream_->Write(request);
    if (body_of != nullptr) stream_->WriteShared(body_of->body, body_of);
  }

  // The call that sent request number `request` was destroyed; closes the connection when that
  // request is still in progress.
  void CancelRequest(uint64_t request) {
    if (observer_ == nullptr || request != requests_) return;
    observer_ = nullptr;
    Close();
  }

  uint64_t requests() const { return requests_; }

  void Close() {
    timer_.Stop();
    stream_.reset();
    if (std::exchange(connected_, false)) pool_->OnClosed(this);
  }

  void Pause() {
    if (stream_ != nullptr) stream_->StopReading();
  }

  void Resume() {
    if (stream_ != nullptr) stream_->StartReading();
  }

  void OnConnected() override {
    connected_ = true;
    made_at_ = pool_->loop_.Now();
    pool_->made_[endpoint_].insert(this);
    timer_.Stop();
  }

  void OnData(std::string_view data) override {
    const auto self = shared_from_this();
    heard_at_ = pool_->loop_.Now();
    if (observer_ == nullptr) {
      Report(UnexpectedAnswer::Kind::kIdle, "");
      Discard();
      return;
    }
    while (!data.empty() && stream_ != nullptr) {
      const ParseResult result = parser_.Feed(data);
      data.remove_prefix(std::min(result.consumed, data.size()));
      if (result.status == ParseStatus::kMalformed || result.status == ParseStatus::kHeadTooLarge) {
        Fail(ClientFailure::kIncomplete);
        return;
      }
      if (!message_complete_) continue;
      message_complete_ = false;
      if (skipping_) {
        skipping_ = false;
        reusable_ = false;
        continue;
      }
      if (!data.empty()) {
        Report(UnexpectedAnswer::Kind::kTrailing, "");
        reusable_ = false;
      }
      Complete();
      return;
    }
  }

  void OnEnd(event::StreamEnd end) override {
    const auto self = shared_from_this();
    if (connected_) pool_->lost_at_[endpoint_] = pool_->loop_.Now();
    if (observer_ == nullptr) {
      Discard();
      pool_->OnIdleLost(this);
      return;
    }
    if (!connected_) {
      Fail(end == event::StreamEnd::kRefused ? ClientFailure::kRefused : ClientFailure::kNotSent);
      return;
    }
    if (end == event::StreamEnd::kClosed && head_seen_ && !skipping_) {
      // An answer without a length is complete when the connection is closed in order.
      if (parser_.Finish() && message_complete_) {
        reusable_ = false;
        Complete();
        return;
      }
    }
    Fail(head_seen_ ? ClientFailure::kIncomplete : ClientFailure::kBroken);
  }

  void OnResponseHead(ResponseHead&& head) override {
    if (observer_ == nullptr) return;
    if (!IsOwnAnswer(head)) {
      skipping_ = true;
      const std::string* value = head.headers.Find(options_.answer_match.header());
      Report(UnexpectedAnswer::Kind::kSkipped, value == nullptr ? std::string() : *value);
      // It may be the matching answer of a server that omits the header.
      if (value == nullptr && options_.answer_match.by_value())
        timer_.Start(kUnidentifiedAnswerTimeout);
      return;
    }
    timer_.Stop();
    head_seen_ = true;
    idle_timeout_ = options_.idle_timeout;
    if (const auto stated = KeepAliveTimeout(head.headers)) {
      const auto usable = std::chrono::duration_cast<Duration>(*stated * kKeepAliveShare);
      idle_timeout_ = std::min(idle_timeout_, usable);
    }
    observer_->OnResponseHead(std::move(head));
  }

  void OnBody(std::string_view data) override {
    if (skipping_ || observer_ == nullptr) return;
    observer_->OnResponseBody(data);
  }

  void OnMessageComplete(bool keep_alive) override {
    message_complete_ = true;
    if (!keep_alive) reusable_ = false;
  }

  Duration idle_timeout() const { return idle_timeout_; }
  void StartIdleTimer() { timer_.Start(idle_timeout_); }
  bool usable() const { return stream_ != nullptr; }

 private:
  static size_t ValueHash(const AnswerMatch& match) {
    return std::hash<std::string>()(match.value());
  }

  void RememberValue(const AnswerMatch& match) {
    if (!match.by_value()) return;
    values_.push_back(ValueHash(match));
    if (values_.size() > kRememberedValues) values_.pop_front();
  }

  bool IsOwnAnswer(const ResponseHead& head) const {
    const AnswerMatch& match = options_.answer_match;
    if (!match.by_header()) return true;
    const std::string* value = head.headers.Find(match.header());
    if (value == nullptr) return requests_ == 1;
    return !match.by_value() || *value == match.value();
  }

  void Complete() {
    ResponseObserver* observer = std::exchange(observer_, nullptr);
    // A server may answer before it has read the whole request. No other request may then follow
    // the unsent rest.
    if (stream_ == nullptr || stream_->unsent_bytes() > 0) reusable_ = false;
    if (reusable_ && idle_timeout_ > Duration(0)) {
      stream_->StartReading();
      pool_->OnIdle(shared_from_this());
    } else {
      Close();
    }
    if (observer != nullptr) observer->OnResponseComplete();
  }

  void Fail(ClientFailure failure) {
    ResponseObserver* observer = std::exchange(observer_, nullptr);
    Close();
    if (observer != nullptr) observer->OnClientFailure(failure);
  }

  void Report(UnexpectedAnswer::Kind kind, const std::string& found_id) const {
    pool_->OnUnexpectedAnswer({kind, endpoint_, pool_->loop_.Now() - made_at_, requests_,
                               options_.purpose, purpose_before_, options_.answer_match.value(),
                               found_id});
  }

  // Closes the connection and removes it from the pool.
  void Discard() {
    Close();
    pool_->Forget(this);
  }

  void OnTimeout() {
    const auto self = shared_from_this();
    if (observer_ != nullptr) {
      Fail(connected_ ? ClientFailure::kIncomplete : ClientFailure::kNotSent);
    } else {
      Discard();
    }
  }

  ConnectionPool* pool_;
  event::Endpoint endpoint_;
  std::unique_ptr<event::TcpStream> stream_;
  Parser parser_;
  event::Timer timer_;  // For the connect, the wait for a matching answer, and idleness.
  ResponseObserver* observer_ = nullptr;
  CallOptions options_;              // Of the latest request.
  std::string_view purpose_before_;  // Of the request before it.
  std::deque<size_t> values_;        // Hashes of the values that identify recent answers.
  Duration idle_timeout_{0};
  uint64_t requests_ = 0;
  bool connected_ = false;
  Instant made_at_{};
  Instant heard_at_{};  // When bytes were last received.
  bool reusable_ = true;
  bool skipping_ = false;
  bool head_seen_ = false;
  bool message_complete_ = false;
};

ClientCall::ClientCall(std::shared_ptr<ClientConnection> connection)
    : connection_(std::move(connection)), request_number_(connection_->requests()) {}

ClientCall::~ClientCall() { connection_->CancelRequest(request_number_); }

void ClientCall::Pause() { connection_->Pause(); }
void ClientCall::Resume() { connection_->Resume(); }
bool ClientCall::on_reused_connection() const { return connection_->reused(); }
Instant ClientCall::connection_made_at() const { return connection_->made_at(); }

ConnectionPool::ConnectionPool(event::EventLoop& loop) : loop_(loop) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [endpoint, lanes] : idle_) {
    for (auto& [lane, connections] : lanes) {
      for (const auto& connection : connections) connection->Close();
    }
  }
  // Connections unregister from `made_` when destroyed, so it must still exist.
  idle_.clear();
}

std::unique_ptr<ClientCall> ConnectionPool::Send(const event::Endpoint& endpoint,
                                                 std::string_view request,
                                                 const CallOptions& options,
                                                 ResponseObserver* observer) {
  std::shared_ptr<ClientConnection> connection = TakeConnection(endpoint, options);
  connection->Begin(request, nullptr, options, observer);
  return std::make_unique<ClientCall>(std::move(connection));
}

std::unique_ptr<ClientCall> ConnectionPool::Send(const event::Endpoint& endpoint,
                                                 const SerializedRequest& request,
                                                 const CallOptions& options,
                                                 ResponseObserver* observer) {
  std::shared_ptr<ClientConnection> connection = TakeConnection(endpoint, options);
  connection->Begin(request.bytes, request.body_of, options, observer);
  return std::make_unique<ClientCall>(std::move(connection));
}

std::shared_ptr<ClientConnection> ConnectionPool::TakeConnection(const event::Endpoint& endpoint,
                                                                 const CallOptions& options) {
  std::shared_ptr<ClientConnection> connection = TakeIdle(endpoint, options);
  if (connection != nullptr) return connection;
  ++opened_;
  return std::make_shared<ClientConnection>(this, endpoint, options);
}

std::shared_ptr<ClientConnection> ConnectionPool::TakeIdle(const event::Endpoint& endpoint,
                                                           const CallOptions& options) {
  const AnswerMatch& match = options.answer_match;
  if (!match.lane().has_value() || NeedsOwnConnection(options)) return nullptr;
  const auto of_endpoint = idle_.find(endpoint);
  if (of_endpoint == idle_.end()) return nullptr;
  const auto of_lane = of_endpoint->second.find(*match.lane());
  if (of_lane == of_endpoint->second.end()) return nullptr;
  IdleConnections& connections = of_lane->second;
  // Prefer the most recently used one, so that the others reach their idle timeout.
  const auto found =
      std::find_if(connections.rbegin(), connections.rend(),
                   [&](const auto& connection) { return connection->MayCarry(match); });
  if (found == connections.rend()) return nullptr;
  std::shared_ptr<ClientConnection> taken = std::move(*found);
  connections.erase(std::next(found).base());
  if (connections.empty()) of_endpoint->second.erase(of_lane);
  if (of_endpoint->second.empty()) idle_.erase(of_endpoint);
  return taken;
}

void ConnectionPool::CloseIdle(const event::Endpoint& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return;
  for (auto& [lane, connections] : found->second) {
    for (const auto& connection : connections) connection->Close();
  }
  idle_.erase(found);
}

bool ConnectionPool::HasOpenConnection(const event::Endpoint& endpoint) const {
  return HasLiveConnection(endpoint, Instant::max(), Instant::min());
}

bool ConnectionPool::HasLiveConnection(const event::Endpoint& endpoint, Instant made_by,
                                       Instant heard_from) const {
  const auto found = made_.find(endpoint);
  if (found == made_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](const auto* connection) {
    return connection->made_at() <= made_by && connection->heard_at() >= heard_from &&
           !connection->PeerDisconnected();
  });
}

Instant ConnectionPool::LostAt(const event::Endpoint& endpoint) const {
  const auto found = lost_at_.find(endpoint);
  return found == lost_at_.end() ? Instant{} : found->second;
}

void ConnectionPool::OnClosed(const ClientConnection* connection) {
  const auto found = made_.find(connection->endpoint());
  if (found == made_.end()) return;
  found->second.erase(connection);
  if (found->second.empty()) made_.erase(found);
}

void ConnectionPool::OnIdle(const std::shared_ptr<ClientConnection>& connection) {
  IdleConnections& connections = idle_[connection->endpoint()][*connection->lane()];
  connection->StartIdleTimer();
  connections.push_back(connection);
  if (connections.size() > kMaxIdlePerLane) {
    connections.front()->Close();
    connections.pop_front();
  }
}

void ConnectionPool::Forget(const ClientConnection* connection) {
  const auto of_endpoint = idle_.find(connection->endpoint());
  if (of_endpoint == idle_.end() || !connection->lane().has_value()) return;
  const auto of_lane = of_endpoint->second.find(*connection->lane());
  if (of_lane == of_endpoint->second.end()) return;
  std::erase_if(of_lane->second, [&](const auto& other) { return other.get() == connection; });
  if (of_lane->second.empty()) of_endpoint->second.erase(of_lane);
  if (of_endpoint->second.empty()) idle_.erase(of_endpoint);
}

void ConnectionPool::OnIdleLost(const ClientConnection* connection) {
  if (on_idle_lost_) on_idle_lost_(connection->endpoint());
}

void ConnectionPool::OnUnexpectedAnswer(const UnexpectedAnswer& answer) {
  if (on_unexpected_answer_) on_unexpected_answer_(answer);
}

SimpleCall::SimpleCall(event::EventLoop& loop, ConnectionPool& pool,
                       const event::Endpoint& endpoint, std::string_view request,
                       const CallOptions& options, Duration timeout, Callback callback)
    : wait_while_answer_arrives_(options.wait_while_answer_arrives),
      max_body_bytes_(options.max_body_bytes),
      timeout_(timeout),
      loop_(loop),
      give_up_at_(loop.Now() + timeout * kMaxAnswerTimeouts),
      callback_(std::move(callback)),
      timer_(loop, [this] { OnClientFailure(ClientFailure::kBroken); }) {
  timer_.Start(timeout);
  call_ = pool.Send(endpoint, request, options, this);
}

void SimpleCall::OnResponseHead(ResponseHead&& head) {
  response_.status = head.status;
  response_.headers = std::move(head.headers);
  if (head.content_length.value_or(0) > max_body_bytes_) {
    Finish(std::nullopt, ClientFailure::kIncomplete);
    return;
  }
  OnAnswerArrives();
}

void SimpleCall::OnResponseBody(std::string_view data) {
  if (response_.body.size() + data.size() > max_body_bytes_) {
    Finish(std::nullopt, ClientFailure::kIncomplete);
    return;
  }
  response_.body.append(data);
  OnAnswerArrives();
}

void SimpleCall::OnAnswerArrives() {
  if (wait_while_answer_arrives_) timer_.Start(std::min(timeout_, give_up_at_ - loop_.Now()));
}

void SimpleCall::OnResponseComplete() { Finish(std::move(response_), ClientFailure::kBroken); }

void SimpleCall::OnClientFailure(ClientFailure failure) { Finish(std::nullopt, failure); }

void SimpleCall::Finish(std::optional<Response> response, ClientFailure failure) {
  timer_.Stop();
  if (call_ != nullptr) connection_made_at_ = call_->connection_made_at();
  call_.reset();
  // The callback may destroy this object.
  const Callback callback = std::move(callback_);
  callback(std::move(response), failure);
}

}  // namespace runshelf::http
