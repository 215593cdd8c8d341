// runshelfctl: edits the operators' table and shows the state of the fleet.

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

#include "runshelf/common/random.h"
#include "runshelf/infrastructure/etcd_key_value_store.h"
#include "source/ctl/command.h"
#include "source/ctl/status_command.h"
#include "source/ctl/table_commands.h"

namespace runshelf::ctl {
namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(5);

std::string DefaultAuthor() {
  const char* const user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

int RunOnPlatform(const Invocation& invocation, const Streams& streams) {
  const auto store =
      infrastructure::MakeEtcdKeyValueStore(invocation.platform_address, kPlatformTimeout);
  if (!store.ok()) {
    streams.err << fmt::format("runshelfctl: --platform {}: {}; give IP:PORT\n",
                               invocation.platform_address, std::string(store.status().message()));
    return kExitUsage;
  }
  SystemRandom random;
  table::TableEditor editor(**store, random,
                            [](Duration pause) { std::this_thread::sleep_for(pause); });
  return RunTableCommand(invocation, std::time(nullptr), editor, streams);
}

int Main(const std::vector<std::string>& arguments) {
  const Streams streams{std::cout, std::cerr};
  const auto parsed = ParseCommandLine(arguments, DefaultAuthor());
  if (const auto* const parse_exit = std::get_if<ParseExit>(&parsed)) {
    (parse_exit->exit_code == kExitOk ? streams.out : streams.err) << parse_exit->output;
    return parse_exit->exit_code;
  }
  const auto& invocation = std::get<Invocation>(parsed);
  if (const auto* const status = std::get_if<StatusCommand>(&invocation.command)) {
    return RunStatusCommand(*status, streams);
  }
  return RunOnPlatform(invocation, streams);
}

}  // namespace
}  // namespace runshelf::ctl

int main(int argc, char** argv) {
  return runshelf::ctl::Main(std::vector<std::string>(argv + 1, argv + argc));
}
