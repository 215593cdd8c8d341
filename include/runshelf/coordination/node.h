// The coordination part of one daemon: membership, ownership and the spreading of the table.
//
// Node is a deterministic state machine. The daemon's shell, the simulator and the scale run drive
// the same code: they call it with `now` and an event, then take its actions and carry them out.
// Not thread-safe; the shell guards it with one mutex.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/common/random.h"
#include "runshelf/common/slot.h"
#include "runshelf/consensus/replica.h"
#include "runshelf/coordination/messages.h"
#include "runshelf/infrastructure/machine_list.h"
#include "runshelf/ownership/grant_holder.h"
#include "runshelf/routing/routing_snapshot.h"

namespace runshelf::coordination {

struct NodeConfig {
  std::string node;  // Name of the machine, unique in the fleet.
  std::string zone;
  std::string group = "main";   // Replica group that this daemon belongs to.
  std::string service;          // Of the server beside it; empty: takes callers only.
  std::string peer_address;     // "ip:port"
  std::string forward_address;  // "ip:port"
  uint32_t slots_per_service = 256;
  uint32_t voter_count = 5;
  // Peers to ask for the group while the platform is away ("ip:port").
  std::vector<std::string> seed_addresses;

  // A grant lasts this long from the moment its renewal was requested. Shorter: keys of a lost
  // server are served again sooner. Longer: more pauses and losses are ridden out without a move.
  // Twice this and an election have to fit into the time within which keys must be served again,
  // because a leader may be lost just before it would have moved the slots of a lost server.
  Duration grant_duration = std::chrono::milliseconds(700);
  Duration renewal_interval = std::chrono::milliseconds(150);
  double clock_rate_margin = 0.02;
  // After an instance's grant has run out, its slots stay with it for this long. Longer: fewer
  // moves when an instance was only paused. Shorter: less unavailable time when it was lost.
  Duration eviction_delay = std::chrono::milliseconds(0);
  // A process that notices a pause longer than this gives up its identity.
  Duration max_pause = std::chrono::seconds(5);

  // A voter that the leader has not heard from for this long is replaced.
  Duration voter_replacement_delay = std::chrono::milliseconds(1500);
  // Without any leader for this long, a daemon tries to start a new generation.
  Duration recovery_delay = std::chrono::seconds(4);
  // How long daemons gather before the first generation is created.
  Duration bootstrap_delay = std::chrono::milliseconds(700);

  // Balancing. Moves start when a server's load exceeds the mean by this fraction.
  double rebalance_threshold = 0.2;
  uint32_t max_moving_slots = 32;                          // Of planned moves at a time.
  Duration slot_move_cooldown = std::chrono::seconds(30);  // Before a slot moves again.

  consensus::ReplicaConfig replica;
};

// The table as Node passes it on; the daemon adapts table::Table to it. Revisions never go back.
class TableReplica {
 public:
  virtual ~TableReplica() = default;
  virtual int64_t Revision() const = 0;
  // Encoded changes since `revision`; not empty even when there are none.
  virtual std::string ChangesSince(int64_t revision) const = 0;
  // Applies encoded changes; false when they are malformed or start beyond Revision().
  virtual bool Apply(const std::string& changes) = 0;
};

// Fleet-wide limits as Node passes them on; the daemon adapts the admission part to it.
class LimitShares {
 public:
  virtual ~LimitShares() = default;
  // At every daemon: what to ask for, and what was granted (from `granted_from` for `valid_for`).
  virtual std::vector<CellRate> Demands(Instant now) = 0;
  virtual void OnShares(Instant granted_from, Duration valid_for,
                        const std::vector<CellRate>& shares) = 0;
  // At the leader. Allocate is called for each renewal; OnLeadership once when leadership begins.
  virtual void OnLeadership(Instant now) = 0;
  virtual std::vector<CellRate> Allocate(Instant now, const InstanceId& instance,
                                         const std::vector<CellRate>& demands,
                                         Duration valid_for) = 0;
};

// The grant to give to the server beside this daemon, as a whole; it replaces the one before.
using ServerGrant = ownership::HeldGrant;

// Actions for the shell.
struct SendMessage {
  std::string address;
  Envelope envelope;
};
// The server should get a grant: send what Node::GrantToPush returns, until the server has answered
// or nothing is returned any more.
struct PushGrant {};
struct ReadGroupRecord {};
// Writes the group record if the platform's mod_revision of it equals `expected_revision` (zero: it
// does not exist). Answered by OnGroupRecordWritten, or never when the outcome is unknown; then the
// shell answers with a fresh OnGroupRecord.
struct WriteGroupRecord {
  int64_t expected_revision = 0;
  GroupRecord record;
};
// An event worth a log line: a name from docs/OPERATIONS.md and its fields.
struct LogAction {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  bool warning = false;
};
// This instance can no longer speak under its identity. The shell discards the Node and makes a new
// one with a new InstanceId, as after a restart of the process.
struct RestartInstance {
  std::string reason;
};
using Action = std::variant<SendMessage, PushGrant, ReadGroupRecord, WriteGroupRecord, LogAction,
                            RestartInstance>;

// Load of the server beside this daemon since the last report.
struct LoadReport {
  double requests_per_second = 0;
  std::vector<SlotLoad> hottest_slots;  // At most 16, highest first.
};

// For `runshelfctl status` and logs.
struct NodeStatus {
  InstanceId self;
  uint64_t generation = 0;
  uint64_t term = 0;
  InstanceId leader;
  bool is_leader = false;
  bool is_voter = false;
  bool leaving = false;
  uint64_t assignment_version = 0;
  int64_t table_revision = 0;
  std::vector<SlotRange> owned_slots;
  std::optional<Duration> grant_remaining;
  std::vector<ownership::NodeRecord> nodes;
};

class Node {
 public:
  virtual ~Node() = default;

  // Advances timers; call every 20 ms.
  virtual void Tick(Instant now) = 0;

  // Handles a message that arrived from another daemon.
  virtual void Receive(Instant now, const Envelope& envelope) = 0;

  // The platform's machine list, whenever it was read.
  virtual void OnMachineList(Instant now, const infrastructure::MachineListSnapshot& machines) = 0;

  // The platform answered some call of this daemon.
  virtual void OnPlatformContact(Instant now) = 0;
  // Whether this daemon should follow the table and the machine list at the platform now. Only the
  // voters do, to spare the platform; others while no voter or no leader is in touch.
  virtual bool FollowsPlatform(Instant now) const = 0;

  // Answer to ReadGroupRecord. `revision` is the record's mod_revision; zero: there is no record.
  virtual void OnGroupRecord(Instant now, const std::optional<GroupRecord>& record,
                             int64_t revision) = 0;
  // Answer to WriteGroupRecord. `revision` is the new mod_revision when it succeeded.
  virtual void OnGroupRecordWritten(Instant now, bool succeeded, int64_t revision) = 0;

  // State of the server beside this daemon. Report kStopped only when the connection was refused
  // while no grant was on its way to the server, and send none until this has returned: the slots
  // go to others at once, and the next process would take the grant.
  virtual void OnServerState(Instant now, ServerState state) = 0;
  // The grant to send to the server now; nullopt: none. To be called for each attempt, right before
  // it: a grant that was kept since an earlier one may be others' by now.
  virtual std::optional<ServerGrant> GrantToPush(Instant now) = 0;
  // The server accepted exactly this grant.
  virtual void OnGrantAccepted(Instant now, const ServerGrant& grant) = 0;
  virtual void OnLoad(Instant now, const LoadReport& load) = 0;

  // Admits one request for `slot` if the server beside this daemon owns it now, and returns the
  // fencing token; each success needs one Leave.
  virtual std::optional<FencingToken> Enter(Instant now, SlotNumber slot) = 0;
  virtual void Leave(Instant now, SlotNumber slot) = 0;
  // Since when the slot has been held without a break; nullopt when it is not held.
  virtual std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const = 0;

  // Starts a planned stop: takes no new work, hands over all slots and its seat as a voter.
  virtual void BeginLeave(Instant now) = 0;
  // Whether this daemon leaves: by BeginLeave, or because the machine list said so.
  virtual bool IsLeaving() const = 0;
  // Whether everything is handed over and the daemon may stop.
  virtual bool MayStop(Instant now) const = 0;

  // Never null; a new object whenever routes have changed.
  virtual std::shared_ptr<const routing::RoutingSnapshot> Routes() const = 0;

  virtual NodeStatus Status(Instant now) const = 0;

  // Returns and clears what has to be carried out.
  virtual std::vector<Action> TakeActions() = 0;
};

// `table`, `limits` and `random` must outlive the node; `limits` may be null (no limits are
// spread).
std::unique_ptr<Node> MakeNode(const NodeConfig& config, const InstanceId& self, Instant now,
                               TableReplica& table, LimitShares* limits, Random& random);

}  // namespace runshelf::coordination
