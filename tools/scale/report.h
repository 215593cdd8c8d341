// JSON and text forms of what the scale run measured.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "tools/scale/sweep.h"

namespace runshelf::scale {

nlohmann::ordered_json ToJson(const FleetConfig& config);
nlohmann::ordered_json ToJson(const SweepResult& result);

// A small table of the points, then one line key=value for each fit.
std::string Format(const SweepResult& result);

// Model of the processor and name of the compiler, for results that are compared later.
nlohmann::ordered_json DescribeMachine();

}  // namespace runshelf::scale
