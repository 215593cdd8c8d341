// runshelf-scale: measures how the cost of a replica group grows.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "tools/scale/report.h"

namespace {

using namespace runshelf::scale;  // NOLINT(google-build-using-namespace): a program, not a header.

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr uint64_t kSeedsOfLosses = 2;

// Structures are measured for a fleet of this many services and slots.
constexpr uint64_t kServices = 20;
constexpr uint64_t kSlotsPerNode = 16;

constexpr uint64_t kSubsetClients = 1000;
constexpr uint64_t kSubsetServers = 1000;

struct Options {
  std::string only;
  std::string output;
  std::vector<double> sizes;  // Of the one part that is run; empty: its usual sizes.
  double window_seconds = 10;
  FleetConfig base;
};

int Usage(const std::string& reason) {
  fmt::print(stderr, "runshelf-scale: {}\n", reason);
  return kExitUsage;
}

// The numbers of a list like "8,16,32"; empty when one is malformed or not above zero.
std::vector<double> ParseSizes(const std::string& list) {
  std::vector<double> sizes;
  std::istringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    char* end = nullptr;
    const double size = std::strtod(item.c_str(), &end);
    if (end == item.c_str() || *end != '\0' || size < 0) return {};
    sizes.push_back(size);
  }
  return sizes;
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
  TCLAP::ValueArg<std::string> sizes("", "sizes", "Sizes of the one dimension, by commas", false,
                                     "", "list", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of all runs", false, 1, "number", command);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    return Usage(error.error() + " " + error.argId());
  }
  if (window.getValue() <= 0) return Usage("--window must be above zero");
  options.only = only.getValue();
  options.output = output.getValue();
  options.sizes = ParseSizes(sizes.getValue());
  if (sizes.isSet() && (options.sizes.empty() || !only.isSet())) {
    return Usage("--sizes needs numbers separated by commas, and --only");
  }
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

using Json = nlohmann::ordered_json;

// Prints one figure of `part` and adds it to the results.
template <typename Figures>
void Record(const std::string& part, const Figures& figures, Json& results) {
  const Json json = ToJson(figures);
  Print(FormatLine(part, json));
  results[part].push_back(json);
}

// Returns whether every fleet settled.
bool RunSweeps(const Options& options, Json& results) {
  const auto window = runshelf::Duration(static_cast<int64_t>(options.window_seconds * 1e6));
  bool settled = true;
  for (Sweep sweep : DefaultSweeps()) {
    if (!Wanted(options, sweep.dimension)) continue;
    if (!options.sizes.empty()) sweep.sizes = options.sizes;
    const SweepResult result = RunSweep(options.base, sweep, window);
    for (const SweepPoint& point : result.points) settled = settled && point.figures.settled;
    Print(Format(result));
    results["sweeps"].push_back(ToJson(result));
  }
  return settled;
}

std::vector<double> Sizes(const Options& options, const std::vector<double>& usual) {
  return options.sizes.empty() ? usual : options.sizes;
}

// Prints the fits of `rows` and adds them to the results.
void RecordFits(const std::string& part, const Json& rows, const std::string& size,
                const std::vector<std::string>& fields, Json& results) {
  const Json fits = FitFields(rows, size, fields);
  for (const auto& [field, fit] : fits.items()) {
    Print(FormatLine(fmt::format("fit part={} figure={}", part, field), fit));
  }
  results["fits"][part] = fits;
}

// Returns whether every fleet recovered.
bool RunLosses(const Options& options, const FleetConfig& base, const std::vector<Loss>& losses,
               Json& results) {
  bool recovered = true;
  for (const Loss loss : losses) {
    for (uint64_t seed = 1; seed <= kSeedsOfLosses; ++seed) {
      FleetConfig config = base;
      config.seed = options.base.seed + seed;
      const LossFigures figures = MeasureLoss(config, loss);
      recovered = recovered && figures.recovered;
      Record("loss", figures, results);
    }
  }
  return recovered;
}

void FitLosses(Json& results) {
  for (const Loss loss : AllLosses()) {
    Json rows;
    for (const Json& row : results["loss"]) {
      if (row["loss"] == LossName(loss)) rows.push_back(row);
    }
    RecordFits("loss_" + std::string(LossName(loss)), rows, "nodes",
               {"leader_seconds", "served_seconds", "messages_per_node", "largest_messages_in",
                "largest_wire_bytes_in", "largest_cpu_seconds"},
               results);
  }
}

bool RunLosses(const Options& options, Json& results) {
  bool recovered = true;
  for (const double size : Sizes(options, {10, 20, 40, 80})) {
    FleetConfig config = options.base;
    config.nodes = static_cast<size_t>(size);
    recovered = RunLosses(options, config, AllLosses(), results) && recovered;
  }
  FitLosses(results);
  // What other intervals would cost in time; grants last six of them throughout.
  for (const int milliseconds : {75, 200, 250, 300}) {
    FleetConfig config = options.base;
    config.renewal_interval = std::chrono::milliseconds(milliseconds);
    config.grant_duration = 6 * config.renewal_interval;
    const std::vector<Loss> losses = {Loss::kNode, Loss::kLeaderAndNode};
    recovered = RunLosses(options, config, losses, results) && recovered;
  }
  return recovered;
}

bool RunColdStarts(const Options& options, Json& results) {
  bool settled = true;
  for (const double size : Sizes(options, {8, 16, 32, 64, 96})) {
    FleetConfig config = options.base;
    config.nodes = static_cast<size_t>(size);
    const ColdStartFigures figures = MeasureColdStart(config);
    settled = settled && figures.settled;
    Record("cold_start", figures, results);
  }
  RecordFits("cold_start", results["cold_start"], "nodes",
             {"served_seconds", "messages_per_node", "cpu_per_node"}, results);
  return settled;
}

void RunStructures(const Options& options, Json& results) {
  for (const double size : Sizes(options, {100, 1000, 5000, 19000})) {
    const auto nodes = static_cast<uint64_t>(size);
    Record("assignment", MeasureAssignment(nodes, kServices, kSlotsPerNode * nodes / kServices),
           results);
  }
  RecordFits("assignment", results["assignment"], "nodes",
             {"memory_bytes", "encoded_bytes", "encode_ms", "decode_ms"}, results);
  for (const uint64_t cells : {100, 1000, 10'000, 50'000}) {
    Record("table", MeasureTable(cells), results);
  }
  RecordFits("table", results["table"], "cells",
             {"memory_bytes", "complete_delta_bytes", "edit_us", "lookup_ns"}, results);
  for (const uint64_t targets : {16, 128, 1024, 4096}) {
    Record("request", MeasureRequests(targets), results);
  }
  RecordFits("request", results["request"], "targets", {"by_owner_us", "by_load_us"}, results);
  for (const uint64_t subset : {4, 8, 16, 32, 64}) {
    Record("subset", MeasureSubsets(kSubsetClients, kSubsetServers, subset, options.base.seed),
           results);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const int exit_code = ParseOptions(argc, argv, options);
  if (exit_code != 0) return exit_code;
  Json results = {{"machine", DescribeMachine()}};
  bool succeeded = RunSweeps(options, results);
  if (Wanted(options, "cold_start")) succeeded = RunColdStarts(options, results) && succeeded;
  if (Wanted(options, "loss")) succeeded = RunLosses(options, results) && succeeded;
  if (Wanted(options, "encodings")) {
    FleetConfig config = options.base;
    config.cold_start = true;
    for (const EncodingFigures& figures : MeasureEncodings(config)) {
      Record("encoding", figures, results);
    }
  }
  if (Wanted(options, "structures")) RunStructures(options, results);
  if (results.size() == 1) return Usage("there is no part " + options.only);
  if (!options.output.empty()) {
    std::ofstream file(options.output);
    file << results.dump(1) << '\n';
    if (!file) return Usage("cannot write " + options.output);
  }
  return succeeded ? 0 : kExitFailed;
}
