// JSON form of assignment types, for messages and log entries.
#pragma once

#include <nlohmann/json.hpp>

#include "runshelf/ownership/assignment.h"

namespace runshelf::ownership {

nlohmann::json ToJson(const NodeRecord& record);
nlohmann::json ToJson(const AssignmentCommand& command);
nlohmann::json ToJson(const AssignmentUpdate& update);

// False for anything malformed; never throws.
bool FromJson(const nlohmann::json& value, NodeRecord& record);
bool FromJson(const nlohmann::json& value, AssignmentCommand& command);
bool FromJson(const nlohmann::json& value, AssignmentUpdate& update);

}  // namespace runshelf::ownership
