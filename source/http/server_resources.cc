#include "source/http/server_resources.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "source/http/server_connection.h"

namespace runshelf::http {

ServerResources::ServerResources(event::EventLoop& loop, const ResourceLimits& limits)
    : loop_(loop),
      limits_(limits),
      memory_(std::make_shared<MemoryBudget>(limits.request_memory_bytes)) {
  memory_->set_reclaim([this](size_t missing) { DropStalledRequests(missing); });
}

// Requests may outlive this object, and their budget with them.
ServerResources::~ServerResources() { memory_->set_reclaim(nullptr); }

void ServerResources::Add(ServerConnection* connection) {
  connections_.insert(connection);
  if (limits_.connections > 0 && connections_.size() > limits_.connections) {
    CloseForAnother(connection);
  }
}

void ServerResources::Count(OverloadAction action) {
  switch (action) {
    case OverloadAction::kRequestRefused:
      ++counts_.requests_refused;
      break;
    case OverloadAction::kRequestDropped:
      ++counts_.requests_dropped;
      break;
    case OverloadAction::kConnectionClosed:
      ++counts_.connections_closed;
      break;
  }
  if (on_overload_) on_overload_(action);
}

void ServerResources::DropStalledRequests(size_t missing) {
  const Instant now = loop_.Now();
  std::vector<std::pair<Instant, std::weak_ptr<ServerConnection>>> stalled;
  for (ServerConnection* connection : connections_) {
    const Instant since = connection->StalledSince(now);
    if (since <= now) stalled.emplace_back(since, connection->weak_from_this());
  }
  std::sort(stalled.begin(), stalled.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  size_t freed = 0;
  for (const auto& [since, weak] : stalled) {
    if (freed >= missing) return;
    const auto connection = weak.lock();
    if (connection == nullptr) continue;
    freed += connection->charged_bytes();
    connection->DropStalledRequest();
    Count(OverloadAction::kRequestDropped);
  }
}

// The order is that of the harm: first the connections that are closing anyway, then those that
// have not sent a complete request yet, then those that are idle between requests. Of each kind the
// one that has been so for the longest time.
void ServerResources::CloseForAnother(ServerConnection* newest) {
  using Rank = std::tuple<ConnectionUse, Instant>;
  ServerConnection* chosen = newest;
  Rank lowest{ConnectionUse::kInUse, Instant::max()};
  for (ServerConnection* connection : connections_) {
    if (connection == newest) continue;
    const Rank rank{connection->use(), connection->use_since()};
    if (std::get<ConnectionUse>(rank) == ConnectionUse::kInUse || rank >= lowest) continue;
    lowest = rank;
    chosen = connection;
  }
  chosen->CloseForAnother();
  Count(OverloadAction::kConnectionClosed);
}

}  // namespace runshelf::http
