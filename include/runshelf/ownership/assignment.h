// The replicated record of which instance owns which slot.
//
// AssignmentState is the state machine behind the replica group's log: every replica applies the
// same commands in the same order. It says who *should* own a slot; whether the owner may serve is
// decided by its grant (see grant_holder.h), which runs out unless the leader renews it.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/instance_id.h"
#include "runshelf/common/slot.h"

namespace runshelf::ownership {

// Version of an AssignmentState: the log index of the last command that changed it.
using AssignmentVersion = uint64_t;

// What the group knows of one daemon and the server beside it.
struct NodeRecord {
  InstanceId instance;
  std::string zone;
  std::string service;          // Of the server beside it; empty when it only takes callers.
  std::string peer_address;     // "ip:port" for messages between daemons.
  std::string forward_address;  // "ip:port" for forwarded requests.
  uint32_t slot_count = 0;      // Slots of the service; the first registration fixes it.
  bool leaving = false;         // Gives up its slots and takes no new ones.
  // Stopped renewing. No leader grants it anything until it is registered anew without this mark,
  // so every replica knows from its own clock by when the instance's last grant has run out.
  bool suspended = false;

  bool operator==(const NodeRecord&) const = default;
};

// Ownership of the slots in `ranges` passes from `from` to `to`; an empty `from` means that the
// slots have no owner, an empty `to` that they are left without one.
struct SlotMove {
  std::string service;
  std::vector<SlotRange> ranges;
  InstanceId from;
  InstanceId to;

  bool operator==(const SlotMove&) const = default;
};

// One entry of the log. Applied as a whole: nodes first, then moves. A move only touches slots
// whose owner is still `from`, so a command made from an old view cannot take a slot from others.
struct AssignmentCommand {
  std::vector<NodeRecord> registered;  // Added, or changed (leaving).
  std::vector<InstanceId> removed;     // Their remaining slots are left without an owner.
  std::vector<SlotMove> moves;

  bool operator==(const AssignmentCommand&) const = default;
};

// Owner of each slot of one service; an empty InstanceId where there is none.
struct ServiceAssignment {
  std::vector<InstanceId> owners;

  bool operator==(const ServiceAssignment&) const = default;
};

// The difference between two versions, or the whole state.
struct AssignmentUpdate {
  AssignmentVersion from_version = 0;
  AssignmentVersion to_version = 0;
  std::vector<AssignmentCommand> commands;  // To apply in order. Empty when nothing changed.
  std::vector<AssignmentVersion> versions;  // Of each command.
  std::string whole_state;                  // Encoded state; empty when `commands` are enough.
};

class AssignmentState {
 public:
  // Applies `command` as version `version`, which must be higher than any before.
  void Apply(AssignmentVersion version, const AssignmentCommand& command);

  AssignmentVersion version() const { return version_; }
  const std::map<std::string, NodeRecord>& nodes() const { return nodes_; }
  const std::map<std::string, ServiceAssignment>& services() const { return services_; }

  // The record of exactly this instance; nullptr when it is not registered.
  const NodeRecord* FindNode(const InstanceId& instance) const;

  // All slots of `service` owned by `instance`, as ascending ranges.
  std::vector<SlotRange> SlotsOf(const std::string& service, const InstanceId& instance) const;

  // What a holder of `from_version` needs to reach this version: the commands in between when they
  // are still remembered, else the whole state.
  AssignmentUpdate UpdateSince(AssignmentVersion from_version) const;

  // Brings this state forward. kFailedPrecondition: the update starts after this version (ask
  // again). kInvalidArgument: malformed. An update that ends at or before this version is ignored.
  absl::Status ApplyUpdate(const AssignmentUpdate& update);

  // Whole state as text, the same for equal states; for snapshots and checkpoints.
  std::string Encode() const;
  static absl::StatusOr<AssignmentState> Decode(const std::string& encoded);

  bool operator==(const AssignmentState& other) const;

 private:
  struct RememberedCommand {
    AssignmentVersion version;
    AssignmentCommand command;
  };

  void ApplyCommand(const AssignmentCommand& command);
  void Register(const NodeRecord& record);
  void Remove(const InstanceId& instance);
  void Move(const SlotMove& move);

  AssignmentVersion version_ = 0;
  std::map<std::string, NodeRecord> nodes_;  // By node name: at most one instance of each node.
  std::map<std::string, ServiceAssignment> services_;
  // For UpdateSince, bounded; not part of equality. Complete for versions above recent_floor_.
  std::deque<RememberedCommand> recent_;
  AssignmentVersion recent_floor_ = 0;
};

// Log command as text; kInvalidArgument for anything that Encode did not produce.
std::string EncodeCommand(const AssignmentCommand& command);
absl::StatusOr<AssignmentCommand> DecodeCommand(const std::string& encoded);

}  // namespace runshelf::ownership
