// Derives the configurations of the components of a node from the settings of its process, and
// defines the keys under which nodes keep their state in the store.
#pragma once

#include <string>
#include <string_view>

#include "source/http/server_resources.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/shard_coordinator.h"
#include "source/sidecar/shard_holder.h"
#include "source/sidecar/state_feed.h"
#include "source/store/lease_keeper.h"
#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

constexpr std::string_view kStatePrefix = "runshelf/";
constexpr std::string_view kNodePrefix = "runshelf/nodes/";
constexpr std::string_view kShardPrefix = "runshelf/shards/";
constexpr std::string_view kDrainPrefix = "runshelf/drains/";

// Key of the item `name` below `prefix`.
std::string KeyOf(std::string_view prefix, const std::string& name);
// The part of `key` after `prefix`; empty if `key` does not start with it.
std::string NameAfter(const std::string& key, std::string_view prefix);

// Memory for requests and number of accepted connections of all servers of the process.
http::ResourceLimits ServerResourceLimits(const Settings& settings);
store::StoreClientConfig StoreConfig(const Settings& settings);
store::LeaseKeeperConfig LeaseConfig(const Settings& settings);
store::PrefixWatcherConfig WatchConfig(std::string prefix);
ShardHolderConfig HolderConfig(const Settings& settings);
ShardCoordinatorConfig CoordinatorConfig(const Settings& settings);
StateFeedConfig FeedConfig(const Settings& settings);
// UDP port of the state feed's beacons; zero if the settings provide no port for them.
uint16_t BeaconPort(const Settings& settings);
// How long an evacuated worker still serves keys that have not been handed over yet.
Duration EvacuationKeyTime(const FleetBounds& bounds);
// Bandwidth of the machine's link in Mbit/s; zero: unknown.
uint32_t LinkMegabits(const Settings& settings);

}  // namespace runshelf::sidecar
