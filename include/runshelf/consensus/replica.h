// One member of a small replica group that keeps a log in memory: leader election, replication by
// majority, change of members one at a time, snapshots and a leader lease.
//
// The algorithm is Raft with two changes forced by machines without disks:
//  - Nothing is persisted. A restarted process is a new InstanceId and never speaks for the old
//  one;
//    it joins by a change of voters.
//  - A group that lost its majority is replaced as a whole by a new generation (see
//    coordination/recovery). Messages of another generation are ignored.
//
// Invariants:
//  - A committed entry is on a majority of the voters and survives the loss of any minority.
//  - At most one replica holds the lease at any moment, on every machine's own clock, as long as no
//    two clocks differ in rate by more than `clock_rate_margin`. Broken by: a larger margin in
//    reality, or two processes that share an InstanceId.
//
// Deterministic and free of input and output: callers pass `now`, hand in messages, and take
// outputs. Not thread-safe. Two duties of the caller, on which the lease rests:
//  - `now` of Receive is read after the message came in from the network, and `now` of HoldsLease
//    after whatever the answer is meant to cover.
//  - One InstanceId has at most one Replica in a generation, ever: one that was dropped is not made
//    again.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/common/random.h"

namespace runshelf::consensus {

using LogIndex = uint64_t;
using Term = uint64_t;

enum class EntryKind { kNoOperation, kCommand, kVoters };

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOperation;
  std::string command;             // Of kCommand; opaque here.
  std::vector<InstanceId> voters;  // Of kVoters: the voters from this entry on.

  bool operator==(const LogEntry&) const = default;
};

// State of the replicated state machine after `index`.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  std::vector<InstanceId> voters;
  std::string state;  // Opaque here.

  bool operator==(const Snapshot&) const = default;
};

struct VoteRequest {
  Term term = 0;
  bool pre_vote = false;  // Asks whether a vote would be given, without raising any term.
  LogIndex last_log_index = 0;
  Term last_log_term = 0;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteResponse {
  Term term = 0;
  bool pre_vote = false;
  bool granted = false;

  bool operator==(const VoteResponse&) const = default;
};

struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex commit_index = 0;
  uint64_t round = 0;  // Echoed by the response; tells the leader when the request was sent.
  std::vector<LogEntry> entries;

  bool operator==(const AppendRequest&) const = default;
};

struct AppendResponse {
  Term term = 0;
  bool accepted = false;
  LogIndex match_index = 0;  // If accepted: last index known to equal the leader's. Otherwise: a
                             // hint for the next previous_index.
  uint64_t round = 0;

  bool operator==(const AppendResponse&) const = default;
};

struct SnapshotRequest {
  Term term = 0;
  uint64_t round = 0;
  Snapshot snapshot;

  bool operator==(const SnapshotRequest&) const = default;
};

using Message =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotRequest>;

struct OutgoingMessage {
  InstanceId to;
  Message message;
};

struct ReplicaConfig {
  Duration heartbeat_interval = std::chrono::milliseconds(60);
  Duration election_timeout_min = std::chrono::milliseconds(350);
  Duration election_timeout_max = std::chrono::milliseconds(600);
  // The leader's lease counts from before its heartbeats were sent. Must be shorter than
  // election_timeout_min by more than the clock margin.
  Duration lease_duration = std::chrono::milliseconds(320);
  double clock_rate_margin = 0.02;  // Largest difference in rate between two machines' clocks.
  size_t max_log_entries = 512;     // The log is compacted beyond this many applied entries.
  size_t max_entries_per_message = 64;
};

// What the caller must carry out or apply, in order, after each call.
struct ReplicaOutput {
  std::vector<OutgoingMessage> messages;
  std::optional<Snapshot> installed_snapshot;  // Replaces the state machine, before `committed`.
  std::vector<LogEntry> committed;             // Newly committed entries, ascending.
};

class Replica {
 public:
  virtual ~Replica() = default;

  // Advances timers; call at least every heartbeat_interval / 2.
  virtual void Tick(Instant now) = 0;

  // Handles a message of the same generation from `from`.
  virtual void Receive(Instant now, const InstanceId& from, const Message& message) = 0;

  // Appends a command; returns the index at which it will be committed, if it ever is.
  // kFailedPrecondition: this replica is not the leader.
  virtual absl::StatusOr<LogIndex> Propose(Instant now, std::string command) = 0;

  // Starts a change of voters that adds or removes exactly one.
  // kFailedPrecondition: not the leader, or the previous change is not yet committed, or the leader
  // has not yet committed an entry of its own term. kInvalidArgument: more than one difference.
  virtual absl::StatusOr<LogIndex> ProposeVoters(Instant now, std::vector<InstanceId> voters) = 0;

  // Hands in the state machine's state after `index`, so that the log before it can be dropped.
  // The caller does so when NeedsSnapshot() says true, after it applied all committed entries.
  virtual bool NeedsSnapshot() const = 0;
  virtual void Compact(LogIndex index, std::string state) = 0;

  // Returns and clears what has accumulated since the last call.
  virtual ReplicaOutput TakeOutput() = 0;

  virtual bool IsLeader() const = 0;

  // Whether this replica is the leader, has committed an entry of its own term, and certainly no
  // other replica can have become leader at `now`. A grant may be issued only while this holds.
  virtual bool HoldsLease(Instant now) const = 0;

  virtual Term CurrentTerm() const = 0;
  virtual InstanceId Leader() const = 0;  // Empty when unknown.
  virtual LogIndex CommitIndex() const = 0;
  virtual LogIndex LastLogIndex() const = 0;
  virtual Term LastLogTerm() const = 0;
  virtual const std::vector<InstanceId>& Voters() const = 0;  // Of the newest entry in the log.
  virtual bool IsVoter() const = 0;
  // Of a voter or learner as the leader sees it: when it last answered; the epoch when never.
  virtual Instant LastContact(const InstanceId& replica) const = 0;
};

// A replica that starts from `initial`: the checkpoint that all voters of a new generation share.
// A process that is not among the voters passes a snapshot without voters; it stays passive until a
// leader that added it sends it the log. `random` must outlive the replica.
std::unique_ptr<Replica> MakeReplica(const ReplicaConfig& config, const InstanceId& self,
                                     Snapshot initial, Instant now, Random& random);

}  // namespace runshelf::consensus
