// The control protocol of the server beside this daemon: health and grants.
#pragma once

#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/transport/http_connection_pool.h"

namespace runshelf::daemon {

// Safe for use by several threads at once.
class ServerControl {
 public:
  virtual ~ServerControl() = default;

  // Sends a message of the server's control protocol, as PUT /grants, at most once, and waits for
  // the answer until `deadline`.
  virtual transport::HttpResult Control(const std::string& method, const std::string& target,
                                        const std::string& body, Instant deadline) = 0;
};

}  // namespace runshelf::daemon
