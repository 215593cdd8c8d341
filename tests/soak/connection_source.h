// Finds which process is at the other end of a connection that was just accepted. All processes of
// the soak share one address of the loopback interface, so that the address does not tell it.
#pragma once

#include <sys/types.h>

#include <optional>
#include <vector>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::soak {

class ConnectionSource {
 public:
  explicit ConnectionSource(event::EventLoop& loop) : loop_(loop) {}

  // The process that opened the connection which the listener at `listener` accepted last, out of
  // `processes`; nullopt when it is none of them or has ended. Costs a look at the open files of
  // the processes.
  std::optional<pid_t> ProcessOfLatest(const event::Endpoint& listener,
                                       const std::vector<pid_t>& processes);

 private:
  event::EventLoop& loop_;
};

}  // namespace runshelf::soak
