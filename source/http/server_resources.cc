#include "source/http/server_resources.h"

#include <algorithm>
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

void ServerResources::Count(OverloadAction action) {
  switch (action) {
    case OverloadAction::kRequestRefused:
      ++counts_.requests_refused;
      break;
    case OverloadAction::kRequestDropped:
      ++counts_.requests_dropped;
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

}  // namespace runshelf::http
