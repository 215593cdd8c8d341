// The HTTP endpoints of the stand-in server, as docs/PROTOCOLS.md gives them under "Daemon to the
// server beside it".
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

#include "tools/server_standin/request_executor.h"

namespace runshelf::server_standin {

// Serves from construction by Start until destruction.
class HttpServer {
 public:
  // Listens on `address`, "127.0.0.1:PORT"; port 0 takes a free one. `executor` must outlive the
  // server. kUnavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(const std::string& address,
                                                           RequestExecutor& executor);
  virtual ~HttpServer() = default;

  virtual uint16_t port() const = 0;
};

// The number of filler bytes in the answer to a request for `path`. Callers know it too, so that
// they notice a truncated answer.
size_t FillerSize(const std::string& path);

}  // namespace runshelf::server_standin
