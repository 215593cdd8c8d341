#include "runshelf/transport/http_connection_pool.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "source/transport/http_connection.h"

namespace runshelf::transport {

HttpConnectionPool::HttpConnectionPool(const Clock& clock, HttpConnectionPoolOptions options)
    : clock_(clock), options_(options) {}

HttpConnectionPool::~HttpConnectionPool() = default;

HttpResult HttpConnectionPool::Call(const std::string& address, const HttpRequest& request,
                                    const AnswerMatch& match, Instant deadline, PeerWatch caller) {
  std::unique_ptr<HttpConnection> idle = TakeIdle(address, match, clock_.Now());
  if (idle != nullptr) {
    HttpResult result = ExchangeOn(std::move(idle), address, request, match, deadline, caller);
    // An idle connection that the peer closed in this instant took no byte: a new one may be used.
    if (result.outcome != HttpOutcome::kConnectFailed) {
      return result;
    }
  }
  const Duration timeout = std::min(options_.connect_timeout, deadline - clock_.Now());
  if (timeout <= Duration::zero()) {
    return {HttpOutcome::kConnectFailed, {}, false, "the deadline passed before connecting"};
  }
  auto connected = HttpConnection::Connect(clock_, address, timeout);
  if (!connected.ok()) {
    const bool refused = absl::IsFailedPrecondition(connected.status());
    return {HttpOutcome::kConnectFailed, {}, refused, std::string(connected.status().message())};
  }
  return ExchangeOn(std::move(*connected), address, request, match, deadline, caller);
}

HttpResult HttpConnectionPool::ExchangeOn(std::unique_ptr<HttpConnection> connection,
                                          const std::string& address, const HttpRequest& request,
                                          const AnswerMatch& match, Instant deadline,
                                          PeerWatch caller) {
  const bool reused = connection->reused();
  connection->RememberValue(match);
  HttpResult result = connection->Exchange(request, deadline, caller, options_.max_response_bytes);
  if (result.outcome != HttpOutcome::kAnswered) {
    return result;
  }
  if (!match.IsOwnAnswer(result.response, reused)) {
    return {HttpOutcome::kConnectionLost, {}, false, "the response belongs to another request"};
  }
  if (match.AllowsReuseAfter(result.response)) {
    Return(address, match, std::move(connection), clock_.Now());
  }
  return result;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::TakeIdle(const std::string& address,
                                                             const AnswerMatch& match,
                                                             Instant now) {
  if (!match.lane().has_value()) {
    return nullptr;
  }
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find({address, *match.lane()});
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<IdleConnection>& connections = found->second;
  std::unique_ptr<HttpConnection> taken;
  for (size_t i = connections.size(); i > 0 && taken == nullptr; --i) {
    IdleConnection& candidate = connections[i - 1];
    const bool young = now - candidate.since < options_.max_idle_age;
    const bool usable = young && candidate.connection->IsIdle();
    if (usable && candidate.connection->HasCarried(match)) {
      continue;
    }
    if (usable) {
      taken = std::move(candidate.connection);
    }
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i - 1));
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

void HttpConnectionPool::Return(const std::string& address, const AnswerMatch& match,
                                std::unique_ptr<HttpConnection> connection, Instant now) {
  if (!connection->reusable()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  DropOldConnections(now);
  std::vector<IdleConnection>& connections = idle_[{address, *match.lane()}];
  if (connections.size() < options_.max_idle_per_address) {
    connections.push_back({std::move(connection), now});
  }
}

void HttpConnectionPool::DropOldConnections(Instant now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + options_.max_idle_age / 2;
  for (auto& [address_and_lane, connections] : idle_) {
    std::erase_if(connections, [&](const IdleConnection& idle) {
      return now - idle.since >= options_.max_idle_age;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace runshelf::transport
