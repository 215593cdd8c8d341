// Simple calls under way, kept until each is over.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "source/http/client.h"

namespace runshelf::http {

// Destroying the set cancels its calls; their callbacks are then not made.
class CallSet {
 public:
  // The response is absent when no complete answer came in time.
  using Callback = std::function<void(std::optional<Response>)>;

  CallSet(event::EventLoop& loop, ConnectionPool& pool) : loop_(loop), pool_(pool) {}
  CallSet(const CallSet&) = delete;
  CallSet& operator=(const CallSet&) = delete;

  // Returns a number that no other call of this set has. The callback comes later, never from here.
  uint64_t Start(const event::Endpoint& endpoint, std::string_view request,
                 const CallOptions& options, Duration timeout, Callback callback);
  // Its callback is not made, and its connection is closed. Not from that callback.
  void Cancel(uint64_t call) { calls_.erase(call); }
  size_t size() const { return calls_.size(); }

 private:
  event::EventLoop& loop_;
  ConnectionPool& pool_;
  std::map<uint64_t, std::unique_ptr<SimpleCall>> calls_;
  uint64_t next_call_ = 1;
};

}  // namespace runshelf::http
