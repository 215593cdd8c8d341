// Owns simple calls until they complete.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "source/http/client.h"

namespace runshelf::http {

// Destroying the set cancels its calls without invoking their callbacks.
class CallSet {
 public:
  // The response is absent when no complete answer arrived in time.
  using Callback = std::function<void(std::optional<Response>)>;

  CallSet(event::EventLoop& loop, ConnectionPool& pool) : loop_(loop), pool_(pool) {}
  CallSet(const CallSet&) = delete;
  CallSet& operator=(const CallSet&) = delete;

  // Returns an identifier that is unique within this set. The callback is invoked later, never from
  // within Start.
  uint64_t Start(const event::Endpoint& endpoint, std::string_view request,
                 const CallOptions& options, Duration timeout, Callback callback);
  // Closes the call's connection without invoking its callback. Must not be called from that
  // callback.
  void Cancel(uint64_t call) { calls_.erase(call); }
  size_t size() const { return calls_.size(); }

 private:
  event::EventLoop& loop_;
  ConnectionPool& pool_;
  std::map<uint64_t, std::unique_ptr<SimpleCall>> calls_;
  uint64_t next_call_ = 1;
};

}  // namespace runshelf::http
