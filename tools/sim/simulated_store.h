// The platform's key-value service as the table editor sees it, from inside a BlockingTask.
#pragma once

#include <string>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "tools/sim/blocking_task.h"
#include "tools/sim/platform.h"

namespace runshelf::sim {

class SimulatedStore : public infrastructure::KeyValueStore {
 public:
  SimulatedStore(BlockingTask& task, Platform& platform, HostIndex host)
      : task_(task), platform_(platform), host_(host) {}

  absl::StatusOr<infrastructure::RangeResult> Range(const std::string& prefix) override;
  absl::StatusOr<infrastructure::CommitResult> Commit(
      const std::vector<infrastructure::Condition>& conditions,
      const std::vector<infrastructure::Write>& writes) override;
  // Leases never lapse here: a simulation is shorter than the life of an edit's record.
  absl::StatusOr<int64_t> GrantLease(Duration time_to_live) override;
  absl::Status KeepLeaseAlive(int64_t lease) override;
  absl::Status RevokeLease(int64_t lease) override;
  // kUnavailable: editors do not watch.
  absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t revision, const std::vector<infrastructure::WatchEvent>&)>&
          on_events,
      const std::function<bool()>& stop) override;

 private:
  BlockingTask& task_;
  Platform& platform_;
  HostIndex host_;
  int64_t next_lease_ = 1;
};

}  // namespace runshelf::sim
