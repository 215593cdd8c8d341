// One simulated scenario: a deployment, a seeded schedule of faults, and a healed period at the
// end in which everything must be served again.
#pragma once

#include <cstdint>
#include <vector>

#include "tools/sim/daemon.h"
#include "tools/sim/deployment.h"
#include "tools/sim/faults.h"
#include "tools/sim/naive.h"
#include "tools/sim/report.h"

namespace runshelf::sim {

// Virtual time of one step of a scenario.
inline constexpr Duration kStep = std::chrono::milliseconds(10);

struct SimulationConfig {
  Deployment deployment;
  uint64_t seed = 1;
  uint64_t steps = 2000;          // Of kStep; during them faults begin.
  std::vector<FaultKind> faults;  // Empty: drawn from the seed, one, two or more kinds.
  bool no_faults = false;
  NaiveParts naive;
  coordination::NodeConfig node;       // Of every daemon; names and addresses are filled in.
  double largest_clock_skew = 0.0095;  // Of a machine's rate against true time, either way.
  double requests_per_second = 400;
  bool trace = false;
  NodeFactory make_node;  // Empty: coordination::MakeNode.
};

// The same configuration gives the same report.
Report RunSimulation(const SimulationConfig& config);

// The faults that RunSimulation draws for a seed.
std::vector<FaultKind> DrawFaultKinds(uint64_t seed);

}  // namespace runshelf::sim
