// The nodes of the fleet as this one knows them: from their items in the store, and from whether
// they answer.
#pragma once

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

namespace runshelf::sidecar {

struct Peer {
  NodeRecord record;
  bool listed = true;        // Its item is in the store.
  Instant unlisted_since{};  // Of one that is not listed.
  Instant answered_at{};     // Its latest answer to this node.
};

// Deterministic; not thread-safe.
class PeerDirectory {
 public:
  PeerDirectory(std::string own_node, std::string own_zone);

  // An item of a node was written, or is gone.
  void OnRecord(Instant now, const NodeRecord& record);
  void OnRemoved(Instant now, const std::string& node);
  // A node answered, or could not be reached or lost a request.
  void OnAnswer(Instant now, const std::string& node);
  void OnFailure(Instant now, const std::string& node);
  void OnLoad(Instant now, const std::string& node, const routing::TargetLoad& load);
  void OnAttemptStart(const std::string& node);
  void OnAttemptEnd(const std::string& node);
  // Forgets nodes that lost their item and stopped answering. Call about every second.
  void Sweep(Instant now);

  const Peer* Find(const std::string& node) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }

  // A node whose worker takes requests for `service`, by load; none of `excluded`.
  std::optional<std::string> Choose(Instant now, const std::string& service,
                                    const std::vector<std::string>& excluded, Random& random,
                                    routing::AnswerSize answer_size = routing::AnswerSize::kUsual);
  // Another node that answered lately, to pass calls to the store on.
  std::optional<event::Endpoint> ChooseRelay(Instant now, Random& random) const;
  // Nodes without an item in the store for longer than `wait`.
  bool Departed(Instant now, const std::string& node, Duration wait) const;
  size_t live_nodes() const { return peers_.size(); }
  // Nodes whose workers of the service take new requests.
  size_t ServingNodes(const std::string& service) const;

 private:
  struct ServiceTargets {
    std::vector<routing::RouteTarget> targets;
  };

  void Rebuild(Instant now);
  InstanceId InstanceOf(const std::string& node) const;

  std::string own_node_;
  std::string own_zone_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Instant> removed_;  // When items went; until they come again.
  std::map<std::string, ServiceTargets> services_;
  routing::LoadBalancer balancer_;
  routing::FailureDetector failures_;
};

}  // namespace runshelf::sidecar
