// How much work the keys of a sharded service bring, by buckets of neighbouring keys.
//
// A bucket is one key. Busy keys lie near each other: of 60 keys with 280 requests a second,
// sixteen neighbours ask for 75 a second, three times what a worker with 15 slots and runs of 0.6 s
// completes, so that coarser buckets could not be spread.
#pragma once

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sharding {

constexpr ShardKey kKeysPerBucket = 1;
constexpr size_t kBucketCount = (kMaxShardKey + 1) / kKeysPerBucket;

constexpr size_t BucketOf(ShardKey key) { return key / kKeysPerBucket; }

// What one worker's node reports about its keys.
struct LoadReport {
  std::string node;
  std::string service;
  double requests_per_second = 0;
  double service_seconds = 0;  // Smoothed time that one request holds a slot; zero: not known.
  uint32_t slots = 0;
  // The busiest buckets, each with its requests per second.
  std::vector<std::pair<uint32_t, double>> buckets;

  std::string Serialize() const;
  // False when `bytes` are no report.
  static bool Parse(const std::string& bytes, LoadReport* report);
};

// Counts requests by bucket with exponential decay. Deterministic; not thread-safe.
class KeyLoadMeter {
 public:
  void OnRequest(ShardKey key) { ++counts_[BucketOf(key)]; }
  // Ends a period of counting; `elapsed` is its length.
  void EndPeriod(Duration elapsed);
  // Fills the rates and the busiest buckets of a report.
  void Fill(LoadReport* report) const;

 private:
  std::array<uint32_t, kBucketCount> counts_{};
  std::array<float, kBucketCount> rates_{};
};

}  // namespace runshelf::sharding
