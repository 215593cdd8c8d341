// Decides who passes changes of the state on to whom, and in which order nodes may take that over.
//
// The origin of a change sends it to every node of its own zone, and to one node of each other
// zone, the zone's reader, which passes it on to its neighbours. A change then crosses each border
// between zones once, and no node sends it more often than its zone has nodes and the fleet has
// zones. It answers starts and restarts of many nodes: each of them changes the state, and with
// every change sent to all by one node the bytes grow with the square of the nodes (194 nodes in 6
// zones, a quiet start and 30 s: 220 MB between zones of 335 MB in all).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "source/sidecar/peer_directory.h"

namespace runshelf::sidecar {

// Place of a node in the line of those that may lead the feed or read for their zone; lower is
// sooner. Machines with more processor time and wider links go first: the work of the first ones
// grows with the fleet, while others may have a tenth of a core. Then by a hash of the name:
// neighbours by name are often in one zone, and are cut off or lost together.
struct CandidateRank {
  uint32_t processor_percent = 0;  // Of one core.
  uint32_t link_megabits = 0;      // A second.
  uint64_t name_hash = 0;

  bool operator<(const CandidateRank& other) const {
    return std::tie(other.processor_percent, other.link_megabits, name_hash) <
           std::tie(processor_percent, link_megabits, other.name_hash);
  }
};

CandidateRank RankOf(const NodeRecord& record);

// A node that a change is sent to.
struct FeedReceiver {
  std::string node;
  event::Endpoint endpoint;
  std::string zone;
  uint32_t link_megabits = 0;           // Of its machine; zero: not known.
  bool reads_for_zone = false;          // It is asked to pass the change on to its zone.
  std::vector<std::string> forward_to;  // Nodes that it is asked to pass the change on to.
  std::vector<std::string> failed;      // Nodes of its zone that it should not rely on.
};

// Deterministic; not thread-safe.
class FeedTree {
 public:
  // `failure_holdoff`: how long a node that failed is not relied on. It may be frozen or cut off
  // for some seconds, and asking it again costs its zone the wait for an answer each time.
  FeedTree(const PeerDirectory& peers, std::string own_node, std::string own_zone,
           Duration failure_holdoff = std::chrono::seconds(3));

  // The nodes that may lead the feed or read for their zones, in order.
  std::vector<std::string> LeaderCandidates() const;
  // How many of them go before the node of `record`, which need not be among them.
  size_t NodesBefore(const NodeRecord& record) const;
  // The node failed lately.
  bool RecentlyFailed(Instant now, const std::string& node) const;
  // The nodes of a zone that did.
  std::vector<std::string> RecentlyFailedIn(Instant now, const std::string& zone) const;
  // The readers of the other zones, whom the origin of a change sends it to besides its own zone.
  std::vector<FeedReceiver> ReadersOfOtherZones(Instant now) const;
  // Whom a reader passes it on to: those first that may best pass it on themselves.
  std::vector<FeedReceiver> ReceiversInZone(Instant now) const;
  // Those of the nodes of this zone that are known, in the same order.
  std::vector<FeedReceiver> ReceiversAmong(Instant now,
                                           const std::vector<std::string>& nodes) const;
  // A zone's reader did not take a change: it is passed over for a while.
  void OnReaderFailed(Instant now, const std::string& node);
  // The reader of a zone, the first in line that did not fail lately; when all failed, the first.
  // nullopt: no node of the zone is known.
  std::optional<FeedReceiver> ReaderOf(Instant now, const std::string& zone) const;
  // The first `count` of them, fewer when the zone has not as many.
  std::vector<FeedReceiver> ReadersOf(Instant now, const std::string& zone, size_t count) const;

 private:
  FeedReceiver ReceiverAt(const Peer& peer) const;
  // Sooner is better: nodes that may read go before those that stop or lost their item, and among
  // either kind those that failed lately go last.
  std::tuple<bool, bool, CandidateRank> OrderOf(Instant now, const Peer& peer) const;
  std::vector<FeedReceiver> InOrder(Instant now, std::vector<const Peer*> peers) const;

  const PeerDirectory& peers_;
  std::string own_node_;
  std::string own_zone_;
  Duration failure_holdoff_;
  std::map<std::string, Instant> avoided_until_;  // By node.
};

}  // namespace runshelf::sidecar
