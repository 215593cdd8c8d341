// Message from a node whose worker has released shards to the node that writes such handovers to
// the shard map for the whole service; see HandoverWriter.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "source/sharding/shard_map.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// A shard that its owner's worker has released, as it is in the map known to the owner's node.
struct ReleasedShard {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;
  sharding::FencingToken token = 0;
  sharding::WorkerId successor;  // An empty worker: the shard becomes free.
  std::string handover;          // Value that the worker returned with the release.

  bool operator==(const ReleasedShard&) const = default;
};

struct HandoverReport {
  std::string node;
  std::string service;
  store::StoreEra era = 0;  // Era of the map that names the shards.
  // Holds while the run of the node that sends the report is the latest one.
  store::Condition latest_run;
  sharding::FencingToken highest_token_seen = 0;  // By the worker; the next token is above it.
  std::vector<ReleasedShard> shards;

  // Encodes the report as JSON.
  std::string Serialize() const;
  // nullopt when `text` is not a report.
  static std::optional<HandoverReport> Parse(const std::string& text);
};

// Gives `shard` to `successor` under `token`, or frees it when the successor has no worker.
void HandOver(const sharding::WorkerId& successor, sharding::FencingToken token,
              const std::string& handover, sharding::Shard* shard);

}  // namespace runshelf::sidecar
