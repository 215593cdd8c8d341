// The platform's list of live and leaving machines. It lags behind reality: a lost machine stays
// listed for a while, and a new one appears late.
#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace runshelf::infrastructure {

enum class MachineState { kLive, kLeaving };

struct Machine {
  std::string node;     // Unique name.
  std::string address;  // IP number and port of the daemon's peer port, "127.0.0.1:7101".
  std::string zone;
  MachineState state = MachineState::kLive;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const Machine&) const = default;
};

struct MachineListSnapshot {
  uint64_t version = 0;  // Rises with each change of the list.
  std::vector<Machine> machines;
};

class MachineList {
 public:
  virtual ~MachineList() = default;

  // Reads the list as the platform shows it now. kUnavailable when the platform is away.
  virtual absl::StatusOr<MachineListSnapshot> Read() = 0;
};

}  // namespace runshelf::infrastructure
