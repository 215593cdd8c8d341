// The commands of runshelfctl as typed values, and their parsing from the command line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/table/cell.h"

namespace runshelf::ctl {

// Exit codes; documented by --help.
constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;       // The edit was refused or met a conflict; nothing changed.
constexpr int kExitUsage = 2;         // The command line is wrong.
constexpr int kExitUnavailable = 3;   // The platform or the daemon is away; nothing changed.
constexpr int kExitUndetermined = 4;  // The edit may be in force.

struct ShowCommand {};

// Sets what is given; of an existing cell the rest stays.
struct SetCommand {
  table::CellKey key;
  std::optional<int64_t> weight;
  std::optional<int64_t> limit;
  bool no_limit = false;
};

struct DeleteCommand {
  table::CellKey key;
};

struct ImportCommand {
  std::string file;                      // "-" for standard input.
  std::optional<std::string> base_file;  // The table as exported before the changes.
};

struct ExportCommand {
  std::string file;  // "-" for standard output.
};

struct HistoryCommand {
  std::optional<std::string> edit_id;  // Only this edit.
};

struct StatusCommand {
  std::string daemon_address;  // IP number and port of a daemon's http_address.
};

struct ExplainCommand {
  std::string request_id;
  std::vector<std::string> files;  // Logs of nodes.
};

struct QuarantineListCommand {};

struct QuarantineReleaseCommand {
  std::string fingerprint;  // Of the request.
};

using Command = std::variant<ShowCommand, SetCommand, DeleteCommand, ImportCommand, ExportCommand,
                             HistoryCommand, StatusCommand, ExplainCommand, QuarantineListCommand,
                             QuarantineReleaseCommand>;

// The key-value service that holds the table.
enum class StoreKind {
  kEtcd,      // Of fleets that runshelfd serves.
  kPlatform,  // Of fleets that sidecars serve.
};

struct Invocation {
  Command command;
  std::string platform_address;  // IP number and port; empty for status.
  StoreKind store = StoreKind::kEtcd;
  std::string author;
};

// The command line could not be turned into an Invocation, or asked for a text only.
struct ParseExit {
  int exit_code = kExitUsage;
  std::string output;  // For standard output, or for standard error when exit_code is not kExitOk.
};

// Parses the arguments after the program's name.
std::variant<Invocation, ParseExit> ParseCommandLine(const std::vector<std::string>& arguments,
                                                     const std::string& default_author);

}  // namespace runshelf::ctl
