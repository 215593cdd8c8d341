// The simulated network: latency by zone pair, loss, duplication, reordering and partitions.
//
// Datagrams may be lost, doubled and overtaken. Stream messages (TCP) are neither; while the path
// is cut they are sent again with growing pauses and arrive late, or never.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "tools/sim/event_queue.h"

namespace runshelf::sim {

using HostIndex = size_t;

// Latencies are one way.
struct NetworkConfig {
  Duration same_zone = std::chrono::microseconds(100);
  Duration between_zones = std::chrono::microseconds(500);
  Duration to_clients = std::chrono::milliseconds(8);
  double loss = 0;         // Of datagrams.
  double duplication = 0;  // Of datagrams.
  double reordering = 0;   // Share of datagrams that are held back for up to `held_back`.
  Duration held_back = std::chrono::milliseconds(40);
  Duration stream_give_up = std::chrono::seconds(6);  // Retransmission of a stream ends.
};

// Messages from a host in `sources` to one in `targets` are dropped; `both_ways`: and back.
struct Partition {
  std::set<HostIndex> sources;
  std::set<HostIndex> targets;
  bool both_ways = true;
};

using PartitionId = uint64_t;

// The zone of callers and operators, far from all others.
inline constexpr const char* kClientZone = "clients";

class Network {
 public:
  Network(EventQueue& queue, Random& random, const NetworkConfig& config)
      : queue_(queue), random_(random), config_(config) {}

  HostIndex AddHost(const std::string& zone);

  void SendDatagram(HostIndex from, HostIndex to, const Handler& deliver);

  // `deliver` runs at arrival, unless the path stays cut until the stream is given up.
  void SendStream(HostIndex from, HostIndex to, Handler deliver);

  PartitionId Cut(Partition partition);
  void Heal(PartitionId id) { partitions_.erase(id); }
  void HealAll() { partitions_.clear(); }
  bool Reachable(HostIndex from, HostIndex to) const;

  // Rates of datagram faults; the schedule changes them over time.
  NetworkConfig& config() { return config_; }

  uint64_t datagrams_sent() const { return datagrams_sent_; }

 private:
  Duration Latency(HostIndex from, HostIndex to);
  bool Chance(double probability);
  void Deliver(HostIndex from, HostIndex to, const Handler& deliver);
  void TryStream(HostIndex from, HostIndex to, TrueTime give_up_at, Duration pause,
                 Handler deliver);

  EventQueue& queue_;
  Random& random_;
  NetworkConfig config_;
  std::vector<std::string> zones_;
  std::map<PartitionId, Partition> partitions_;
  PartitionId next_partition_ = 1;
  uint64_t datagrams_sent_ = 0;
};

}  // namespace runshelf::sim
