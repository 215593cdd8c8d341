// Plans the moves that keys in demand call for: each gets an owner of its own.
#pragma once

#include <cstddef>
#include <vector>

#include "source/sharding/worker_usage.h"

namespace runshelf::sharding {

// Marks moves for the input's keys in demand. The other keys of their owners are moved away, which
// costs a key in demand nothing. The key itself moves at most once in a demand, to the worker that
// completes most, and only if that outweighs the time of the handover. Removes the owners from
// `usages`, so that they receive no other keys. Returns the number of moves.
size_t PlanKeysInDemand(const BucketLoads& loads, const PlannerInput& input,
                        const PlannerConfig& config, ShardMap* map, std::vector<Usage>* usages);

}  // namespace runshelf::sharding
