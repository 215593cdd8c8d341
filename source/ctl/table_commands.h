// The table commands of runshelfctl, independent of the process, its clock and its streams.
#pragma once

#include <ostream>

#include "runshelf/table/table_editor.h"
#include "source/ctl/command.h"

namespace runshelf::ctl {

// Output streams of a command: results go to `out`, error messages to `err`.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

// Runs a table command and returns the exit code, kExitUsage for commands that do not use the
// table. `unix_seconds` is the time recorded with an edit, in seconds since the Unix epoch.
int RunTableCommand(const Invocation& invocation, int64_t unix_seconds, table::TableEditor& editor,
                    const Streams& streams);

}  // namespace runshelf::ctl
