// runshelf-sim: runs seeded scenarios and prints what the judge found.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>

#include "tools/sim/simulation.h"

namespace {

using runshelf::sim::FindDeployment;
using runshelf::sim::ParseFaults;
using runshelf::sim::ParseNaivePart;
using runshelf::sim::Report;
using runshelf::sim::SimulationConfig;

constexpr int kExitViolations = 1;
constexpr int kExitUsage = 2;

struct Options {
  SimulationConfig simulation;
  uint64_t seeds = 1;
};

int Usage(const std::string& reason) {
  fmt::print(stderr, "runshelf-sim: {}\n", reason);
  return kExitUsage;
}

// Returns the exit code when the program should end, and zero otherwise.
int ParseOptions(int argc, char** argv, Options& options) {
  TCLAP::CmdLine command(
      "Runs the production decision code under seeded faults in virtual time and judges it. "
      "Example: runshelf-sim --deployment himalwire --seed 7 --steps 2000",
      ' ', RUNSHELF_VERSION);
  TCLAP::ValueArg<std::string> deployment("", "deployment", "himalwire or lagesse", false,
                                          "himalwire", "name", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the first scenario", false, 1, "number",
                                 command);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Scenarios to run, with consecutive seeds", false, 1,
                                  "number", command);
  TCLAP::ValueArg<uint64_t> steps("", "steps", "Length of the faults, in steps of 10 ms", false,
                                  2000, "number", command);
  TCLAP::ValueArg<std::string> faults("", "faults", "Kinds of faults, separated by commas, or none",
                                      false, "", "list", command);
  TCLAP::ValueArg<std::string> naive("", "naive", "Part that is replaced by its naive version",
                                     false, "none", "part", command);
  TCLAP::ValueArg<double> rate("", "rate", "First sendings of all callers, per second", false, 400,
                               "number", command);
  TCLAP::SwitchArg trace("", "trace", "Write each event to standard error", command);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    return Usage(error.error() + " " + error.argId());
  }
  const auto found = FindDeployment(deployment.getValue());
  if (!found.ok()) {
    return Usage(std::string(found.status().message()));
  }
  const auto naive_parts = ParseNaivePart(naive.getValue());
  if (!naive_parts.ok()) {
    return Usage(std::string(naive_parts.status().message()));
  }
  SimulationConfig& simulation = options.simulation;
  simulation.no_faults = faults.getValue() == "none";
  if (faults.isSet() && !simulation.no_faults) {
    const auto kinds = ParseFaults(faults.getValue());
    if (!kinds.ok()) {
      return Usage(std::string(kinds.status().message()));
    }
    simulation.faults = *kinds;
  }
  simulation.deployment = *found;
  simulation.naive = *naive_parts;
  simulation.seed = seed.getValue();
  simulation.steps = steps.getValue();
  simulation.requests_per_second = rate.getValue();
  simulation.trace = trace.getValue();
  options.seeds = seeds.getValue();
  return 0;
}

void PrintViolations(const Report& report) {
  for (const auto& violation : report.violations.kept()) {
    fmt::print(stderr, "violation={} at_us={} {}\n", ViolationName(violation.kind),
               ToMicroseconds(violation.at), violation.detail);
  }
}

// Returns whether the scenario showed no violation.
bool RunOne(const SimulationConfig& config) {
  const Report report = RunSimulation(config);
  fmt::print("deployment={}\nseed={}\nsteps={}\n{}", config.deployment.name, config.seed,
             config.steps, FormatReport(report));
  std::fflush(stdout);
  PrintViolations(report);
  return report.violations.total() == 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const int exit_code = ParseOptions(argc, argv, options);
  if (exit_code != 0) {
    return exit_code;
  }
  uint64_t failed = 0;
  const uint64_t first_seed = options.simulation.seed;
  for (uint64_t number = 0; number < options.seeds; ++number) {
    options.simulation.seed = first_seed + number;
    failed += RunOne(options.simulation) ? 0U : 1U;
  }
  if (options.seeds > 1) {
    fmt::print("seeds={}\nfailed_seeds={}\n", options.seeds, failed);
  }
  return failed == 0 ? 0 : kExitViolations;
}
