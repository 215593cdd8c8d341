// The two-level distribution tree for changes of the state, and the ranking of the candidates for
// its roles.
//
// The origin of a change sends it to every node of its own zone, and to one node of each other
// zone, the zone's reader, which forwards it to the other nodes of that zone. A change thus enters
// each other zone once, and no node sends it more often than its zone has nodes and the fleet has
// zones. This matters when many nodes start or restart: each start changes the state, and if one
// node sent every change to all others, traffic would grow with the square of the number of nodes
// (194 nodes in 6 zones, start and 30 s without load: 220 MB between zones, of 335 MB in total).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "source/sidecar/peer_directory.h"

namespace runshelf::sidecar {

// Rank of a node among the candidates for leading the feed or reading for their zone; the lowest
// comes first. Machines with more processor time and bandwidth rank first, since the load of these
// roles grows with the fleet and a machine may have only a tenth of a core. Ties are broken by a
// hash of the name: nodes with similar names are often in one zone and fail together.
struct CandidateRank {
  uint32_t processor_percent = 0;  // Percent of one core.
  uint32_t link_megabits = 0;      // Mbit/s.
  uint64_t name_hash = 0;

  bool operator<(const CandidateRank& other) const {
    return std::tie(other.processor_percent, other.link_megabits, name_hash) <
           std::tie(processor_percent, link_megabits, other.name_hash);
  }
};

CandidateRank RankOf(const NodeRecord& record);

// A node to send a change to, and the nodes that it should forward the change to.
struct FeedReceiver {
  std::string node;
  event::Endpoint endpoint;
  std::string zone;
  uint32_t link_megabits = 0;           // Mbit/s of its machine's link; zero: not known.
  bool reads_for_zone = false;          // It should forward the change to its whole zone.
  std::vector<std::string> forward_to;  // Nodes that it should forward the change to.
  std::vector<std::string> failed;      // Nodes of its zone that it should avoid as forwarders.
};

// Chooses receivers from the nodes in a PeerDirectory. Deterministic; not thread-safe.
class FeedTree {
 public:
  // `failure_holdoff`: how long a node that failed is avoided. It may be suspended or partitioned
  // for some seconds, and each further attempt delays its zone by a time-out.
  FeedTree(const PeerDirectory& peers, std::string own_node, std::string own_zone,
           Duration failure_holdoff = std::chrono::seconds(3));

  // The nodes that may lead the feed or read for their zones, by rank.
  std::vector<std::string> LeaderCandidates() const;
  // How many of them rank before the node of `record`, which need not be among them.
  size_t NodesBefore(const NodeRecord& record) const;
  // Whether the node failed within the hold-off time.
  bool RecentlyFailed(Instant now, const std::string& node) const;
  // The nodes of a zone that failed within the hold-off time.
  std::vector<std::string> RecentlyFailedIn(Instant now, const std::string& zone) const;
  // The readers of the other zones: the receivers outside the zone of a change's origin.
  std::vector<FeedReceiver> ReadersOfOtherZones(Instant now) const;
  // The other nodes of this zone, those best suited for forwarding first.
  std::vector<FeedReceiver> ReceiversInZone(Instant now) const;
  // Those of `nodes` that are known and in this zone, in the same order.
  std::vector<FeedReceiver> ReceiversAmong(Instant now,
                                           const std::vector<std::string>& nodes) const;
  // A node did not acknowledge a change: it is avoided for the hold-off time.
  void OnReaderFailed(Instant now, const std::string& node);
  // The reader of a zone: the lowest rank that did not fail recently or, when all failed, the
  // lowest rank. nullopt: no node of the zone is known.
  std::optional<FeedReceiver> ReaderOf(Instant now, const std::string& zone) const;
  // The first `count` candidates for reader; fewer when the zone has fewer nodes.
  std::vector<FeedReceiver> ReadersOf(Instant now, const std::string& zone, size_t count) const;

 private:
  FeedReceiver ReceiverAt(const Peer& peer) const;
  // Sort key: nodes that failed recently come last, and within either group, nodes that are
  // stopping or not listed come after the others.
  std::tuple<bool, bool, CandidateRank> OrderOf(Instant now, const Peer& peer) const;
  std::vector<FeedReceiver> InOrder(Instant now, std::vector<const Peer*> peers) const;

  const PeerDirectory& peers_;
  std::string own_node_;
  std::string own_zone_;
  Duration failure_holdoff_;
  std::map<std::string, Instant> avoided_until_;  // By node.
};

}  // namespace runshelf::sidecar
