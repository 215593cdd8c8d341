// Questions about the rows of keys in a worker's heartbeat. Rows come in any order, and may be
// joined or cut at other borders than the shards of the map.
#pragma once

#include <vector>

#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

// The worker holds every key from `first` to `last` under `token`.
bool HoldsAll(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last,
              sharding::FencingToken token);

// The worker holds, or still works on, some key from `first` to `last`.
bool HoldsAny(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last);

// The highest token under which the worker holds a key from `first` to `last`; zero: none.
sharding::FencingToken HighestToken(const KeyReport& report, sharding::ShardKey first,
                                    sharding::ShardKey last);

// With what the worker let the keys go: the handover of the row that covers most of them; empty
// when there is none.
std::string HandoverOf(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last);

// Joins neighbouring rows that share token and handover. Rows must ascend.
std::vector<LeasedKeys> JoinNeighbours(const std::vector<LeasedKeys>& rows);

}  // namespace runshelf::sidecar
