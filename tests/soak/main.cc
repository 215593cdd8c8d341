// Runs the soak once: real sidecar processes under faults drawn from a seed. Exit code 0: every
// promise was kept and the fleet recovered; 1: not; 2: wrong arguments; 3: ended by a signal.

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
    command.parse(argc, argv);
    if (seconds.getValue() < kMinSeconds) return kExitBadArguments;
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
  const bool recovered = result.served_at_end >= kServedAtEnd;
  fmt::print("seed={} requests={} served={} faults={} broken={} served_at_end={:.3f} verdict={}\n",
             options.seed, result.requests, result.served, result.faults.size(),
             result.violations.size(), result.served_at_end,
             result.violations.empty() && recovered ? "kept" : "broken");
  return result.violations.empty() && recovered ? 0 : kExitBroken;
}
