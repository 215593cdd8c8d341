// The load of a sharded service's workers, as the planners weigh it, and key ranges to move.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/shard_planner.h"

namespace runshelf::sharding {

// The workers that accept keys, sorted by node.
std::vector<const PlannerWorker*> Accepting(const PlannerInput& input,
                                            const std::string& except_node = "");

// Load of every bucket in requests per second, from the reports of all owners. Load that a report
// does not attribute to a bucket is spread evenly over the keys of its node.
class BucketLoads {
 public:
  BucketLoads(const ShardMap& map, const PlannerInput& input);

  double KeyRangeRate(ShardKey first, ShardKey last) const {
    return sums_[BucketOf(last) + 1] - sums_[BucketOf(first)];
  }

 private:
  std::vector<double> rates_;
  std::vector<double> sums_;  // Prefix sums: total rate of all buckets before the index.
};

// Load of one worker.
struct Usage {
  const PlannerWorker* worker = nullptr;
  double rate = 0;             // Requests per second on its shards.
  double service_seconds = 0;  // Mean service time of a request.

  // Utilization per request per second.
  double Slope() const { return service_seconds / std::max<uint32_t>(1, worker->slots); }
  double Utilization() const { return rate * Slope(); }
  // Requests per second that the worker completes with all slots busy.
  double Capacity() const { return 1 / Slope(); }
};

inline bool ByUtilization(const Usage& left, const Usage& right) {
  return left.Utilization() < right.Utilization();
}

std::vector<Usage> MakeUsages(const ShardMap& map, const PlannerInput& input,
                              const std::vector<const PlannerWorker*>& workers,
                              const BucketLoads& loads);

// Utilization of all workers together.
double MeanUtilization(const std::vector<Usage>& usages);

// Nodes whose worker is the source or the target of a move in progress.
std::set<std::string> MovingNodes(const ShardMap& map);

// A candidate range for a move: whole buckets within a shard.
struct Piece {
  ShardKey first = 0;
  ShardKey last = 0;
  double rate = 0;
};

// The busiest key range of `node` whose load is at most `limit`, among whole shards and their
// repeated halves down to one bucket. Shards are divided at the keys of `kept`, which stay.
std::optional<Piece> BestPiece(const ShardMap& map, const BucketLoads& loads,
                               const std::string& node, double limit,
                               const std::set<ShardKey>& kept = {});

// Marks the keys of the piece for a move; splits shards where needed.
void MarkMove(ShardMap* map, const Piece& piece, const std::string& to_node);

}  // namespace runshelf::sharding
