// Shares the table's limits out over the fleet: reports this daemon's demand to the leader, applies
// the answer, and answers the reports of others while this daemon leads.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "runshelf/admission/limit_allocator.h"
#include "runshelf/common/clock.h"
#include "runshelf/table/table.h"
#include "source/daemon/coordinator.h"
#include "source/daemon/ingress_handler.h"
#include "source/daemon/limit_messages.h"
#include "source/daemon/published.h"

namespace runshelf::daemon {

// Safe for use by several threads at once.
class FleetLimits {
 public:
  using SendFunction = std::function<void(const std::string& address, const std::string& message)>;

  // All references must outlive the object. `clock_rate_margin` as in NodeConfig.
  FleetLimits(const Clock& clock, Coordinator& coordinator, SharedRateLimiter& limiter,
              const Published<table::Table>& table, std::string group, double clock_rate_margin);
  ~FleetLimits();

  FleetLimits(const FleetLimits&) = delete;
  FleetLimits& operator=(const FleetLimits&) = delete;

  void Start(SendFunction send);
  void Stop();

  // A message for which IsLimitMessage holds.
  void OnMessage(const std::string& text);

 private:
  void ReportLoop();
  void Report();
  void OnReport(const admission::ShareReport& report);
  std::optional<admission::ShareGrant> Allocate(Instant now, const coordination::NodeStatus& status,
                                                const admission::ShareReport& report);
  void ApplyGrant(const admission::ShareGrant& grant);

  const Clock& clock_;
  Coordinator& coordinator_;
  SharedRateLimiter& limiter_;
  const Published<table::Table>& table_;
  const std::string group_;
  admission::ShareConfig config_;
  SendFunction send_;
  std::mutex mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  std::optional<admission::LimitAllocator> allocator_;  // While this daemon leads.
  uint64_t allocator_term_ = 0;
  std::thread thread_;
};

}  // namespace runshelf::daemon
