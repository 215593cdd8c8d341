// Checks, from the observations of workers, that no key ever has two owners. Performs no I/O; the
// caller supplies all timestamps, taken from one clock.
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

// A closed range of keys.
struct KeyRange {
  uint32_t first = 0;
  uint32_t last = 0;  // Inclusive.

  bool Contains(uint32_t key) const { return first <= key && key <= last; }
  bool Overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
};

// Keys that a worker owns until `until` unless it releases them earlier; `fence` is the fencing
// token of the grant.
struct HeldKeys {
  KeyRange keys;
  uint64_t fence = 0;
  Instant until{};
};

// Whether a grant or release was applied on time or delayed.
enum class OrderArrival {
  kTimely,     // Applied when it was sent.
  kHeldUp,     // Delayed on the path between node and worker.
  kAfterThaw,  // Applied shortly after its sender was resumed or its path recovered.
  kTakenLate,  // Applied by the worker some time after receipt.
};

// The keys a worker owns at one moment, as the worker reports them.
struct WorkerHoldings {
  std::string worker;
  std::vector<HeldKeys> held;
};

// Tracks grants, releases and running requests per worker incarnation: a restarted worker counts as
// a different worker with a different name, even if it keeps its identity.
class OwnershipJudge {
 public:
  // A worker applied a grant. Its fencing token must be higher than those of other workers' grants
  // for the same keys, unless the grant was applied late and the worker has not acknowledged a
  // release since, which could have carried a higher token. No other worker may still be processing
  // requests for these keys under a valid lease.
  void OnGrant(Instant now, const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  // A worker acknowledged a release.
  void OnReleased(const std::string& worker, const KeyRange& keys) {
    released_[worker].push_back(keys);
  }
  // A worker begins a request for a key that it owns until `lease_end`. `others`: other workers
  // that own the key at this moment.
  void OnRunBegan(Instant now, const std::string& worker, uint32_t key, Instant lease_end,
                  const std::vector<std::string>& others);
  void OnRunEnded(const std::string& worker, uint32_t key);
  void OnWorkerEnded(const std::string& worker);
  // Compares the keys that all workers own now. Must be called frequently, because the duration of
  // an overlap is measured between calls.
  void Check(Instant now, const std::vector<WorkerHoldings>& workers);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  using Pair = std::pair<std::string, std::string>;
  struct Grant {
    HeldKeys held;
    OrderArrival arrival = OrderArrival::kTimely;
  };
  // The grant with the highest fencing token so far for one key.
  struct Latest {
    std::string worker;
    HeldKeys held;
  };
  struct Run {
    uint32_t key = 0;
    Instant lease_end{};
  };
  // Keys that two workers own at the same time.
  struct SharedKeys {
    KeyRange keys;
    Instant since{};
    bool reported = false;
  };

  void CheckToken(const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  bool HasReleased(const std::string& worker, uint32_t key) const;
  void CheckRunningRequests(Instant now, const std::string& worker, const HeldKeys& grant);
  void ComparePair(Instant now, const WorkerHoldings& left, const WorkerHoldings& right);
  void RecordGrant(const std::string& worker, const HeldKeys& grant, OrderArrival arrival);
  // Whether a timely, unexpired grant covers some of `keys`; narrows `keys` to the covered part.
  bool CoveredByTimelyGrant(Instant now, const std::string& worker, KeyRange* keys) const;
  bool OwnsKey(Instant now, const std::string& worker, uint32_t key, bool timely) const;

  std::array<Latest, kKeyCount> latest_;
  std::map<std::string, std::vector<Grant>> grants_;       // By worker.
  std::map<std::string, std::vector<KeyRange>> released_;  // Since the last grant, by worker.
  std::map<std::string, std::vector<Run>> runs_;           // By worker.
  std::map<Pair, std::vector<SharedKeys>> shared_;         // From timely grants only.
  std::map<Pair, Instant> sharing_since_;                  // From all grants.
  std::map<Pair, std::pair<Instant, uint32_t>> begun_;     // Latest request of the first worker for
                                                           // a key the second one owned too.
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
