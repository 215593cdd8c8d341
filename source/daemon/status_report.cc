#include "source/daemon/status_report.h"

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "runshelf/common/slot.h"

namespace runshelf::daemon {
namespace {

using nlohmann::json;

json RangesToJson(const std::vector<SlotRange>& ranges) {
  json array = json::array();
  for (const SlotRange& range : ranges) {
    array.push_back({range.first, range.last});
  }
  return array;
}

json ServiceToJson(const routing::ServiceRoutes& service) {
  std::map<uint32_t, std::vector<SlotNumber>> slots_by_owner;
  for (SlotNumber slot = 0; slot < service.slot_owners.size(); ++slot) {
    slots_by_owner[service.slot_owners[slot]].push_back(slot);
  }
  json owners = json::array();
  for (uint32_t i = 0; i < service.targets.size(); ++i) {
    const routing::RouteTarget& target = service.targets[i];
    owners.push_back({{"instance", target.instance.ToString()},
                      {"zone", target.zone},
                      {"forward_address", target.forward_address},
                      {"leaving", target.leaving},
                      {"slots", RangesToJson(ToRanges(slots_by_owner[i]))}});
  }
  return {{"slot_count", service.slot_count},
          {"owners", std::move(owners)},
          {"without_owner", RangesToJson(ToRanges(slots_by_owner[routing::kNoOwner]))}};
}

json NodesToJson(const std::vector<ownership::NodeRecord>& nodes) {
  json array = json::array();
  for (const ownership::NodeRecord& node : nodes) {
    array.push_back({{"instance", node.instance.ToString()},
                     {"zone", node.zone},
                     {"service", node.service},
                     {"peer_address", node.peer_address},
                     {"state", node.leaving ? "leaving" : "live"}});
  }
  return array;
}

json GroupToJson(const coordination::NodeStatus& node) {
  return {{"generation", node.generation},    {"term", node.term},
          {"leader", node.leader.ToString()}, {"is_leader", node.is_leader},
          {"is_voter", node.is_voter},        {"assignment_version", node.assignment_version}};
}

json ServerToJson(const routing::TargetLoad& load) {
  return {{"running", load.running},
          {"queued", load.queued},
          {"slots", load.slots},
          {"cold", load.cold}};
}

json ControlToJson(const transport::ControlCounters& control) {
  return {
      {"datagrams_sent", control.datagrams_sent}, {"posts_sent", control.posts_sent},
      {"bytes_sent", control.bytes_sent},         {"messages_received", control.messages_received},
      {"bytes_received", control.bytes_received}, {"dropped", control.dropped}};
}

}  // namespace

std::string EncodeStatus(const StatusReport& report) {
  using Milliseconds = std::chrono::milliseconds;
  json services = json::object();
  for (const auto& [name, service] : report.routes.services) {
    services[name] = ServiceToJson(service);
  }
  json status = {
      {"instance", report.node.self.ToString()},
      {"leaving", report.node.leaving},
      {"table_revision", report.table_revision},
      {"platform_away_ms",
       std::chrono::duration_cast<Milliseconds>(report.platform_away_for).count()},
      {"owned_slots", RangesToJson(report.node.owned_slots)},
      {"group", GroupToJson(report.node)},
      {"server", ServerToJson(report.load)},
      {"control", ControlToJson(report.control)},
      {"nodes", NodesToJson(report.node.nodes)},
      {"services", std::move(services)},
  };
  if (report.node.grant_remaining.has_value()) {
    status["grant_remaining_ms"] =
        std::chrono::duration_cast<Milliseconds>(*report.node.grant_remaining).count();
  }
  return status.dump() + "\n";
}

}  // namespace runshelf::daemon
