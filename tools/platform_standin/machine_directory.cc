#include "tools/platform_standin/machine_directory.h"

#include <algorithm>
#include <utility>

namespace runshelf::platform_standin {

void MachineDirectory::SetLag(Duration lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

void MachineDirectory::Change(Instant now, MachineChange change) {
  const std::lock_guard lock(mutex_);
  Instant visible_at = now + lag_;
  if (!pending_.empty()) visible_at = std::max(visible_at, pending_.back().visible_at);
  pending_.push_back({visible_at, std::move(change)});
}

infrastructure::MachineListSnapshot MachineDirectory::Read(Instant now) {
  const std::lock_guard lock(mutex_);
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    Apply(pending_.front().change);
    pending_.pop_front();
  }
  infrastructure::MachineListSnapshot snapshot;
  snapshot.version = version_;
  for (const auto& [node, machine] : visible_) snapshot.machines.push_back(machine);
  return snapshot;
}

void MachineDirectory::Apply(const MachineChange& change) {
  const std::map<std::string, infrastructure::Machine> before = visible_;
  if (change.replace_all) visible_.clear();
  for (const infrastructure::Machine& machine : change.machines) visible_[machine.node] = machine;
  for (const std::string& node : change.removed_nodes) visible_.erase(node);
  if (visible_ != before) ++version_;
}

}  // namespace runshelf::platform_standin
