#include "tools/scale/loss_run.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace runshelf::scale {
namespace {

constexpr Duration kSettleLimit = std::chrono::seconds(60);
constexpr Duration kRecoveryLimit = std::chrono::seconds(60);

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool IsVoter(const HollowFleet& fleet, const HollowNode& node) {
  return node.node->Status(fleet.Now()).is_voter;
}

std::vector<HollowNode*> NodesOfZones(const HollowFleet& fleet,
                                      const std::set<std::string>& zones) {
  std::vector<HollowNode*> nodes;
  for (HollowNode* node : fleet.Running()) {
    if (zones.contains(node->config.zone)) nodes.push_back(node);
  }
  return nodes;
}

// The zones that hold most of the voters, as few as possible.
std::set<std::string> MajorityZones(const HollowFleet& fleet) {
  std::vector<std::string> zones;
  for (const HollowNode* node : fleet.Running()) {
    if (IsVoter(fleet, *node)) zones.push_back(node->config.zone);
  }
  std::sort(zones.begin(), zones.end());
  return {zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(zones.size() / 2 + 1)};
}

std::vector<HollowNode*> Victims(const HollowFleet& fleet, Loss loss) {
  HollowNode* leader = fleet.Leader();
  std::vector<HollowNode*> victims;
  if (loss == Loss::kZone) return NodesOfZones(fleet, {leader->config.zone});
  if (loss == Loss::kMajority) return NodesOfZones(fleet, MajorityZones(fleet));
  if (loss != Loss::kNode) victims.push_back(leader);
  if (loss == Loss::kLeader) return victims;
  for (HollowNode* node : fleet.Running()) {
    if (IsVoter(fleet, *node)) continue;
    victims.push_back(node);
    break;
  }
  return victims;
}

// Slots of the services that still have a server.
size_t ServableSlots(const HollowFleet& fleet) {
  std::set<std::string> services;
  for (const HollowNode* node : fleet.Running()) services.insert(node->config.service);
  return services.size() * fleet.config().slots_per_service;
}

// Whether a living node leads; after the loss of a majority, in a later generation than before.
bool HasLeader(const HollowFleet& fleet, Loss loss, uint64_t generation_before) {
  const HollowNode* leader = fleet.Leader();
  if (leader == nullptr) return false;
  return loss != Loss::kMajority ||
         leader->node->Status(fleet.Now()).generation > generation_before;
}

void ReduceTraffic(const HollowFleet& fleet, double seconds, LossFigures& figures) {
  const std::vector<HollowNode*> survivors = fleet.Running();
  for (const HollowNode* node : survivors) {
    const MessageCount in = node->traffic.TotalReceived();
    const auto sent = static_cast<double>(node->traffic.TotalSent().messages);
    figures.messages_per_node += sent / static_cast<double>(survivors.size());
    figures.largest_messages_in =
        std::max(figures.largest_messages_in, static_cast<double>(in.messages) / seconds);
    figures.largest_wire_bytes_in =
        std::max(figures.largest_wire_bytes_in, static_cast<double>(in.WireBytes()) / seconds);
    figures.largest_cpu_seconds = std::max(figures.largest_cpu_seconds, node->traffic.TotalCpu());
  }
}

}  // namespace

std::vector<Loss> AllLosses() {
  return {Loss::kNode, Loss::kLeader, Loss::kLeaderAndNode, Loss::kZone, Loss::kMajority};
}

std::string_view LossName(Loss loss) {
  constexpr std::array<std::string_view, 5> kNames = {"node", "leader", "leader_and_node", "zone",
                                                      "majority"};
  return kNames.at(static_cast<size_t>(loss));
}

LossFigures MeasureLoss(const FleetConfig& config, Loss loss) {
  LossFigures figures;
  figures.loss = loss;
  figures.renewal_interval = config.renewal_interval;
  figures.grant_duration = config.grant_duration;
  figures.nodes = config.nodes;
  HollowFleet fleet(config);
  if (!fleet.Settle(kSettleLimit)) return figures;
  fleet.StartWindow();
  const Instant lost_at = fleet.Now();
  const uint64_t generation = fleet.Leader()->node->Status(lost_at).generation;
  const size_t served_before = fleet.ServedSlots();
  const std::vector<HollowNode*> victims = Victims(fleet, loss);
  figures.lost_nodes = victims.size();
  for (HollowNode* victim : victims) fleet.Kill(*victim);
  figures.lost_slots = served_before - fleet.ServedSlots();

  figures.recovered =
      fleet.RunUntil(kRecoveryLimit, [&] { return HasLeader(fleet, loss, generation); });
  figures.leader_seconds = InSeconds(fleet.Now() - lost_at);
  const bool served =
      fleet.RunUntil(kRecoveryLimit, [&] { return fleet.ServedSlots() >= ServableSlots(fleet); });
  figures.recovered = figures.recovered && served;
  figures.served_seconds = InSeconds(fleet.Now() - lost_at);
  ReduceTraffic(fleet, std::max(figures.served_seconds, 1e-3), figures);
  return figures;
}

ColdStartFigures MeasureColdStart(FleetConfig config) {
  config.cold_start = true;
  ColdStartFigures figures;
  figures.nodes = config.nodes;
  HollowFleet fleet(config);
  const Instant began = fleet.Now();
  figures.settled = fleet.Settle(kSettleLimit);
  figures.served_seconds = InSeconds(fleet.Now() - began);
  const auto count = static_cast<double>(config.nodes);
  for (const HollowNode* node : fleet.Running()) {
    figures.messages_per_node += static_cast<double>(node->traffic.TotalSent().messages) / count;
    figures.cpu_per_node += node->traffic.TotalCpu() / count;
  }
  return figures;
}

}  // namespace runshelf::scale
