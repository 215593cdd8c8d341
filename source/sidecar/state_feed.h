// Spreads the state in the store over the nodes, so that two of them watch it and not all.
//
// The first node in line, the leader, watches the store, passes every change on to the others (see
// FeedTree) and sends beacons, while the store answers it. The second one watches as well, passes
// on what the leader has not heard of, and takes over when the beacons stop. All others follow; one
// that hears no beacon watches the store itself until it hears one again. Nothing is decided by who
// leads: revisions order the changes, and a gap is closed by reading the store.
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
  // Without a beacon for this long the second node leads, for twice as long the third, and so on:
  // several of the first may have been lost together, and stay listed until their leases end.
  Duration standby_timeout = std::chrono::milliseconds(700);
  size_t max_leader_candidates = 8;  // That may lead.
  // Without a beacon for this long a node watches for itself.
  Duration follower_timeout = std::chrono::milliseconds(1200);
  // Changes that a beacon tells of and that did not come within this time are read.
  // Longer than a zone's second reader takes to be asked in place of the first.
  Duration catch_up_delay = std::chrono::milliseconds(500);
  // For a node to acknowledge a change, besides the time that its bytes take on the links. Several
  // that stand still may be asked one after the other.
  Duration push_timeout = std::chrono::milliseconds(200);
  // For the first byte of a copy, and between its parts.
  Duration snapshot_timeout = std::chrono::milliseconds(300);
  // For which a node that did not acknowledge a change is not relied on.
  Duration failure_holdoff = std::chrono::seconds(3);
  uint32_t link_megabits = 0;  // Of this machine; zero: not known.
  // For which the copies of one change may fill this machine's link; other nodes make the rest.
  Duration link_budget = std::chrono::milliseconds(250);
  // For which copies that were asked for may; further requests are refused.
  Duration snapshot_link_budget = std::chrono::milliseconds(500);
  // A change that the leader's beacons do not tell of within this time is passed on by the second.
  Duration leader_lag = std::chrono::milliseconds(200);
  // How often the store is asked for changes while there are many: by the leader, whom all wait
  // for; by the one that stands by, which only has to notice a leader that falls behind; and by a
  // node that hears no leader, when many others may do the same. A configuration has two seconds or
  // more to be in force.
  store::WatchPace leader_pace{std::chrono::milliseconds(100), 5};
  store::WatchPace standby_pace{std::chrono::milliseconds(250), 2};
  store::WatchPace leaderless_pace{std::chrono::milliseconds(500), 1};
};

// A transfer of a part of the state between two nodes, seen by the one that began it.
struct StateTransfer {
  enum class Kind { kChanges, kCopy };
  Kind kind = Kind::kChanges;
  size_t bytes = 0;        // Of the changes that were sent, or of the copy that came.
  bool succeeded = false;  // The other node answered in time, and did not refuse.
  Duration took{0};
};

// Whom the receiver of changes is asked to pass them on to.
struct ForwardingInstruction {
  bool whole_zone = false;         // All nodes of its zone.
  std::vector<std::string> nodes;  // These, of its zone.
  // These did not acknowledge the changes when they were asked the same.
  std::vector<std::string> failed;
};

class StateFeed {
 public:
  // A node whose transport receives no beacons watches the store for itself.
  StateFeed(event::EventLoop& loop, std::unique_ptr<FeedTransport> transport, PeerDirectory& peers,
            std::vector<store::PrefixWatcher*> watchers, LogWriter& log, StateFeedConfig config);
  ~StateFeed();

  // Tells whether the store answers this node.
  void set_store_answers(std::function<bool()> store_answers) {
    store_answers_ = std::move(store_answers);
  }

  // Called at the end of each transfer that this node began.
  void set_on_transfer(std::function<void(const StateTransfer&)> on_transfer) {
    on_transfer_ = std::move(on_transfer);
  }

  void Start();
  // This node is about to end: it does not begin to lead, and if it leads, it goes on to until it
  // ends, so that nobody is without news before the next one in line knows.
  void SetStopping() { stopping_ = true; }
  // One of the watchers got changes from the store.
  void OnChanges(const store::PrefixWatcher& watcher, const store::ChangeSet& changes);
  // Another node passed changes on. `acknowledge` is called before they are applied and passed on,
  // with false when they cannot be understood.
  void OnForwardedChanges(const std::string& body, const ForwardingInstruction& order,
                          const std::function<void(bool understood)>& acknowledge);
  // This node's copy of a prefix, for another one that lacks changes; nullopt: it has none, or its
  // link is full of others. Many nodes that miss the same change ask at the same time.
  std::optional<std::string> SnapshotFor(const std::string& prefix);
  bool leading() const { return leading_; }
  // By prefix.
  std::map<std::string, Freshness> FreshnessOfState() const;
  // Others announced a change of the prefix that this node has not got yet.
  bool IsBehind(const std::string& prefix) const;
  // Since the latest beacon of another node, or since the start.
  Duration TimeSinceLastBeacon() const { return loop_.Now() - last_beacon_at_; }

 private:
  // A node that is asked for its copy.
  struct CopySource {
    std::string node;
    event::Endpoint endpoint;
  };

  void Tick();
  void OnBeacon(std::string_view data);
  void CatchUp();
  // Compares this node's copy of a prefix with what others announced.
  void UpdateFreshness(const store::PrefixWatcher& watcher);
  void OnTransferEnd(const StateTransfer& transfer, const std::string& node);
  // Asks a node that is likely to have the changes that `watcher` lacks.
  void RequestSnapshot(store::PrefixWatcher* watcher, const std::function<void(bool)>& done);
  std::optional<CopySource> SnapshotSource() const;
  void SendBeacons();
  void PushToAll(const std::string& body);
  // Returns the nodes that the changes are on their way to.
  std::set<std::string> ForwardChanges(const std::string& body, const ForwardingInstruction& order);
  void ForwardToNewNodes(const std::string& body, const std::set<std::string>& sent_to);
  // Sends to as many as the link carries soon, which serve the others.
  void PushToNeighbours(std::vector<FeedReceiver> receivers,
                        const std::shared_ptr<const std::string>& body);
  // The receiver did not acknowledge in time: another one takes over what it was asked to do.
  void OnPushFailed(const FeedReceiver& receiver, const std::shared_ptr<const std::string>& body,
                    size_t tries_left);
  void ApplyForwardedChanges(const std::string& prefix, const ForwardedChanges& changes);
  Duration PushTimeout(const FeedReceiver& receiver, size_t bytes) const;
  // Whether a copy may be handed out now: those before it leave the link soon.
  bool TryReserveLink(size_t bytes);
  ForwardedChanges PatchLargeItems(const store::ChangeSet& changes);
  // Passes on what the leader of `beacon` lacks.
  void PushChangesMissedByLeader(const StateBeacon& beacon);
  void Push(FeedReceiver receiver, const std::shared_ptr<const std::string>& body,
            size_t tries_left);
  // Place of this node in line among those that are listed and not stopping.
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
  std::map<std::string, store::Revision> announced_;   // By the latest beacon.
  std::map<std::string, FreshnessTracker> freshness_;  // By prefix.
  std::function<bool()> store_answers_;
  std::function<void(const StateTransfer&)> on_transfer_;
  std::map<std::string, store::Item> large_items_;  // As they were passed on, or seen, last.
  std::map<std::string, Instant> changed_at_;       // By prefix: the latest change from the store.
  std::map<std::string, store::Revision>
      pushed_for_leader_;       // By prefix: passed on in the leader's place.
  size_t bytes_in_flight_ = 0;  // Of changes that were not acknowledged yet.
  Instant started_at_{};
  Instant last_beacon_at_{};  // The latest beacon of another node.
  std::string last_leader_;   // That node.
  // Copies as they were handed out last, by prefix: many nodes may lack the same changes.
  struct SerializedSnapshot {
    store::Revision revision = 0;
    std::string bytes;
  };
  std::map<std::string, SerializedSnapshot> snapshots_;
  Instant snapshots_sent_at_{};  // When the link will have sent the copies that were handed out.
  bool leading_ = false;
  bool watching_ = true;
  bool is_standby_ = false;
  bool stopping_ = false;
};

}  // namespace runshelf::sidecar
