// The phases in which an HTTP server ends, as its connections see them.
#pragma once

#include <atomic>
#include <cstdint>

#include "runshelf/common/clock.h"

namespace runshelf::transport {

// Each phase includes the ones before it.
enum class ServerPhase {
  kServing,
  kDraining,  // Every response closes its connection.
  kClosing,   // No new connections; those on which nothing arrives for a while are closed.
  kStopped,   // Connections are closed unless a request has arrived on them.
};

// Safe for use by several threads at once.
class ServerLifecycle {
 public:
  explicit ServerLifecycle(Instant now);
  ~ServerLifecycle();

  ServerLifecycle(const ServerLifecycle&) = delete;
  ServerLifecycle& operator=(const ServerLifecycle&) = delete;

  // Goes on to `phase`, never back.
  void Advance(Instant now, ServerPhase phase);

  ServerPhase phase() const { return phase_; }

  // Since when phase() is kClosing or later; meaningful from then on.
  Instant closing_since() const { return InstantFromMicroseconds(closing_since_us_); }

  void OnRequest(Instant now) { last_request_us_ = ToMicroseconds(now); }

  // When the latest request began, at first when the server started.
  Instant last_request() const { return InstantFromMicroseconds(last_request_us_); }

  // A file descriptor that becomes readable for good when kClosing begins.
  int closing_descriptor() const { return closing_descriptor_; }

 private:
  std::atomic<ServerPhase> phase_{ServerPhase::kServing};
  std::atomic<int64_t> closing_since_us_{0};
  std::atomic<int64_t> last_request_us_;
  const int closing_descriptor_;
};

}  // namespace runshelf::transport
