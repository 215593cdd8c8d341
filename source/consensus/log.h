// The replicated log of one replica: a base snapshot and the entries after it, in memory.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "runshelf/consensus/replica.h"

namespace runshelf::consensus {

class Log {
 public:
  explicit Log(Snapshot base);

  const Snapshot& Base() const { return base_; }
  LogIndex BaseIndex() const { return base_.index; }
  LogIndex LastIndex() const { return base_.index + entries_.size(); }
  Term LastTerm() const { return entries_.empty() ? base_.term : entries_.back().term; }

  // Term of the entry at `index`; nullopt before the base and after the end.
  std::optional<Term> TermAt(LogIndex index) const;

  // The entry at `index`, which must be after the base and not after the end.
  const LogEntry& At(LogIndex index) const { return entries_[index - base_.index - 1]; }

  // First index, after the base, of the run of entries that share the term of `index`.
  LogIndex FirstIndexOfTermAt(LogIndex index) const;

  // Up to `max_count` entries from `first` on.
  std::vector<LogEntry> Slice(LogIndex first, size_t max_count) const;

  // Voters of the newest entry that names some, and the index of that entry.
  const std::vector<InstanceId>& Voters() const { return voters_; }
  LogIndex VotersIndex() const { return voters_index_; }

  // Voters in force when the entries up to `index` alone are considered.
  const std::vector<InstanceId>& VotersAt(LogIndex index) const;

  // `entry` must have the index after the last one.
  void Append(LogEntry entry);

  // Drops all entries after `index`, which must not be before the base.
  void TruncateAfter(LogIndex index);

  // Makes `index`, which must lie within the log, the new base with the given state.
  void Compact(LogIndex index, std::string state);

  // Replaces the base. Entries after it are kept if the log agrees with the snapshot at its index.
  void Install(Snapshot snapshot);

 private:
  void RefreshVoters();

  Snapshot base_;
  std::vector<LogEntry> entries_;
  std::vector<InstanceId> voters_;
  LogIndex voters_index_ = 0;
};

}  // namespace runshelf::consensus
