#include "source/sidecar/node_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/json_reader.h"
#include "runshelf/common/json_writer.h"
#include "runshelf/common/text.h"

namespace runshelf::sidecar {
namespace {

// Other writers may have written the record, and requests to the worker name it in a header.
constexpr size_t kMaxWorkerIdBytes = 256;

std::string_view StateName(WorkerState state) {
  switch (state) {
    case WorkerState::kReady:
      return "ready";
    case WorkerState::kDraining:
      return "draining";
    case WorkerState::kAbsent:
      break;
  }
  return "absent";
}

std::optional<WorkerState> ParseState(const std::string& name) {
  for (const WorkerState state :
       {WorkerState::kAbsent, WorkerState::kReady, WorkerState::kDraining}) {
    if (name == StateName(state)) return state;
  }
  return std::nullopt;
}

}  // namespace

std::string NodeRecord::Serialize() const {
  return SerializeJson({{"node", node},
                        {"incarnation", incarnation},
                        {"inbound", inbound.ToString()},
                        {"zone", zone},
                        {"service", service},
                        {"worker", worker_id},
                        {"slots", slots},
                        {"worker_state", StateName(worker_state)},
                        {"processor", processor_percent},
                        {"link", link_megabits},
                        {"stopping", stopping},
                        {"takes_keys", takes_keys}});
}

std::optional<NodeRecord> NodeRecord::Parse(const std::string& text) {
  if (!HasBoundedDepth(text)) return std::nullopt;
  const auto value = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  JsonReader reader(value);
  if (!reader.ok()) return std::nullopt;
  NodeRecord record;
  std::string inbound;
  std::string state;
  reader.Read("node", record.node)
      .Read("incarnation", record.incarnation)
      .Read("inbound", inbound)
      .Read("zone", record.zone)
      .Read("service", record.service)
      .Read("worker", record.worker_id)
      .Read("slots", record.slots)
      .Read("worker_state", state)
      .Read("processor", record.processor_percent)
      .Read("link", record.link_megabits)
      .Read("stopping", record.stopping)
      .Read("takes_keys", record.takes_keys);
  const auto parsed_state = ParseState(state);
  if (!reader.ok() || !parsed_state.has_value()) return std::nullopt;
  if (!IsPlainText(record.node) || !IsPlainText(record.service)) return std::nullopt;
  if (!IsPlainText(record.worker_id) || record.worker_id.size() > kMaxWorkerIdBytes) {
    return std::nullopt;
  }
  if (!event::Endpoint::Parse(inbound, &record.inbound)) return std::nullopt;
  record.worker_state = *parsed_state;
  return record;
}

}  // namespace runshelf::sidecar
