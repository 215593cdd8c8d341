// Plans changes of a shard map: first assignment, replacement of departed workers and balancing of
// the measured load. Performs no I/O. Any node may plan; compare-and-swap decides which plan wins.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/key_demand.h"
#include "source/sharding/key_load.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sharding {

// A worker as the planner sees it.
struct PlannerWorker {
  WorkerId id;
  uint32_t slots = 0;
  bool accepting = true;  // Whether it accepts further keys.
};

// Everything that a plan depends on besides the map.
struct PlannerInput {
  std::vector<PlannerWorker> workers;  // The current worker of each live node.
  // Nodes that own shards, but have no item in the store or serve another service.
  std::set<std::string> departed_nodes;
  std::map<std::string, LoadReport> loads;  // Latest report by node.
  // Workers may know tokens up to this one; a new map starts above it.
  FencingToken token_base = 0;
  Instant now{};
  // Keys whose demand exceeds what an owner completes, the busiest first.
  std::vector<KeyInDemand> keys_in_demand;
  // Whether grants from a map that was lost may still be valid when a new map is created.
  bool former_grants_may_be_valid = false;
};

// Settings for keys in demand.
struct DemandPlannerConfig {
  // Time for which a key that moves is not served: until the requests on it have ended and its next
  // owner has been granted it.
  Duration handover_time = std::chrono::seconds(1);
  // A demand is expected to last as long as it has lasted, and at least this long.
  Duration expected_demand_min = std::chrono::seconds(3);
  // A key in demand moves when its next owner is expected to complete so many times as much of the
  // demand as the present one.
  double worthwhile_gain = 1.25;
  // Maximum number of ranges that are moved away from beside one key in a round.
  size_t moves_per_key = 8;
  // Ranges below this rate, in requests per second, stay beside a key in demand: a move is not
  // worth a change of the map.
  double moved_rate_min = 1;
  // Receivers of such ranges stay at or below this utilization.
  double receiver_utilization = 1.0;
};

// Settings of the planner.
struct PlannerConfig {
  // Total number of shards in a new map, and its bounds per worker. Many shards spread adjacent
  // busy keys from the start; the bounds keep the map small when there are many workers.
  size_t initial_shards = 192;
  size_t initial_shards_per_worker_min = 4;
  size_t initial_shards_per_worker_max = 32;
  // Balancing starts when the utilization of the most and the least utilized worker differs by at
  // least this much and the most utilized one is at `busy_utilization` or above. Below that, hardly
  // any request queues, and moves cost more than they gain.
  double utilization_gap = 0.15;
  double busy_utilization = 0.5;
  // Maximum moves per round: one per `workers_per_move` workers, but at least
  // `moves_per_round_min`. A worker takes part in one round at a time, and a move takes until the
  // requests on its keys have ended, often more than a second.
  size_t moves_per_round_min = 6;
  size_t workers_per_move = 4;
  // A move must leave its receiver at or below this utilization, or slightly above the mean of all
  // workers if that is higher. Parts of a busy range thus go to as many workers as needed in one
  // round.
  double receiver_utilization = 0.6;
  DemandPlannerConfig demand;
  // Departed nodes whose shards one plan reassigns; the others follow with the next plans. Each is
  // a condition of the write, whose size the store limits.
  size_t departed_nodes_max = 24;
  // A map with more shards than both limits allow is not split further.
  size_t max_shards = 400;
  size_t max_shards_per_worker = 16;
};

// Result of planning; `map` is meaningful only if `changed` is true.
struct Plan {
  bool changed = false;
  ShardMap map;
  // Departed nodes whose shards are reassigned without a release, on condition that they have not
  // come back.
  std::set<std::string> nodes_assumed_departed;
  std::string reason;  // For the log.
};

// Plans the changes of ownership that are urgent: the first assignment, shards that were given up,
// shards of departed nodes, and shards of a worker that another one on its machine has replaced.
// Shards of live nodes are never assigned to another node.
Plan PlanRepair(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config);

// Marks shards for a move from busy workers to idle ones, splitting them where needed. Workers with
// a move in progress are excluded. Owners of keys in demand are left to these keys. A worker whose
// load cannot be divided, for example because it is caused by a single key, does not prevent moves
// from other workers.
Plan PlanBalance(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config);

// Chooses a worker for each of `shard_count` shards of `leaving_node`, balanced by the load that
// each worker has already. Empty when no other worker accepts keys.
std::vector<WorkerId> ChooseReceivers(const ShardMap& map, const PlannerInput& input,
                                      const std::string& leaving_node, size_t shard_count);

}  // namespace runshelf::sharding
