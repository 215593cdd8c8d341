// Distributes the state in the store among the nodes, so that only two of them need to watch it.
//
// The leader is the node with the lowest rank (see CandidateRank) that the store answers. It
// watches the store, forwards every change to the other nodes (see FeedTree) and sends beacons. The
// standby, the node with the second rank, watches the store as well, forwards changes that the
// leader has missed, and takes over when the beacons stop. All other nodes are followers; a
// follower that receives no beacons watches the store itself until it receives one again.
// Correctness does not depend on who leads: changes are ordered by revision, and a gap is closed by
// reading the store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "source/event/event_loop.h"
#include "source/sidecar/feed_messages.h"
#include "source/sidecar/feed_transport.h"
#include "source/sidecar/feed_tree.h"
#include "source/sidecar/freshness_tracker.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/peer_directory.h"
#include "source/store/prefix_watcher.h"

namespace runshelf::sidecar {

struct StateFeedConfig {
  std::string node;
  std::string zone;
  Duration beacon_interval = std::chrono::milliseconds(400);
  // After this long without a beacon the second candidate takes over, after twice as long the
  // third, and so on: several candidates may fail together, and stay listed until their leases
  // expire.
  Duration standby_timeout = std::chrono::milliseconds(700);
  size_t max_leader_candidates = 8;  // Nodes with a higher rank never take over.
  // After this long without a beacon a follower watches the store itself.
  Duration follower_timeout = std::chrono::milliseconds(1200);
  // Changes that a beacon announced and that did not arrive within this time are fetched. Longer
  // than it takes to replace a zone's reader that does not acknowledge.
  Duration catch_up_delay = std::chrono::milliseconds(500);
  // Time for a node to acknowledge a change, in addition to the transmission time on the links.
  // Kept short since several unresponsive nodes may have to be tried one after the other.
  Duration push_timeout = std::chrono::milliseconds(200);
  // Until the first byte of a snapshot, and between its parts.
  Duration snapshot_timeout = std::chrono::milliseconds(300);
  // How long a node that did not acknowledge a change is avoided as a reader and forwarder.
  Duration failure_holdoff = std::chrono::seconds(3);
  uint32_t link_megabits = 0;  // Bandwidth of this machine's link in Mbit/s; zero: not known.
  // Link time that copies of one change may use; further copies are sent by their receivers.
  Duration link_budget = std::chrono::milliseconds(250);
  // Link time that queued snapshots may use; requests beyond it are refused.
  Duration snapshot_link_budget = std::chrono::milliseconds(500);
  // The standby forwards a change that the leader's beacons do not announce within this time.
  Duration leader_lag = std::chrono::milliseconds(200);
  // How often the store is polled while there are many changes: by the leader, which all nodes
  // depend on; by the standby, which only has to notice a leader that falls behind; and by a node
  // that receives no beacons, since many nodes may then poll at once. A new configuration may take
  // two seconds or more to come into force, which leaves room for these intervals.
  store::WatchPace leader_pace{std::chrono::milliseconds(100), 5};
  store::WatchPace standby_pace{std::chrono::milliseconds(250), 2};
  store::WatchPace leaderless_pace{std::chrono::milliseconds(500), 1};
};

// The outcome of a state transfer between two nodes, as seen by the node that started it.
struct StateTransfer {
  enum class Kind { kChanges, kCopy };
  Kind kind = Kind::kChanges;
  size_t bytes = 0;        // Size of the changes sent, or of the snapshot received.
  bool succeeded = false;  // The other node answered in time and did not refuse.
  Duration took{0};
};

// Tells the receiver of changes which nodes to forward them to.
struct ForwardingInstruction {
  bool whole_zone = false;         // All nodes of the receiver's zone.
  std::vector<std::string> nodes;  // Nodes of the receiver's zone; used unless `whole_zone`.
  // Nodes that were given the same instruction before and did not acknowledge the changes.
  std::vector<std::string> failed;
};

// This node's part in the distribution: leader, standby or follower. Not thread-safe.
class StateFeed {
 public:
  // A node whose transport cannot receive beacons always watches the store itself.
  StateFeed(event::EventLoop& loop, std::unique_ptr<FeedTransport> transport, PeerDirectory& peers,
            std::vector<store::PrefixWatcher*> watchers, LogWriter& log, StateFeedConfig config);
  ~StateFeed();

  // Sets the check for whether the store answers this node, called when this node is due to lead;
  // without one it is taken to.
  void set_store_answers(std::function<bool()> store_answers) {
    store_answers_ = std::move(store_answers);
  }

  // Called at the end of each transfer that this node started.
  void set_on_transfer(std::function<void(const StateTransfer&)> on_transfer) {
    on_transfer_ = std::move(on_transfer);
  }

  void Start();
  // This node is shutting down: it does not take over, but if it leads, it continues until it
  // exits, so that there is no gap before the next candidate takes over.
  void SetStopping() { stopping_ = true; }
  // `watcher` received changes from the store.
  void OnChanges(const store::PrefixWatcher& watcher, const store::ChangeSet& changes);
  // Another node sent changes. `acknowledge` is called before they are applied and forwarded, with
  // false when `body` is malformed.
  void OnForwardedChanges(const std::string& body, const ForwardingInstruction& order,
                          const std::function<void(bool understood)>& acknowledge);
  // A serialized snapshot of a prefix for a node that lacks changes. nullopt when this node has
  // none, or when earlier snapshots already use up the link budget: many nodes that miss the same
  // change ask at the same time.
  std::optional<std::string> SnapshotFor(const std::string& prefix);
  bool leading() const { return leading_; }
  // The freshness of each prefix.
  std::map<std::string, Freshness> FreshnessOfState() const;
  // Whether another node announced a change of the prefix that this node does not have yet.
  bool IsBehind(const std::string& prefix) const;
  // Time since the latest beacon of another node, or since Start when there was none.
  Duration TimeSinceLastBeacon() const { return loop_.Now() - last_beacon_at_; }

 private:
  // A node to request a snapshot from.
  struct CopySource {
    std::string node;
    event::Endpoint endpoint;
  };

  void Tick();
  void OnBeacon(std::string_view data);
  void CatchUp();
  // Compares this node's revision of a prefix with the announced one.
  void UpdateFreshness(const store::PrefixWatcher& watcher);
  void OnTransferEnd(const StateTransfer& transfer, const std::string& node);
  // Requests a snapshot from a node that is likely to have the changes that `watcher` lacks; `done`
  // receives whether it succeeded.
  void RequestSnapshot(store::PrefixWatcher* watcher, const std::function<void(bool)>& done);
  std::optional<CopySource> SnapshotSource() const;
  bool IsAnnounced(const std::string& prefix) const;
  void SendBeacons();
  void PushToAll(const std::string& body);
  // Returns the nodes that the changes are being sent to.
  std::set<std::string> ForwardChanges(const std::string& body, const ForwardingInstruction& order);
  void ForwardToNewNodes(const std::string& body, const std::set<std::string>& sent_to);
  // Sends to as many nodes as the link budget allows; these forward to the others.
  void PushToNeighbours(std::vector<FeedReceiver> receivers,
                        const std::shared_ptr<const std::string>& body);
  // The receiver did not acknowledge in time: other nodes are asked to forward in its place.
  void OnPushFailed(const FeedReceiver& receiver, const std::shared_ptr<const std::string>& body,
                    size_t tries_left);
  void ApplyForwardedChanges(const std::string& prefix, const ForwardedChanges& changes);
  Duration PushTimeout(const FeedReceiver& receiver, size_t bytes) const;
  // Reserves link time for a snapshot of `bytes`; false when the snapshots already queued exceed
  // the budget.
  bool TryReserveLink(size_t bytes);
  ForwardedChanges PatchLargeItems(const store::ChangeSet& changes);
  // Forwards changes that the leader that sent `beacon` lacks.
  void PushChangesMissedByLeader(const StateBeacon& beacon);
  void Push(FeedReceiver receiver, const std::shared_ptr<const std::string>& body,
            size_t tries_left);
  // Number of listed nodes, not stopping, that rank before this one.
  size_t Rank() const;
  bool ShouldLead() const;
  void SetRole(bool leading, bool watching);

  event::EventLoop& loop_;
  std::unique_ptr<FeedTransport> transport_;
  PeerDirectory& peers_;
  std::vector<store::PrefixWatcher*> watchers_;
  LogWriter& log_;
  StateFeedConfig config_;
  FeedTree tree_;
  event::Timer timer_;
  event::Timer catch_up_timer_;
  std::map<std::string, store::Revision> announced_;   // In the latest beacon, by prefix.
  std::map<std::string, FreshnessTracker> freshness_;  // By prefix.
  std::function<bool()> store_answers_;
  std::function<void(const StateTransfer&)> on_transfer_;
  std::map<std::string, store::Item> large_items_;  // Latest versions, bases of the next patches.
  std::map<std::string, Instant> changed_at_;       // By prefix: the latest change from the store.
  std::map<std::string, store::Revision>
      pushed_for_leader_;       // By prefix: latest revision forwarded in place of the leader.
  size_t bytes_in_flight_ = 0;  // Of changes that were sent and not acknowledged yet.
  Instant started_at_{};
  Instant last_beacon_at_{};  // When the latest beacon of another node arrived.
  std::string last_leader_;   // The sender of that beacon.
  // Cached snapshots by prefix, since many nodes may lack the same changes.
  struct SerializedSnapshot {
    store::Revision revision = 0;
    std::string bytes;
  };
  std::map<std::string, SerializedSnapshot> snapshots_;
  Instant snapshots_sent_at_{};  // When the link will have transmitted the snapshots so far.
  bool leading_ = false;
  bool watching_ = true;
  bool is_standby_ = false;
  bool stopping_ = false;
};

}  // namespace runshelf::sidecar
