// The text of the report: key=value lines, then a table for people.
#pragma once

#include <string>
#include <vector>

#include "tools/load/judge.h"
#include "tools/load/measures.h"

namespace runshelf::load {

std::string FormatReport(const std::vector<Finding>& findings, const Measures& measures);

}  // namespace runshelf::load
