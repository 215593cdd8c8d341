#include "source/sidecar/state_feed.h"

#include <algorithm>
#include <set>
#include <utility>

#include "source/sidecar/text_patch.h"
#include "source/sidecar/transfer_plan.h"

namespace runshelf::sidecar {
namespace {

// Nodes that watch the store: the leader and the standby.
constexpr size_t kWatchingNodes = 2;
// Items of at least this size are forwarded as patches.
constexpr size_t kPatchedItemBytes = 1024;
// Number of nodes that replace one that did not acknowledge a change.
constexpr size_t kMaxReplacementPushes = 2;
// Allowance for other traffic on the links: transmission times count this many times.
constexpr int kLinkShareFactor = 2;

}  // namespace

StateFeed::StateFeed(event::EventLoop& loop, std::unique_ptr<FeedTransport> transport,
                     PeerDirectory& peers, std::vector<store::PrefixWatcher*> watchers,
                     LogWriter& log, StateFeedConfig config)
    : loop_(loop),
      transport_(std::move(transport)),
      peers_(peers),
      watchers_(std::move(watchers)),
      log_(log),
      config_(std::move(config)),
      tree_(peers, config_.node, config_.zone, config_.failure_holdoff),
      timer_(loop, [this] { Tick(); }),
      catch_up_timer_(loop, [this] { CatchUp(); }) {}

StateFeed::~StateFeed() = default;

void StateFeed::Start() {
  started_at_ = loop_.Now();
  for (store::PrefixWatcher* watcher : watchers_) {
    watcher->set_fetch_from_peer(
        [this, watcher](const std::function<void(bool)>& done) { RequestSnapshot(watcher, done); });
  }
  last_beacon_at_ = started_at_;
  if (!transport_->ListenForBeacons([this](std::string_view data) { OnBeacon(data); })) return;
  // Follow until a beacon arrives or the follower timeout expires.
  SetRole(/*leading=*/false, /*watching=*/false);
  Tick();
}

size_t StateFeed::Rank() const {
  const Peer* own = peers_.Find(config_.node);
  return own == nullptr ? peers_.peers().size() : tree_.NodesBefore(own->record);
}

bool StateFeed::ShouldLead() const {
  const Peer* own = peers_.Find(config_.node);
  const bool listed = own != nullptr && own->listed;
  if (!listed || (stopping_ && !leading_)) return false;
  const size_t rank = Rank();
  const Duration takeover_timeout = config_.standby_timeout * static_cast<int64_t>(rank);
  const bool due = rank == 0 || (rank < config_.max_leader_candidates &&
                                 loop_.Now() - last_beacon_at_ > takeover_timeout);
  return due && (!store_answers_ || store_answers_());
}

void StateFeed::Tick() {
  timer_.Start(config_.beacon_interval);
  const Peer* own = peers_.Find(config_.node);
  is_standby_ = own != nullptr && own->listed && !stopping_ && Rank() < kWatchingNodes;
  const bool leading = ShouldLead();
  const bool leaderless = loop_.Now() - last_beacon_at_ > config_.follower_timeout;
  SetRole(leading, leading || is_standby_ || leaderless);
  for (store::PrefixWatcher* watcher : watchers_) {
    watcher->set_pace(leading       ? config_.leader_pace
                      : is_standby_ ? config_.standby_pace
                                    : config_.leaderless_pace);
  }
  if (leading_) SendBeacons();
}

void StateFeed::SetRole(bool leading, bool watching) {
  if (leading != leading_ || watching != watching_) {
    log_.Write(LogLevel::kInfo, "state_feed_role",
               {{"leading", leading},
                {"watching", watching},
                {"silence_ms", ToMilliseconds(loop_.Now() - last_beacon_at_)}});
  }
  leading_ = leading;
  watching_ = watching;
  // A follower does not know which versions the other nodes have, so it keeps no patch bases.
  if (!watching) large_items_.clear();
  for (store::PrefixWatcher* watcher : watchers_) {
    watcher->SetConfirming(watching);
    watcher->SetFollowing(!watching && IsAnnounced(watcher->prefix()));
  }
}

// A leader of another version may not watch all prefixes that this node needs.
bool StateFeed::IsAnnounced(const std::string& prefix) const {
  return announced_.empty() || announced_.contains(prefix);
}

void StateFeed::SendBeacons() {
  StateBeacon beacon;
  beacon.node = config_.node;
  for (const store::PrefixWatcher* watcher : watchers_) {
    beacon.revisions[watcher->prefix()] = watcher->change_revision();
  }
  const std::string text = beacon.Serialize();
  for (const auto& [node, peer] : peers_.peers()) {
    if (node == config_.node) continue;
    peers_.OnTraffic(TrafficKind::kBeacons, node, text.size());
    transport_->SendBeacon(peer.record.inbound.ip, text);
  }
}

void StateFeed::OnBeacon(std::string_view data) {
  auto beacon = StateBeacon::Parse(data);
  if (!beacon.has_value() || beacon->node == config_.node) return;
  last_beacon_at_ = loop_.Now();
  last_leader_ = beacon->node;
  if (is_standby_ && !leading_) PushChangesMissedByLeader(*beacon);
  announced_ = std::move(beacon->revisions);
  for (const store::PrefixWatcher* watcher : watchers_) {
    const auto announced = announced_.find(watcher->prefix());
    if (announced == announced_.end()) continue;
    freshness_[watcher->prefix()].OnAnnounced(last_beacon_at_, announced->second);
    UpdateFreshness(*watcher);
    if (watcher->CompleteTo(announced->second)) continue;
    if (!catch_up_timer_.active()) catch_up_timer_.Start(config_.catch_up_delay);
  }
}

void StateFeed::UpdateFreshness(const store::PrefixWatcher& watcher) {
  const auto behind_for = freshness_[watcher.prefix()].OnKnown(loop_.Now(), watcher.revision());
  // A beacon often arrives before the change that it announces; only longer delays are logged.
  if (!behind_for.has_value() || *behind_for < config_.beacon_interval) return;
  log_.Write(LogLevel::kInfo, "state_caught_up",
             {{"prefix", watcher.prefix()},
              {"revision", store::RevisionText(watcher.revision())},
              {"behind_ms", ToMilliseconds(*behind_for)}});
}

std::map<std::string, Freshness> StateFeed::FreshnessOfState() const {
  std::map<std::string, Freshness> result;
  for (const store::PrefixWatcher* watcher : watchers_) {
    const auto tracker = freshness_.find(watcher->prefix());
    Freshness freshness;
    if (tracker != freshness_.end()) freshness = tracker->second.At(loop_.Now());
    freshness.known = watcher->revision();
    freshness.stale_items = watcher->stale_items();
    freshness.lost_histories = watcher->lost_histories();
    result[watcher->prefix()] = freshness;
  }
  return result;
}

bool StateFeed::IsBehind(const std::string& prefix) const {
  const auto tracker = freshness_.find(prefix);
  return tracker != freshness_.end() && tracker->second.At(loop_.Now()).behind_for > Duration(0);
}

void StateFeed::OnTransferEnd(const StateTransfer& transfer, const std::string& node) {
  if (on_transfer_) on_transfer_(transfer);
  if (transfer.succeeded) return;
  const bool copy = transfer.kind == StateTransfer::Kind::kCopy;
  log_.Write(LogLevel::kInfo, "state_transfer_failed",
             {{"kind", copy ? "copy" : "changes"},
              {"node", node},
              {"bytes", transfer.bytes},
              {"took_ms", ToMilliseconds(transfer.took)}});
}

// The store may refuse requests of the leader while it serves this node.
void StateFeed::PushChangesMissedByLeader(const StateBeacon& beacon) {
  for (const store::PrefixWatcher* watcher : watchers_) {
    const std::string& prefix = watcher->prefix();
    const store::Revision revision = watcher->change_revision();
    const auto announced = beacon.revisions.find(prefix);
    if (announced == beacon.revisions.end() || announced->second >= revision) continue;
    const bool recent = loop_.Now() - changed_at_[prefix] < config_.leader_lag;
    if (recent || pushed_for_leader_[prefix] >= revision) continue;
    pushed_for_leader_[prefix] = revision;
    log_.Write(LogLevel::kInfo, "leader_behind",
               {{"leader", beacon.node},
                {"prefix", prefix},
                {"announced", store::RevisionText(announced->second)},
                {"revision", store::RevisionText(revision)}});
    PushToAll(SerializeChanges(prefix, WithFullValues(watcher->Snapshot())));
  }
}

// The follower with the lowest rank in the zone: its items have exactly the revisions that the
// leader's patches are based on, while a node that watches the store has others in between. That
// follower itself asks the leader.
std::optional<StateFeed::CopySource> StateFeed::SnapshotSource() const {
  const Peer* leader = peers_.Find(last_leader_);
  if (leader == nullptr) return std::nullopt;
  const std::vector<std::string> candidates = tree_.LeaderCandidates();
  const std::set<std::string> watching(
      candidates.begin(),
      candidates.begin() + std::min<std::ptrdiff_t>(kWatchingNodes, std::ssize(candidates)));
  for (const std::string& node : candidates) {
    const Peer* peer = peers_.Find(node);
    if (peer->record.zone != config_.zone || tree_.RecentlyFailed(loop_.Now(), node)) continue;
    if (node == config_.node) break;
    if (node == last_leader_ || !watching.contains(node)) {
      return CopySource{node, peer->record.inbound};
    }
  }
  return CopySource{last_leader_, leader->record.inbound};
}

void StateFeed::RequestSnapshot(store::PrefixWatcher* watcher,
                                const std::function<void(bool)>& done) {
  const auto source = leading_ ? std::nullopt : SnapshotSource();
  if (!source.has_value()) {
    done(false);
    return;
  }
  transport_->FetchSnapshot(
      source->endpoint, watcher->prefix(), config_.snapshot_timeout,
      [this, done, node = source->node,
       begun_at = loop_.Now()](const std::optional<FeedAnswer>& answer) {
        const bool answered = answer.has_value() && answer->accepted;
        const size_t bytes = answered ? answer->body.size() : 0;
        OnTransferEnd({StateTransfer::Kind::kCopy, bytes, answered, loop_.Now() - begun_at}, node);
        if (answered) {
          OnForwardedChanges(answer->body, ForwardingInstruction{}, [](bool) {});
        } else if (!answer.has_value()) {
          tree_.OnReaderFailed(loop_.Now(), node);
        }
        done(answered);
      });
}

std::optional<std::string> StateFeed::SnapshotFor(const std::string& prefix) {
  for (const store::PrefixWatcher* watcher : watchers_) {
    if (watcher->prefix() != prefix || !watcher->synchronized()) continue;
    SerializedSnapshot& kept = snapshots_[prefix];
    const store::Revision revision = watcher->revision();
    if (kept.bytes.empty() || kept.revision != revision) {
      kept.revision = revision;
      kept.bytes = SerializeChanges(prefix, WithFullValues(watcher->Snapshot()));
    }
    if (!TryReserveLink(kept.bytes.size())) return std::nullopt;
    return kept.bytes;
  }
  return std::nullopt;
}

bool StateFeed::TryReserveLink(size_t bytes) {
  const Instant now = loop_.Now();
  if (snapshots_sent_at_ - now > config_.snapshot_link_budget) return false;
  snapshots_sent_at_ = std::max(now, snapshots_sent_at_) + TimeOnLink(bytes, config_.link_megabits);
  return true;
}

void StateFeed::CatchUp() {
  for (store::PrefixWatcher* watcher : watchers_) {
    const auto announced = announced_.find(watcher->prefix());
    if (announced == announced_.end() || watcher->CompleteTo(announced->second)) continue;
    log_.Write(LogLevel::kInfo, "state_behind",
               {{"prefix", watcher->prefix()},
                {"announced", store::RevisionText(announced->second)},
                {"change_revision", store::RevisionText(watcher->change_revision())}});
    watcher->CatchUp(announced->second);
  }
}

void StateFeed::OnChanges(const store::PrefixWatcher& watcher, const store::ChangeSet& changes) {
  changed_at_[watcher.prefix()] = loop_.Now();
  UpdateFreshness(watcher);
  const ForwardedChanges forwarded = PatchLargeItems(changes);
  if (leading_) PushToAll(SerializeChanges(watcher.prefix(), forwarded));
}

// Keeps the large items as bases, so that their next changes are sent as patches.
ForwardedChanges StateFeed::PatchLargeItems(const store::ChangeSet& changes) {
  ForwardedChanges result = WithFullValues(LatestOfEachItem(changes));
  for (ForwardedEvent& forwarded : result.events) {
    store::Item& item = forwarded.event.item;
    if (forwarded.event.removed || item.value.size() < kPatchedItemBytes) continue;
    store::Item& former = large_items_[item.key];
    const store::Item current = item;
    if (former.revision != 0) {
      std::string patch = MakeTextPatch(former.value, item.value);
      if (patch.size() < item.value.size()) {
        item.value = std::move(patch);
        forwarded.base_revision = former.revision;
      }
    }
    former = current;
  }
  return result;
}

void StateFeed::PushToAll(const std::string& body) {
  const auto shared = std::make_shared<const std::string>(body);
  for (const FeedReceiver& receiver : tree_.ReadersOfOtherZones(loop_.Now())) {
    Push(receiver, shared, kMaxReplacementPushes);
  }
  PushToNeighbours(tree_.ReceiversInZone(loop_.Now()), shared);
}

std::set<std::string> StateFeed::ForwardChanges(const std::string& body,
                                                const ForwardingInstruction& order) {
  if (!order.whole_zone && order.nodes.empty()) return {};
  const Instant now = loop_.Now();
  for (const std::string& node : order.failed) tree_.OnReaderFailed(now, node);
  std::vector<FeedReceiver> receivers =
      order.whole_zone ? tree_.ReceiversInZone(now) : tree_.ReceiversAmong(now, order.nodes);
  std::set<std::string> nodes;
  for (const FeedReceiver& receiver : receivers) nodes.insert(receiver.node);
  PushToNeighbours(std::move(receivers), std::make_shared<const std::string>(body));
  return nodes;
}

void StateFeed::PushToNeighbours(std::vector<FeedReceiver> receivers,
                                 const std::shared_ptr<const std::string>& body) {
  const size_t copies =
      CopiesWithin(config_.link_budget, config_.link_megabits, body->size(), bytes_in_flight_);
  for (const FeedReceiver& receiver : AssignForwarding(std::move(receivers), copies)) {
    Push(receiver, body, kMaxReplacementPushes);
  }
}

Duration StateFeed::PushTimeout(const FeedReceiver& receiver, size_t bytes) const {
  const Duration on_links = TimeOnLink(bytes_in_flight_, config_.link_megabits) +
                            TimeOnLink(bytes, receiver.link_megabits);
  return config_.push_timeout + on_links * kLinkShareFactor;
}

void StateFeed::Push(FeedReceiver receiver, const std::shared_ptr<const std::string>& body,
                     size_t tries_left) {
  const bool passes_on = receiver.reads_for_zone || !receiver.forward_to.empty();
  if (passes_on) {
    for (std::string& node : tree_.RecentlyFailedIn(loop_.Now(), receiver.zone)) {
      receiver.failed.push_back(std::move(node));
    }
  }
  peers_.OnTraffic(TrafficKind::kStateChanges, receiver.node, body->size());
  bytes_in_flight_ += body->size();
  transport_->SendChanges(
      receiver, *body, PushTimeout(receiver, body->size()),
      [this, receiver, body, tries_left,
       begun_at = loop_.Now()](const std::optional<FeedAnswer>& answer) {
        const bool taken = answer.has_value() && answer->accepted;
        OnTransferEnd({StateTransfer::Kind::kChanges, body->size(), taken, loop_.Now() - begun_at},
                      receiver.node);
        bytes_in_flight_ -= body->size();
        if (!taken) OnPushFailed(receiver, body, tries_left);
      });
}

// A single node that misses a change notices it from the next beacon. When a forwarding node fails,
// however, all nodes behind it would read the store, so others are asked to forward instead.
void StateFeed::OnPushFailed(const FeedReceiver& receiver,
                             const std::shared_ptr<const std::string>& body, size_t tries_left) {
  if (!receiver.reads_for_zone && receiver.forward_to.empty()) return;
  const Instant now = loop_.Now();
  tree_.OnReaderFailed(now, receiver.node);
  log_.Write(LogLevel::kInfo, "zone_reader_failed",
             {{"node", receiver.node}, {"zone", receiver.zone}, {"tries_left", tries_left}});
  if (tries_left == 0) return;
  // All at once: nodes with adjacent ranks may be unresponsive together, and trying them in turn
  // would cost a time-out each.
  auto next = receiver.reads_for_zone
                  ? tree_.ReadersOf(now, receiver.zone, tries_left)
                  : AssignForwarding(tree_.ReceiversAmong(now, receiver.forward_to), tries_left);
  std::erase_if(next, [&](const FeedReceiver& other) { return other.node == receiver.node; });
  for (FeedReceiver& one : next) {
    // None of them forwards through another, which may not answer either.
    for (const FeedReceiver& other : next) {
      if (other.node != one.node) one.failed.push_back(other.node);
    }
    Push(one, body, 0);
  }
}

void StateFeed::OnForwardedChanges(const std::string& body, const ForwardingInstruction& order,
                                   const std::function<void(bool understood)>& acknowledge) {
  std::string prefix;
  ForwardedChanges changes;
  const bool understood = ParseChanges(body, &prefix, &changes);
  acknowledge(understood);
  if (!understood) return;
  // Forwarded before applied: on a small machine, applying a configuration of thousands of routes
  // takes longer than sending it.
  const std::set<std::string> sent_to = ForwardChanges(body, order);
  ApplyForwardedChanges(prefix, changes);
  if (order.whole_zone) ForwardToNewNodes(body, sent_to);
}

// The changes may have added nodes of the zone that were not known when they were forwarded.
void StateFeed::ForwardToNewNodes(const std::string& body, const std::set<std::string>& sent_to) {
  std::vector<FeedReceiver> receivers = tree_.ReceiversInZone(loop_.Now());
  std::erase_if(receivers,
                [&](const FeedReceiver& receiver) { return sent_to.contains(receiver.node); });
  if (!receivers.empty()) PushToNeighbours(receivers, std::make_shared<const std::string>(body));
}

void StateFeed::ApplyForwardedChanges(const std::string& prefix, const ForwardedChanges& changes) {
  for (store::PrefixWatcher* watcher : watchers_) {
    if (watcher->prefix() != prefix) continue;
    const auto whole = ApplyPatches(changes, watcher->items());
    if (whole.has_value()) {
      watcher->ApplyChanges(*whole);
    } else if (watcher->following()) {
      watcher->CatchUp(changes.to);
    }
    // A node that watches the store reads there what it cannot patch.
    UpdateFreshness(*watcher);
  }
}

}  // namespace runshelf::sidecar
