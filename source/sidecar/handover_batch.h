// Gathers handovers of released shards and decides when and with what they change the shard map.
//
// A map is one item that is changed by compare-and-swap. When many nodes each commit the handover
// of their shards at the same time, most of them conflict and try again. One node that commits them
// for all needs one write for all that arrive within its spacing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sharding/shard_map.h"
#include "source/sidecar/handover_report.h"

namespace runshelf::sidecar {

// Performs no I/O. Deterministic; not thread-safe.
class HandoverBatch {
 public:
  using Ticket = uint64_t;

  // A change of the map that carries out the reports of `tickets`. `refused`: reports whose shards
  // are not in the map; they are no longer kept.
  struct Change {
    sharding::ShardMap map;
    std::vector<store::Condition> conditions;
    std::vector<Ticket> tickets;
    std::vector<Ticket> refused;
  };

  // Keeps the report until it is removed or refused.
  Ticket Add(Instant now, HandoverReport report);
  void Remove(Ticket ticket) { reports_.erase(ticket); }
  // When the next change is due; nullopt while there are no reports.
  std::optional<Instant> DueAt() const;
  // The change of `map`, which is of `era`, that carries out the kept reports.
  Change MakeChange(Instant now, const sharding::ShardMap& map, store::StoreEra era);
  // The store condition of the report, which keeps it from being carried out for an earlier run.
  const store::Condition& LatestRun(Ticket ticket) const {
    return reports_.at(ticket).report.latest_run;
  }

 private:
  struct Kept {
    HandoverReport report;
    Instant arrived{};
  };

  std::map<Ticket, Kept> reports_;
  Ticket next_ticket_ = 1;
  Instant changed_at_{};  // When the latest change was made.
};

}  // namespace runshelf::sidecar
