#include "tests/consensus/cluster_checker.h"

namespace runshelf::consensus {

const char* ToString(Violation violation) {
  switch (violation) {
    case Violation::kTwoLeadersInTerm:
      return "two leaders in one term";
    case Violation::kTwoLeases:
      return "two replicas hold the lease";
    case Violation::kLeaseBehind:
      return "the holder of the lease lacks a committed entry";
    case Violation::kLogsDiffer:
      return "logs differ before a common entry";
    case Violation::kCommittedDiffers:
      return "committed entries differ";
    case Violation::kCommittedLost:
      return "a leader lacks a committed entry";
    case Violation::kSnapshotDiffers:
      return "snapshot differs from the applied log";
    case Violation::kNotLive:
      return "the group did not recover";
  }
  return "";
}

void ClusterChecker::Report(Violation violation) {
  if (!found_) found_ = violation;
}

void ClusterChecker::CheckReplica(const InstanceId& id, const ReplicaImpl& replica) {
  CheckTerm(id, replica);
  CheckLog(id, replica.GetLog());
}

void ClusterChecker::CheckTerm(const InstanceId& id, const ReplicaImpl& replica) {
  if (!replica.IsLeader()) return;
  const auto [leader, is_new] = leaders_.emplace(replica.CurrentTerm(), id);
  if (leader->second != id) Report(Violation::kTwoLeadersInTerm);
  if (!is_new || committed_.empty()) return;
  // A leader of an old term may be elected late; it need not know what newer terms committed.
  if (committed_.back().term >= replica.CurrentTerm()) return;
  const Log& log = replica.GetLog();
  if (log.BaseIndex() > CommittedIndex()) return;
  if (log.TermAt(CommittedIndex()) != committed_.back().term) Report(Violation::kCommittedLost);
}

void ClusterChecker::CheckLog(const InstanceId& id, const Log& log) {
  const std::pair<LogIndex, Term> end(log.LastIndex(), log.LastTerm());
  auto& checked = checked_[id];
  if (checked == end) return;
  checked = end;
  for (LogIndex index = log.BaseIndex() + 1; index <= log.LastIndex(); ++index) {
    const KnownEntry here{log.At(index), *log.TermAt(index - 1)};
    const auto known = entries_.emplace(std::pair(index, here.entry.term), here).first;
    const bool equal =
        known->second.entry == here.entry && known->second.previous_term == here.previous_term;
    if (!equal) Report(Violation::kLogsDiffer);
  }
}

void ClusterChecker::CheckOutput(const ReplicaOutput& output) {
  if (output.installed_snapshot) CheckSnapshot(*output.installed_snapshot);
  for (const LogEntry& entry : output.committed) CheckCommitted(entry);
}

void ClusterChecker::CheckCommitted(const LogEntry& entry) {
  if (entry.index > CommittedIndex() + 1 || entry.index <= initial_.index) {
    Report(Violation::kCommittedDiffers);
    return;
  }
  if (entry.index <= CommittedIndex()) {
    const bool equal = committed_[entry.index - initial_.index - 1] == entry;
    if (!equal) Report(Violation::kCommittedDiffers);
    return;
  }
  committed_.push_back(entry);
  // Every command is proposed once, so that it must not be committed twice.
  const bool is_command = entry.kind == EntryKind::kCommand;
  if (is_command && !commands_.insert(entry.command).second) Report(Violation::kCommittedDiffers);
}

void ClusterChecker::CheckSnapshot(const Snapshot& snapshot) {
  const bool known = snapshot.index >= initial_.index && snapshot.index <= CommittedIndex();
  if (!known || snapshot.state != StateAt(snapshot.index)) {
    Report(Violation::kSnapshotDiffers);
    return;
  }
  const std::vector<InstanceId>* voters = &initial_.voters;
  Term term = initial_.term;
  for (LogIndex i = 0; i < snapshot.index - initial_.index; ++i) {
    term = committed_[i].term;
    if (committed_[i].kind == EntryKind::kVoters) voters = &committed_[i].voters;
  }
  if (snapshot.voters != *voters || snapshot.term != term) Report(Violation::kSnapshotDiffers);
}

void ClusterChecker::CheckLeases(const std::vector<LogIndex>& holders) {
  if (holders.size() > 1) Report(Violation::kTwoLeases);
  for (const LogIndex commit_index : holders) {
    if (commit_index < CommittedIndex()) Report(Violation::kLeaseBehind);
  }
}

std::string ClusterChecker::StateAt(LogIndex index) const {
  std::string state = initial_.state;
  for (LogIndex i = 0; i < index - initial_.index; ++i) state += committed_[i].command;
  return state;
}

const std::vector<InstanceId>& ClusterChecker::CommittedVoters() const {
  for (auto entry = committed_.rbegin(); entry != committed_.rend(); ++entry) {
    if (entry->kind == EntryKind::kVoters) return entry->voters;
  }
  return initial_.voters;
}

LogIndex ClusterChecker::CommittedVotersIndex() const {
  for (auto entry = committed_.rbegin(); entry != committed_.rend(); ++entry) {
    if (entry->kind == EntryKind::kVoters) return entry->index;
  }
  return initial_.index;
}

}  // namespace runshelf::consensus
