// The nodes of the fleet as known to this node: from their items in the store, and from whether
// they answer.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/routing/failure_detector.h"
#include "runshelf/routing/load_balancer.h"
#include "runshelf/routing/routing_snapshot.h"
#include "source/sidecar/node_record.h"
#include "source/sidecar/stop_notice.h"
#include "source/sidecar/traffic_meter.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// A node's planned stop, as announced with one of its answers. While the store is unavailable this
// arrives sooner than the node's item in the store.
struct PeerStop {
  Instant takes_requests_until;
  Instant ends_at;  // Afterwards another process may run on the node.
};

// A known node.
struct Peer {
  NodeRecord record;
  store::Revision revision = 0;  // Of the item that `record` was read from.
  std::optional<PeerStop> stop;  // Announced by the process that wrote `record`.
  bool listed = true;            // Its item is in the store.
  Instant unlisted_since{};      // Valid unless `listed`.
  Instant answered_at{};         // Its latest answer to this node.

  bool stopping() const { return record.stopping || stop.has_value(); }
};

// Which node may get a request.
struct TargetQuery {
  std::string service;
  std::vector<std::string> excluded;         // Nodes that are not to be chosen.
  std::vector<std::string> allowed_regions;  // Empty: all.
  routing::AnswerSize answer_size = routing::AnswerSize::kUsual;
};

// Keeps the known nodes and chooses among them by load and failures. Deterministic; not
// thread-safe.
class PeerDirectory {
 public:
  // `regions`: the region of each zone.
  PeerDirectory(std::string own_node, std::string own_zone,
                std::map<std::string, std::string> regions = {});

  // A node's item in the store was written, with this revision, or removed.
  void OnRecord(const NodeRecord& record, store::Revision revision = 0);
  void OnRemoved(Instant now, const std::string& node);
  // A node answered; `notice` is set when the answer announced a stop.
  void OnAnswer(Instant now, const std::string& node,
                const std::optional<StopNotice>& notice = std::nullopt);
  // A node, possibly this one, announces its stop; nullopt: it is not stopping.
  void OnStopNotice(Instant now, const std::string& node, const std::optional<StopNotice>& notice);
  // A node could not be reached, or lost a request.
  void OnFailure(Instant now, const std::string& node);
  void OnLoad(Instant now, const std::string& node, const routing::TargetLoad& load);
  // The part of OnLoad() that also applies to this node, whose other load needs no reports.
  void OnRefusedShare(Instant now, const std::string& node, uint32_t percent);
  void OnAttemptStart(const std::string& node);
  // Bytes were exchanged with a node.
  void OnTraffic(TrafficKind kind, const std::string& node, size_t bytes);
  const TrafficMeter& traffic() const { return traffic_; }
  void OnAttemptEnd(const std::string& node);
  // Called when an answer is the first to announce that a node stops.
  void set_on_stop_notice(std::function<void(const std::string& node)> callback) {
    on_stop_notice_ = std::move(callback);
  }
  // The worker on the node stated in an answer that it is leaving. It is not chosen any more, even
  // if a process that starts on the node does not know of it.
  void OnWorkerLeaving(Instant now, const std::string& node, const std::string& worker_id);
  // Since when this worker on the node is known to be leaving; nullopt: it is not.
  std::optional<Instant> LeavingSince(const std::string& node, const std::string& worker_id) const;
  // Operators have evacuated the zone, or returned it to use. Workers of an evacuated zone are not
  // chosen.
  void SetEvacuated(const std::string& zone, bool evacuated);
  const std::set<std::string>& evacuated_zones() const { return evacuated_zones_; }
  bool IsEvacuated(const std::string& zone) const { return evacuated_zones_.contains(zone); }
  // Whether the service has workers, and all of them are in evacuated zones.
  bool IsServiceEvacuated(Instant now, const std::string& service);
  // Removes nodes that have neither an item nor recent answers. Call about every second.
  void Sweep(Instant now);

  const Peer* Find(const std::string& node) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }

  // Chooses a node whose worker accepts requests of the query, by load. A stopping node is chosen
  // only when there is no other and it still takes requests.
  std::optional<std::string> Choose(Instant now, const TargetQuery& query, Random& random);
  // The same among the stopping nodes that still take requests.
  std::optional<std::string> ChooseStopping(Instant now, const TargetQuery& query, Random& random);
  // Whether requests that only `allowed_regions` may run can be sent to the node. Empty: all
  // regions may. A node whose region is not known is in none of them.
  bool IsInRegions(const std::string& node, const std::vector<std::string>& allowed_regions) const;
  // Another node to relay store calls through, preferably one that answered recently.
  std::optional<event::Endpoint> ChooseRelay(Instant now, Random& random) const;
  // Whether the node has had no item in the store for at least `wait`.
  bool Departed(Instant now, const std::string& node, Duration wait) const;
  size_t live_nodes() const { return peers_.size(); }
  // Number of nodes whose workers of the service accept new requests.
  size_t ServingNodes(Instant now, const std::string& service);

 private:
  struct ServiceTargets {
    std::vector<routing::RouteTarget> targets;
    bool evacuated = true;  // All of them are in evacuated zones.
  };

  struct LeavingWorker {
    std::string worker_id;
    Instant since{};
  };

  bool IsLeaving(const Peer& peer) const {
    return LeavingSince(peer.record.node, peer.record.worker_id).has_value();
  }
  // Rebuilds the targets if nodes have changed. Each build visits all nodes, and many change at
  // once when many start, so it is deferred to the next choice.
  void BuildTargets(Instant now);
  // Sets the flags of the targets that the query excludes.
  void Exclude(const TargetQuery& query, const std::vector<routing::RouteTarget>& targets,
               std::vector<bool>* skipped) const;
  bool IsZoneInRegions(const std::string& zone,
                       const std::vector<std::string>& allowed_regions) const;
  InstanceId InstanceOf(const std::string& node) const;

  std::string own_node_;
  std::string own_zone_;
  std::map<std::string, std::string> regions_;  // By zone.
  std::map<std::string, Peer> peers_;
  std::map<std::string, Instant> removed_;  // When a node's item was removed, until it reappears.
  std::map<std::string, LeavingWorker> leaving_workers_;  // By node.
  std::set<std::string> evacuated_zones_;
  std::map<std::string, ServiceTargets> services_;
  bool targets_built_ = false;
  std::function<void(const std::string& node)> on_stop_notice_;
  routing::LoadBalancer balancer_;
  routing::FailureDetector failures_;
  TrafficMeter traffic_;
};

}  // namespace runshelf::sidecar
