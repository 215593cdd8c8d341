// Grows one dimension of a replica group at a time and fits each figure to it.
#pragma once

#include <string>
#include <vector>

#include "tools/scale/linear_fit.h"
#include "tools/scale/measurement.h"

namespace runshelf::scale {

struct Sweep {
  std::string dimension;  // As SetDimension takes it.
  std::vector<double> sizes;
  int windows = 1;  // Measured windows of each run; more where the events are rare.
};

// The sweeps of a whole run, each with its default sizes.
std::vector<Sweep> DefaultSweeps();

struct SweepPoint {
  double size = 0;
  FleetFigures figures;
};

struct NamedFit {
  std::string figure;  // "leader.wire_bytes_in", "record_bytes", ...
  LinearFit line;
  double exponent = 0;
};

struct SweepResult {
  std::string dimension;
  FleetConfig base;
  std::vector<SweepPoint> points;
  std::vector<NamedFit> fits;
};

// The figures of one run under the names that fits and reports use.
struct NamedFigure {
  std::string name;
  double value = 0;
};
std::vector<NamedFigure> NamedFigures(const FleetFigures& figures);

// Sets `dimension` of `config` to `size`; false when there is no such dimension.
bool SetDimension(FleetConfig& config, const std::string& dimension, double size);

SweepResult RunSweep(const FleetConfig& base, const Sweep& sweep, Duration window);

}  // namespace runshelf::scale
