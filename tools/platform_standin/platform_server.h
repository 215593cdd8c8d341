// The stand-in platform as an HTTP server: the key-value service, the list of machines, and control
// of both for tests. docs/PROTOCOLS.md describes what it serves.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "tools/platform_standin/fault_injector.h"
#include "tools/platform_standin/machine_directory.h"
#include "tools/platform_standin/synchronized_store.h"

namespace runshelf::platform_standin {

// Largest request body in bytes; as etcd's default. A larger one is answered with 400.
inline constexpr size_t kMaxRequestBytes = 1'572'864;

struct PlatformServerOptions {
  std::string listen_address = "127.0.0.1:0";  // IP number and port; port 0 takes any free one.
  uint64_t seed = 1;                           // Of the choice of lost answers.
};

// Everything that the server serves; tests may use it directly beside the server.
struct PlatformState {
  PlatformState(const Clock& state_clock, uint64_t seed)
      : clock(state_clock), store(state_clock), faults(seed) {}

  const Clock& clock;
  SynchronizedStore store;
  FaultInjector faults;
  MachineDirectory machines;
};

class PlatformServer {
 public:
  // Starts to listen. `clock` must outlive the server. kInvalidArgument: the address is malformed.
  // kUnavailable: it cannot be bound.
  static absl::StatusOr<std::unique_ptr<PlatformServer>> Start(const PlatformServerOptions& options,
                                                               const Clock& clock);

  // Ends all watches and closes all connections.
  virtual ~PlatformServer() = default;

  // Where the server listens, "127.0.0.1:12345".
  virtual std::string address() const = 0;
  virtual PlatformState& state() = 0;
};

}  // namespace runshelf::platform_standin
