// Judges whether keys ever had two owners, from what the workers saw. Free of input and output;
// times are given by the caller and belong to one clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

constexpr uint32_t kKeyCount = 65536;

struct KeyRange {
  uint32_t first = 0;
  uint32_t last = 0;  // Inside.

  bool Contains(uint32_t key) const { return first <= key && key <= last; }
  bool Overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
};

// Keys that a worker holds until a moment, unless it lets them go earlier.
struct HeldKeys {
  KeyRange keys;
  uint64_t fence = 0;
  Instant until{};
};

// How an order of keys came to be carried out.
enum class OrderArrival {
  kTimely,     // When it was sent.
  kHeldUp,     // Something on its way held it back.
  kAfterThaw,  // Shortly after its sender was thawed or its way was healed.
  kTakenLate,  // The worker carried it out some time after it came.
};

// A worker's account of its keys at one moment.
struct WorkerHoldings {
  std::string worker;
  std::vector<HeldKeys> held;
};

// Each worker is one life: a worker that starts again has another name here, whatever it calls
// itself.
class OwnershipJudge {
 public:
  // A worker took keys. The token must be above those with which others held them, unless the grant
  // was taken late and the worker has not answered a release meanwhile, which could have carried a
  // higher token. Nobody else may still be at work on them under a lease.
  void OnGrant(Instant now, const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  // A worker answered a release.
  void OnReleased(const std::string& worker, const KeyRange& keys) {
    released_[worker].push_back(keys);
  }
  // A worker begins a request on a key that it holds until `lease_end`. `others`: the workers that
  // hold the key at this moment as well.
  void OnRunBegan(Instant now, const std::string& worker, uint32_t key, Instant lease_end,
                  const std::vector<std::string>& others);
  void OnRunEnded(const std::string& worker, uint32_t key);
  void OnWorkerEnded(const std::string& worker);
  // What all workers hold now. Call often: how long two of them hold the same keys is measured from
  // call to call.
  void Check(Instant now, const std::vector<WorkerHoldings>& workers);

  // One line for each finding, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  using Pair = std::pair<std::string, std::string>;
  struct Grant {
    HeldKeys held;
    OrderArrival arrival = OrderArrival::kTimely;
  };
  // Of one key: the grant with the highest token so far.
  struct Latest {
    std::string worker;
    HeldKeys held;
  };
  struct Run {
    uint32_t key = 0;
    Instant lease_end{};
  };
  // Keys that two workers hold at the same time.
  struct SharedKeys {
    KeyRange keys;
    Instant since{};
    bool reported = false;
  };

  void CheckToken(const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  bool HasReleased(const std::string& worker, uint32_t key) const;
  void CheckWorkUnderWay(Instant now, const std::string& worker, const HeldKeys& grant);
  void ComparePair(Instant now, const WorkerHoldings& left, const WorkerHoldings& right);
  void Remember(const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  // By a grant that came in time; `keys` is narrowed to what it covers.
  bool CoveredInTime(Instant now, const std::string& worker, KeyRange* keys) const;
  bool HoldsBy(Instant now, const std::string& worker, uint32_t key, bool timely) const;

  std::array<Latest, kKeyCount> latest_;
  std::map<std::string, std::vector<Grant>> grants_;       // By worker.
  std::map<std::string, std::vector<KeyRange>> released_;  // Since they were granted, by worker.
  std::map<std::string, std::vector<Run>> runs_;           // By worker.
  std::map<Pair, std::vector<SharedKeys>> shared_;         // By grants that came in time.
  std::map<Pair, Instant> sharing_since_;                  // By any grants.
  std::map<Pair, std::pair<Instant, uint32_t>> begun_;  // The first's latest request on a key that
                                                        // the second held too.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
