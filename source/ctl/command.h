// The commands of runshelfctl as typed values, and the parser of the command line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/table/cell.h"

namespace runshelf::ctl {

// Exit codes, documented in the output of --help.
constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;       // Refused or in conflict with another edit; nothing changed.
constexpr int kExitUsage = 2;         // Invalid command line.
constexpr int kExitUnavailable = 3;   // Platform or daemon unavailable; nothing changed.
constexpr int kExitUndetermined = 4;  // Outcome unknown: the edit may be in force.

struct ShowCommand {};

// Sets the given fields of a cell. The omitted fields of an existing cell keep their values; a new
// cell needs a weight.
struct SetCommand {
  table::CellKey key;
  std::optional<int64_t> weight;
  std::optional<int64_t> limit;
  bool no_limit = false;  // Removes the limit; not together with `limit`.
};

struct DeleteCommand {
  table::CellKey key;
};

struct ImportCommand {
  std::string file;                      // "-" for standard input.
  std::optional<std::string> base_file;  // The exported table that `file` was edited from.
};

struct ExportCommand {
  std::string file;  // "-" for standard output.
};

struct HistoryCommand {
  std::optional<std::string> edit_id;  // Shows only this edit; all edits if empty.
};

struct StatusCommand {
  std::string daemon_address;  // IP:PORT, the http_address of any daemon.
};

struct ExplainCommand {
  std::string request_id;
  std::vector<std::string> files;  // Names of node log files.
};

struct QuarantineListCommand {};

struct QuarantineReleaseCommand {
  std::string fingerprint;  // Of the request, as listed by `quarantine list`.
};

using Command = std::variant<ShowCommand, SetCommand, DeleteCommand, ImportCommand, ExportCommand,
                             HistoryCommand, StatusCommand, ExplainCommand, QuarantineListCommand,
                             QuarantineReleaseCommand>;

// The key-value service that stores the table.
enum class StoreKind {
  kEtcd,      // Used by fleets of runshelfd daemons.
  kPlatform,  // Used by fleets of sidecars.
};

// A parsed command line.
struct Invocation {
  Command command;
  std::string platform_address;  // IP:PORT; empty for status and explain.
  StoreKind store = StoreKind::kEtcd;
  std::string author;  // Recorded in the history as the author of an edit.
};

// The result of a command line that runs no command: it is invalid, or requests help or the
// version.
struct ParseExit {
  int exit_code = kExitUsage;
  std::string output;  // For standard output, or for standard error when exit_code is not kExitOk.
};

// Parses the arguments that follow the program name. `default_author` applies without --author.
// Returns a ParseExit with kExitUsage if the command line is invalid.
std::variant<Invocation, ParseExit> ParseCommandLine(const std::vector<std::string>& arguments,
                                                     const std::string& default_author);

}  // namespace runshelf::ctl
