// Runs the soak test once: real sidecar processes under faults derived from a seed. Exit codes:
// 0: all guarantees held and the fleet recovered; 1: a guarantee was violated or the fleet did not
// recover; 2: invalid arguments; 3: interrupted by a signal.

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>

#include "tests/soak/soak.h"

namespace {

constexpr int kExitBroken = 1;
constexpr int kExitBadArguments = 2;
constexpr int kExitInterrupted = 3;
constexpr double kServedAtEnd = 0.95;
constexpr int kMinSeconds = 30;
// The minimum gives each service a worker; the maximum is limited by the host numbers available for
// the nodes and their proxies.
constexpr size_t kMinNodes = 4;
constexpr size_t kMaxNodes = 100;
// Sidecar processes per run. Some seeds use as many as a machine with 12 processors can run along
// with other load.
constexpr size_t kUsualNodes = 12;
constexpr size_t kManyNodes = 32;
constexpr uint64_t kManyNodesEvery = 8;

size_t NodeCount(uint64_t seed) { return seed % kManyNodesEvery == 0 ? kManyNodes : kUsualNodes; }

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  using namespace runshelf::soak;
  SoakOptions options;
  try {
    TCLAP::CmdLine command("runshelf soak: real processes under faults from outside", ' ', "1");
    TCLAP::ValueArg<std::string> program("p", "program", "the sidecar's program", true, "", "path",
                                         command);
    TCLAP::ValueArg<std::string> directory("d", "directory", "for settings and logs", true, "",
                                           "path", command);
    TCLAP::ValueArg<uint64_t> seed("s", "seed", "of the faults and requests", true, 1, "number",
                                   command);
    TCLAP::ValueArg<int> seconds("t", "seconds", "length, 30 or more", false, 60, "seconds",
                                 command);
    TCLAP::ValueArg<int> nodes("n", "nodes", "sidecar processes, 4 to 100; default: by the seed",
                               false, 0, "number", command);
    TCLAP::SwitchArg fatal("f", "fatal-requests", "some requests end the workers that begin them",
                           command);
    TCLAP::SwitchArg restores("r", "store-restores",
                              "the store comes back from older copies of its data", command);
    TCLAP::SwitchArg twice("a", "second-answers", "workers answer twice, the second time late",
                           command);
    TCLAP::SwitchArg limits("l", "stated-limits", "workers state limits of their request rates",
                            command);
    TCLAP::SwitchArg evacuations("e", "evacuations",
                                 "operators evacuate zones, workers are cold after their start",
                                 command);
    TCLAP::SwitchArg downloads(
        "w", "downloads", "clients download more than the links of the workers carry", command);
    TCLAP::SwitchArg rude("u", "rude-clients",
                          "some clients exceed the limits or do not complete their requests",
                          command);
    command.parse(argc, argv);
    if (seconds.getValue() < kMinSeconds) return kExitBadArguments;
    options.nodes = NodeCount(seed.getValue());
    if (nodes.isSet()) options.nodes = static_cast<size_t>(nodes.getValue());
    if (options.nodes < kMinNodes || options.nodes > kMaxNodes) return kExitBadArguments;
    options.fatal_requests = fatal.getValue();
    options.store_restores = restores.getValue();
    options.second_answers = twice.getValue();
    options.stated_limits = limits.getValue();
    options.downloads = downloads.getValue();
    options.rude_clients = rude.getValue();
    options.evacuations = evacuations.getValue();
    options.program = program.getValue();
    options.directory = directory.getValue();
    options.seed = seed.getValue();
    options.duration = std::chrono::seconds(seconds.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? 0 : kExitBadArguments;
  }
  std::filesystem::create_directories(options.directory);
  const SoakResult result = Soak(options).Run();
  if (result.interrupted) {
    fmt::print("seed={} verdict=interrupted\n", options.seed);
    return kExitInterrupted;
  }
  for (const std::string& fault : result.faults) fmt::print("fault {}\n", fault);
  for (const std::string& violation : result.violations) fmt::print("BROKEN {}\n", violation);
  for (const std::string& unserved : result.unserved_at_end) {
    fmt::print("unserved-at-end {}\n", unserved);
  }
  const bool recovered = result.served_at_end >= kServedAtEnd;
  fmt::print(
      "seed={} nodes={} requests={} served={} faults={} broken={} served_at_end={:.3f} "
      "cut_at_other_nodes={} stalls={} slowest_answer_ms={} fatal_ends={} second_answers={} "
      "downloads={} rude_connections={} verdict={}\n",
      options.seed, options.nodes, result.counts.sent, result.counts.served, result.faults.size(),
      result.violations.size(), result.served_at_end, result.counts.cut_at_other_nodes,
      result.stalls, runshelf::ToMilliseconds(result.slowest_answer), result.fatal_ends,
      result.second_answers, result.downloads, result.rude_connections,
      result.violations.empty() && recovered ? "kept" : "broken");
  return result.violations.empty() && recovered ? 0 : kExitBroken;
}
