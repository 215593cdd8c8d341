// runshelf-scale: measures how the cost of a replica group grows.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "tools/scale/report.h"

namespace {

using namespace runshelf::scale;  // NOLINT(google-build-using-namespace): a program, not a header.

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Options {
  std::string only;
  std::string output;
  double window_seconds = 10;
  FleetConfig base;
};

int Usage(const std::string& reason) {
  fmt::print(stderr, "runshelf-scale: {}\n", reason);
  return kExitUsage;
}

// Returns the exit code when the program should end, and zero otherwise.
int ParseOptions(int argc, char** argv, Options& options) {
  TCLAP::CmdLine command(
      "Runs many hollow nodes (the production decision code) in one process under virtual time, "
      "grows one dimension at a time and prints figures and fits. "
      "Example: runshelf-scale --only nodes --output result.json",
      ' ', RUNSHELF_VERSION);
  TCLAP::ValueArg<std::string> only("", "only", "One part: a dimension, or another part's name",
                                    false, "", "name", command);
  TCLAP::ValueArg<std::string> output("", "output", "File that receives the results as JSON", false,
                                      "", "file", command);
  TCLAP::ValueArg<double> window("", "window", "Measured virtual time of each run, in seconds",
                                 false, 10, "seconds", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of all runs", false, 1, "number", command);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    return Usage(error.error() + " " + error.argId());
  }
  if (window.getValue() <= 0) return Usage("--window must be above zero");
  options.only = only.getValue();
  options.output = output.getValue();
  options.window_seconds = window.getValue();
  options.base.seed = seed.getValue();
  return 0;
}

bool Wanted(const Options& options, const std::string& part) {
  return options.only.empty() || options.only == part;
}

void Print(const std::string& text) {
  fmt::print("{}", text);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const int exit_code = ParseOptions(argc, argv, options);
  if (exit_code != 0) return exit_code;
  const auto window = runshelf::Duration(static_cast<int64_t>(options.window_seconds * 1e6));
  nlohmann::ordered_json results = {{"machine", DescribeMachine()}};
  bool settled = true;
  for (const Sweep& sweep : DefaultSweeps()) {
    if (!Wanted(options, sweep.dimension)) continue;
    const SweepResult result = RunSweep(options.base, sweep, window);
    for (const SweepPoint& point : result.points) settled = settled && point.figures.settled;
    Print(Format(result));
    results["sweeps"].push_back(ToJson(result));
  }
  if (!options.output.empty()) {
    std::ofstream file(options.output);
    file << results.dump(1) << '\n';
    if (!file) return Usage("cannot write " + options.output);
  }
  return settled ? 0 : kExitFailed;
}
