// runshelfd: the daemon beside each server.
//
// Exit codes: 0 after a planned stop, 1 when it could not start or a planned stop was cut short, 2
// when the command line or the settings are wrong.

#include <fmt/format.h>
#include <pthread.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/log.h"
#include "source/daemon/daemon.h"
#include "source/daemon/settings.h"

namespace runshelf::daemon {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct CommandLine {
  std::string settings_file;
  bool check_only = false;
  SettingOverrides overrides;
};

// One flag for each setting, over the file's value.
class SettingFlags {
 public:
  explicit SettingFlags(TCLAP::CmdLine& command_line) {
    for (const SettingDescription& setting : DescribeSettings()) {
      std::string name = setting.key;
      std::replace(name.begin(), name.end(), '_', '-');
      flags_.push_back(
          {setting.key, std::make_unique<TCLAP::ValueArg<std::string>>(
                            "", name, setting.description, false, "", "VALUE", command_line)});
    }
  }

  SettingOverrides Overrides() const {
    SettingOverrides overrides;
    for (const Flag& flag : flags_) {
      if (flag.argument->isSet()) {
        overrides[flag.key] = flag.argument->getValue();
      }
    }
    return overrides;
  }

 private:
  struct Flag {
    std::string key;
    std::unique_ptr<TCLAP::ValueArg<std::string>> argument;
  };

  std::vector<Flag> flags_;
};

// Throws TCLAP exceptions.
CommandLine ParseCommandLine(int argc, const char* const* argv) {
  TCLAP::CmdLine parser(
      "Routes requests to servers that own their keys exclusively. Runs beside each server. "
      "Example: runshelfd --settings /etc/runshelf.toml --log-level debug",
      ' ', RUNSHELF_VERSION);
  parser.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> settings("", "settings", "read the settings from FILE", false, "",
                                        "FILE", parser);
  TCLAP::ValueArg<std::string> check("", "check-settings",
                                     "check the settings in FILE, print what is wrong, and stop",
                                     false, "", "FILE", parser);
  const SettingFlags flags(parser);
  parser.parse(argc, argv);
  if (settings.isSet() == check.isSet()) {
    throw TCLAP::CmdLineParseException("give either --settings FILE or --check-settings FILE");
  }
  CommandLine parsed;
  parsed.check_only = check.isSet();
  parsed.settings_file = check.isSet() ? check.getValue() : settings.getValue();
  parsed.overrides = flags.Overrides();
  return parsed;
}

int RunUntilSignal(const Settings& settings) {
  // Blocked before any thread starts, so that only sigwait takes them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);

  const SystemClock clock;
  absl::StatusOr<std::unique_ptr<Daemon>> daemon = Daemon::Start(clock, settings);
  if (!daemon.ok()) {
    fmt::print(stderr, "runshelfd: {}\n", std::string(daemon.status().message()));
    return kExitFailure;
  }
  int signal = 0;
  sigwait(&stop_signals, &signal);
  return (*daemon)->StopPlanned() ? kExitOk : kExitFailure;
}

int Run(const CommandLine& command_line) {
  const absl::StatusOr<SettingsResult> result =
      ReadSettings(command_line.settings_file, command_line.overrides);
  if (!result.ok()) {
    fmt::print(stderr, "runshelfd: {}\n", std::string(result.status().message()));
    return kExitUsage;
  }
  for (const SettingsError& error : result->errors) {
    fmt::print(stderr, "{}\n", error.ToString());
  }
  if (!result->errors.empty()) {
    return kExitUsage;
  }
  if (command_line.check_only) {
    fmt::print("{}: ok\n", command_line.settings_file);
    return kExitOk;
  }
  SetLogLevel(result->settings.log_level);
  return RunUntilSignal(result->settings);
}

}  // namespace
}  // namespace runshelf::daemon

int main(int argc, char** argv) {
  using runshelf::daemon::CommandLine;
  CommandLine command_line;
  try {
    command_line = runshelf::daemon::ParseCommandLine(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "runshelfd: {} {}; see runshelfd --help\n", error.error(), error.argId());
    return runshelf::daemon::kExitUsage;
  }
  return runshelf::daemon::Run(command_line);
}
