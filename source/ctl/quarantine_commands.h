// The quarantine commands of runshelfctl: list and release requests that sidecars do not pass to
// workers because workers repeatedly terminated while running them.
#pragma once

#include "runshelf/infrastructure/key_value_store.h"
#include "source/ctl/command.h"
#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// Prints each quarantined request: its fingerprint, the number of trial runs, its method, host and
// path, and the workers that terminated while running it. Returns the exit code.
int RunQuarantineList(infrastructure::KeyValueStore& store, const Streams& streams);

// Releases a request from quarantine. The worker terminations known so far no longer count against
// it. Returns the exit code.
int RunQuarantineRelease(const QuarantineReleaseCommand& command,
                         infrastructure::KeyValueStore& store, const Streams& streams);

}  // namespace runshelf::ctl
