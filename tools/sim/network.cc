#include "tools/sim/network.h"

#include <utility>

namespace runshelf::sim {
namespace {

constexpr Duration kFirstRetransmission = std::chrono::milliseconds(200);
constexpr uint64_t kChanceResolution = 1'000'000;

bool Blocks(const Partition& partition, HostIndex from, HostIndex to) {
  if (partition.sources.contains(from) && partition.targets.contains(to)) {
    return true;
  }
  return partition.both_ways && partition.sources.contains(to) && partition.targets.contains(from);
}

}  // namespace

HostIndex Network::AddHost(const std::string& zone) {
  zones_.push_back(zone);
  return zones_.size() - 1;
}

void Network::SendDatagram(HostIndex from, HostIndex to, const Handler& deliver) {
  ++datagrams_sent_;
  if (Chance(config_.loss)) {
    return;
  }
  if (Chance(config_.duplication)) {
    Deliver(from, to, deliver);
  }
  Deliver(from, to, deliver);
}

void Network::Deliver(HostIndex from, HostIndex to, const Handler& deliver) {
  Duration delay = Latency(from, to);
  if (Chance(config_.reordering)) {
    delay += random_.Between(Duration(0), config_.held_back);
  }
  if (!Reachable(from, to)) {
    return;
  }
  queue_.After(delay, deliver);
}

void Network::SendStream(HostIndex from, HostIndex to, Handler deliver) {
  TryStream(from, to, queue_.Now() + config_.stream_give_up, kFirstRetransmission,
            std::move(deliver));
}

void Network::TryStream(HostIndex from, HostIndex to, TrueTime give_up_at, Duration pause,
                        Handler deliver) {
  if (Reachable(from, to)) {
    queue_.After(Latency(from, to), std::move(deliver));
    return;
  }
  if (queue_.Now() + pause > give_up_at) {
    return;
  }
  queue_.After(pause, [this, from, to, give_up_at, pause, deliver = std::move(deliver)]() mutable {
    TryStream(from, to, give_up_at, pause * 2, std::move(deliver));
  });
}

PartitionId Network::Cut(Partition partition) {
  const PartitionId id = next_partition_;
  ++next_partition_;
  partitions_[id] = std::move(partition);
  return id;
}

bool Network::Reachable(HostIndex from, HostIndex to) const {
  for (const auto& [id, partition] : partitions_) {
    if (Blocks(partition, from, to)) {
      return false;
    }
  }
  return true;
}

Duration Network::Latency(HostIndex from, HostIndex to) {
  Duration base = config_.between_zones;
  if (zones_[from] == zones_[to]) {
    base = config_.same_zone;
  } else if (zones_[from] == kClientZone || zones_[to] == kClientZone) {
    base = config_.to_clients;
  }
  return base + random_.Between(Duration(0), base / 5);
}

bool Network::Chance(double probability) {
  if (probability <= 0) {
    return false;
  }
  return static_cast<double>(random_.Below(kChanceResolution)) <
         probability * static_cast<double>(kChanceResolution);
}

}  // namespace runshelf::sim
