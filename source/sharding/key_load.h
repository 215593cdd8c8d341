// Measures and reports the load of a sharded service's keys, by buckets of adjacent keys.
//
// A bucket is a single key, because busy keys are often adjacent: with 60 busy keys at 280 requests
// per second, sixteen neighbours receive 75 requests per second, three times what a worker with 15
// slots and a service time of 0.6 s completes. Coarser buckets could not be distributed.
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

// Load report of one worker's node.
struct LoadReport {
  std::string node;
  std::string service;
  double requests_per_second = 0;
  double service_seconds = 0;  // Smoothed time that a request occupies a slot; zero: unknown.
  uint32_t slots = 0;
  // The busiest buckets, each with its requests per second.
  std::vector<std::pair<uint32_t, double>> buckets;

  // Requests per second that the worker completes with all slots busy; zero: unknown.
  double Capacity() const { return service_seconds > 0 ? slots / service_seconds : 0; }
  // Whether the worker is offered more than it completes.
  bool IsOverloaded() const { return Capacity() > 0 && requests_per_second > Capacity(); }

  // Encodes the report as CBOR; rates are rounded to tenths.
  std::string Serialize() const;
  // Returns false, and leaves `report` unchanged, when `bytes` is not a valid report.
  static bool Parse(const std::string& bytes, LoadReport* report);
};

// Smooths a worker's service time over seconds: hosts are slow for moments, and keys that follow
// each of these would not stay anywhere. Deterministic; not thread-safe.
class ServiceTimeMeter {
 public:
  // `service_seconds`: the latest measurement; zero: there is none.
  void Sample(Instant now, double service_seconds);
  // The smoothed service time; zero: unknown.
  double seconds() const { return seconds_; }

 private:
  double seconds_ = 0;
  Instant sampled_at_{};
};

// Measures request rates by bucket with exponential smoothing, which starts anew when the total
// rate jumps: otherwise the rates would lag behind by seconds. Deterministic; not thread-safe.
class KeyLoadMeter {
 public:
  void OnRequest(ShardKey key) {
    ++counts_[BucketOf(key)];
    ++count_;
  }
  // Whether the requests of the current period, which has lasted `elapsed`, are more or fewer than
  // the rates and chance explain. False from Restart() until the next EndPeriod().
  bool HasJumped(Duration elapsed) const;
  // Starts a new period and drops the current one, in which the rates jumped. The next EndPeriod()
  // adopts the rates of its period without smoothing.
  void Restart();
  // Ends the current counting period, which lasted `elapsed`, and updates the rates.
  void EndPeriod(Duration elapsed);
  // Sets the total rate and the busiest buckets of `report`.
  void Fill(LoadReport* report) const;

 private:
  std::array<uint32_t, kBucketCount> counts_{};
  std::array<float, kBucketCount> rates_{};
  uint64_t count_ = 0;     // Requests of the current period.
  double total_rate_ = 0;  // Sum of `rates_`.
  bool restarted_ = false;
};

}  // namespace runshelf::sharding
