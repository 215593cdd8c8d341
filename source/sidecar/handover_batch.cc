#include "source/sidecar/handover_batch.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace runshelf::sidecar {
namespace {

// Shards of several workers that are to move are released within some ten milliseconds.
constexpr Duration kGatherTime = std::chrono::milliseconds(20);
// The nodes learn of changes of the state at this pace while there are many; see StateFeedConfig.
constexpr Duration kSpacing = std::chrono::milliseconds(100);
// A transaction has at most 32 entries, two of which are for the map itself.
constexpr size_t kMaxReportsInChange = 24;

// Carries out the report as far as the map still has its shards; false when it has none of them.
bool Apply(const HandoverReport& report, sharding::FencingToken token, sharding::ShardMap* map) {
  bool applied = false;
  for (const ReleasedShard& released : report.shards) {
    const auto shard =
        std::find_if(map->shards().begin(), map->shards().end(), [&](const sharding::Shard& one) {
          return one.first == released.first && one.last == released.last;
        });
    if (shard == map->shards().end() || shard->token != released.token) continue;
    if (shard->owner.node != report.node) continue;
    HandOver(released.successor, token, released.handover, &*shard);
    applied = true;
  }
  return applied;
}

}  // namespace

HandoverBatch::Ticket HandoverBatch::Add(Instant now, HandoverReport report) {
  const Ticket ticket = next_ticket_++;
  reports_[ticket] = {std::move(report), now};
  return ticket;
}

std::optional<Instant> HandoverBatch::DueAt() const {
  if (reports_.empty()) return std::nullopt;
  const Instant gathered = reports_.begin()->second.arrived + kGatherTime;
  return std::max(gathered, changed_at_ + kSpacing);
}

HandoverBatch::Change HandoverBatch::MakeChange(Instant now, const sharding::ShardMap& map,
                                                store::StoreEra era) {
  changed_at_ = now;
  Change change;
  change.map = map;
  for (const auto& [ticket, kept] : reports_) {
    change.map.RaiseLastToken(kept.report.highest_token_seen);
  }
  const sharding::FencingToken token = change.map.NextToken();
  std::map<std::string, store::Revision> runs;
  for (const auto& [ticket, kept] : reports_) {
    if (change.tickets.size() == kMaxReportsInChange) break;
    const store::Condition& run = kept.report.latest_run;
    const auto known = runs.find(run.key);
    if (known != runs.end() && known->second != run.revision) continue;
    if (kept.report.era != era || !Apply(kept.report, token, &change.map)) {
      change.refused.push_back(ticket);
      continue;
    }
    change.tickets.push_back(ticket);
    if (known == runs.end()) change.conditions.push_back(run);
    runs[run.key] = run.revision;
  }
  for (const Ticket ticket : change.refused) reports_.erase(ticket);
  return change;
}

}  // namespace runshelf::sidecar
