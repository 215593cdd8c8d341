#include "runshelf/ownership/assignment_json.h"

#include <absl/status/status.h>

#include "runshelf/common/json_reader.h"

namespace runshelf::ownership {
namespace {

using nlohmann::json;

json ToJson(const SlotMove& move) {
  return {{"s", move.service},
          {"r", runshelf::ToJson(move.ranges)},
          {"f", move.from.empty() ? "" : move.from.ToString()},
          {"t", move.to.empty() ? "" : move.to.ToString()}};
}

bool FromJson(const json& value, SlotMove& move) {
  JsonReader reader(value);
  reader.Read("s", move.service).Read("r", move.ranges).Read("f", move.from).Read("t", move.to);
  return reader.ok();
}

// Owners as runs [count, index into the list of owners]: short while slots are dealt out in runs.
json ToJson(const ServiceAssignment& service) {
  std::vector<InstanceId> owners;
  json runs = json::array();
  for (size_t slot = 0; slot < service.owners.size();) {
    size_t end = slot;
    while (end < service.owners.size() && service.owners[end] == service.owners[slot]) ++end;
    size_t index = 0;
    while (index < owners.size() && owners[index] != service.owners[slot]) ++index;
    if (index == owners.size()) owners.push_back(service.owners[slot]);
    runs.push_back(json::array({end - slot, index}));
    slot = end;
  }
  return {{"o", runshelf::ToJson(owners)}, {"r", std::move(runs)}};
}

bool FromJson(const json& value, ServiceAssignment& service) {
  std::vector<InstanceId> owners;
  JsonReader reader(value);
  reader.Read("o", owners);
  const json* runs = reader.Require("r");
  if (!reader.ok() || !runs->is_array()) return false;
  for (const json& run : *runs) {
    if (!run.is_array() || run.size() != 2) return false;
    if (!run[0].is_number_unsigned() || !run[1].is_number_unsigned()) return false;
    const uint64_t count = run[0].get<uint64_t>();
    const uint64_t index = run[1].get<uint64_t>();
    if (index >= owners.size() || count > kMaxSlotCount - service.owners.size()) return false;
    service.owners.insert(service.owners.end(), count, owners[index]);
  }
  return true;
}

}  // namespace

json ToJson(const NodeRecord& record) {
  json value = {{"i", record.instance.ToString()},
                {"z", record.zone},
                {"s", record.service},
                {"p", record.peer_address},
                {"f", record.forward_address},
                {"n", record.slot_count}};
  if (record.leaving) value["l"] = true;
  if (record.suspended) value["u"] = true;
  return value;
}

bool FromJson(const json& value, NodeRecord& record) {
  JsonReader reader(value);
  reader.Read("i", record.instance)
      .Read("z", record.zone)
      .Read("s", record.service)
      .Read("p", record.peer_address)
      .Read("f", record.forward_address)
      .Read("n", record.slot_count);
  if (reader.Find("l") != nullptr) reader.Read("l", record.leaving);
  if (reader.Find("u") != nullptr) reader.Read("u", record.suspended);
  return reader.ok() && !record.instance.empty() && record.slot_count <= kMaxSlotCount;
}

json ToJson(const AssignmentCommand& command) {
  json value = json::object();
  for (const NodeRecord& record : command.registered) value["n"].push_back(ToJson(record));
  if (!command.removed.empty()) value["x"] = runshelf::ToJson(command.removed);
  for (const SlotMove& move : command.moves) value["m"].push_back(ToJson(move));
  return value;
}

bool FromJson(const json& value, AssignmentCommand& command) {
  JsonReader reader(value);
  if (reader.Find("n") != nullptr) {
    reader.ReadArray("n", command.registered,
                     [](const json& element, NodeRecord& item) { return FromJson(element, item); });
  }
  if (reader.Find("x") != nullptr) reader.Read("x", command.removed);
  if (reader.Find("m") != nullptr) {
    reader.ReadArray("m", command.moves,
                     [](const json& element, SlotMove& item) { return FromJson(element, item); });
  }
  return reader.ok();
}

json ToJson(const AssignmentUpdate& update) {
  json value = {{"f", update.from_version}, {"t", update.to_version}};
  if (!update.commands.empty()) {
    json commands = json::array();
    for (const AssignmentCommand& command : update.commands) commands.push_back(ToJson(command));
    value["c"] = std::move(commands);
    value["v"] = update.versions;
  }
  if (!update.whole_state.empty()) value["w"] = update.whole_state;
  return value;
}

bool FromJson(const json& value, AssignmentUpdate& update) {
  JsonReader reader(value);
  reader.Read("f", update.from_version).Read("t", update.to_version);
  if (reader.Find("c") != nullptr) {
    reader.ReadArray("c", update.commands, [](const json& element, AssignmentCommand& item) {
      return FromJson(element, item);
    });
    reader.Read("v", update.versions);
  }
  if (reader.Find("w") != nullptr) reader.Read("w", update.whole_state);
  return reader.ok();
}

std::string AssignmentState::Encode() const {
  json nodes = json::array();
  for (const auto& [name, record] : nodes_) nodes.push_back(ToJson(record));
  json services = json::object();
  for (const auto& [name, service] : services_) services[name] = ToJson(service);
  const json value = {{"v", version_}, {"n", std::move(nodes)}, {"s", std::move(services)}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<AssignmentState> AssignmentState::Decode(const std::string& encoded) {
  const absl::Status malformed = absl::InvalidArgumentError("malformed assignment state");
  if (!HasBoundedDepth(encoded)) return malformed;
  const json value = json::parse(encoded, nullptr, false);
  AssignmentState state;
  std::vector<NodeRecord> nodes;
  JsonReader reader(value);
  reader.Read("v", state.version_).ReadArray("n", nodes, [](const json& element, NodeRecord& item) {
    return FromJson(element, item);
  });
  const json* services = reader.Require("s");
  if (!reader.ok() || !services->is_object()) return malformed;
  state.recent_floor_ = state.version_;
  for (NodeRecord& record : nodes) state.nodes_[record.instance.node] = std::move(record);
  for (const auto& [name, service] : services->items()) {
    if (!FromJson(service, state.services_[name])) return malformed;
  }
  return state;
}

std::string EncodeCommand(const AssignmentCommand& command) {
  return ToJson(command).dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<AssignmentCommand> DecodeCommand(const std::string& encoded) {
  AssignmentCommand command;
  const bool ok =
      HasBoundedDepth(encoded) && FromJson(json::parse(encoded, nullptr, false), command);
  if (!ok) return absl::InvalidArgumentError("malformed assignment command");
  return command;
}

}  // namespace runshelf::ownership
