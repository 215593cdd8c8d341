// Carries a plan of faults out on the fleet.
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

class FaultDriver {
 public:
  FaultDriver(event::EventLoop& loop, SoakFleet& fleet, Witness& witness,
              std::vector<PlannedFault> plan, uint64_t seed);
  ~FaultDriver();

  // The operator writes the first configuration; the faults begin at their times from now.
  void Start();
  // Call often: ends workers whose time to drain is over, and starts those that are due.
  void Watch();

 private:
  struct Active {
    PlannedFault fault;
    std::unique_ptr<event::Timer> timer;
  };

  void StartNext();
  void Begin(const PlannedFault& fault);
  void End(const PlannedFault& fault);
  // The fault of this kind at this node that began last; nullptr when there is none.
  const PlannedFault* Latest(FaultKind kind, size_t node) const;
  void ApplyStore();
  void ApplyEntrance(size_t node);
  // Whether the worker takes new connections.
  void ApplyWorkerListener(size_t node);
  void ApplyPath(FaultKind kind, size_t node);
  void ApplyPair(size_t from, size_t to);
  void Kill(size_t node, Duration down);
  void Terminate(const PlannedFault& fault);
  void WriteConfiguration();
  // Keeps copies of what the store holds, as old as a restore may need them.
  void TakeStoreCopy();
  void RestoreStore(const PlannedFault& fault);

  event::EventLoop& loop_;
  SoakFleet& fleet_;
  Witness& witness_;
  std::vector<PlannedFault> plan_;
  size_t next_ = 0;  // In the plan.
  std::list<Active> active_;
  std::vector<Instant> leaving_since_;  // By node; of its present worker.
  struct StoreCopy {
    Instant taken_at{};
    std::shared_ptr<const platform_adapter::FakeStore::Copy> copy;
  };
  std::deque<StoreCopy> store_copies_;  // The oldest first.
  OperatorConfigurations operators_;
  event::Timer next_timer_;
  Instant started_{};
};

}  // namespace runshelf::soak
