// The nodes of the fleet as this one knows them: from their items in the store, and from whether
// they answer.
#pragma once

#include <functional>
#include <map>
#include <optional>
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

namespace runshelf::sidecar {

// What a node said of its stop with an answer, which comes sooner than its item in the store when
// the store is away.
struct PeerStop {
  Instant takes_requests_until;
  Instant ends_at;  // Another process may be there afterwards.
};

struct Peer {
  NodeRecord record;
  std::optional<PeerStop> stop;  // Said by the process that `record` is of.
  bool listed = true;            // Its item is in the store.
  Instant unlisted_since{};      // Of one that is not listed.
  Instant answered_at{};         // Its latest answer to this node.

  bool stopping() const { return record.stopping || stop.has_value(); }
};

// Deterministic; not thread-safe.
class PeerDirectory {
 public:
  PeerDirectory(std::string own_node, std::string own_zone);

  // An item of a node was written, or is gone.
  void OnRecord(const NodeRecord& record);
  void OnRemoved(Instant now, const std::string& node);
  // A node answered, and said whether it stops, or could not be reached or lost a request.
  void OnAnswer(Instant now, const std::string& node,
                const std::optional<StopNotice>& notice = std::nullopt);
  // A node, maybe this one, tells of its stop; nullopt: it does not stop.
  void OnStopNotice(Instant now, const std::string& node, const std::optional<StopNotice>& notice);
  void OnFailure(Instant now, const std::string& node);
  void OnLoad(Instant now, const std::string& node, const routing::TargetLoad& load);
  void OnAttemptStart(const std::string& node);
  // Bytes were exchanged with a node.
  void OnTraffic(TrafficKind kind, const std::string& node, size_t bytes);
  const TrafficMeter& traffic() const { return traffic_; }
  void OnAttemptEnd(const std::string& node);
  // Called for each node that is first known to stop by one of its answers.
  void set_on_stop_notice(std::function<void(const std::string& node)> callback) {
    on_stop_notice_ = std::move(callback);
  }
  // Forgets nodes that lost their item and stopped answering. Call about every second.
  void Sweep(Instant now);

  const Peer* Find(const std::string& node) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }

  // A node whose worker takes requests for `service`, by load; none of `excluded`. One that stops
  // only when there is no other, and while it said that it still takes requests.
  std::optional<std::string> Choose(Instant now, const std::string& service,
                                    const std::vector<std::string>& excluded, Random& random,
                                    routing::AnswerSize answer_size = routing::AnswerSize::kUsual);
  // The same among the nodes that stop and said that they still take requests.
  std::optional<std::string> ChooseStopping(
      Instant now, const std::string& service, const std::vector<std::string>& excluded,
      Random& random, routing::AnswerSize answer_size = routing::AnswerSize::kUsual);
  // Another node that answered lately, to pass calls to the store on.
  std::optional<event::Endpoint> ChooseRelay(Instant now, Random& random) const;
  // Nodes without an item in the store for longer than `wait`.
  bool Departed(Instant now, const std::string& node, Duration wait) const;
  size_t live_nodes() const { return peers_.size(); }
  // Nodes whose workers of the service take new requests.
  size_t ServingNodes(Instant now, const std::string& service);

 private:
  struct ServiceTargets {
    std::vector<routing::RouteTarget> targets;
  };

  // The nodes changed since the targets were built. Many change at once when many start, and each
  // build looks at all of them: it waits for the next choice.
  void BuildTargets(Instant now);
  InstanceId InstanceOf(const std::string& node) const;

  std::string own_node_;
  std::string own_zone_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Instant> removed_;  // When items went; until they come again.
  std::map<std::string, ServiceTargets> services_;
  bool targets_built_ = false;
  std::function<void(const std::string& node)> on_stop_notice_;
  routing::LoadBalancer balancer_;
  routing::FailureDetector failures_;
  TrafficMeter traffic_;
};

}  // namespace runshelf::sidecar
