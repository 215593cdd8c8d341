#include "tools/sim/simulated_store.h"

namespace runshelf::sim {

absl::StatusOr<infrastructure::RangeResult> SimulatedStore::Range(const std::string& prefix) {
  using Result = absl::StatusOr<infrastructure::RangeResult>;
  return task_.Await<Result>(
      [this, &prefix](std::function<void(Result)> done) {
        platform_.Range(host_, prefix, std::move(done));
      },
      absl::UnavailableError("the simulation has ended"));
}

absl::StatusOr<infrastructure::CommitResult> SimulatedStore::Commit(
    const std::vector<infrastructure::Condition>& conditions,
    const std::vector<infrastructure::Write>& writes) {
  using Result = absl::StatusOr<infrastructure::CommitResult>;
  return task_.Await<Result>(
      [this, &conditions, &writes](std::function<void(Result)> done) {
        platform_.Commit(host_, conditions, writes, std::move(done));
      },
      absl::UnknownError("the simulation has ended"));
}

absl::StatusOr<int64_t> SimulatedStore::GrantLease(Duration) { return next_lease_++; }

absl::Status SimulatedStore::KeepLeaseAlive(int64_t) { return absl::OkStatus(); }

absl::Status SimulatedStore::RevokeLease(int64_t) { return absl::OkStatus(); }

absl::Status SimulatedStore::Watch(
    const std::string&, int64_t,
    const std::function<void(int64_t, const std::vector<infrastructure::WatchEvent>&)>&,
    const std::function<bool()>&) {
  return absl::UnavailableError("not simulated");
}

}  // namespace runshelf::sim
