#include "source/sidecar/part_configs.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr Duration kLeaseTimeToLive = std::chrono::seconds(8);
constexpr Duration kGrantHold = std::chrono::seconds(3);
// Heartbeat intervals without a heartbeat after which a worker counts as disconnected. More than
// one, because single heartbeats may be late.
constexpr double kMissedHeartbeats = 2.5;
// An evacuation may be learnt late, and the last request takes time to arrive.
constexpr int kEvacuationKeyDivisor = 4;
constexpr double kBytesPerMegabit = 125000;
// Share of the process's memory for requests; the rest is for the state of the fleet, answers, and
// what the operating system keeps for the process.
constexpr size_t kRequestMemoryPercent = 60;
// Descriptors that are not for sockets, and the share of the others for accepted connections; the
// rest is for connections to the worker, the store and other nodes.
constexpr size_t kDescriptorsOfFiles = 200;
constexpr size_t kAcceptedConnectionsPercent = 75;
constexpr size_t kMinAcceptedConnections = 64;

}  // namespace

std::string KeyOf(std::string_view prefix, const std::string& name) {
  return std::string(prefix) + name;
}

http::ResourceLimits ServerResourceLimits(const Settings& settings) {
  http::ResourceLimits limits;
  limits.request_memory_bytes = settings.memory_bytes / 100 * kRequestMemoryPercent;
  const size_t sockets =
      settings.file_descriptors - std::min(settings.file_descriptors, kDescriptorsOfFiles);
  limits.connections =
      std::max(kMinAcceptedConnections, sockets * kAcceptedConnectionsPercent / 100);
  return limits;
}

store::StoreClientConfig StoreConfig(const Settings& settings) {
  store::StoreClientConfig config;
  config.endpoint = settings.store;
  return config;
}

store::LeaseKeeperConfig LeaseConfig(const Settings& settings) {
  store::LeaseKeeperConfig config;
  config.time_to_live = std::max(kLeaseTimeToLive, settings.store_min_time_to_live);
  config.key = KeyOf(kNodePrefix, settings.node_name);
  return config;
}

store::PrefixWatcherConfig WatchConfig(std::string prefix) {
  store::PrefixWatcherConfig config;
  config.prefix = std::move(prefix);
  return config;
}

ShardHolderConfig HolderConfig(const Settings& settings) {
  ShardHolderConfig config;
  config.node = settings.node_name;
  config.service = settings.worker_service;
  config.worker = settings.worker;
  config.hold = std::min(kGrantHold, settings.bounds.max_hold);
  config.heartbeat_hold = std::min(kLeaseTimeToLive, settings.bounds.max_hold);
  config.heartbeat_silence =
      std::chrono::duration_cast<Duration>(settings.heartbeat_interval * kMissedHeartbeats);
  return config;
}

ShardCoordinatorConfig CoordinatorConfig(const Settings& settings) {
  ShardCoordinatorConfig config;
  config.node = settings.node_name;
  config.service = settings.worker_service;
  config.node_key_prefix = kNodePrefix;
  config.ip_address = settings.ip_address;
  config.report_port = settings.peer_port_first;
  config.first_start = settings.first_start;
  return config;
}

StateFeedConfig FeedConfig(const Settings& settings) {
  StateFeedConfig config;
  config.node = settings.node_name;
  config.zone = settings.zone;
  config.link_megabits = LinkMegabits(settings);
  return config;
}

Duration EvacuationKeyTime(const FleetBounds& bounds) {
  return bounds.evacuation_timeout / kEvacuationKeyDivisor;
}

uint32_t LinkMegabits(const Settings& settings) {
  return static_cast<uint32_t>(settings.link_bytes_per_second / kBytesPerMegabit);
}

uint16_t BeaconPort(const Settings& settings) {
  // The first of the nodes' own ports is used for load reports.
  if (settings.peer_port_last <= settings.peer_port_first) return 0;
  return static_cast<uint16_t>(settings.peer_port_first + 1);
}

std::string NameAfter(const std::string& key, std::string_view prefix) {
  return key.starts_with(prefix) ? key.substr(prefix.size()) : std::string();
}

}  // namespace runshelf::sidecar
