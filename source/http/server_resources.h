// What the servers of one process share: the memory for requests, and the number of connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

#include "source/event/event_loop.h"
#include "source/http/memory_budget.h"

namespace runshelf::http {

class ServerConnection;

struct ResourceLimits {
  size_t request_memory_bytes = 0;  // Of all requests together; zero: unlimited.
  size_t connections = 0;           // Accepted and open; zero: unlimited.
};

// What a server does when the resources are exhausted.
enum class OverloadAction {
  kRequestRefused,    // A request did not fit into the memory.
  kRequestDropped,    // An incomplete request without progress made room for others.
  kConnectionClosed,  // A connection without a request in progress made room for others.
};

// Counters since the start of the process.
struct OverloadCounts {
  uint64_t requests_refused = 0;
  uint64_t requests_dropped = 0;
  uint64_t connections_closed = 0;
};

// Shared by the servers of a process, which it must outlive. Used on the thread of the event loop.
class ServerResources {
 public:
  ServerResources(event::EventLoop& loop, const ResourceLimits& limits);
  ~ServerResources();
  ServerResources(const ServerResources&) = delete;
  ServerResources& operator=(const ServerResources&) = delete;

  const std::shared_ptr<MemoryBudget>& memory() const { return memory_; }
  const OverloadCounts& counts() const { return counts_; }
  size_t connections() const { return connections_.size(); }
  const ResourceLimits& limits() const { return limits_; }
  void set_on_overload(std::function<void(OverloadAction)> callback) {
    on_overload_ = std::move(callback);
  }

 private:
  friend class ServerConnection;
  // Closes another connection if there are too many with this one.
  void Add(ServerConnection* connection);
  void Remove(ServerConnection* connection) { connections_.erase(connection); }
  void Count(OverloadAction action);
  // Drops incomplete requests that make no progress, until they have freed `missing` bytes or none
  // is left. The one without progress for the longest time is dropped first.
  void DropStalledRequests(size_t missing);
  void CloseForAnother(ServerConnection* newest);

  event::EventLoop& loop_;
  ResourceLimits limits_;
  std::shared_ptr<MemoryBudget> memory_;
  std::unordered_set<ServerConnection*> connections_;
  OverloadCounts counts_;
  std::function<void(OverloadAction)> on_overload_;
};

}  // namespace runshelf::http
