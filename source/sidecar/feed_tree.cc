#include "source/sidecar/feed_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace runshelf::sidecar {
namespace {

// A reader that did not answer may be frozen or cut off for some seconds; asking it again costs its
// zone the wait for an answer each time.
constexpr Duration kPassedOver = std::chrono::seconds(3);

bool MayRead(const Peer& peer) { return peer.listed && !peer.stopping(); }

}  // namespace

LinePlace PlaceInLine(const NodeRecord& record) {
  return {record.processor_percent, record.link_megabits,
          XXH64(record.node.data(), record.node.size(), 0)};
}

FeedTree::FeedTree(const PeerDirectory& peers, std::string own_node, std::string own_zone)
    : peers_(peers), own_node_(std::move(own_node)), own_zone_(std::move(own_zone)) {}

FeedReceiver FeedTree::ReceiverAt(const Peer& peer) const {
  return {peer.record.node, peer.record.inbound, peer.record.zone, peer.record.zone != own_zone_};
}

std::vector<std::string> FeedTree::Line() const {
  std::vector<std::pair<LinePlace, std::string>> places;
  for (const auto& [node, peer] : peers_.peers()) {
    if (MayRead(peer)) places.emplace_back(PlaceInLine(peer.record), node);
  }
  std::sort(places.begin(), places.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<std::string> line;
  line.reserve(places.size());
  for (auto& [place, node] : places) line.push_back(std::move(node));
  return line;
}

size_t FeedTree::NodesBefore(const NodeRecord& record) const {
  const LinePlace place = PlaceInLine(record);
  return static_cast<size_t>(
      std::count_if(peers_.peers().begin(), peers_.peers().end(), [&](const auto& entry) {
        return MayRead(entry.second) && PlaceInLine(entry.second.record) < place;
      }));
}

bool FeedTree::PassedOver(Instant now, const std::string& node) const {
  const auto failed = passed_over_until_.find(node);
  return failed != passed_over_until_.end() && now < failed->second;
}

std::vector<FeedReceiver> FeedTree::ReceiversOfOrigin(Instant now) const {
  std::vector<FeedReceiver> receivers = ReceiversInZone();
  std::set<std::string> zones;
  for (const auto& [node, peer] : peers_.peers()) zones.insert(peer.record.zone);
  for (const std::string& zone : zones) {
    if (zone == own_zone_) continue;
    if (auto reader = ReaderOf(now, zone)) receivers.push_back(*std::move(reader));
  }
  return receivers;
}

std::vector<FeedReceiver> FeedTree::ReceiversInZone() const {
  std::vector<FeedReceiver> receivers;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != own_node_ && peer.record.zone == own_zone_) receivers.push_back(ReceiverAt(peer));
  }
  return receivers;
}

void FeedTree::OnReaderFailed(Instant now, const std::string& node) {
  passed_over_until_[node] = now + kPassedOver;
}

std::optional<FeedReceiver> FeedTree::ReaderOf(Instant now, const std::string& zone) const {
  const Peer* best = nullptr;
  // Nodes that may read go before those that stop or lost their item, and among either kind those
  // that failed lately go last.
  const auto order = [&](const Peer& peer) {
    return std::tuple(PassedOver(now, peer.record.node), !MayRead(peer), PlaceInLine(peer.record));
  };
  for (const auto& [node, peer] : peers_.peers()) {
    if (node == own_node_ || peer.record.zone != zone) continue;
    if (best == nullptr || order(peer) < order(*best)) best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  return ReceiverAt(*best);
}

}  // namespace runshelf::sidecar
