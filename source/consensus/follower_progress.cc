#include "source/consensus/follower_progress.h"

#include <algorithm>

namespace runshelf::consensus {

FollowerProgress FollowerProgress::StartingAt(LogIndex next_index) {
  FollowerProgress progress;
  progress.next_index_ = next_index;
  return progress;
}

FollowerProgress FollowerProgress::NeedingSnapshot() {
  FollowerProgress progress;
  progress.has_no_log_ = true;
  return progress;
}

bool FollowerProgress::NeedsSnapshot(const Log& log) const {
  return has_no_log_ || next_index_ <= log.BaseIndex();
}

void FollowerProgress::Accepted(LogIndex match_index) {
  match_index_ = std::max(match_index_, match_index);
  next_index_ = has_no_log_ ? match_index_ + 1 : std::max(next_index_, match_index_ + 1);
  has_no_log_ = false;
  snapshot_retry_at_ = Instant();
}

bool FollowerProgress::Rejected(uint64_t round, LogIndex hint, const Log& log) {
  if (round < retry_round_ || hint < match_index_) return false;
  const LogIndex known_index = std::min(hint, log.LastIndex());
  // Index zero may mean an empty log or none at all: a snapshot serves both.
  has_no_log_ = known_index == 0;
  next_index_ = known_index + 1;
  return true;
}

}  // namespace runshelf::consensus
