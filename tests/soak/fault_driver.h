// Injects the faults of a plan into the fleet.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/operator_configurations.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

// Starts and ends each planned fault on time. Where several faults of one kind affect the same
// target, the one that began last determines the target's behaviour.
class FaultDriver {
 public:
  FaultDriver(event::EventLoop& loop, SoakFleet& fleet, Witness& witness,
              std::vector<PlannedFault> plan, uint64_t seed);
  ~FaultDriver();

  // Requests per second that cold workers bear; to be set before Start().
  void set_cold_rate(double requests_per_second) { operators_.set_cold_rate(requests_per_second); }
  // The configurations have a route for downloads; to be set before Start().
  void set_downloads(bool downloads) { operators_.set_downloads(downloads); }
  // Writes the operator's first configuration and schedules the faults relative to now.
  void Start();
  // Must be called frequently: stops drained workers, starts replacements that are due and copies
  // the store.
  void Watch();

 private:
  struct Active {
    PlannedFault fault;
    std::unique_ptr<event::Timer> timer;
  };

  void StartNext();
  void Begin(const PlannedFault& fault);
  void End(const PlannedFault& fault);
  // Returns the active fault of this kind at this node that began last, or nullptr.
  const PlannedFault* Latest(FaultKind kind, size_t node) const;
  void ApplyStore();
  void ApplyEntrance(size_t node);
  // Sets whether the worker accepts new connections.
  void ApplyWorkerListener(size_t node);
  void ApplyPath(FaultKind kind, size_t node);
  void ApplyPair(size_t from, size_t to);
  void Kill(size_t node, Duration down);
  void Terminate(const PlannedFault& fault);
  void WriteConfiguration();
  // Copies the store's data periodically and keeps the copies for as long as a restore may need
  // them.
  void TakeStoreCopy();
  void RestoreStore(const PlannedFault& fault);

  event::EventLoop& loop_;
  SoakFleet& fleet_;
  Witness& witness_;
  std::vector<PlannedFault> plan_;
  size_t next_ = 0;  // Index into the plan.
  std::list<Active> active_;
  std::vector<Instant> leaving_since_;  // When the node's current worker began to deregister.
  struct StoreCopy {
    Instant taken_at{};
    std::shared_ptr<const platform_adapter::FakeStore::Copy> copy;
  };
  std::deque<StoreCopy> store_copies_;  // Oldest first.
  OperatorConfigurations operators_;
  event::Timer next_timer_;
  Instant started_{};
};

}  // namespace runshelf::soak
