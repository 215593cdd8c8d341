#include "source/transport/server_lifecycle.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace runshelf::transport {

// Without a descriptor (none is free) idle connections notice the end at their next time-out.
ServerLifecycle::ServerLifecycle(Instant now)
    : last_request_us_(ToMicroseconds(now)), closing_descriptor_(::eventfd(0, EFD_CLOEXEC)) {}

ServerLifecycle::~ServerLifecycle() {
  if (closing_descriptor_ >= 0) {
    ::close(closing_descriptor_);
  }
}

void ServerLifecycle::Advance(Instant now, ServerPhase phase) {
  const ServerPhase before = phase_;
  if (phase <= before) {
    return;
  }
  if (before < ServerPhase::kClosing && phase >= ServerPhase::kClosing) {
    closing_since_us_ = ToMicroseconds(now);
  }
  phase_ = phase;
  if (phase >= ServerPhase::kClosing && closing_descriptor_ >= 0) {
    ::eventfd_write(closing_descriptor_, 1);
  }
}

}  // namespace runshelf::transport
