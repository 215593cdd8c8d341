// JSON and text forms of what the scale run measured.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "tools/scale/encoding_run.h"
#include "tools/scale/loss_run.h"
#include "tools/scale/structure_run.h"
#include "tools/scale/sweep.h"

namespace runshelf::scale {

nlohmann::ordered_json ToJson(const FleetConfig& config);
nlohmann::ordered_json ToJson(const SweepResult& result);
nlohmann::ordered_json ToJson(const LossFigures& figures);
nlohmann::ordered_json ToJson(const ColdStartFigures& figures);
nlohmann::ordered_json ToJson(const EncodingFigures& figures);
nlohmann::ordered_json ToJson(const AssignmentFigures& figures);
nlohmann::ordered_json ToJson(const TableFigures& figures);
nlohmann::ordered_json ToJson(const RequestFigures& figures);
nlohmann::ordered_json ToJson(const SubsetFigures& figures);

// A small table of the points, then one line key=value for each fit.
std::string Format(const SweepResult& result);

// Fits each field of the rows, which are flat objects, to their field `size`.
nlohmann::ordered_json FitFields(const nlohmann::ordered_json& rows, const std::string& size,
                                 const std::vector<std::string>& fields);

// One line of `part` and key=value pairs, of a flat JSON object.
std::string FormatLine(const std::string& part, const nlohmann::ordered_json& object);

// Model of the processor and name of the compiler, for results that are compared later.
nlohmann::ordered_json DescribeMachine();

}  // namespace runshelf::scale
