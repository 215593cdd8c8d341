// runshelfctl quarantine: requests that sidecars keep from their workers, with the evidence.
#pragma once

#include "runshelf/infrastructure/key_value_store.h"
#include "source/ctl/command.h"
#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// Prints the requests in quarantine: what they ask, the trials made, the workers that ended.
int RunQuarantineList(infrastructure::KeyValueStore& store, const Streams& streams);

// Releases one: the ends that are known so far are not held against it any more.
int RunQuarantineRelease(const QuarantineReleaseCommand& command,
                         infrastructure::KeyValueStore& store, const Streams& streams);

}  // namespace runshelf::ctl
