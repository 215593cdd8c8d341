// What the table commands of runshelfctl do, apart from the process around them.
#pragma once

#include <ostream>

#include "runshelf/table/table_editor.h"
#include "source/ctl/command.h"

namespace runshelf::ctl {

// Where a command writes: results to `out`, and what went wrong and what to do to `err`.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

// Carries out a table command and returns the exit code. kExitUsage for commands that need no
// table.
int RunTableCommand(const Invocation& invocation, int64_t unix_seconds, table::TableEditor& editor,
                    const Streams& streams);

}  // namespace runshelf::ctl
