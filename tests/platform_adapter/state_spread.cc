#include "tests/platform_adapter/state_spread.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "source/sidecar/feed_transport.h"
#include "tests/event/loop_runner.h"

namespace runshelf::platform_adapter {
namespace {

constexpr const char* kKey = "op/config";
constexpr const char* kStoreMachine = "store";
constexpr double kStoreBytesPerSecond = 125e6;
constexpr double kBytesPerMegabit = 125000;
// Processor time of a full core to apply a changed item, in seconds per byte.
constexpr double kSecondsPerByte = 1.0e-7;
constexpr size_t kMessageOverheadBytes = 200;
constexpr double kPercent = 100;
// Slow-motion factor: simulated durations are multiplied by it, bandwidths divided.
constexpr double kSlowdownFactor = 13;

Duration Slowed(Duration time) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time) *
                                              kSlowdownFactor);
}

Duration Unslowed(Duration time) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time) /
                                              kSlowdownFactor);
}

MachineKind Slowed(MachineKind machine) {
  machine.link_megabits =
      static_cast<uint32_t>(std::lround(machine.link_megabits / kSlowdownFactor));
  return machine;
}

}  // namespace

// Forwards a node's connection to the store over the simulated links, so that store responses
// compete with the node's other traffic for its link.
class StateSpread::StoreConnection : public std::enable_shared_from_this<StoreConnection> {
 public:
  StoreConnection(StateSpread* spread, std::string node, std::unique_ptr<event::TcpStream> stream)
      : spread_(spread), node_(std::move(node)), to_node_(this), to_store_(this) {
    node_side_ = std::move(stream);
    node_side_->set_observer(&to_store_);
    store_side_ = event::TcpStream::Connect(spread->loop, spread->store.endpoint(), &to_node_);
    node_side_->StartReading();
    store_side_->StartReading();
  }

 private:
  struct Side : event::StreamObserver {
    explicit Side(StoreConnection* owner) : connection(owner) {}
    void OnData(std::string_view data) override { connection->Forward(this, std::string(data)); }
    void OnEnd(event::StreamEnd) override { connection->Close(); }
    StoreConnection* connection;
  };

  void Forward(const Side* side, std::string data) {
    const bool to_node = side == &to_node_;
    std::string& waiting = to_node ? waiting_for_node_ : waiting_for_store_;
    SimulatedLinks::Flow flow;
    flow.from = to_node ? kStoreMachine : node_;
    flow.to = to_node ? node_ : kStoreMachine;
    flow.left = data.size();
    waiting += data;
    const std::weak_ptr<StoreConnection> self = weak_from_this();
    flow.on_arrival = [self, to_node](size_t bytes) {
      if (const auto connection = self.lock()) connection->Arrive(to_node, bytes);
    };
    spread_->links_.Send(std::move(flow));
  }

  void Arrive(bool to_node, size_t bytes) {
    std::string& waiting = to_node ? waiting_for_node_ : waiting_for_store_;
    const auto& stream = to_node ? node_side_ : store_side_;
    if (stream != nullptr) stream->Write(std::string_view(waiting).substr(0, bytes));
    waiting.erase(0, bytes);
  }

  void Close() {
    node_side_.reset();
    store_side_.reset();
  }

  StateSpread* spread_;
  std::string node_;
  Side to_node_;
  Side to_store_;
  std::unique_ptr<event::TcpStream> node_side_;
  std::unique_ptr<event::TcpStream> store_side_;
  std::string waiting_for_node_;
  std::string waiting_for_store_;
};

class StateSpread::Transport : public sidecar::FeedTransport {
 public:
  Transport(StateSpread* spread, Node* node) : spread_(spread), node_(node) {}
  ~Transport() override {
    for (const auto& call : calls_) {
      call->callback = nullptr;
      call->timer.reset();
      Forget(call->flow);
    }
  }

  bool ListenForBeacons(std::function<void(std::string_view)> on_beacon) override {
    on_beacon_ = std::move(on_beacon);
    return true;
  }
  void SendBeacon(const std::string& ip_address, std::string_view beacon) override;
  void SendChanges(const sidecar::FeedReceiver& receiver, const std::string& changes,
                   Duration timeout, Callback callback) override;
  void FetchSnapshot(const event::Endpoint& source, const std::string& prefix, Duration timeout,
                     Callback callback) override;
  void ReceiveBeacon(const std::string& beacon) {
    if (on_beacon_) on_beacon_(beacon);
  }

 private:
  struct Call {
    Callback callback;
    std::unique_ptr<event::Timer> timer;
    std::shared_ptr<SimulatedLinks::Flow> flow;  // In flight, in either direction.
  };
  using Handler =
      std::function<void(Node* receiver, std::function<void(sidecar::FeedAnswer)> respond)>;

  void Begin(const event::Endpoint& to, size_t bytes, Duration timeout, Handler handler,
             Callback callback);
  // Abandons the flow: its remaining bytes are not delivered.
  void Forget(std::shared_ptr<SimulatedLinks::Flow>& flow) {
    spread_->links_.Abandon(flow);
    flow.reset();
  }
  void End(std::shared_ptr<Call> call, std::optional<sidecar::FeedAnswer> answer);

  StateSpread* spread_;
  Node* node_;
  std::function<void(std::string_view)> on_beacon_;
  std::set<std::shared_ptr<Call>> calls_;  // In flight.
};

class StateSpread::Node {
 public:
  Node(StateSpread* spread, const std::string& name, const std::string& zone,
       const MachineKind& machine, const event::Endpoint& inbound)
      : spread_(spread),
        processor_percent_(machine.processor_percent),
        pool_(spread->loop),
        listener_(spread->loop,
                  [this](std::unique_ptr<event::TcpStream> stream) {
                    connections_.push_back(std::make_shared<StoreConnection>(spread_, record_.node,
                                                                             std::move(stream)));
                  }),
        store_(spread->loop, pool_, spread->codec_, StoreConfig()),
        peers_(name, zone),
        watcher_(spread->loop, store_, WatcherConfig(),
                 {[this](const store::Item& item) { OnItem(item); }, nullptr, nullptr,
                  [this](const store::ChangeSet& changes) { feed_.OnChanges(watcher_, changes); }}),
        transport_(new Transport(spread, this)),
        feed_(spread->loop, std::unique_ptr<sidecar::FeedTransport>(transport_), peers_,
              {&watcher_}, spread->log_, FeedConfig(name, zone, machine)) {
    record_.node = name;
    record_.inbound = inbound;
    record_.zone = zone;
    record_.processor_percent = machine.processor_percent;
    record_.link_megabits = machine.link_megabits;
  }

  void Start() {
    watcher_.Start();
    feed_.Start();
  }
  // Runs the action once the node's simulated processor is idle.
  void RunWhenIdle(std::function<void()> action) {
    const Duration wait = std::max(Duration(0), busy_until_ - spread_->loop.Now());
    later_.push_back(std::make_unique<event::Timer>(spread_->loop, [this, action] {
      if (busy_until_ > spread_->loop.Now()) {
        RunWhenIdle(action);
      } else {
        action();
      }
    }));
    later_.back()->Start(wait);
  }
  void KeepBusy(Duration time) {
    busy_until_ = std::max(busy_until_, spread_->loop.Now()) + Slowed(time);
  }

  const sidecar::NodeRecord& record() const { return record_; }
  sidecar::PeerDirectory& peers() { return peers_; }
  sidecar::StateFeed& feed() { return feed_; }
  Transport& transport() { return *transport_; }
  Instant busy_until() const { return busy_until_; }
  // The value in force at `now`, after the simulated processing time; nullopt when there is none.
  std::optional<std::string> ValueInForce(Instant now) const {
    std::optional<std::string> value;
    for (const AppliedValue& applied : applied_values_) {
      if (applied.in_force_at <= now) value = applied.value;
    }
    return value;
  }

 private:
  struct AppliedValue {
    std::string value;
    Instant in_force_at{};
  };

  store::StoreClientConfig StoreConfig() {
    listener_.Listen({"127.0.0.1", 0});
    store::StoreClientConfig config;
    config.endpoint = {"127.0.0.1", listener_.bound_port()};
    config.call_timeout = Slowed(config.call_timeout);
    return config;
  }
  static store::PrefixWatcherConfig WatcherConfig() {
    store::PrefixWatcherConfig config;
    config.prefix = kKey;
    config.retry_min = Slowed(config.retry_min);
    config.retry_max = Slowed(config.retry_max);
    return config;
  }
  static sidecar::StateFeedConfig FeedConfig(const std::string& name, const std::string& zone,
                                             const MachineKind& machine) {
    sidecar::StateFeedConfig config;
    config.node = name;
    config.zone = zone;
    config.link_megabits = machine.link_megabits;
    for (Duration* time :
         {&config.beacon_interval, &config.standby_timeout, &config.follower_timeout,
          &config.catch_up_delay, &config.push_timeout, &config.snapshot_timeout,
          &config.leader_lag, &config.failure_holdoff, &config.link_budget,
          &config.snapshot_link_budget, &config.leader_pace.interval, &config.standby_pace.interval,
          &config.leaderless_pace.interval}) {
      *time = Slowed(*time);
    }
    return config;
  }
  void OnItem(const store::Item& item) {
    const double seconds =
        static_cast<double>(item.value.size()) * kSecondsPerByte * kPercent / processor_percent_;
    KeepBusy(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
    applied_values_.push_back({item.value, busy_until_});
  }

  StateSpread* spread_;
  double processor_percent_;
  sidecar::NodeRecord record_;
  http::ConnectionPool pool_;
  event::TcpListener listener_;
  std::vector<std::shared_ptr<StoreConnection>> connections_;
  store::StoreClient store_;
  sidecar::PeerDirectory peers_;
  store::PrefixWatcher watcher_;
  Transport* transport_;  // Owned by feed_.
  sidecar::StateFeed feed_;
  std::vector<std::unique_ptr<event::Timer>> later_;
  Instant busy_until_{};
  std::vector<AppliedValue> applied_values_;
};

void StateSpread::Transport::SendBeacon(const std::string& ip_address, std::string_view beacon) {
  Node* receiver = spread_->NodeAt({ip_address, 1});
  SimulatedLinks::Flow flow;
  flow.from = node_->record().node;
  flow.to = receiver->record().node;
  flow.left = beacon.size();
  flow.not_before = node_->busy_until();
  auto left = std::make_shared<size_t>(beacon.size());
  flow.on_arrival = [receiver, left, text = std::string(beacon)](size_t bytes) {
    *left -= bytes;
    if (*left > 0) return;
    receiver->RunWhenIdle([receiver, text] { receiver->transport().ReceiveBeacon(text); });
  };
  spread_->links_.Send(std::move(flow));
}

void StateSpread::Transport::SendChanges(const sidecar::FeedReceiver& receiver,
                                         const std::string& changes, Duration timeout,
                                         Callback callback) {
  Begin(
      receiver.endpoint, changes.size(), timeout,
      [changes, order = sidecar::ForwardingInstruction{receiver.reads_for_zone, receiver.forward_to,
                                                       receiver.failed}](
          Node* node, const std::function<void(sidecar::FeedAnswer)>& respond) {
        node->feed().OnForwardedChanges(changes, order, [&](bool understood) {
          respond({understood, ""});
        });
      },
      std::move(callback));
}

void StateSpread::Transport::FetchSnapshot(const event::Endpoint& source, const std::string& prefix,
                                           Duration timeout, Callback callback) {
  Begin(
      source, 0, timeout,
      [prefix](Node* node, const std::function<void(sidecar::FeedAnswer)>& respond) {
        const auto copy = node->feed().SnapshotFor(prefix);
        respond({copy.has_value(), copy.value_or("")});
      },
      std::move(callback));
}

void StateSpread::Transport::Begin(const event::Endpoint& to, size_t bytes, Duration timeout,
                                   Handler handler, Callback callback) {
  auto call = std::make_shared<Call>();
  call->callback = std::move(callback);
  calls_.insert(call);
  const std::weak_ptr<Call> begun = call;
  call->timer = std::make_unique<event::Timer>(spread_->loop,
                                               [this, begun] { End(begun.lock(), std::nullopt); });
  // The timeout runs from when the sender's processor is idle and the call is sent.
  call->timer->Start(timeout + std::max(Duration(0), node_->busy_until() - spread_->loop.Now()));
  Node* receiver = spread_->NodeAt(to);
  const auto respond = [this, call, receiver, timeout](const sidecar::FeedAnswer& answer) {
    if (!call->callback) return;
    SimulatedLinks::Flow flow;
    flow.from = receiver->record().node;
    flow.to = node_->record().node;
    flow.left = answer.body.size() + kMessageOverheadBytes;
    flow.not_before = receiver->busy_until();
    auto left = std::make_shared<size_t>(flow.left);
    flow.on_arrival = [this, call, left, answer, timeout](size_t arrived) {
      *left -= arrived;
      if (call->callback) call->timer->Start(timeout);
      if (*left > 0) return;
      node_->RunWhenIdle([this, call, answer] { End(call, answer); });
    };
    call->flow = spread_->links_.Send(std::move(flow));
  };
  SimulatedLinks::Flow flow;
  flow.from = node_->record().node;
  flow.to = receiver->record().node;
  flow.left = bytes + kMessageOverheadBytes;
  flow.not_before = node_->busy_until();
  auto left = std::make_shared<size_t>(flow.left);
  flow.on_arrival = [call, receiver, respond, handler = std::move(handler), left](size_t arrived) {
    *left -= arrived;
    if (*left > 0) return;
    receiver->RunWhenIdle([receiver, respond, handler] { handler(receiver, respond); });
  };
  call->flow = spread_->links_.Send(std::move(flow));
}

void StateSpread::Transport::End(std::shared_ptr<Call> call,
                                 std::optional<sidecar::FeedAnswer> answer) {
  if (!call->callback) return;
  calls_.erase(call);
  call->timer->Stop();
  Forget(call->flow);
  const Callback callback = std::exchange(call->callback, nullptr);
  callback(std::move(answer));
}

StateSpread::StateSpread()
    : log_file_(std::tmpfile()), log_(loop, fileno(log_file_), sidecar::LogWriterConfig{}) {
  links_.AddMachine(kStoreMachine, kStoreBytesPerSecond / kSlowdownFactor);
}

StateSpread::~StateSpread() {
  nodes_.clear();
  std::fclose(log_file_);
}

void StateSpread::AddNode(const std::string& name, const std::string& zone,
                          const MachineKind& kind) {
  const MachineKind slowed = Slowed(kind);
  links_.AddMachine(name, slowed.link_megabits * kBytesPerMegabit);
  const event::Endpoint inbound{fmt::format("10.0.0.{}", nodes_.size()), 1};
  nodes_[name] = std::make_unique<Node>(this, name, zone, slowed, inbound);
}

StateSpread::Node* StateSpread::NodeAt(const event::Endpoint& inbound) const {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
    return entry.second->record().inbound == inbound;
  });
  CHECK_TEXT(found != nodes_.end(), "no node has this address");
  return found->second.get();
}

void StateSpread::Start() {
  for (auto& [name, node] : nodes_) {
    for (const auto& [other, peer] : nodes_) node->peers().OnRecord(peer->record());
  }
  for (auto& [name, node] : nodes_) node->Start();
  const bool up = event::RunUntil(
      loop, [this] { return NodesWithoutLatest().empty(); }, Slowed(std::chrono::seconds(10)));
  CHECK_TEXT(up, "not every node has read the state");
  written_.back().took = Duration(0);
  event::RunFor(loop, Slowed(std::chrono::seconds(1)));
}

void StateSpread::KeepBusy(const std::string& node, Duration time) {
  nodes_.at(node)->KeepBusy(time);
}

void StateSpread::Write(const std::string& value) {
  written_.push_back({value, loop.Now(), std::nullopt});
  store.Put(kKey, value);
}

std::optional<size_t> StateSpread::IndexOfValueInForce(const Node& node) const {
  const std::optional<std::string> value = node.ValueInForce(loop.Now());
  const auto found = std::find_if(written_.rbegin(), written_.rend(),
                                  [&](const auto& written) { return value == written.value; });
  if (found == written_.rend()) return std::nullopt;
  return static_cast<size_t>(written_.rend() - found) - 1;
}

std::vector<std::string> StateSpread::NodesWithoutLatest() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    if (IndexOfValueInForce(*node) != written_.size() - 1) names.push_back(name);
  }
  return names;
}

void StateSpread::RecordProgress() {
  for (size_t place = 0; place < written_.size(); ++place) {
    if (written_[place].took.has_value()) continue;
    const bool everywhere = std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      return IndexOfValueInForce(*entry.second) >= place;
    });
    if (everywhere) written_[place].took = loop.Now() - written_[place].written_at;
  }
}

Duration StateSpread::AwaitLatest(Duration limit) {
  const Instant end = written_.back().written_at + Slowed(limit);
  event::RunUntil(
      loop,
      [&] {
        RecordProgress();
        return written_.back().took.has_value();
      },
      end - loop.Now());
  Duration longest{0};
  for (const WrittenValue& written : written_) {
    longest = std::max(longest, written.took.value_or(loop.Now() - written.written_at));
  }
  return Unslowed(longest);
}

Duration StateSpread::LongestWait() const {
  Duration longest{0};
  for (const auto& [name, node] : nodes_) longest = std::max(longest, links_.LongestWait(name));
  return Unslowed(longest);
}

size_t StateSpread::SnapshotsGranted(const std::string& node, size_t requests) {
  size_t granted = 0;
  for (size_t request = 0; request < requests; ++request) {
    if (nodes_.at(node)->feed().SnapshotFor(kKey).has_value()) ++granted;
  }
  return granted;
}

std::string StateSpread::Log() {
  log_.Flush();
  std::rewind(log_file_);
  std::string text;
  char buffer[4096];
  size_t count = 0;
  while ((count = std::fread(buffer, 1, sizeof buffer, log_file_)) > 0) text.append(buffer, count);
  return text;
}

}  // namespace runshelf::platform_adapter
