#include "source/sidecar/state_feed.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "source/sidecar/peer_protocol.h"

namespace runshelf::sidecar {
namespace {

using nlohmann::json;

// Nodes that watch the store: the leader and the one that stands by.
constexpr size_t kWatchingNodes = 2;
constexpr const char* kPushTarget = "/state";

json ToBinary(const std::string& text) {
  return json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

bool ReadEvent(const json& row, store::WatchEvent* event) {
  if (!row.is_array() || row.size() != 5) return false;
  if (!row[0].is_string() || !row[1].is_number_integer() || !row[2].is_number_integer() ||
      !row[3].is_boolean() || !row[4].is_binary()) {
    return false;
  }
  event->item.key = row[0].get<std::string>();
  event->item.revision = row[1].get<store::Revision>();
  event->item.lease = row[2].get<store::LeaseId>();
  event->removed = row[3].get<bool>();
  const auto& bytes = row[4].get_binary();
  event->item.value.assign(bytes.begin(), bytes.end());
  return true;
}

}  // namespace

std::string StateBeacon::Serialize() const {
  return json{{"node", node}, {"revisions", revisions}}.dump();
}

std::optional<StateBeacon> StateBeacon::Parse(std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("node") || !value["node"].is_string()) {
    return std::nullopt;
  }
  if (!value.contains("revisions") || !value["revisions"].is_object()) return std::nullopt;
  StateBeacon beacon;
  beacon.node = value["node"].get<std::string>();
  for (const auto& [prefix, revision] : value["revisions"].items()) {
    if (!revision.is_number_integer()) return std::nullopt;
    beacon.revisions[prefix] = revision.get<store::Revision>();
  }
  return beacon;
}

std::string SerializeChanges(const std::string& prefix, const store::ChangeSet& changes) {
  json events = json::array();
  for (const store::WatchEvent& event : changes.events) {
    events.push_back({event.item.key, event.item.revision, event.item.lease, event.removed,
                      ToBinary(event.item.value)});
  }
  const json body{{"prefix", prefix},
                  {"complete", changes.complete},
                  {"from", changes.from},
                  {"to", changes.to},
                  {"events", events}};
  const std::vector<uint8_t> bytes = json::to_cbor(body);
  return {bytes.begin(), bytes.end()};
}

bool ParseChanges(std::string_view text, std::string* prefix, store::ChangeSet* changes) {
  const json body = json::from_cbor(text.begin(), text.end(), /*strict=*/true,
                                    /*allow_exceptions=*/false);
  if (!body.is_object()) return false;
  for (const char* name : {"prefix", "complete", "from", "to", "events"}) {
    if (!body.contains(name)) return false;
  }
  if (!body["complete"].is_boolean() || !body["prefix"].is_string() ||
      !body["from"].is_number_integer() || !body["to"].is_number_integer() ||
      !body["events"].is_array()) {
    return false;
  }
  *prefix = body["prefix"].get<std::string>();
  changes->complete = body["complete"].get<bool>();
  changes->from = body["from"].get<store::Revision>();
  changes->to = body["to"].get<store::Revision>();
  changes->events.clear();
  for (const json& row : body["events"]) {
    store::WatchEvent event;
    if (!ReadEvent(row, &event)) return false;
    changes->events.push_back(std::move(event));
  }
  return true;
}

StateFeed::StateFeed(event::EventLoop& loop, http::ConnectionPool& pool, PeerDirectory& peers,
                     std::vector<store::PrefixWatcher*> watchers, LogWriter& log,
                     StateFeedConfig config)
    : loop_(loop),
      peers_(peers),
      watchers_(std::move(watchers)),
      log_(log),
      config_(std::move(config)),
      timer_(loop, [this] { Tick(); }),
      catch_up_timer_(loop, [this] { CatchUp(); }),
      socket_(loop, [this](std::string_view data) { OnBeacon(data); }),
      pushes_(loop, pool) {}

StateFeed::~StateFeed() = default;

void StateFeed::Start() {
  started_at_ = loop_.Now();
  heard_at_ = started_at_;
  if (config_.port == 0) return;
  bound_ = socket_.Bind({config_.ip_address, config_.port}) == 0;
  if (!bound_) return;
  // Until a leader is heard, or none is after all.
  SetRole(/*leading=*/false, /*watching=*/false);
  Tick();
}

size_t StateFeed::Rank() const {
  size_t rank = 0;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node >= config_.node) break;
    if (peer.listed && !peer.record.stopping) ++rank;
  }
  return rank;
}

void StateFeed::Tick() {
  timer_.Start(config_.beacon_interval);
  const Peer* own = peers_.Find(config_.node);
  const bool listed = own != nullptr && own->listed && !stopping_;
  const bool store_answers = !store_answers_ || store_answers_();
  const Duration silence = loop_.Now() - heard_at_;
  const size_t rank = Rank();
  const bool in_line = rank == 0 || (rank < kWatchingNodes && silence > config_.standby_timeout);
  const bool leading = listed && store_answers && in_line;
  const bool watching =
      leading || (listed && rank < kWatchingNodes) || silence > config_.follower_timeout;
  SetRole(leading, watching);
  if (leading_) SendBeacons();
}

void StateFeed::SetRole(bool leading, bool watching) {
  if (leading != leading_ || watching != watching_) {
    log_.Write(LogLevel::kInfo, "state_feed_role",
               {{"leading", leading},
                {"watching", watching},
                {"silence_ms", ToMilliseconds(loop_.Now() - heard_at_)}});
  }
  const bool new_leader = leading && !leading_;
  leading_ = leading;
  watching_ = watching;
  if (new_leader) PushSnapshots();
  for (store::PrefixWatcher* watcher : watchers_) watcher->SetFollowing(!watching);
}

void StateFeed::SendBeacons() {
  StateBeacon beacon;
  beacon.node = config_.node;
  for (const store::PrefixWatcher* watcher : watchers_) {
    beacon.revisions[watcher->prefix()] = watcher->change_revision();
  }
  const std::string text = beacon.Serialize();
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != config_.node) socket_.Send({peer.record.inbound.ip, config_.port}, text);
  }
}

void StateFeed::OnBeacon(std::string_view data) {
  auto beacon = StateBeacon::Parse(data);
  if (!beacon.has_value() || beacon->node == config_.node) return;
  heard_at_ = loop_.Now();
  if (watching_ && !leading_) HelpLeader(*beacon);
  announced_ = std::move(beacon->revisions);
  for (const store::PrefixWatcher* watcher : watchers_) {
    const auto announced = announced_.find(watcher->prefix());
    if (announced == announced_.end() || watcher->CompleteTo(announced->second)) continue;
    if (!catch_up_timer_.active()) catch_up_timer_.Start(config_.catch_up_delay);
  }
}

// The store may refuse the leader while it serves this node.
void StateFeed::HelpLeader(const StateBeacon& beacon) {
  for (const store::PrefixWatcher* watcher : watchers_) {
    const std::string& prefix = watcher->prefix();
    const store::Revision revision = watcher->change_revision();
    const auto announced = beacon.revisions.find(prefix);
    if (announced == beacon.revisions.end() || announced->second >= revision) continue;
    const bool recent = loop_.Now() - changed_at_[prefix] < config_.leader_lag;
    if (recent || helped_with_[prefix] >= revision) continue;
    helped_with_[prefix] = revision;
    log_.Write(LogLevel::kInfo, "leader_behind",
               {{"leader", beacon.node},
                {"prefix", prefix},
                {"announced", announced->second},
                {"revision", revision}});
    PushToAll(SerializeChanges(prefix, watcher->Snapshot()));
  }
}

void StateFeed::CatchUp() {
  for (store::PrefixWatcher* watcher : watchers_) {
    const auto announced = announced_.find(watcher->prefix());
    if (announced == announced_.end() || watcher->CompleteTo(announced->second)) continue;
    log_.Write(LogLevel::kInfo, "state_behind",
               {{"prefix", watcher->prefix()},
                {"announced", announced->second},
                {"change_revision", watcher->change_revision()}});
    watcher->CatchUp(announced->second);
  }
}

void StateFeed::OnChanges(const store::PrefixWatcher& watcher, const store::ChangeSet& changes) {
  changed_at_[watcher.prefix()] = loop_.Now();
  if (!leading_) return;
  PushToAll(SerializeChanges(watcher.prefix(), changes));
}

// What a new leader knows, so that the others need not read it.
void StateFeed::PushSnapshots() {
  for (const store::PrefixWatcher* watcher : watchers_) {
    if (!watcher->synchronized()) continue;
    PushToAll(SerializeChanges(watcher->prefix(), watcher->Snapshot()));
  }
}

void StateFeed::PushToAll(const std::string& body) {
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != config_.node) Push(peer.record.inbound, body);
  }
}

void StateFeed::Push(const event::Endpoint& endpoint, const std::string& body) {
  http::RequestHead head;
  head.method = "POST";
  head.target = kPushTarget;
  peer_protocol::MarkChangeSet(&head.headers);
  // A change that does not arrive is noticed by the next beacon.
  pushes_.Start(endpoint, http::SerializeRequest(head, body), http::CallOptions{},
                config_.push_timeout, [](const std::optional<http::Response>&) {});
}

bool StateFeed::OnPassedOn(std::string_view body) {
  std::string prefix;
  store::ChangeSet changes;
  if (!ParseChanges(body, &prefix, &changes)) return false;
  for (store::PrefixWatcher* watcher : watchers_) {
    if (watcher->prefix() == prefix) watcher->ApplyChanges(changes);
  }
  return true;
}

}  // namespace runshelf::sidecar
