// The stand-in's list of machines, which shows changes only after a lag.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/infrastructure/machine_list.h"

namespace runshelf::platform_standin {

struct MachineChange {
  bool replace_all = false;                       // Starts from an empty list.
  std::vector<infrastructure::Machine> machines;  // Added, or changed by their node name.
  std::vector<std::string> removed_nodes;
};

// Safe to call from any thread.
class MachineDirectory {
 public:
  // Applies to changes made from now on.
  void SetLag(Duration lag);

  // The change becomes visible once the lag has passed, and never before an earlier change.
  void Change(Instant now, MachineChange change);

  // The list as it is visible at `now`, ascending by node name.
  infrastructure::MachineListSnapshot Read(Instant now);

 private:
  struct PendingChange {
    Instant visible_at;
    MachineChange change;
  };

  void Apply(const MachineChange& change);

  std::mutex mutex_;
  Duration lag_{0};  // Guarded by mutex_, like all below.
  uint64_t version_ = 0;
  std::map<std::string, infrastructure::Machine> visible_;
  std::deque<PendingChange> pending_;
};

}  // namespace runshelf::platform_standin
