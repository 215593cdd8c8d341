// How long a replica group takes to serve again after a loss, and what it sends meanwhile.
#pragma once

#include <string_view>
#include <vector>

#include "tools/scale/hollow_fleet.h"

namespace runshelf::scale {

enum class Loss {
  kNode,           // A node that is no voter.
  kLeader,         // The leader of the group.
  kLeaderAndNode,  // The leader and a node that is no voter, at the same moment.
  kZone,           // Every node of the leader's zone.
  kMajority,       // Every node of the zones that hold most of the voters.
};
std::vector<Loss> AllLosses();
std::string_view LossName(Loss loss);

struct LossFigures {
  Loss loss = Loss::kNode;
  Duration renewal_interval{0};
  Duration grant_duration{0};
  size_t nodes = 0;
  size_t lost_nodes = 0;
  size_t lost_slots = 0;
  bool recovered = false;     // False: not within the limit; the times are then the limit.
  double leader_seconds = 0;  // Until a living node leads; zero when the leader was not lost.
  double served_seconds = 0;  // Until every slot of services that still have a server is served.
  // From the loss until every slot is served.
  double messages_per_node = 0;      // Sent, mean over the survivors.
  double largest_wire_bytes_in = 0;  // Of the survivor that received most, per second.
  double largest_messages_in = 0;    // Likewise.
  double largest_cpu_seconds = 0;    // Of the survivor that spent most, in all.
};

LossFigures MeasureLoss(const FleetConfig& config, Loss loss);

// Start of all processes at once: time until the group is at rest, its quiet time included, and
// what each process spends on it.
struct ColdStartFigures {
  size_t nodes = 0;
  bool settled = false;
  double served_seconds = 0;
  double messages_per_node = 0;  // Sent.
  double cpu_per_node = 0;       // Seconds.
};

ColdStartFigures MeasureColdStart(FleetConfig config);

}  // namespace runshelf::scale
