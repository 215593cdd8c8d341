// What a leader knows of one follower's log, and what to send it next.
#pragma once

#include <cstdint>

#include "runshelf/consensus/replica.h"
#include "source/consensus/log.h"

namespace runshelf::consensus {

class FollowerProgress {
 public:
  // Sends entries from `next_index` on, optimistically; a wrong guess costs one rejection.
  static FollowerProgress StartingAt(LogIndex next_index);

  // For a replica that is known to have no log yet.
  static FollowerProgress NeedingSnapshot();

  LogIndex MatchIndex() const { return match_index_; }
  LogIndex NextIndex() const { return next_index_; }

  // Whether the follower's next entry is no longer in `log`, or it has no log at all.
  bool NeedsSnapshot(const Log& log) const;

  // Whether the snapshot that was last sent may still arrive.
  bool SnapshotInFlight(Instant now) const { return now < snapshot_retry_at_; }

  void SentSnapshot(Instant retry_at) { snapshot_retry_at_ = retry_at; }
  void SentEntries(size_t count) { next_index_ += count; }

  // The follower's log equals the leader's up to `match_index`.
  void Accepted(LogIndex match_index);

  // The follower asks to go on after `hint`. False for an answer that later ones have overtaken.
  bool Rejected(uint64_t round, LogIndex hint, const Log& log);

  // Rejections of rounds before `round` are answered by what was just sent.
  void Retried(uint64_t round) { retry_round_ = round; }

 private:
  LogIndex match_index_ = 0;
  LogIndex next_index_ = 1;
  bool has_no_log_ = false;
  Instant snapshot_retry_at_;
  uint64_t retry_round_ = 0;
};

}  // namespace runshelf::consensus
