// Recognises single keys whose demand exceeds what their owner completes.
//
// Such a key cannot be divided, so that balancing by load alone does not relieve its neighbours.
// The state is derived from the load reports and is lost without harm: another node that plans
// recognises the same keys from its next reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sharding {

struct PlannerInput;

// A key in demand, with its owner by the map.
struct KeyInDemand {
  ShardKey key = 0;
  std::string owner;               // Name of the owner's node.
  double requests_per_second = 0;  // Offered to its owners, including refused requests.
  double capacity = 0;             // Requests per second that the owner completes on all its keys.
  Instant since{};
  uint32_t owner_changes = 0;
};

// Beginning or end of a demand.
struct KeyDemandEvent {
  bool begun = false;
  KeyInDemand key;
};

struct KeyDemandConfig {
  // A demand begins when the owner is offered more than it completes and the key alone is at least
  // this share of what it completes.
  double begin_share = 0.6;
  // A demand ends when the key has been below this share for `end_after`, which exceeds the time of
  // a move, during which no requests are counted.
  double end_share = 0.4;
  Duration end_after = std::chrono::seconds(2);
  // At most one key per this many workers is in demand. With more, the service as a whole is
  // overloaded, and workers that are reserved for single keys would be missed.
  size_t workers_per_key = 4;
};

// Deterministic; not thread-safe.
class KeyDemand {
 public:
  explicit KeyDemand(KeyDemandConfig config = {}) : config_(config) {}

  // Updates the keys from the current map and load reports; returns what began and ended.
  std::vector<KeyDemandEvent> Update(Instant now, const ShardMap& map, const PlannerInput& input);
  // Forgets all keys, for example because another node plans.
  void Clear() { keys_.clear(); }
  // The keys in demand, the busiest first.
  std::vector<KeyInDemand> Keys() const;
  size_t size() const { return keys_.size(); }

 private:
  struct State {
    KeyInDemand key;
    Instant demanded_at{};  // When the rate was last above the share that ends the demand.
  };

  void Refresh(Instant now, const ShardMap& map, const PlannerInput& input, State* state) const;

  KeyDemandConfig config_;
  std::map<ShardKey, State> keys_;
};

}  // namespace runshelf::sharding
