#include "tools/scale/measurement.h"

#include <algorithm>

#include "tools/scale/heap_usage.h"

namespace runshelf::scale {
namespace {

constexpr Duration kSettleLimit = std::chrono::seconds(120);
constexpr Duration kSpreadLimit = std::chrono::seconds(10);

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

RoleFigures Reduce(const NodeTraffic& traffic, size_t nodes, double seconds) {
  RoleFigures figures;
  figures.nodes = nodes;
  if (nodes == 0) return figures;
  const double share = 1 / (seconds * static_cast<double>(nodes));
  const MessageCount in = traffic.TotalReceived();
  const MessageCount out = traffic.TotalSent();
  figures.messages_in = static_cast<double>(in.messages) * share;
  figures.messages_out = static_cast<double>(out.messages) * share;
  figures.wire_bytes_in = static_cast<double>(in.WireBytes()) * share;
  figures.wire_bytes_out = static_cast<double>(out.WireBytes()) * share;
  figures.cpu = traffic.TotalCpu() * share;
  figures.tick_cpu = traffic.tick_cpu * share;
  figures.receive_cpu = traffic.receive_cpu * share;
  figures.codec_cpu = (traffic.encode_cpu + traffic.decode_cpu) * share;
  return figures;
}

void MeasureKinds(const std::array<NodeTraffic, kRoles>& traffic, double seconds,
                  FleetFigures& figures) {
  NodeTraffic all;
  for (const NodeTraffic& role : traffic) all.Add(role);
  for (size_t kind = 0; kind < kMessageKinds; ++kind) {
    const MessageCount& sent = all.sent.at(kind);
    if (sent.messages == 0) continue;
    const auto messages = static_cast<double>(sent.messages);
    figures.kinds.push_back({std::string(KindName(static_cast<MessageKind>(kind))),
                             messages / seconds, static_cast<double>(sent.bytes) / messages});
  }
}

// Destroys one running node of each role and takes what that frees.
void MeasureMemory(HollowFleet& fleet, FleetFigures& figures) {
  for (size_t role = 0; role < kRoles; ++role) {
    for (const auto& node : fleet.nodes()) {
      if (!node->running || node->role != static_cast<Role>(role)) continue;
      const int64_t before = HeapBytesInUse();
      fleet.Destroy(*node);
      figures.roles.at(role).memory_bytes = static_cast<double>(before - HeapBytesInUse());
      break;
    }
  }
}

double MeasureTableSpread(HollowFleet& fleet) {
  fleet.EditTable();
  const Instant edited = fleet.Now();
  const int64_t revision = fleet.TableRevision();
  fleet.RunUntil(kSpreadLimit, [&] {
    const std::vector<HollowNode*> running = fleet.Running();
    return std::all_of(running.begin(), running.end(),
                       [&](const HollowNode* node) { return node->table.Revision() >= revision; });
  });
  return InSeconds(fleet.Now() - edited);
}

}  // namespace

std::array<NodeTraffic, kRoles> TrafficByRole(const HollowFleet& fleet) {
  std::array<NodeTraffic, kRoles> traffic;
  for (const auto& node : fleet.nodes()) {
    traffic.at(static_cast<size_t>(node->role)).Add(node->traffic);
  }
  return traffic;
}

FleetFigures MeasureFleet(const FleetConfig& config, Duration window) {
  FleetFigures figures;
  HollowFleet fleet(config);
  const Instant began = fleet.Now();
  figures.settled = fleet.Settle(kSettleLimit);
  figures.settle_seconds = InSeconds(fleet.Now() - began);
  fleet.StartWindow();
  fleet.Run(window);

  const double seconds = InSeconds(window);
  const std::array<NodeTraffic, kRoles> traffic = TrafficByRole(fleet);
  for (size_t role = 0; role < kRoles; ++role) {
    const auto count = std::count_if(
        fleet.nodes().begin(), fleet.nodes().end(),
        [&](const auto& node) { return node->running && node->role == static_cast<Role>(role); });
    figures.roles.at(role) = Reduce(traffic.at(role), static_cast<size_t>(count), seconds);
  }
  MeasureKinds(traffic, seconds, figures);
  const PlatformUse& use = fleet.platform_use();
  figures.platform_reads = static_cast<double>(use.record_reads) / seconds;
  figures.platform_writes = static_cast<double>(use.record_writes) / seconds;
  figures.list_reads = static_cast<double>(use.list_reads) / seconds;
  figures.table_spread_seconds = MeasureTableSpread(fleet);
  MeasureMemory(fleet, figures);
  return figures;
}

}  // namespace runshelf::scale
