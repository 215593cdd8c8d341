// Messages by which the limits of the table hold across the fleet: every instance reports its
// demand to the leader and receives a share of each limit for a bounded time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"

namespace runshelf::admission {

// Part of each limit that is split evenly over the known instances and stays valid while an
// instance is cut off. The rest follows demand and lapses.
constexpr double kFloorPart = 0.2;

struct CellDemand {
  std::string service;
  std::string caller_class;
  double requests_per_second = 0;  // Asked for, admitted or not.

  bool operator==(const CellDemand&) const = default;
};

struct CellShare {
  std::string service;
  std::string caller_class;
  double requests_per_second = 0;
  Duration valid_for{0};  // Counted by the holder from before it sent the report.

  bool operator==(const CellShare&) const = default;
};

// From an instance to the leader, every ShareConfig::renewal_interval.
struct ShareReport {
  InstanceId instance;
  uint64_t leader_term = 0;       // Of the leader that the report is meant for.
  uint64_t sequence = 0;          // Rises by one with each report of the instance; from 1.
  uint64_t applied_sequence = 0;  // Newest grant in force here; grants below it never will be.
  double floor_fraction = 0;      // Held now.
  std::vector<CellShare> held;    // Held now; valid_for is what is left.
  std::vector<CellDemand> demands;

  bool operator==(const ShareReport&) const = default;
};

// The leader's answer.
struct ShareGrant {
  uint64_t sequence = 0;      // Of the report that it answers.
  double floor_fraction = 0;  // Of kFloorPart of every limit.
  Duration floor_valid_for{0};
  std::vector<CellShare> shares;  // Cells without demand or without a limit are absent.

  bool operator==(const ShareGrant&) const = default;
};

struct ShareConfig {
  Duration renewal_interval = std::chrono::milliseconds(500);
  Duration share_valid_for = std::chrono::seconds(2);
  Duration floor_valid_for = std::chrono::hours(1);
  double clock_rate_margin = 0.02;  // Largest difference in rate between two machines' clocks.
};

}  // namespace runshelf::admission
