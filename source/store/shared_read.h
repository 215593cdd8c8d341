// Starts several prefix watchers with one read of the store.
#pragma once

#include <vector>

#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"

namespace runshelf::store {

// Reads the prefix that the watchers' prefixes share up to their last slash, and starts each
// watcher with its part. Where they share none, where the read fails, or where the shared prefix
// has more items than one page, each watcher reads its own range. The references must remain valid
// until all watchers have started.
void StartWithSharedRead(StoreClient& store, const std::vector<PrefixWatcher*>& watchers);

}  // namespace runshelf::store
