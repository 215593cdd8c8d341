// A KeyValueStore that speaks the JSON over HTTP mapping of etcd's v3 API.
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/infrastructure/key_value_store.h"

namespace runshelf::infrastructure {

// Returns a store that is safe to call from any thread. Every call opens a connection of its own,
// sends its request at most once, and never retries: that is the caller's decision.
//
// `address` is the IP number and port of the service, "127.0.0.1:7000". `timeout` bounds each call
// as a whole, but for Watch, where it bounds the connection and its acknowledgement; a service that
// falls silent in the midst of a watch is not noticed. kInvalidArgument: a malformed address, or a
// timeout that is not positive.
//
// Beside the codes of KeyValueStore, calls return kNotFound for a lease that does not exist, in
// which case certainly nothing was written. A lease's time to live is rounded up to whole seconds.
absl::StatusOr<std::unique_ptr<KeyValueStore>> MakeEtcdKeyValueStore(const std::string& address,
                                                                     Duration timeout);

}  // namespace runshelf::infrastructure
