// The stand-in's list of machines and its faults as JSON messages.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "tools/platform_standin/fault_injector.h"
#include "tools/platform_standin/machine_directory.h"

namespace runshelf::platform_standin {

// What POST /machines asks for.
struct MachinesRequest {
  std::optional<Duration> lag;
  MachineChange change;
};

// {"machines":[{"node","address","zone","state":"live|leaving"}],"remove":["node"],
//  "replace":bool,"lag_ms":N}; every field may be left out.
absl::StatusOr<MachinesRequest> DecodeMachines(const std::string& text);

nlohmann::json EncodeMachines(const infrastructure::MachineListSnapshot& snapshot);

// Sets the fields that `text` names on top of `settings`: {"outage":bool,
// "outage_mode":"refuse|close","delay_ms":N,"lose_answers_probability":P,"lose_answers_next":N,
// "rate_limit_per_second":N}.
absl::StatusOr<FaultSettings> DecodeFaults(const std::string& text, FaultSettings settings);

}  // namespace runshelf::platform_standin
