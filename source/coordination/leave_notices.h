// Notices of leaving machines, taken from the platform's machine list.
//
// The list lags and names machines, not processes: after a restart it may still call the machine
// leaving for a while. So only the change from live to leaving counts, and it concerns the process
// that ran on the machine at that moment. Every daemon reports what it saw to the leader, so that
// one reader of the list is enough.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/infrastructure/machine_list.h"
#include "runshelf/ownership/assignment.h"

namespace runshelf::coordination {

class LeaveNotices {
 public:
  LeaveNotices(InstanceId self, Instant now);

  // `view` tells which process runs on each machine.
  void OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines,
                     const ownership::AssignmentState& view);

  // Processes on machines that began to leave, this one excluded.
  std::vector<InstanceId> Leaving() const;
  bool SelfIsLeaving() const { return self_is_leaving_; }

  // Whether this process should not join yet: the list has not been read, or calls the machine
  // leaving since before this process started. That costs a restarted machine the lag of the list,
  // and keeps a restarted daemon on a leaving machine from taking new work.
  bool HoldsBack(Instant now) const;

 private:
  const InstanceId self_;
  const Instant started_;
  std::map<std::string, infrastructure::MachineState> last_seen_;  // By node.
  std::map<std::string, InstanceId> leaving_;                      // By node.
  bool self_is_leaving_ = false;
  bool self_was_leaving_at_first_ = false;  // And has not been called live since.
};

}  // namespace runshelf::coordination
