// One measured run of a hollow fleet, reduced to figures by role.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tools/scale/hollow_fleet.h"

namespace runshelf::scale {

// Per second of virtual time, for one node of a role (the mean where several play it).
struct RoleFigures {
  size_t nodes = 0;
  double messages_in = 0;
  double messages_out = 0;
  double wire_bytes_in = 0;   // Payload and datagram headers.
  double wire_bytes_out = 0;  // Likewise.
  double cpu = 0;             // Processor time, 1 = a whole core: node code and codec.
  double tick_cpu = 0;        // Part of `cpu`: timers.
  double receive_cpu = 0;     // Part of `cpu`: handling of messages, without the codec.
  double codec_cpu = 0;       // Part of `cpu`: encoding and decoding.
  double memory_bytes = 0;    // Freed when one node of the role is destroyed, its table included.
};

struct KindFigures {
  std::string kind;
  double messages = 0;      // Sent per second, of the whole group.
  double mean_payload = 0;  // Bytes.
};

struct FleetFigures {
  std::array<RoleFigures, kRoles> roles;
  std::vector<KindFigures> kinds;
  double platform_reads = 0;   // Of the group record, per second.
  double platform_writes = 0;  // Of the group record, per second.
  double list_reads = 0;       // Of the machine list, per second.
  double settle_seconds = 0;   // From the start of the first process until the group is at rest.
  double table_spread_seconds = 0;  // From an edit at the leader until it is in force everywhere.
  bool settled = false;             // False: the other figures do not describe a steady state.
};

// Starts a fleet, waits until it is settled and measures `window` of virtual time.
FleetFigures MeasureFleet(const FleetConfig& config, Duration window);

// Sums of all traffic of `fleet` by role, since the start of its window.
std::array<NodeTraffic, kRoles> TrafficByRole(const HollowFleet& fleet);

}  // namespace runshelf::scale
