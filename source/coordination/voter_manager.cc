#include "source/coordination/voter_manager.h"

#include <algorithm>
#include <map>

namespace runshelf::coordination {
namespace {

using ownership::AssignmentState;
using ownership::NodeRecord;

std::vector<InstanceId> Without(std::vector<InstanceId> voters, const InstanceId& removed) {
  std::erase(voters, removed);
  return voters;
}

bool IsLeaving(const AssignmentState& state, const InstanceId& voter) {
  const NodeRecord* record = state.FindNode(voter);
  return record != nullptr && record->leaving;
}

}  // namespace

std::vector<InstanceId> SpreadOverZones(const std::vector<NodeRecord>& candidates, size_t count) {
  std::vector<InstanceId> picked;
  std::vector<bool> used(candidates.size(), false);
  std::map<std::string, size_t> picks_of_zone;
  while (picked.size() < std::min(count, candidates.size())) {
    std::optional<size_t> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (used[i]) continue;
      if (!best || picks_of_zone[candidates[i].zone] < picks_of_zone[candidates[*best].zone]) {
        best = i;
      }
    }
    used[*best] = true;
    ++picks_of_zone[candidates[*best].zone];
    picked.push_back(candidates[*best].instance);
  }
  return picked;
}

void VoterManager::Begin(Instant now) {
  began_ = now;
  added_.clear();
}

void VoterManager::Tick(Instant now, consensus::Replica& replica, const AssignmentState& state,
                        const AssignmentLeader& leader, const std::set<std::string>& listed) {
  const auto voters = NextVoters(now, replica, state, leader, listed);
  if (!voters) return;
  const std::vector<InstanceId> before = replica.Voters();
  if (!replica.ProposeVoters(now, *voters).ok()) return;
  for (const InstanceId& voter : *voters) {
    if (std::find(before.begin(), before.end(), voter) == before.end()) added_[voter] = now;
  }
  context_.Log("voters_changed", {{"voters", std::to_string(voters->size())}});
}

std::optional<std::vector<InstanceId>> VoterManager::NextVoters(
    Instant now, const consensus::Replica& replica, const AssignmentState& state,
    const AssignmentLeader& leader, const std::set<std::string>& listed) const {
  std::vector<InstanceId> voters = replica.Voters();
  const auto lost = std::find_if(voters.begin(), voters.end(), [&](const InstanceId& voter) {
    return IsLost(now, replica, voter);
  });
  if (lost != voters.end()) return Without(voters, *lost);

  const auto is_leaving = [&](const InstanceId& voter) { return IsLeaving(state, voter); };
  const auto leaving_count =
      static_cast<size_t>(std::count_if(voters.begin(), voters.end(), is_leaving));
  if (voters.size() - leaving_count < context_.config.voter_count) {
    const std::optional<InstanceId> candidate = Candidate(now, replica, state, leader, listed);
    if (candidate) {
      voters.push_back(*candidate);
      return voters;
    }
  }
  if (leaving_count == 0 || leaving_count == voters.size()) return std::nullopt;
  // The leader itself goes last, because its removal ends its leadership.
  const auto leaving = std::find_if(voters.begin(), voters.end(), [&](const InstanceId& voter) {
    return is_leaving(voter) && voter != context_.self;
  });
  if (leaving != voters.end()) return Without(voters, *leaving);
  if (!leader.MayResign(state)) return std::nullopt;
  return Without(voters, context_.self);
}

bool VoterManager::IsLost(Instant now, const consensus::Replica& replica,
                          const InstanceId& voter) const {
  if (voter == context_.self) return false;
  // A voter that was just added gets its time to answer, too.
  const auto added = added_.find(voter);
  const Instant known_since = added == added_.end() ? began_ : std::max(began_, added->second);
  const Instant heard = std::max(known_since, replica.LastContact(voter));
  return now - heard > context_.config.voter_replacement_delay;
}

std::optional<InstanceId> VoterManager::Candidate(Instant now, const consensus::Replica& replica,
                                                  const AssignmentState& state,
                                                  const AssignmentLeader& leader,
                                                  const std::set<std::string>& listed) const {
  const std::vector<InstanceId>& voters = replica.Voters();
  std::map<std::string, size_t> voters_of_zone;
  for (const InstanceId& voter : voters) {
    const NodeRecord* record = state.FindNode(voter);
    if (record != nullptr) ++voters_of_zone[record->zone];
  }
  const NodeRecord* best = nullptr;
  for (const auto& [name, record] : state.nodes()) {
    const bool is_voter = std::find(voters.begin(), voters.end(), record.instance) != voters.end();
    if (is_voter || record.leaving || !leader.IsHealthy(now, record.instance)) continue;
    if (!listed.empty() && !listed.contains(name)) continue;
    if (best == nullptr || voters_of_zone[record.zone] < voters_of_zone[best->zone]) {
      best = &record;
    }
  }
  if (best == nullptr) return std::nullopt;
  return best->instance;
}

}  // namespace runshelf::coordination
