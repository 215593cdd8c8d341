#include "source/consensus/lease_tracker.h"

#include <algorithm>

#include "source/consensus/quorum.h"

namespace runshelf::consensus {

Duration SafeLeaseDuration(const ReplicaConfig& config) {
  const Duration nominal = std::min(config.lease_duration, config.election_timeout_min);
  const double shortened = static_cast<double>(nominal.count()) * (1.0 - config.clock_rate_margin);
  return Duration(static_cast<int64_t>(shortened));
}

LeaseTracker::LeaseTracker(const ReplicaConfig& config, const ReplicaDefects& defects)
    : lease_duration_(defects.lease_without_clock_margin ? config.lease_duration
                                                         : SafeLeaseDuration(config)),
      round_memory_(2 * config.election_timeout_max),
      defects_(defects) {}

void LeaseTracker::Reset() {
  first_round_ += round_sent_at_.size();
  round_sent_at_.clear();
  answers_.clear();
}

uint64_t LeaseTracker::StartRound(Instant now) {
  while (!round_sent_at_.empty() && round_sent_at_.front() + round_memory_ < now) {
    round_sent_at_.pop_front();
    ++first_round_;
  }
  round_sent_at_.push_back(now);
  return first_round_ + round_sent_at_.size() - 1;
}

void LeaseTracker::RecordAnswer(const InstanceId& from, uint64_t round, Instant now) {
  Answer& answer = answers_[from];
  answer.received = now;
  std::optional<Instant> sent_at = SentAt(round);
  if (defects_.lease_of_any_rejection && !sent_at) sent_at = now;
  if (!sent_at) return;
  if (defects_.lease_from_answer_arrival) sent_at = now;
  answer.sent_at = std::max(answer.sent_at, *sent_at);
}

Instant LeaseTracker::MajoritySince(const std::vector<InstanceId>& voters, const InstanceId& self,
                                    Instant now) const {
  std::vector<Instant> followed_since;
  for (const InstanceId& voter : voters) {
    const auto answer = answers_.find(voter);
    if (voter == self) {
      followed_since.push_back(now);
    } else {
      followed_since.push_back(answer == answers_.end() ? Instant() : answer->second.sent_at);
    }
  }
  return followed_since.empty() ? Instant() : MajorityValue(std::move(followed_since));
}

Instant LeaseTracker::LeaseEnd(const std::vector<InstanceId>& voters, const InstanceId& self,
                               Instant now) const {
  const Instant since = MajoritySince(voters, self, now);
  return since == Instant() ? since : since + lease_duration_;
}

Instant LeaseTracker::LastContact(const InstanceId& replica) const {
  const auto answer = answers_.find(replica);
  return answer == answers_.end() ? Instant() : answer->second.received;
}

std::optional<Instant> LeaseTracker::SentAt(uint64_t round) const {
  if (round < first_round_ || round >= first_round_ + round_sent_at_.size()) return std::nullopt;
  return round_sent_at_[round - first_round_];
}

}  // namespace runshelf::consensus
