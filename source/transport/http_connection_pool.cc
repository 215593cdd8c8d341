#include "runshelf/transport/http_connection_pool.h"

#include <algorithm>
#include <utility>

#include "source/transport/http_connection.h"

namespace runshelf::transport {

HttpConnectionPool::HttpConnectionPool(const Clock& clock, HttpConnectionPoolOptions options)
    : clock_(clock), options_(options) {}

HttpConnectionPool::~HttpConnectionPool() = default;

HttpResult HttpConnectionPool::Call(const std::string& address, const HttpRequest& request,
                                    Instant deadline, PeerWatch caller,
                                    const ResponseCheck& accept) {
  std::unique_ptr<HttpConnection> idle = TakeIdle(address, clock_.Now());
  if (idle != nullptr) {
    HttpResult result = ExchangeOn(std::move(idle), address, request, deadline, caller, accept);
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
  return ExchangeOn(std::move(*connected), address, request, deadline, caller, accept);
}

HttpResult HttpConnectionPool::ExchangeOn(std::unique_ptr<HttpConnection> connection,
                                          const std::string& address, const HttpRequest& request,
                                          Instant deadline, PeerWatch caller,
                                          const ResponseCheck& accept) {
  HttpResult result = connection->Exchange(request, deadline, caller, options_.max_response_bytes);
  if (result.outcome != HttpOutcome::kAnswered) {
    return result;
  }
  if (accept != nullptr && !accept(result.response)) {
    return {HttpOutcome::kConnectionLost, {}, false, "the response belongs to another request"};
  }
  Return(address, std::move(connection), clock_.Now());
  return result;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::TakeIdle(const std::string& address,
                                                             Instant now) {
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<IdleConnection>& connections = found->second;
  while (!connections.empty()) {
    IdleConnection candidate = std::move(connections.back());
    connections.pop_back();
    const bool young = now - candidate.since < options_.max_idle_age;
    if (young && candidate.connection->IsIdle()) {
      return std::move(candidate.connection);
    }
  }
  idle_.erase(found);
  return nullptr;
}

void HttpConnectionPool::Return(const std::string& address,
                                std::unique_ptr<HttpConnection> connection, Instant now) {
  if (!connection->reusable()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  DropOldConnections(now);
  std::vector<IdleConnection>& connections = idle_[address];
  if (connections.size() < options_.max_idle_per_address) {
    connections.push_back({std::move(connection), now});
  }
}

void HttpConnectionPool::DropOldConnections(Instant now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + options_.max_idle_age / 2;
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](const IdleConnection& idle) {
      return now - idle.since >= options_.max_idle_age;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace runshelf::transport
