#include "source/sidecar/feed_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace runshelf::sidecar {
namespace {

bool MayRead(const Peer& peer) { return peer.listed && !peer.stopping(); }

}  // namespace

CandidateRank RankOf(const NodeRecord& record) {
  return {record.processor_percent, record.link_megabits,
          XXH64(record.node.data(), record.node.size(), 0)};
}

FeedTree::FeedTree(const PeerDirectory& peers, std::string own_node, std::string own_zone,
                   Duration failure_holdoff)
    : peers_(peers),
      own_node_(std::move(own_node)),
      own_zone_(std::move(own_zone)),
      failure_holdoff_(failure_holdoff) {}

FeedReceiver FeedTree::ReceiverAt(const Peer& peer) const {
  FeedReceiver receiver;
  receiver.node = peer.record.node;
  receiver.endpoint = peer.record.inbound;
  receiver.zone = peer.record.zone;
  receiver.link_megabits = peer.record.link_megabits;
  receiver.reads_for_zone = peer.record.zone != own_zone_;
  return receiver;
}

std::vector<std::string> FeedTree::LeaderCandidates() const {
  std::vector<std::pair<CandidateRank, std::string>> ranks;
  for (const auto& [node, peer] : peers_.peers()) {
    if (MayRead(peer)) ranks.emplace_back(RankOf(peer.record), node);
  }
  std::sort(ranks.begin(), ranks.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<std::string> candidates;
  candidates.reserve(ranks.size());
  for (auto& [candidate_rank, node] : ranks) candidates.push_back(std::move(node));
  return candidates;
}

size_t FeedTree::NodesBefore(const NodeRecord& record) const {
  const CandidateRank candidate_rank = RankOf(record);
  return static_cast<size_t>(
      std::count_if(peers_.peers().begin(), peers_.peers().end(), [&](const auto& entry) {
        return MayRead(entry.second) && RankOf(entry.second.record) < candidate_rank;
      }));
}

bool FeedTree::RecentlyFailed(Instant now, const std::string& node) const {
  const auto failed = avoided_until_.find(node);
  return failed != avoided_until_.end() && now < failed->second;
}

std::vector<std::string> FeedTree::RecentlyFailedIn(Instant now, const std::string& zone) const {
  std::vector<std::string> nodes;
  for (const auto& [node, until] : avoided_until_) {
    const Peer* peer = peers_.Find(node);
    if (now < until && peer != nullptr && peer->record.zone == zone) nodes.push_back(node);
  }
  return nodes;
}

std::tuple<bool, bool, CandidateRank> FeedTree::OrderOf(Instant now, const Peer& peer) const {
  return {RecentlyFailed(now, peer.record.node), !MayRead(peer), RankOf(peer.record)};
}

std::vector<FeedReceiver> FeedTree::InOrder(Instant now, std::vector<const Peer*> peers) const {
  std::sort(peers.begin(), peers.end(), [&](const Peer* left, const Peer* right) {
    return OrderOf(now, *left) < OrderOf(now, *right);
  });
  std::vector<FeedReceiver> receivers;
  receivers.reserve(peers.size());
  for (const Peer* peer : peers) receivers.push_back(ReceiverAt(*peer));
  return receivers;
}

std::vector<FeedReceiver> FeedTree::ReadersOfOtherZones(Instant now) const {
  std::vector<FeedReceiver> receivers;
  std::set<std::string> zones;
  for (const auto& [node, peer] : peers_.peers()) zones.insert(peer.record.zone);
  for (const std::string& zone : zones) {
    if (zone == own_zone_) continue;
    if (auto reader = ReaderOf(now, zone)) receivers.push_back(*std::move(reader));
  }
  return receivers;
}

std::vector<FeedReceiver> FeedTree::ReceiversInZone(Instant now) const {
  std::vector<const Peer*> neighbours;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != own_node_ && peer.record.zone == own_zone_) neighbours.push_back(&peer);
  }
  return InOrder(now, std::move(neighbours));
}

std::vector<FeedReceiver> FeedTree::ReceiversAmong(Instant now,
                                                   const std::vector<std::string>& nodes) const {
  std::vector<const Peer*> known;
  for (const std::string& node : nodes) {
    const Peer* peer = peers_.Find(node);
    const bool neighbour = peer != nullptr && node != own_node_ && peer->record.zone == own_zone_;
    if (neighbour) known.push_back(peer);
  }
  return InOrder(now, std::move(known));
}

void FeedTree::OnReaderFailed(Instant now, const std::string& node) {
  avoided_until_[node] = now + failure_holdoff_;
}

std::optional<FeedReceiver> FeedTree::ReaderOf(Instant now, const std::string& zone) const {
  std::vector<FeedReceiver> readers = ReadersOf(now, zone, 1);
  if (readers.empty()) return std::nullopt;
  return std::move(readers.front());
}

std::vector<FeedReceiver> FeedTree::ReadersOf(Instant now, const std::string& zone,
                                              size_t count) const {
  std::vector<const Peer*> nodes;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != own_node_ && peer.record.zone == zone) nodes.push_back(&peer);
  }
  std::vector<FeedReceiver> readers = InOrder(now, std::move(nodes));
  if (readers.size() > count) readers.resize(count);
  return readers;
}

}  // namespace runshelf::sidecar
