#include "source/consensus/log.h"

#include <algorithm>
#include <utility>

namespace runshelf::consensus {

Log::Log(Snapshot base) : base_(std::move(base)) { RefreshVoters(); }

std::optional<Term> Log::TermAt(LogIndex index) const {
  if (index < base_.index || index > LastIndex()) return std::nullopt;
  return index == base_.index ? base_.term : At(index).term;
}

LogIndex Log::FirstIndexOfTermAt(LogIndex index) const {
  const Term term = At(index).term;
  while (index - 1 > base_.index && At(index - 1).term == term) --index;
  return index;
}

std::vector<LogEntry> Log::Slice(LogIndex first, size_t max_count) const {
  if (first > LastIndex()) return {};
  const auto offset = static_cast<std::ptrdiff_t>(first - base_.index - 1);
  const size_t count = std::min<size_t>(max_count, LastIndex() - first + 1);
  const auto begin = entries_.begin() + offset;
  return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

const std::vector<InstanceId>& Log::VotersAt(LogIndex index) const {
  for (LogIndex i = std::min(index, LastIndex()); i > base_.index; --i) {
    if (At(i).kind == EntryKind::kVoters) return At(i).voters;
  }
  return base_.voters;
}

void Log::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kVoters) {
    voters_ = entry.voters;
    voters_index_ = entry.index;
  }
  entries_.push_back(std::move(entry));
}

void Log::TruncateAfter(LogIndex index) {
  entries_.resize(index - base_.index);
  if (voters_index_ > index) RefreshVoters();
}

void Log::Compact(LogIndex index, std::string state) {
  Snapshot compacted;
  compacted.index = index;
  compacted.term = *TermAt(index);
  compacted.voters = VotersAt(index);
  compacted.state = std::move(state);
  Install(std::move(compacted));
}

void Log::Install(Snapshot snapshot) {
  if (TermAt(snapshot.index) == snapshot.term) {
    const auto dropped = static_cast<std::ptrdiff_t>(snapshot.index - base_.index);
    entries_.erase(entries_.begin(), entries_.begin() + dropped);
  } else {
    entries_.clear();
  }
  base_ = std::move(snapshot);
  RefreshVoters();
}

void Log::RefreshVoters() {
  voters_index_ = base_.index;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kVoters) voters_index_ = entry.index;
  }
  voters_ = VotersAt(LastIndex());
}

}  // namespace runshelf::consensus
