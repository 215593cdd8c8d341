// Finds the process at the other end of a connection that was just accepted. All processes of the
// soak test connect from the same loopback address, so the address does not identify them.
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

  // Returns the remote port of the connection that the listener at `listener` accepted last; must
  // be called from the accept callback. Returns 0 if the connection is already gone.
  uint16_t PortOfLatest(const event::Endpoint& listener) const;
  // Returns the process that opened the connection from `port` to `listener`; nullopt if it is not
  // one of the listed processes or has exited. Scans the open files of all listed processes when
  // the socket is not known yet.
  std::optional<pid_t> ProcessOf(const event::Endpoint& listener, uint16_t port);

 private:
  void ScanProcesses();

  event::EventLoop& loop_;
  Processes processes_;
  std::map<uint32_t, pid_t> owners_;  // Owning process by socket inode.
};

}  // namespace runshelf::soak
