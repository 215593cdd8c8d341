// Finds which process is at the other end of a connection that was just accepted. All processes of
// the soak share one address of the loopback interface, so that the address does not tell it.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "source/event/event_loop.h"
#include "source/event/tcp_stream.h"

namespace runshelf::soak {

class ConnectionSource {
 public:
  // Lists the processes that may have opened a connection.
  using Processes = std::function<std::vector<pid_t>()>;
  ConnectionSource(event::EventLoop& loop, Processes processes)
      : loop_(loop), processes_(std::move(processes)) {}

  // The port of the other end of the connection that the listener at `listener` accepted last; call
  // it while it is being accepted. Zero when it is gone.
  uint16_t PortOfLatest(const event::Endpoint& listener) const;
  // The process that opened the connection from `port` to `listener`; nullopt when it is none of
  // them or has ended. Looks at the open files of all of them when the connection is not known yet.
  std::optional<pid_t> ProcessOf(const event::Endpoint& listener, uint16_t port);

 private:
  void Learn();

  event::EventLoop& loop_;
  Processes processes_;
  std::map<uint32_t, pid_t> owners_;  // By the inode of the socket.
};

}  // namespace runshelf::soak
