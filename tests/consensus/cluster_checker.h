// What must hold in a group of replicas after every step, judged against a naive single-copy log.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/consensus/replica.h"
#include "source/consensus/replica_impl.h"

namespace runshelf::consensus {

// Kinds of violation. kNotLive says that the group did not recover once all faults were over.
enum class Violation {
  kTwoLeadersInTerm,
  kTwoLeases,
  kLeaseBehind,
  kLogsDiffer,
  kCommittedDiffers,
  kCommittedLost,
  kSnapshotDiffers,
  kNotLive
};

const char* ToString(Violation violation);

class ClusterChecker {
 public:
  explicit ClusterChecker(const Snapshot& initial) : initial_(initial) {}

  // The first violation seen, if any.
  const std::optional<Violation>& Found() const { return found_; }
  void Report(Violation violation);

  // Called after each step of `id`, with the output that it gave.
  void CheckReplica(const InstanceId& id, const ReplicaImpl& replica);
  void CheckOutput(const ReplicaOutput& output);

  // Called after each step with the commit indexes of the replicas that hold the lease at this
  // instant of real time. A holder must know of everything that was ever committed.
  void CheckLeases(const std::vector<LogIndex>& holders);

  // The committed log as a single copy would keep it.
  LogIndex CommittedIndex() const { return initial_.index + committed_.size(); }
  std::string StateAt(LogIndex index) const;
  const std::vector<InstanceId>& CommittedVoters() const;
  LogIndex CommittedVotersIndex() const;

 private:
  void CheckTerm(const InstanceId& id, const ReplicaImpl& replica);
  void CheckLog(const InstanceId& id, const Log& log);
  void CheckCommitted(const LogEntry& entry);
  void CheckSnapshot(const Snapshot& snapshot);

  struct KnownEntry {
    LogEntry entry;
    Term previous_term = 0;
  };

  Snapshot initial_;
  std::optional<Violation> found_;
  std::map<Term, InstanceId> leaders_;
  std::map<std::pair<LogIndex, Term>, KnownEntry> entries_;
  std::map<InstanceId, std::pair<LogIndex, Term>> checked_;
  std::vector<LogEntry> committed_;
  std::set<std::string> commands_;
};

}  // namespace runshelf::consensus
