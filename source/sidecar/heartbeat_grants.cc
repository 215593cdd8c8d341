#include "source/sidecar/heartbeat_grants.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/sidecar/key_report.h"

namespace runshelf::sidecar {
namespace {

// Size of a response apart from its rows: field names, brackets and the duration.
constexpr size_t kBytesBesideRows = 64;
// Consecutive heartbeats without a leased shard after which the worker counts as having refused it.
// A single one may just mean that a response was lost.
constexpr uint32_t kMissingReports = 2;

bool IsReported(const KeyReport& report, const sharding::Shard& shard) {
  return HoldsAll(report, shard.first, shard.last, shard.token);
}

// The handover is dropped for keys that the worker already holds: it needs none, and rows without
// one can be merged.
LeasedKeys RowOf(const KeyReport& report, const sharding::Shard& shard) {
  return {shard.first, shard.last, shard.token,
          IsReported(report, shard) ? std::string() : shard.handover};
}

void OmitFromLease(const WorkerHeartbeat& heartbeat, HeldShard* held) {
  if (!held->releasing) held->omitted_at_sequence = heartbeat.sequence;
  held->releasing = true;
  held->usable_until = Instant{};
}

// Returns true when the release is complete.
bool RecordRelease(const WorkerHeartbeat& heartbeat, HeldShard* held) {
  const sharding::Shard& shard = held->shard;
  if (held->released || heartbeat.sequence <= held->omitted_at_sequence) return false;
  if (HoldsAny(heartbeat.keys, shard.first, shard.last)) return false;
  held->released = true;
  held->handover = HandoverOf(heartbeat.keys, shard.first, shard.last);
  return true;
}

}  // namespace

bool HeartbeatGrants::OnReport(const WorkerHeartbeat& heartbeat, HeldShards* shards) {
  bool changed = false;
  for (auto& [key, held] : *shards) {
    if (held.worker_id != heartbeat.worker_id) continue;
    if (held.releasing) {
      changed = RecordRelease(heartbeat, &held) || changed;
      continue;
    }
    const sharding::Shard& shard = held.shard;
    const auto token = HighestToken(heartbeat.keys, shard.first, shard.last);
    highest_token_seen_ = std::max(highest_token_seen_, token);
    held.missing = !held.leased || IsReported(heartbeat.keys, shard) ? 0 : held.missing + 1;
    if (token > shard.token || held.missing >= kMissingReports) {
      held.superseded = true;
      held.usable_until = Instant{};
      changed = true;
    }
  }
  return changed;
}

KeyLease HeartbeatGrants::MakeLease(const WorkerHeartbeat& heartbeat, Instant now, Duration hold,
                                    const ShardPredicate& must_move, const ShardPredicate& settled,
                                    HeldShards* shards) {
  std::vector<HeldShard*> listed;
  for (auto& [key, held] : *shards) {
    if (held.worker_id != heartbeat.worker_id || held.superseded) continue;
    if (!settled(held.shard)) continue;
    if (must_move(held.shard)) OmitFromLease(heartbeat, &held);
    if (!held.releasing) listed.push_back(&held);
  }
  const auto rows_of = [&heartbeat](const std::vector<HeldShard*>& some) {
    std::vector<LeasedKeys> rows;
    rows.reserve(some.size());
    for (const HeldShard* held : some) rows.push_back(RowOf(heartbeat.keys, held->shard));
    return JoinNeighbours(rows);
  };
  if (!Fits(rows_of(listed))) OmitRowsThatDoNotFit(heartbeat, &listed);
  const Duration clock_error = hold / kClockRateDivisor;
  for (HeldShard* held : listed) {
    held->leased = true;
    held->usable_until = std::max(held->usable_until, now + hold - clock_error - kAnswerWindow);
    held->held_until = std::max(held->held_until, now + hold + clock_error);
  }
  return {rows_of(listed), hold};
}

bool HeartbeatGrants::Fits(const std::vector<LeasedKeys>& rows) const {
  size_t bytes = kBytesBesideRows;
  for (const LeasedKeys& row : rows) bytes += wire_.LeaseRowBytes(row);
  return bytes <= wire_.MaxAcknowledgementBytes();
}

void HeartbeatGrants::OmitRowsThatDoNotFit(const WorkerHeartbeat& heartbeat,
                                           std::vector<HeldShard*>* listed) {
  const auto is_new = [&heartbeat](const HeldShard* held) {
    return !IsReported(heartbeat.keys, held->shard);
  };
  std::stable_partition(listed->begin(), listed->end(),
                        [&](const HeldShard* held) { return !is_new(held); });
  size_t bytes = kBytesBesideRows;
  std::vector<HeldShard*> fitting;
  for (HeldShard* held : *listed) {
    const size_t row_bytes = wire_.LeaseRowBytes(RowOf(heartbeat.keys, held->shard));
    if (bytes + row_bytes <= wire_.MaxAcknowledgementBytes()) {
      bytes += row_bytes;
      fitting.push_back(held);
      continue;
    }
    ++rows_omitted_;
    // A shard that the worker does not hold yet waits until it fits; one that it holds is released
    // so that another worker can take it.
    if (!is_new(held)) OmitFromLease(heartbeat, held);
  }
  std::sort(fitting.begin(), fitting.end(), [](const HeldShard* left, const HeldShard* right) {
    return left->shard.first < right->shard.first;
  });
  *listed = std::move(fitting);
}

}  // namespace runshelf::sidecar
