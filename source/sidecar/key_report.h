// Queries on the key ranges that a worker's heartbeat reports. Rows may come in any order, and
// their boundaries need not match those of the shards in the map.
#pragma once

#include <vector>

#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

// Whether the worker holds every key from `first` to `last` (inclusive) under `token`.
bool HoldsAll(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last,
              sharding::FencingToken token);

// Whether the worker holds, or still processes requests of, any key from `first` to `last`.
bool HoldsAny(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last);

// The highest token under which the worker holds a key from `first` to `last`; zero if it holds
// none.
sharding::FencingToken HighestToken(const KeyReport& report, sharding::ShardKey first,
                                    sharding::ShardKey last);

// The handover value that the worker reported when it released the keys: that of the released row
// that covers most of them, or empty if there is none.
std::string HandoverOf(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last);

// Merges adjacent rows with the same token and handover. Rows must be sorted by key.
std::vector<LeasedKeys> JoinNeighbours(const std::vector<LeasedKeys>& rows);

}  // namespace runshelf::sidecar
