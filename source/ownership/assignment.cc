#include "runshelf/ownership/assignment.h"

#include <absl/status/status.h>

#include <algorithm>

namespace runshelf::ownership {
namespace {

// Commands kept for deltas. A holder that is further behind gets the whole state.
constexpr size_t kMaxRecentCommands = 256;

}  // namespace

void AssignmentState::Apply(AssignmentVersion version, const AssignmentCommand& command) {
  ApplyCommand(command);
  version_ = version;
  recent_.push_back({version, command});
  if (recent_.size() > kMaxRecentCommands) {
    recent_floor_ = recent_.front().version;
    recent_.pop_front();
  }
}

void AssignmentState::ApplyCommand(const AssignmentCommand& command) {
  for (const NodeRecord& record : command.registered) Register(record);
  for (const InstanceId& instance : command.removed) Remove(instance);
  for (const SlotMove& move : command.moves) Move(move);
}

void AssignmentState::Register(const NodeRecord& record) {
  const auto found = nodes_.find(record.instance.node);
  if (found != nodes_.end() && found->second.instance != record.instance) {
    // The leader removes the earlier process of the node first, once its grant has run out.
    return;
  }
  nodes_[record.instance.node] = record;
  if (record.service.empty() || record.slot_count == 0) return;
  ServiceAssignment& service = services_[record.service];
  if (service.owners.empty()) service.owners.resize(record.slot_count);
}

void AssignmentState::Remove(const InstanceId& instance) {
  const auto found = nodes_.find(instance.node);
  if (found == nodes_.end() || found->second.instance != instance) return;
  nodes_.erase(found);
  for (auto& [name, service] : services_) {
    std::replace(service.owners.begin(), service.owners.end(), instance, InstanceId{});
  }
}

void AssignmentState::Move(const SlotMove& move) {
  const auto found = services_.find(move.service);
  if (found == services_.end()) return;
  if (!move.to.empty() && FindNode(move.to) == nullptr) return;
  std::vector<InstanceId>& owners = found->second.owners;
  for (const SlotRange& range : move.ranges) {
    for (SlotNumber slot = range.first; slot <= range.last && slot < owners.size(); ++slot) {
      if (owners[slot] == move.from) owners[slot] = move.to;
    }
  }
}

const NodeRecord* AssignmentState::FindNode(const InstanceId& instance) const {
  const auto found = nodes_.find(instance.node);
  if (found == nodes_.end() || found->second.instance != instance) return nullptr;
  return &found->second;
}

std::vector<SlotRange> AssignmentState::SlotsOf(const std::string& service,
                                                const InstanceId& instance) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  std::vector<SlotRange> ranges;
  const std::vector<InstanceId>& owners = found->second.owners;
  for (SlotNumber slot = 0; slot < owners.size(); ++slot) {
    if (owners[slot] != instance) continue;
    if (!ranges.empty() && ranges.back().last + 1 == slot) {
      ranges.back().last = slot;
    } else {
      ranges.push_back({slot, slot});
    }
  }
  return ranges;
}

AssignmentUpdate AssignmentState::UpdateSince(AssignmentVersion from_version) const {
  AssignmentUpdate update;
  update.to_version = version_;
  if (from_version == version_) {
    update.from_version = version_;
    return update;
  }
  if (from_version < recent_floor_ || from_version > version_) {
    update.whole_state = Encode();
    return update;
  }
  update.from_version = from_version;
  for (const RememberedCommand& recent : recent_) {
    if (recent.version <= from_version) continue;
    update.commands.push_back(recent.command);
    update.versions.push_back(recent.version);
  }
  return update;
}

absl::Status AssignmentState::ApplyUpdate(const AssignmentUpdate& update) {
  if (update.to_version <= version_) return absl::OkStatus();
  if (!update.whole_state.empty()) {
    absl::StatusOr<AssignmentState> whole = Decode(update.whole_state);
    if (!whole.ok()) return whole.status();
    *this = std::move(*whole);
    return absl::OkStatus();
  }
  if (update.from_version > version_) {
    return absl::FailedPreconditionError("the update starts after the version that is held");
  }
  if (update.commands.size() != update.versions.size()) {
    return absl::InvalidArgumentError("an update needs one version for each command");
  }
  for (size_t i = 0; i < update.commands.size(); ++i) {
    if (update.versions[i] > version_) Apply(update.versions[i], update.commands[i]);
  }
  return absl::OkStatus();
}

bool AssignmentState::operator==(const AssignmentState& other) const {
  return version_ == other.version_ && nodes_ == other.nodes_ && services_ == other.services_;
}

}  // namespace runshelf::ownership
