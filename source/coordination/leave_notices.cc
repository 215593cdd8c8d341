#include "source/coordination/leave_notices.h"

#include <utility>

namespace runshelf::coordination {
namespace {

using infrastructure::MachineState;

// A list that still calls this machine leaving so long after the process started means this
// process.
constexpr Duration kLongestLag = std::chrono::seconds(15);

// How long a new process waits for its first look at the list.
constexpr Duration kFirstListWait = std::chrono::seconds(1);

}  // namespace

LeaveNotices::LeaveNotices(InstanceId self, Instant now) : self_(std::move(self)), started_(now) {}

void LeaveNotices::OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines,
                                 const ownership::AssignmentState& view) {
  std::map<std::string, MachineState> seen;
  for (const infrastructure::Machine& machine : machines.machines) {
    seen[machine.node] = machine.state;
    const auto before = last_seen_.find(machine.node);
    const bool began = machine.state == MachineState::kLeaving && before != last_seen_.end() &&
                       before->second == MachineState::kLive;
    if (machine.node == self_.node) {
      const bool still = machine.state == MachineState::kLeaving && now - started_ > kLongestLag;
      self_is_leaving_ = self_is_leaving_ || began || still;
      const bool leaving = machine.state == MachineState::kLeaving;
      self_was_leaving_at_first_ = leaving && (last_seen_.empty() || self_was_leaving_at_first_);
      continue;
    }
    if (machine.state == MachineState::kLive) leaving_.erase(machine.node);
    const auto process = view.nodes().find(machine.node);
    if (began && process != view.nodes().end()) {
      leaving_[machine.node] = process->second.instance;
    }
  }
  std::erase_if(leaving_, [&](const auto& entry) { return !seen.contains(entry.first); });
  last_seen_ = std::move(seen);
}

bool LeaveNotices::HoldsBack(Instant now) const {
  if (last_seen_.empty()) return now - started_ < kFirstListWait;
  return self_was_leaving_at_first_ && !self_is_leaving_;
}

std::vector<InstanceId> LeaveNotices::Leaving() const {
  std::vector<InstanceId> instances;
  for (const auto& [node, instance] : leaving_) instances.push_back(instance);
  return instances;
}

}  // namespace runshelf::coordination
