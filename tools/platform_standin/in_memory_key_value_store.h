// A KeyValueStore directly on the stand-in's store, without HTTP, for tests and the simulator.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "tools/platform_standin/fault_injector.h"
#include "tools/platform_standin/synchronized_store.h"

namespace runshelf::platform_standin {

// Safe to call from any thread. Applies the injector's outages, rate limits and lost answers, but
// not its delay. Watch delivers what there is before it first asks `stop`, so that a caller whose
// `stop` always returns true polls.
class InMemoryKeyValueStore : public infrastructure::KeyValueStore {
 public:
  // `faults` may be null. All arguments must outlive this object.
  InMemoryKeyValueStore(SynchronizedStore& store, const Clock& clock, FaultInjector* faults)
      : store_(store), clock_(clock), faults_(faults) {}

  absl::StatusOr<infrastructure::RangeResult> Range(const std::string& prefix) override;
  absl::StatusOr<infrastructure::CommitResult> Commit(
      const std::vector<infrastructure::Condition>& conditions,
      const std::vector<infrastructure::Write>& writes) override;
  absl::StatusOr<int64_t> GrantLease(Duration time_to_live) override;
  absl::Status KeepLeaseAlive(int64_t lease) override;
  absl::Status RevokeLease(int64_t lease) override;
  absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t revision, const std::vector<infrastructure::WatchEvent>&)>&
          on_events,
      const std::function<bool()>& stop) override;

 private:
  FaultAction Decide(CallKind kind);

  SynchronizedStore& store_;
  const Clock& clock_;
  FaultInjector* faults_;
};

}  // namespace runshelf::platform_standin
