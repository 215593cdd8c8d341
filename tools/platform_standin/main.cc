// runshelf-platform: the stand-in for the platform, for tests and the demo.
//
// Exit codes: 0 after SIGINT or SIGTERM, 1 when the address cannot be bound, 2 for bad arguments.

#include <signal.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/log.h"
#include "tools/platform_standin/control_api.h"
#include "tools/platform_standin/platform_server.h"

namespace {

using runshelf::LogEvent;
using runshelf::LogLevel;
using runshelf::platform_standin::DecodeMachines;
using runshelf::platform_standin::MachinesRequest;
using runshelf::platform_standin::PlatformServer;
using runshelf::platform_standin::PlatformServerOptions;
using runshelf::platform_standin::PlatformState;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr unsigned kMaxLagMilliseconds = 600'000;

struct Arguments {
  PlatformServerOptions server;
  std::string machines_file;
  unsigned machine_list_lag_ms = 0;
};

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "Stand-in for the platform: a key-value service that speaks the JSON mapping of etcd's v3 "
      "API, and a list of machines. Keeps everything in memory.\n"
      "Example: runshelf-platform --listen 127.0.0.1:7000 --machines-file machines.json",
      ' ', RUNSHELF_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "IP number and port; port 0 takes a free one",
                                      false, "127.0.0.1:7000", "ip:port", command_line);
  TCLAP::ValueArg<std::string> machines_file(
      "", "machines-file", "JSON file with the first list of machines, as POST /machines takes it",
      false, "", "file", command_line);
  TCLAP::ValueArg<unsigned> lag("", "machine-list-lag-ms",
                                "time until a change of the list of machines is shown", false, 0,
                                "milliseconds", command_line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the choice of lost answers", false, 1,
                                 "number", command_line);
  command_line.parse(argc, argv);
  if (lag.getValue() > kMaxLagMilliseconds) {
    throw TCLAP::CmdLineParseException("must be at most 600000", "--machine-list-lag-ms");
  }
  return {{listen.getValue(), seed.getValue()}, machines_file.getValue(), lag.getValue()};
}

// Puts the file's machines into the list, at once. Returns what is wrong with the file, if
// anything.
absl::Status LoadMachines(const std::string& path, PlatformState& state) {
  if (path.empty()) return absl::OkStatus();
  std::ifstream file(path);
  if (!file) return absl::NotFoundError("cannot open " + path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  absl::StatusOr<MachinesRequest> request = DecodeMachines(text);
  if (!request.ok()) return request.status();
  state.machines.Change(state.clock.Now(), std::move(request->change));
  return absl::OkStatus();
}

int Run(const Arguments& arguments) {
  // Blocked before any thread starts, so that only sigwait below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const runshelf::SystemClock clock;
  const auto server = PlatformServer::Start(arguments.server, clock);
  if (!server.ok()) {
    LogEvent(LogLevel::kError, "start_failed", {{"reason", server.status().ToString()}});
    return absl::IsInvalidArgument(server.status()) ? kExitUsage : kExitFailure;
  }
  PlatformState& state = (*server)->state();
  if (const absl::Status status = LoadMachines(arguments.machines_file, state); !status.ok()) {
    LogEvent(LogLevel::kError, "bad_machines_file",
             {{"file", arguments.machines_file}, {"reason", status.ToString()}});
    return kExitUsage;
  }
  state.machines.SetLag(std::chrono::milliseconds(arguments.machine_list_lag_ms));
  LogEvent(LogLevel::kInfo, "listening", {{"address", (*server)->address()}});

  int signal_number = 0;
  sigwait(&signals, &signal_number);
  LogEvent(LogLevel::kInfo, "stopping", {{"signal", signal_number}});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(ParseArguments(argc, argv));
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << "error: " << exception.error() << " " << exception.argId()
              << "\nTry --help for the flags.\n";
    return kExitUsage;
  }
}
