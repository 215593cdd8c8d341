// runshelfctl: command-line tool that edits the operators' table and shows the state of the fleet.

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

#include "platform/store_codec.h"
#include "runshelf/common/random.h"
#include "runshelf/infrastructure/etcd_key_value_store.h"
#include "source/ctl/command.h"
#include "source/ctl/explain_command.h"
#include "source/ctl/quarantine_commands.h"
#include "source/ctl/status_command.h"
#include "source/ctl/table_commands.h"
#include "source/store/blocking_store.h"

namespace runshelf::ctl {
namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(5);

std::string DefaultAuthor() {
  const char* const user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

// A transaction of an edit contains a condition and a write for each cell and for the edit record.
constexpr size_t kMaxCellsPerPlatformEdit = store::kMaxTransactionEntries / 2 - 1;

int RunOnStore(const Invocation& invocation, infrastructure::KeyValueStore& store,
               const table::TableEditorOptions& options, const Streams& streams) {
  SystemRandom random;
  table::TableEditor editor(
      store, random, [](Duration pause) { std::this_thread::sleep_for(pause); }, options);
  return RunTableCommand(invocation, std::time(nullptr), editor, streams);
}

int ReportInvalidAddress(const Invocation& invocation, std::string_view reason,
                         const Streams& streams) {
  streams.err << fmt::format("runshelfctl: --platform {}: {}; expected IP:PORT\n",
                             invocation.platform_address, reason);
  return kExitUsage;
}

int RunOnPlatformStore(const Invocation& invocation, const Streams& streams) {
  event::Endpoint endpoint;
  if (!event::Endpoint::Parse(invocation.platform_address, &endpoint)) {
    return ReportInvalidAddress(invocation, "invalid address", streams);
  }
  platform_adapter::PlatformStoreCodec codec;
  store::BlockingStore store(codec, endpoint);
  if (std::holds_alternative<QuarantineListCommand>(invocation.command)) {
    return RunQuarantineList(store, streams);
  }
  if (const auto* const release = std::get_if<QuarantineReleaseCommand>(&invocation.command)) {
    return RunQuarantineRelease(*release, store, streams);
  }
  table::TableEditorOptions options;
  options.max_cells_per_edit = kMaxCellsPerPlatformEdit;
  return RunOnStore(invocation, store, options, streams);
}

int RunOnEtcd(const Invocation& invocation, const Streams& streams) {
  const auto store =
      infrastructure::MakeEtcdKeyValueStore(invocation.platform_address, kPlatformTimeout);
  if (!store.ok()) {
    return ReportInvalidAddress(invocation, std::string(store.status().message()), streams);
  }
  return RunOnStore(invocation, **store, {}, streams);
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
  if (const auto* const explain = std::get_if<ExplainCommand>(&invocation.command)) {
    return RunExplainCommand(*explain, streams);
  }
  return invocation.store == StoreKind::kPlatform ? RunOnPlatformStore(invocation, streams)
                                                  : RunOnEtcd(invocation, streams);
}

}  // namespace
}  // namespace runshelf::ctl

int main(int argc, char** argv) {
  return runshelf::ctl::Main(std::vector<std::string>(argv + 1, argv + argc));
}
