#include "tools/platform_standin/control_api.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "tools/platform_standin/json_fields.h"

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;

constexpr int64_t kMaxDelayMilliseconds = 600'000;

absl::Status CheckFieldNames(const json& object, std::initializer_list<std::string_view> known) {
  for (const auto& [name, value] : object.items()) {
    bool found = false;
    for (const std::string_view candidate : known) found = found || candidate == name;
    if (!found) return absl::InvalidArgumentError(absl::StrCat("unknown field ", name));
  }
  return absl::OkStatus();
}

absl::StatusOr<uint64_t> CountField(const json& object, const char* name, uint64_t absent) {
  if (!object.contains(name)) return absent;
  const absl::StatusOr<int64_t> count = IntegerField(object, name);
  if (!count.ok()) return count.status();
  if (*count < 0) return absl::InvalidArgumentError(absl::StrCat(name, " must not be negative"));
  return static_cast<uint64_t>(*count);
}

absl::StatusOr<Duration> MillisecondsField(const json& object, const char* name, Duration absent) {
  if (!object.contains(name)) return absent;
  const absl::StatusOr<int64_t> milliseconds = IntegerField(object, name);
  if (!milliseconds.ok()) return milliseconds.status();
  if (*milliseconds < 0 || *milliseconds > kMaxDelayMilliseconds) {
    return absl::InvalidArgumentError(absl::StrCat(name, " is out of range"));
  }
  return Duration(std::chrono::milliseconds(*milliseconds));
}

absl::StatusOr<double> ProbabilityField(const json& object, const char* name, double absent) {
  const auto field = object.find(name);
  if (field == object.end()) return absent;
  const double probability = field->is_number() ? field->get<double>() : -1;
  if (probability < 0 || probability > 1) {
    return absl::InvalidArgumentError(absl::StrCat(name, " must be a number from 0 to 1"));
  }
  return probability;
}

absl::StatusOr<infrastructure::Machine> DecodeMachine(const json& message) {
  if (!message.is_object()) return absl::InvalidArgumentError("a machine must be an object");
  if (absl::Status status = CheckFieldNames(message, {"node", "address", "zone", "state"});
      !status.ok()) {
    return status;
  }
  const absl::StatusOr<std::string> node = StringField(message, "node");
  if (!node.ok()) return node.status();
  if (node->empty()) return absl::InvalidArgumentError("a machine must have a node");
  const absl::StatusOr<std::string> address = StringField(message, "address");
  if (!address.ok()) return address.status();
  const absl::StatusOr<std::string> zone = StringField(message, "zone");
  if (!zone.ok()) return zone.status();
  const absl::StatusOr<std::string> state = StringField(message, "state");
  if (!state.ok()) return state.status();
  infrastructure::Machine machine{*node, *address, *zone, infrastructure::MachineState::kLive};
  if (*state == "leaving") {
    machine.state = infrastructure::MachineState::kLeaving;
  } else if (!state->empty() && *state != "live") {
    return absl::InvalidArgumentError("state must be live or leaving");
  }
  return machine;
}

absl::StatusOr<std::vector<infrastructure::Machine>> DecodeMachineArray(const json& request) {
  const absl::StatusOr<json> messages = ArrayField(request, "machines");
  if (!messages.ok()) return messages.status();
  std::vector<infrastructure::Machine> machines;
  for (const json& message : *messages) {
    absl::StatusOr<infrastructure::Machine> machine = DecodeMachine(message);
    if (!machine.ok()) return machine.status();
    machines.push_back(*std::move(machine));
  }
  return machines;
}

absl::StatusOr<std::vector<std::string>> DecodeRemovedNodes(const json& request) {
  const absl::StatusOr<json> messages = ArrayField(request, "remove");
  if (!messages.ok()) return messages.status();
  std::vector<std::string> nodes;
  for (const json& message : *messages) {
    if (!message.is_string()) return absl::InvalidArgumentError("remove must hold node names");
    nodes.push_back(message.get<std::string>());
  }
  return nodes;
}

absl::Status SetOutage(const json& request, FaultSettings& settings) {
  const absl::StatusOr<bool> outage = BoolField(request, "outage", settings.outage);
  if (!outage.ok()) return outage.status();
  settings.outage = *outage;
  const absl::StatusOr<std::string> mode = StringField(request, "outage_mode");
  if (!mode.ok()) return mode.status();
  if (*mode == "refuse") {
    settings.outage_mode = OutageMode::kRefuse;
  } else if (*mode == "close") {
    settings.outage_mode = OutageMode::kClose;
  } else if (!mode->empty()) {
    return absl::InvalidArgumentError("outage_mode must be refuse or close");
  }
  return absl::OkStatus();
}

absl::Status SetLostAnswers(const json& request, FaultSettings& settings) {
  const absl::StatusOr<double> probability =
      ProbabilityField(request, "lose_answers_probability", settings.lose_answer_probability);
  if (!probability.ok()) return probability.status();
  const absl::StatusOr<uint64_t> next =
      CountField(request, "lose_answers_next", settings.lose_next_answers);
  if (!next.ok()) return next.status();
  settings.lose_answer_probability = *probability;
  settings.lose_next_answers = *next;
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<MachinesRequest> DecodeMachines(const std::string& text) {
  const absl::StatusOr<json> request = ParseObject(text);
  if (!request.ok()) return request.status();
  if (absl::Status status =
          CheckFieldNames(*request, {"version", "machines", "remove", "replace", "lag_ms"});
      !status.ok()) {
    return status;
  }
  MachinesRequest result;
  absl::StatusOr<std::vector<infrastructure::Machine>> machines = DecodeMachineArray(*request);
  if (!machines.ok()) return machines.status();
  absl::StatusOr<std::vector<std::string>> removed = DecodeRemovedNodes(*request);
  if (!removed.ok()) return removed.status();
  const absl::StatusOr<bool> replace = BoolField(*request, "replace", false);
  if (!replace.ok()) return replace.status();
  result.change = {*replace, *std::move(machines), *std::move(removed)};
  if (request->contains("lag_ms")) {
    const absl::StatusOr<Duration> lag = MillisecondsField(*request, "lag_ms", Duration::zero());
    if (!lag.ok()) return lag.status();
    result.lag = *lag;
  }
  return result;
}

json EncodeMachines(const infrastructure::MachineListSnapshot& snapshot) {
  json machines = json::array();
  for (const infrastructure::Machine& machine : snapshot.machines) {
    const bool leaving = machine.state == infrastructure::MachineState::kLeaving;
    machines.push_back({{"node", machine.node},
                        {"address", machine.address},
                        {"zone", machine.zone},
                        {"state", leaving ? "leaving" : "live"}});
  }
  return {{"version", snapshot.version}, {"machines", std::move(machines)}};
}

absl::StatusOr<FaultSettings> DecodeFaults(const std::string& text, FaultSettings settings) {
  const absl::StatusOr<json> request = ParseObject(text);
  if (!request.ok()) return request.status();
  if (absl::Status status =
          CheckFieldNames(*request, {"outage", "outage_mode", "delay_ms", "lose_answers_next",
                                     "lose_answers_probability", "rate_limit_per_second"});
      !status.ok()) {
    return status;
  }
  if (absl::Status status = SetOutage(*request, settings); !status.ok()) return status;
  if (absl::Status status = SetLostAnswers(*request, settings); !status.ok()) return status;
  const absl::StatusOr<Duration> delay = MillisecondsField(*request, "delay_ms", settings.delay);
  if (!delay.ok()) return delay.status();
  const absl::StatusOr<uint64_t> limit =
      CountField(*request, "rate_limit_per_second", settings.rate_limit_per_second);
  if (!limit.ok()) return limit.status();
  settings.delay = *delay;
  settings.rate_limit_per_second = *limit;
  return settings;
}

}  // namespace runshelf::platform_standin
