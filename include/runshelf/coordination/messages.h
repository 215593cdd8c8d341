// Messages between daemons.
//
// A renewal is the one periodic exchange: every daemon sends a RenewalRequest to the leader of its
// replica group, which serves as heartbeat, load report and grant request at once; the reply
// carries the grant and whatever the sender has not seen yet of the assignment and the table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/common/instance_id.h"
#include "runshelf/common/slot.h"
#include "runshelf/consensus/replica.h"
#include "runshelf/ownership/assignment.h"

namespace runshelf::coordination {

// State of the server beside a daemon, as the daemon sees it.
enum class ServerState {
  kUnknown,  // Not yet contacted; may hold no grant.
  kServing,
  kStopped,  // The connection was refused: the process is gone and its grants with it.
  kSilent,   // No answer; it may be frozen and may still believe in its grants.
};

// The leader asks the owner to stop serving `ranges` and to confirm when none is in progress.
struct ReleaseOrder {
  uint64_t release_id = 0;
  std::vector<SlotRange> ranges;
};

// Load of one slot, in requests per second.
struct SlotLoad {
  SlotNumber slot = 0;
  double requests_per_second = 0;
};

// Demand for, or share of, the fleet-wide limit of one table cell, in requests per second.
struct CellRate {
  std::string service;
  std::string caller_class;
  double requests_per_second = 0;
};

struct RenewalRequest {
  int64_t sent_at_us = 0;  // Sender's clock; echoed, and the start of the grant's duration.
  ownership::NodeRecord node;
  uint64_t assignment_version = 0;
  int64_t table_revision = 0;
  ServerState server = ServerState::kUnknown;
  bool platform_reached = false;   // Lately, by the sender.
  std::vector<uint64_t> released;  // Ids of release orders that are fulfilled.
  double requests_per_second = 0;  // Of the server beside the sender.
  std::vector<SlotLoad> hottest_slots;
  std::vector<CellRate> demands;
  std::vector<InstanceId>
      leaving;               // Others that the platform's machine list began to call leaving.
  std::string table_update;  // Encoded table delta that the leader asked for; empty otherwise.
};

struct RenewalReply {
  int64_t sent_at_us = 0;  // As in the request.
  uint64_t term = 0;
  int64_t grant_duration_us = 0;  // Zero: no grant, for example because the node is not registered.
  ownership::AssignmentUpdate assignment;
  std::vector<ReleaseOrder> releases;  // All that are open for this node.
  bool departed = false;               // A leaving node owns nothing and is no voter: it may stop.
  bool follow_platform = false;        // No voter reaches the platform: try to follow it yourself.
  std::string table_update;            // Encoded table delta; empty when the sender is up to date.
  std::optional<int64_t> wanted_table_since;  // The leader's revision, when the sender's is higher.
  std::vector<CellRate> shares;
  int64_t shares_valid_us = 0;
};

// Sent by a daemon that is not the leader.
struct Redirect {
  InstanceId leader;  // Empty when unknown.
  std::string leader_address;
};

// The leader's assignment has changed: renew at once.
struct RenewNow {};

// "I am this instance at this address"; sent to machines of the list when no group is known.
struct Hello {
  ownership::NodeRecord node;
  bool reply_wanted = false;
};

// Asks the receiver to give up generation `generation` for good, because its group seems lost; or,
// as a probe, whether it would.
struct SealRequest {
  uint64_t generation = 0;
  bool probe = false;
  int64_t record_revision = 0;  // Of the group record in the platform that is to be replaced.
};

// `agreed` false: the receiver is still in touch with a leader and refuses.
struct SealReply {
  uint64_t generation = 0;
  bool probe = false;  // As in the request.
  int64_t record_revision = 0;
  bool agreed = false;
  ownership::NodeRecord node;
  uint64_t log_term = 0;  // Of the newest assignment known to the receiver.
  uint64_t log_index = 0;
  std::string assignment;  // Encoded AssignmentState; empty in the answer to a probe.
};

// A member of the replica group with its address.
struct GroupMember {
  InstanceId instance;
  std::string address;

  bool operator==(const GroupMember&) const = default;
};

// What the platform keeps of a replica group. A new generation starts from the checkpoint.
struct GroupRecord {
  uint64_t generation = 0;
  // True when the generation was created by this record: its voters start from the checkpoint.
  // False once the leader has refreshed it: voters wait for the leader to bring them up to date.
  bool initial = false;
  std::vector<GroupMember> voters;
  uint64_t checkpoint_index = 0;
  uint64_t checkpoint_term = 0;
  std::string checkpoint;  // Encoded AssignmentState.

  bool operator==(const GroupRecord&) const = default;
};

// Passes a new generation on to daemons that cannot read the platform.
struct GroupAnnouncement {
  GroupRecord record;
  int64_t record_revision = 0;
};

using MessageBody = std::variant<consensus::Message, RenewalRequest, RenewalReply, Redirect,
                                 RenewNow, Hello, SealRequest, SealReply, GroupAnnouncement>;

struct Envelope {
  std::string group;  // Name of the replica group; others are ignored.
  uint64_t generation = 0;
  InstanceId from;
  std::string from_address;
  InstanceId to;  // Empty when the sender does not know who listens at the address.
  MessageBody body;
};

}  // namespace runshelf::coordination
