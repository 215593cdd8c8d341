// Smooths the load reports of all servers into the load of each slot.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/coordination/messages.h"
#include "runshelf/ownership/planner.h"

namespace runshelf::coordination {

class LoadTracker {
 public:
  void Clear();

  // `owned` are the slots of the reporting server.
  void OnReport(Instant now, const std::string& service, const std::vector<SlotRange>& owned,
                double requests_per_second, const std::vector<SlotLoad>& hottest_slots);

  // Load per slot, by service.
  std::map<std::string, ownership::ServiceLoad> Loads() const;

 private:
  struct SlotRate {
    double requests_per_second = 0;
    Instant updated;
  };
  struct ServiceRates {
    std::map<SlotNumber, SlotRate> slots;
  };

  std::map<std::string, ServiceRates> services_;
};

}  // namespace runshelf::coordination
