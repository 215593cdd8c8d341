#include "source/sidecar/peer_directory.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// A node without an item is kept while it answers, since leases expire while the store is
// unavailable.
constexpr Duration kUnlistedNodeRetention = std::chrono::seconds(3);
// Nodes with an answer more recent than this are preferred as relays for store calls.
constexpr Duration kRelayAnswerAge = std::chrono::seconds(10);

routing::LoadBalancerConfig BalancerConfig() {
  routing::LoadBalancerConfig config;
  config.report_lifetime = std::chrono::seconds(2);
  config.default_slots = 16;
  config.zone_load_factor = 1.3;
  config.zone_load_margin = 3;
  config.slow_start.weight_min = 0.4;
  config.slow_start.ramp = std::chrono::seconds(4);
  return config;
}

routing::FailureDetectorConfig DetectorConfig() {
  routing::FailureDetectorConfig config;
  config.failures_to_eject = 2;
  config.ejection_min = std::chrono::milliseconds(400);
  config.ejection_max = std::chrono::seconds(3);
  return config;
}

}  // namespace

PeerDirectory::PeerDirectory(std::string own_node, std::string own_zone,
                             std::map<std::string, std::string> regions)
    : own_node_(std::move(own_node)),
      own_zone_(std::move(own_zone)),
      regions_(std::move(regions)),
      balancer_(BalancerConfig()),
      failures_(DetectorConfig()) {}

InstanceId PeerDirectory::InstanceOf(const std::string& node) const {
  // Load and failures are tracked per node, with a constant incarnation, since its worker may be
  // replaced.
  return InstanceId{node, 1};
}

void PeerDirectory::OnRecord(const NodeRecord& record, store::Revision revision) {
  removed_.erase(record.node);
  Peer& peer = peers_[record.node];
  // The process that announced its stop has been replaced.
  if (peer.record.incarnation != record.incarnation) peer.stop.reset();
  peer.record = record;
  peer.revision = revision;
  peer.listed = true;
  targets_built_ = false;
}

void PeerDirectory::OnRemoved(Instant now, const std::string& node) {
  removed_.emplace(node, now);
  const auto found = peers_.find(node);
  if (found == peers_.end()) return;
  found->second.listed = false;
  found->second.unlisted_since = now;
  if (found->second.stopping()) peers_.erase(found);
  targets_built_ = false;
}

void PeerDirectory::OnAnswer(Instant now, const std::string& node,
                             const std::optional<StopNotice>& notice) {
  failures_.OnReachable(InstanceOf(node));
  const auto found = peers_.find(node);
  if (found == peers_.end()) return;
  found->second.answered_at = now;
  OnStopNotice(now, node, notice);
}

void PeerDirectory::OnStopNotice(Instant now, const std::string& node,
                                 const std::optional<StopNotice>& notice) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  const bool known = peer.stop.has_value();
  peer.stop.reset();
  if (notice.has_value()) peer.stop = {now + notice->takes_requests, now + notice->ends};
  if (known == notice.has_value()) return;
  targets_built_ = false;
  if (notice.has_value() && !peer.record.stopping && on_stop_notice_) on_stop_notice_(node);
}

void PeerDirectory::OnFailure(Instant now, const std::string& node) {
  failures_.OnFailure(now, InstanceOf(node));
}

void PeerDirectory::OnLoad(Instant now, const std::string& node, const routing::TargetLoad& load) {
  balancer_.OnLoad(now, InstanceOf(node), load);
}

void PeerDirectory::OnRefusedShare(Instant now, const std::string& node, uint32_t percent) {
  balancer_.OnRefusedShare(now, InstanceOf(node), percent);
}

void PeerDirectory::OnAttemptStart(const std::string& node) {
  balancer_.OnAttemptStart(InstanceOf(node));
}

void PeerDirectory::OnTraffic(TrafficKind kind, const std::string& node, size_t bytes) {
  const Peer* peer = Find(node);
  traffic_.Count(kind, peer != nullptr && peer->record.zone != own_zone_, bytes);
}

void PeerDirectory::OnAttemptEnd(const std::string& node) {
  balancer_.OnAttemptEnd(InstanceOf(node));
}

void PeerDirectory::OnWorkerLeaving(Instant now, const std::string& node,
                                    const std::string& worker_id) {
  if (LeavingSince(node, worker_id).has_value()) return;
  leaving_workers_[node] = {worker_id, now};
  targets_built_ = false;
}

std::optional<Instant> PeerDirectory::LeavingSince(const std::string& node,
                                                   const std::string& worker_id) const {
  const auto found = leaving_workers_.find(node);
  if (found == leaving_workers_.end() || found->second.worker_id != worker_id) return std::nullopt;
  return found->second.since;
}

void PeerDirectory::SetEvacuated(const std::string& zone, bool evacuated) {
  if (evacuated) {
    evacuated_zones_.insert(zone);
  } else {
    evacuated_zones_.erase(zone);
  }
  targets_built_ = false;
}

bool PeerDirectory::IsServiceEvacuated(Instant now, const std::string& service) {
  if (evacuated_zones_.empty()) return false;
  BuildTargets(now);
  const auto found = services_.find(service);
  return found != services_.end() && found->second.evacuated;
}

void PeerDirectory::Sweep(Instant now) {
  bool changed = false;
  for (auto& [node, peer] : peers_) {
    if (!peer.stop.has_value() || now < peer.stop->ends_at) continue;
    peer.stop.reset();
    changed = true;
  }
  changed = std::erase_if(peers_,
                          [&](const auto& entry) {
                            const Peer& peer = entry.second;
                            return !peer.listed &&
                                   now - peer.unlisted_since > kUnlistedNodeRetention &&
                                   now - peer.answered_at > kUnlistedNodeRetention;
                          }) > 0 ||
            changed;
  std::erase_if(leaving_workers_,
                [this](const auto& entry) { return !peers_.contains(entry.first); });
  if (changed) targets_built_ = false;
}

const Peer* PeerDirectory::Find(const std::string& node) const {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

void PeerDirectory::BuildTargets(Instant now) {
  if (targets_built_) return;
  targets_built_ = true;
  services_.clear();
  std::vector<InstanceId> instances;
  for (const auto& [node, peer] : peers_) {
    instances.push_back(InstanceOf(node));
    routing::RouteTarget target;
    target.instance = InstanceOf(node);
    target.zone = peer.record.zone;
    const bool evacuated = IsEvacuated(peer.record.zone);
    target.leaving =
        !peer.record.accepting() || peer.stop.has_value() || evacuated || IsLeaving(peer);
    ServiceTargets& service = services_[peer.record.service];
    service.evacuated = service.evacuated && evacuated;
    service.targets.push_back(std::move(target));
  }
  std::sort(instances.begin(), instances.end());
  balancer_.SetTargets(now, instances);
  failures_.KeepOnly(instances);
}

void PeerDirectory::Exclude(const TargetQuery& query,
                            const std::vector<routing::RouteTarget>& targets,
                            std::vector<bool>* skipped) const {
  for (size_t index = 0; index < targets.size(); ++index) {
    const routing::RouteTarget& target = targets[index];
    const bool excluded = std::find(query.excluded.begin(), query.excluded.end(),
                                    target.instance.node) != query.excluded.end();
    if (excluded || !IsZoneInRegions(target.zone, query.allowed_regions)) (*skipped)[index] = true;
  }
}

bool PeerDirectory::IsZoneInRegions(const std::string& zone,
                                    const std::vector<std::string>& allowed_regions) const {
  if (allowed_regions.empty()) return true;
  const auto region = regions_.find(zone);
  return region != regions_.end() && std::find(allowed_regions.begin(), allowed_regions.end(),
                                               region->second) != allowed_regions.end();
}

bool PeerDirectory::IsInRegions(const std::string& node,
                                const std::vector<std::string>& allowed_regions) const {
  const Peer* peer = Find(node);
  return peer != nullptr && IsZoneInRegions(peer->record.zone, allowed_regions);
}

std::optional<std::string> PeerDirectory::Choose(Instant now, const TargetQuery& query,
                                                 Random& random) {
  BuildTargets(now);
  const auto found = services_.find(query.service);
  if (found == services_.end()) return std::nullopt;
  const auto& targets = found->second.targets;
  std::vector<bool> skipped = failures_.Ejected(now, targets);
  Exclude(query, targets, &skipped);
  auto choice = balancer_.Choose(now, targets, skipped, own_zone_, random, query.answer_size);
  if (!choice.has_value()) {
    // Fall back to nodes that failed recently.
    std::vector<bool> only_excluded(targets.size(), false);
    Exclude(query, targets, &only_excluded);
    choice = balancer_.Choose(now, targets, only_excluded, own_zone_, random, query.answer_size);
  }
  if (!choice.has_value()) return ChooseStopping(now, query, random);
  return targets[*choice].instance.node;
}

std::optional<std::string> PeerDirectory::ChooseStopping(Instant now, const TargetQuery& query,
                                                         Random& random) {
  BuildTargets(now);
  const auto found = services_.find(query.service);
  if (found == services_.end()) return std::nullopt;
  std::vector<routing::RouteTarget> targets = found->second.targets;
  std::vector<bool> skipped(targets.size(), true);
  for (size_t index = 0; index < targets.size(); ++index) {
    const Peer& peer = peers_.at(targets[index].instance.node);
    const bool takes_requests = peer.record.worker_state == WorkerState::kReady &&
                                peer.stop.has_value() && now < peer.stop->takes_requests_until &&
                                !IsEvacuated(peer.record.zone) && !IsLeaving(peer);
    if (!takes_requests) continue;
    targets[index].leaving = false;
    skipped[index] = false;
  }
  Exclude(query, targets, &skipped);
  const auto choice = balancer_.Choose(now, targets, skipped, own_zone_, random, query.answer_size);
  if (!choice.has_value()) return std::nullopt;
  return targets[*choice].instance.node;
}

std::optional<event::Endpoint> PeerDirectory::ChooseRelay(Instant now, Random& random) const {
  std::vector<const Peer*> fresh;
  std::vector<const Peer*> any;
  for (const auto& [node, peer] : peers_) {
    if (node == own_node_ || peer.stopping()) continue;
    any.push_back(&peer);
    if (now - peer.answered_at < kRelayAnswerAge) fresh.push_back(&peer);
  }
  const auto& candidates = fresh.empty() ? any : fresh;
  if (candidates.empty()) return std::nullopt;
  return candidates[random.Below(candidates.size())]->record.inbound;
}

size_t PeerDirectory::ServingNodes(Instant now, const std::string& service) {
  BuildTargets(now);
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  const auto& targets = found->second.targets;
  return static_cast<size_t>(
      std::count_if(targets.begin(), targets.end(),
                    [](const routing::RouteTarget& target) { return !target.leaving; }));
}

bool PeerDirectory::Departed(Instant now, const std::string& node, Duration wait) const {
  const auto removed = removed_.find(node);
  return removed != removed_.end() && now - removed->second >= wait;
}

}  // namespace runshelf::sidecar
