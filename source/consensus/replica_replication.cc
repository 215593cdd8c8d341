// Replication of the log, its commitment and snapshots.

#include <algorithm>
#include <utility>

#include "source/consensus/quorum.h"
#include "source/consensus/replica_impl.h"

namespace runshelf::consensus {
namespace {

// Whether the entries follow `previous` without a gap, in the order of their terms.
bool IsWellFormed(const AppendRequest& request) {
  LogIndex index = request.previous_index;
  Term term = request.previous_term;
  for (const LogEntry& entry : request.entries) {
    if (entry.index != ++index || entry.term < term || entry.term > request.term) return false;
    if (entry.kind == EntryKind::kVoters && entry.voters.empty()) return false;
    term = entry.term;
  }
  return true;
}

}  // namespace

// Returns false, having answered, when the sender is not the leader of the newest known term.
bool ReplicaImpl::AcceptLeader(const InstanceId& from, Term term, uint64_t round) {
  if (term < current_term_) {
    Answer(from, false, commit_index_, round);
    return false;
  }
  if (term > current_term_) AdoptTerm(term);
  if (role_ == Role::kLeader) return false;
  Follow(from);
  return true;
}

void ReplicaImpl::HandleAppendRequest(const InstanceId& from, const AppendRequest& request) {
  if (!IsWellFormed(request)) return;
  if (!AcceptLeader(from, request.term, request.round)) return;
  if (!AppendFromLeader(request)) {
    Answer(from, false, RejectionHint(request.previous_index), request.round);
    return;
  }
  const LogIndex last_new_index = request.previous_index + request.entries.size();
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, last_new_index));
  Answer(from, true, std::max(last_new_index, log_.BaseIndex()), request.round);
}

// Returns false when the log does not contain the entry before the new ones. Entries that are
// already there are kept: an older request may arrive late and must not shorten the log.
bool ReplicaImpl::AppendFromLeader(const AppendRequest& request) {
  // Without voters there is no base to append to; a snapshot must come first.
  if (log_.Voters().empty()) return false;
  const bool base_is_later = request.previous_index < log_.BaseIndex();
  if (!base_is_later && log_.TermAt(request.previous_index) != request.previous_term) return false;
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= commit_index_ || log_.TermAt(entry.index) == entry.term) continue;
    if (entry.index <= log_.LastIndex()) log_.TruncateAfter(entry.index - 1);
    log_.Append(entry);
  }
  return true;
}

void ReplicaImpl::HandleSnapshotRequest(const InstanceId& from, const SnapshotRequest& request) {
  if (request.snapshot.voters.empty() || request.snapshot.term > request.term) return;
  if (!AcceptLeader(from, request.term, request.round)) return;
  const bool is_newer = request.snapshot.index > commit_index_ || log_.Voters().empty();
  if (is_newer) {
    log_.Install(request.snapshot);
    commit_index_ = request.snapshot.index;
    applied_index_ = request.snapshot.index;
    output_.installed_snapshot = request.snapshot;
  }
  Answer(from, true, commit_index_, request.round);
}

void ReplicaImpl::Answer(const InstanceId& leader, bool accepted, LogIndex match_index,
                         uint64_t round) {
  AppendResponse response;
  response.term = current_term_;
  response.accepted = accepted;
  response.match_index = match_index;
  response.round = round;
  Send(leader, response);
}

// Skips the whole run of entries whose term the leader disputes; committed entries never differ.
LogIndex ReplicaImpl::RejectionHint(LogIndex previous_index) const {
  if (log_.Voters().empty()) return 0;
  if (previous_index > log_.LastIndex()) return log_.LastIndex();
  if (previous_index <= commit_index_) return commit_index_;
  return std::max(commit_index_, log_.FirstIndexOfTermAt(previous_index) - 1);
}

void ReplicaImpl::HandleAppendResponse(const InstanceId& from, const AppendResponse& response) {
  if (response.term > current_term_) {
    if (IsKnown(from)) AdoptTerm(response.term);
    return;
  }
  const auto follower = followers_.find(from);
  if (role_ != Role::kLeader || response.term < current_term_ || follower == followers_.end()) {
    return;
  }
  FollowerProgress& progress = follower->second;
  lease_.RecordAnswer(from, response.round, now_);
  if (response.accepted) {
    if (response.match_index > log_.LastIndex()) return;
    progress.Accepted(response.match_index);
    if (progress.NextIndex() <= log_.LastIndex()) SendNext(from, progress);
    AdvanceCommit();
    return;
  }
  if (!progress.Rejected(response.round, response.match_index, log_)) return;
  if (progress.NeedsSnapshot(log_) && progress.SnapshotInFlight(now_)) return;
  progress.Retried(SendNext(from, progress));
}

// Appends an entry of the leader's own, filling in its place.
LogIndex ReplicaImpl::AppendOwn(LogEntry entry) {
  entry.index = log_.LastIndex() + 1;
  entry.term = current_term_;
  log_.Append(std::move(entry));
  return log_.LastIndex();
}

// Sends every follower what it lacks, or a heartbeat.
void ReplicaImpl::Broadcast() {
  next_heartbeat_ = now_ + config_.heartbeat_interval;
  for (auto& [follower, progress] : followers_) {
    // A replica that is being removed learns of it only once that is committed.
    if (IsMember(log_.Voters(), follower)) SendNext(follower, progress);
  }
}

uint64_t ReplicaImpl::SendNext(const InstanceId& follower, FollowerProgress& progress) {
  if (!progress.NeedsSnapshot(log_)) {
    const LogIndex previous_index = progress.NextIndex() - 1;
    const size_t waiting = log_.LastIndex() - previous_index;
    progress.SentEntries(std::min(waiting, config_.max_entries_per_message));
    return SendEntries(follower, previous_index, config_.max_entries_per_message);
  }
  // A heartbeat after the base keeps the follower loyal, and is accepted once the snapshot is in.
  if (progress.SnapshotInFlight(now_)) return SendEntries(follower, log_.BaseIndex(), 0);
  progress.SentSnapshot(now_ + config_.election_timeout_min);
  return SendSnapshot(follower);
}

uint64_t ReplicaImpl::SendEntries(const InstanceId& follower, LogIndex previous_index,
                                  size_t max_count) {
  AppendRequest request;
  request.term = current_term_;
  request.previous_index = previous_index;
  request.previous_term = *log_.TermAt(previous_index);
  request.commit_index = commit_index_;
  request.round = lease_.StartRound(now_);
  request.entries = log_.Slice(previous_index + 1, max_count);
  const uint64_t round = request.round;
  Send(follower, std::move(request));
  return round;
}

uint64_t ReplicaImpl::SendSnapshot(const InstanceId& follower) {
  SnapshotRequest request;
  request.term = current_term_;
  request.round = lease_.StartRound(now_);
  request.snapshot = log_.Base();
  const uint64_t round = request.round;
  Send(follower, std::move(request));
  return round;
}

// Commits what a majority of the newest voters holds. Entries of older terms are committed only
// along with one of the current term, since a majority that holds them can still lose them.
void ReplicaImpl::AdvanceCommit() {
  if (role_ != Role::kLeader) return;
  std::vector<LogIndex> match_indexes;
  for (const InstanceId& voter : log_.Voters()) {
    match_indexes.push_back(MatchIndexOf(voter));
  }
  const LogIndex index = MajorityValue(std::move(match_indexes));
  if (index <= commit_index_) return;
  if (log_.TermAt(index) != current_term_ && !defects_.commits_older_terms) return;
  const bool commits_voters = commit_index_ < log_.VotersIndex() && log_.VotersIndex() <= index;
  commit_index_ = index;
  if (commits_voters) OnVotersCommitted();
}

LogIndex ReplicaImpl::MatchIndexOf(const InstanceId& voter) const {
  if (voter == self_) return log_.LastIndex();
  const auto follower = followers_.find(voter);
  return follower == followers_.end() ? 0 : follower->second.MatchIndex();
}

// Tells everyone at once, also a removed replica, and steps down if this replica is removed.
void ReplicaImpl::OnVotersCommitted() {
  for (auto follower = followers_.begin(); follower != followers_.end();) {
    SendNext(follower->first, follower->second);
    const bool is_voter = IsMember(log_.Voters(), follower->first);
    follower = is_voter ? std::next(follower) : followers_.erase(follower);
  }
  if (!IsVoter()) StepDown();
}

bool ReplicaImpl::HasCommittedOwnTerm() const {
  return log_.TermAt(commit_index_) == current_term_;
}

// Whether no majority has answered anything that was sent within the longest election timeout.
bool ReplicaImpl::HasLostMajority() const {
  const Instant since = lease_.MajoritySince(log_.Voters(), self_, now_);
  return now_ - std::max(since, leader_since_) > config_.election_timeout_max;
}

}  // namespace runshelf::consensus
