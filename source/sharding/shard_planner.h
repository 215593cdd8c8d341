// Decides which changes a shard map needs: first assignment, workers that are gone, and balance of
// the measured load. Free of input and output; any node may plan, compare-and-swap decides.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "source/sharding/key_load.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sharding {

struct PlannerWorker {
  WorkerId id;
  uint32_t slots = 0;
  bool accepting = true;  // False: known, and takes no further keys.
};

struct PlannerInput {
  std::vector<PlannerWorker> workers;       // Of the live nodes, each with its current worker.
  std::set<std::string> departed_nodes;     // Without a lease in the store.
  std::map<std::string, LoadReport> loads;  // The latest report of each node.
  // Of a new map: tokens up to this one may be known to workers.
  FencingToken token_base = 0;
  // Of a new map: grants of one that was lost may still be in force.
  bool former_grants_may_be_valid = false;
};

struct PlannerConfig {
  // Shards of a new map, all together; each worker gets at least and at most so many. Neighbouring
  // busy keys are spread from the start, and the map stays small with many workers.
  size_t initial_shards = 192;
  size_t initial_shards_per_worker_min = 4;
  size_t initial_shards_per_worker_max = 32;
  // Balance starts when the most and the least used worker differ by more than this part of their
  // slots, and the most used one is above `busy_utilization`: below, hardly anything waits there,
  // and moves cost more than they bring.
  double utilization_gap = 0.15;
  double busy_utilization = 0.5;
  // Of one round: at least so many, and one for so many workers. A worker takes part in one round
  // at a time; its moves take as long as what runs on the keys, often more than a second.
  size_t moves_per_round_min = 6;
  size_t workers_per_move = 4;
  // A move leaves its receiver below this utilization, or below that of all workers together:
  // pieces of a busy range then go to as many workers as it takes, in one round.
  double receiver_utilization = 0.6;
  // A map with more shards than both is not split further.
  size_t max_shards = 400;
  size_t max_shards_per_worker = 16;
};

struct Plan {
  bool changed = false;
  ShardMap map;
  std::set<std::string>
      nodes_assumed_absent;  // Nodes whose shards were taken without their consent.
  std::string reason;        // For the log.
};

// Changes of ownership that must not wait: the first assignment, shards that were given up, shards
// of departed nodes, and shards of a worker that another one at its machine has replaced. Shards of
// live nodes never go to another node.
Plan PlanRepair(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config);

// Marks shards to be moved from busy workers to idle ones, splitting them where needed. Workers
// with a move under way are left alone. A worker whose load cannot be divided, such as that of one
// key, does not keep the others from relief.
Plan PlanBalance(const ShardMap& map, const PlannerInput& input, const PlannerConfig& config);

// The worker that should take the next shard of `worker` when that one leaves; spread by what each
// owns. Empty when no other accepts.
std::vector<WorkerId> ChooseReceivers(const ShardMap& map, const PlannerInput& input,
                                      const std::string& leaving_node, size_t shard_count);

}  // namespace runshelf::sharding
