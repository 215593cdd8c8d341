#include "tests/soak/soak_fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "tests/platform_adapter/fixtures.h"

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

// First port for datagrams between nodes: below the ephemeral range, the same on all addresses.
constexpr uint16_t kPeerPort = 21000;
// First host number (last octet) of the nodes and of the proxies in front of them.
constexpr size_t kFirstHost = 10;
constexpr size_t kFirstProxyHost = 130;
// The store takes 4 ms plus the network latency, and health checks wait for a slot. In the incident
// in which a node granted keys that it had given up, the two delays came to about 13 ms.
constexpr Duration kShortestStoreLatency = milliseconds(4);
constexpr Duration kLongestStoreLatency = milliseconds(20);
constexpr Duration kLongestHealthDelay = milliseconds(30);
// Production deployments use heartbeat intervals of about one second.
constexpr Duration kShortestHeartbeat = milliseconds(400);
constexpr Duration kLongestHeartbeat = milliseconds(1300);
// Delay of transactions, orders and heartbeats that were left unanswered and take effect later.
constexpr Duration kShortestLateness = milliseconds(300);
constexpr Duration kLongestLateness = milliseconds(4500);
constexpr Duration kLateCallTimeout = std::chrono::seconds(1);
constexpr int kRetryBudgetExtra = 20;
// Exceeds the number of requests that all clients keep in flight at one of the two services.
constexpr int kSlots = 28;
// Run time of a request that terminates its worker, and downtime of that worker afterwards.
constexpr Duration kShortestFatalRun = milliseconds(2);
constexpr Duration kLongestFatalRun = milliseconds(120);
constexpr Duration kShortestDowntime = milliseconds(700);
constexpr Duration kLongestDowntime = milliseconds(2500);
// One in this many worker instances leaves without announcing that it drains.
constexpr int kUndrainedExitEvery = 3;

const std::string kEvacuationPrefix = "op/evacuate/";

std::string ZoneName(size_t zone) { return "z" + std::to_string(zone); }

// Derives the address from the process id, so that concurrent soak runs do not collide.
std::string AddressOf(size_t host) {
  const auto process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 1 + process / 256 % 254, process % 256, host);
}

}  // namespace

SoakFleet::SoakFleet(event::EventLoop& loop, Witness& witness, FleetOptions options)
    : loop_(loop),
      witness_(witness),
      options_(std::move(options)),
      random_(options_.seed + 1),
      heartbeat_interval_(random_.Between(kShortestHeartbeat, kLongestHeartbeat)),
      store_(loop),
      connection_source_(loop, [this] { return Processes(); }),
      pool_(loop),
      runner_(loop, witness, options_.seed + 2),
      second_answers_(options_.seed + 4),
      orders_unanswered_(options_.services.size()),
      heartbeats_delayed_(options_.services.size()) {
  store_.set_value_filter([this](const std::string& key, const std::string& value) {
    return ReplaceAddressByProxy(key, value);
  });
  store_.set_latency(
      [this] { return random_.Between(kShortestStoreLatency, kLongestStoreLatency); });
  store_.set_lateness([this] {
    return random_.Below(2) == 0 ? Duration(0)
                                 : random_.Between(kShortestLateness, kLongestLateness);
  });
  for (size_t index = 0; index < options_.services.size(); ++index) MakeNode(index);
}

SoakFleet::~SoakFleet() = default;

void SoakFleet::MakeNode(size_t index) {
  auto owned = std::make_unique<SoakNode>();
  SoakNode* node = owned.get();
  nodes_.push_back(std::move(owned));
  node->index = index;
  node->name = "n" + std::to_string(index);
  node->ip = AddressOf(kFirstHost + index);
  node->proxy_ip = AddressOf(kFirstProxyHost + index);
  node->zone = ZoneName(index % options_.zones);
  witness_.SetZone(index, node->zone);
  node->service = options_.services[index];
  node->sharded = node->service == "keyed";
  const auto endpoints = platform_adapter::FreeEndpoints(node->ip, 4);
  node->outbound = endpoints[0];
  node->inbound = endpoints[1];
  node->readiness = endpoints[2];
  node->control_plane = endpoints[3];
  StartWorker(node);
  node->store_entrance = store_.AddEntrance();
  node->store_proxy = std::make_unique<FaultProxy>(loop_, store_.entrance(node->store_entrance));
  node->node_proxy = std::make_unique<FaultProxy>(loop_, node->inbound);
  node->node_proxy->set_identification(
      {[this, node] { return connection_source_.PortOfLatest(node->node_proxy->endpoint()); },
       [this, node](uint16_t port) { return SourceOf(*node->node_proxy, port); }});
  node->worker_proxy =
      std::make_unique<FaultProxy>(loop_, event::Endpoint{"127.0.0.1", node->worker_port});
  for (FaultProxy* proxy :
       {node->store_proxy.get(), node->node_proxy.get(), node->worker_proxy.get()}) {
    proxy->Listen(node->proxy_ip);
  }
  node->datagrams = std::make_unique<DatagramRelay>(
      loop_, node->proxy_ip, node->ip, kPeerPort,
      [this, node](const std::string& sender) { return DatagramPasses(sender, *node); });
  node->datagrams->Listen();
  const std::string path = options_.directory + "/" + node->name;
  node->process = std::make_unique<SupervisedProcess>(options_.program, path + ".toml",
                                                      path + ".log", kGracePeriod);
  WriteSettings(*node, kRetryBudgetExtra);
}

void SoakFleet::WriteSettings(const SoakNode& node, int retry_budget_extra) const {
  std::ofstream file(options_.directory + "/" + node.name + ".toml");
  file << fmt::format(
      "node_name = \"{}\"\nfirst_start = {}\nip_address = \"{}\"\nzone = \"{}\"\n"
      "internal_port_range = [{},{}]\nheartbeat_interval_ms = {}\n"
      "bounds = "
      "[\"drain_timeout_ms={}\",\"reuse_after_s=2\",\"grace_period_s={}\",\"max_hold_ms=10000\","
      "\"retry_budget_ratio=0.2\",\"budget_window_s=10\",\"retry_budget_extra={}\","
      "\"evacuation_ms={}\",\"cold_overage={}\",\"cold_tolerance={}\"]\n"
      "grants = \"{}\"\napplication_address = \"{}\"\nservice = \"{}\"\n"
      "[listen_addresses]\ninbound = \"{}\"\noutbound = \"{}\"\nreadiness = \"{}\"\n"
      "control_plane = \"{}\"\n[platform]\naddress = \"{}\"\nttl_min_ms = 1000\n",
      node.name, node.process == nullptr || node.process->life() == 0, node.ip, node.zone,
      kPeerPort, kPeerPort + 1, ToMilliseconds(heartbeat_interval_), ToMilliseconds(kDrainTimeout),
      kGracePeriod / std::chrono::seconds(1), retry_budget_extra,
      ToMilliseconds(kEvacuationTimeout), kColdOverage, kColdTolerance,
      options_.keys_in_heartbeats ? "heartbeat" : "invocation",
      node.worker_proxy->endpoint().ToString(), node.service, node.inbound.ToString(),
      node.outbound.ToString(), node.readiness.ToString(), node.control_plane.ToString(),
      node.store_proxy->endpoint().ToString());
  file << "[limits]\n";
  if (options_.link_megabits > 0) file << fmt::format("link_mbps = {}\n", options_.link_megabits);
  if (options_.memory_mb > 0) file << fmt::format("memory_mb = {}\n", options_.memory_mb);
  if (options_.file_descriptors > 0) {
    file << fmt::format("file_descriptors = {}\n", options_.file_descriptors);
  }
}

void SoakFleet::ChangeSettings(const SoakNode& node) {
  WriteSettings(node, kRetryBudgetExtra + ++settings_written_ % 2);
}

void SoakFleet::Start() {
  for (const auto& node : nodes_) {
    if (node->process->Start()) witness_.Disturb(node->index, /*planned=*/true);
  }
}

void SoakFleet::Watch() {
  const Instant now = loop_.Now();
  for (const auto& node : nodes_) {
    ApplyListener(node.get());
    const bool was_stopping = node->process->stopping();
    switch (node->process->Watch(now)) {
      case SupervisedProcess::Event::kUnexpectedExit:
        witness_.OnUnexpectedExit(node->name, node->process->last_exit());
        witness_.Disturb(node->index, /*planned=*/false);
        ChangeSettings(*node);
        break;
      case SupervisedProcess::Event::kEnded:
        ChangeSettings(*node);
        [[fallthrough]];
      case SupervisedProcess::Event::kStarted:
        witness_.Disturb(node->index, /*planned=*/was_stopping);
        break;
      case SupervisedProcess::Event::kNone:
        if (was_stopping || !node->process->running()) {
          witness_.Disturb(node->index, /*planned=*/was_stopping);
        }
        break;
    }
  }
  CheckKeys();
}

void SoakFleet::CheckKeys() {
  const Instant now = loop_.Now();
  std::vector<WorkerHoldings> holdings;
  for (const auto& node : nodes_) {
    if (!node->sharded || node->worker == nullptr) continue;
    WorkerHoldings one;
    one.worker = node->worker->life();
    for (const FakeWorker::Grant& grant : node->worker->grants()) {
      if (grant.until <= now) continue;
      one.held.push_back({{grant.first, grant.last}, grant.fence, grant.until});
    }
    holdings.push_back(std::move(one));
  }
  witness_.ownership().Check(now, holdings);
}

void SoakFleet::StartWorker(SoakNode* node) {
  if (node->worker != nullptr || loop_.Now() < node->worker_down_until) return;
  ++node->worker_life;
  if (!node->worker_returns)
    node->worker_id = fmt::format("w-{}-{}", node->name, node->worker_life);
  auto worker = std::make_unique<FakeWorker>(loop_, node->worker_id, node->service);
  worker->set_born(NextWorkerStartTime());
  SetUpWorker(node, worker.get());
  if (options_.cold_time > Duration(0)) worker->TurnCold(options_.cold_time);
  // Fails while connections of the previous worker are still being closed; the caller retries.
  if (worker->Listen(node->worker_port) != 0) return;
  node->worker_port = worker->endpoint().port;
  worker->StartHeartbeats(node->control_plane, heartbeat_interval_);
  node->worker = std::move(worker);
  witness_.OnLimitChanged(node->worker->life(), node->stated_limit);
  if (options_.cold_time > Duration(0)) {
    witness_.OnCold(node->worker->life(), loop_.Now() + options_.cold_time);
  }
  node->worker_returns = false;
  ApplyListener(node);
}

// Milliseconds since the Unix epoch; strictly increasing, so that each worker instance has its own.
int64_t SoakFleet::NextWorkerStartTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  last_worker_start_time_ =
      std::max(last_worker_start_time_ + 1,
               std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  return last_worker_start_time_;
}

void SoakFleet::ApplyListener(SoakNode* node) {
  // The proxy does not exist yet when the first worker starts.
  if (node->worker_proxy == nullptr) return;
  if (node->worker == nullptr || node->refuses_connections) {
    node->worker_proxy->StopListening();
  } else {
    // If the port is still in use, the next Watch() retries.
    node->worker_proxy->ListenAgain();
  }
}

void SoakFleet::SetUpWorker(SoakNode* node, FakeWorker* worker) {
  worker->set_sharded(node->sharded);
  worker->set_slots(kSlots);
  worker->set_leaves_without_draining(node->worker_life % kUndrainedExitEvery == 0);
  worker->set_keys_in_heartbeats(options_.keys_in_heartbeats);
  worker->set_heartbeat_faults([this, node] { return NextHeartbeatFault(node->index); });
  worker->set_order_faults([this, node] { return NextOrderFault(node->index); });
  worker->set_on_held_back([this](const event::Endpoint& to, std::string request) {
    SendDelayed(to, std::move(request));
  });
  worker->set_health_delay([this] { return random_.Between(Duration(0), kLongestHealthDelay); });
  worker->set_busy_keys(
      [this, node](uint32_t first, uint32_t last) { return runner_.Busy(*node, first, last); });
  worker->set_behaviour(
      [this, node](const http::ExchangePtr& exchange) { OnRequest(node, exchange); });
  worker->set_on_granted(
      [this, node, life = worker->life()](const FakeWorker::Grant& grant, bool late) {
        const bool slow = node->worker_proxy->mode() != FaultProxy::Mode::kPass;
        witness_.OnGrant(node->index, life, grant, late, slow);
      });
  worker->set_on_released([this, life = worker->life()](uint32_t first, uint32_t last) {
    witness_.ownership().OnReleased(life, {first, last});
  });
}

void SoakFleet::EndWorker(SoakNode* node, bool returns) {
  if (node->worker == nullptr) return;
  runner_.OnWorkerEnded(*node);
  node->worker.reset();
  node->worker_returns = returns;
  ApplyListener(node);
}

void SoakFleet::OnRequest(SoakNode* node, const http::ExchangePtr& exchange) {
  std::vector<std::string> others;
  const std::string* key = exchange->request().head.headers.Find("Shard-Key");
  if (node->sharded && key != nullptr) {
    const auto number = static_cast<uint32_t>(std::stoul(*key));
    for (const auto& other : nodes_) {
      if (other.get() == node || !other->sharded || other->worker == nullptr) continue;
      if (other->worker->Holds(number) != nullptr) others.push_back(other->worker->life());
    }
  }
  runner_.Begin(*node, exchange, others);
  if (IsFatalRequest(exchange->request().head.target)) {
    ScheduleWorkerEnd(node, exchange->request().head.target);
  }
}

void SoakFleet::ScheduleWorkerEnd(SoakNode* node, const std::string& target) {
  std::erase_if(fatal_ends_, [](const auto& timer) { return !timer->active(); });
  fatal_ends_.push_back(std::make_unique<event::Timer>(loop_, [this, node, target,
                                                               life = node->worker->life()] {
    if (node->worker == nullptr || node->worker->life() != life) return;
    node->worker_down_until = loop_.Now() + random_.Between(kShortestDowntime, kLongestDowntime);
    EndWorker(node, /*returns=*/random_.Below(2) == 0);
    witness_.OnFatalEnd(target);
  }));
  fatal_ends_.back()->Start(random_.Between(kShortestFatalRun, kLongestFatalRun));
}

SoakFleet::FakeWorker::HeartbeatFault SoakFleet::NextHeartbeatFault(size_t node) {
  using Fault = FakeWorker::HeartbeatFault;
  if (!heartbeats_delayed_[node] || random_.Below(2) == 0) return Fault::kNone;
  constexpr Fault kFaults[] = {Fault::kSentTwice, Fault::kSentLate, Fault::kAnswerLost,
                               Fault::kNotSent, Fault::kHeldBack};
  return kFaults[random_.Below(std::size(kFaults))];
}

// Leaves half of the orders unanswered. These are still carried out, two thirds of them late.
SoakFleet::FakeWorker::OrderFault SoakFleet::NextOrderFault(size_t node) {
  FakeWorker::OrderFault fault;
  if (!orders_unanswered_[node] || random_.Below(2) == 0) return fault;
  fault.answered = false;
  if (random_.Below(3) != 0) fault.lateness = random_.Between(kShortestLateness, kLongestLateness);
  return fault;
}

void SoakFleet::SetZoneEvacuated(size_t zone, bool evacuated) {
  const std::string name = ZoneName(zone);
  if (evacuated) {
    store_.Put(kEvacuationPrefix + name, "{}");
    witness_.OnEvacuated(name);
  } else {
    store_.Remove(kEvacuationPrefix + name);
    witness_.OnReturned(name);
  }
}

void SoakFleet::SetStatedLimit(size_t node, double requests_per_second) {
  SoakNode& at = *nodes_[node];
  at.stated_limit = requests_per_second;
  if (at.worker == nullptr) return;
  witness_.OnLimitChanged(at.worker->life(), requests_per_second);
}

void SoakFleet::SetAnswersTwice(size_t node, bool value) {
  FaultProxy& proxy = *nodes_[node]->worker_proxy;
  if (!value) return proxy.set_repetitions(nullptr);
  proxy.set_repetitions([this] { return second_answers_.Next(); });
}

size_t SoakFleet::second_answers() const {
  size_t count = 0;
  for (const auto& node : nodes_) count += node->worker_proxy->repeated();
  return count;
}

void SoakFleet::CallNode(const event::Endpoint& node, const std::string& request) {
  late_calls_.push_back(std::make_unique<http::SimpleCall>(
      loop_, pool_, node, request, http::CallOptions(http::AnswerMatch::InOrder(), "late call"),
      kLateCallTimeout, [](const std::optional<http::Response>&, http::ClientFailure) {}));
}

void SoakFleet::SendNoticesOfOtherWriters(const SoakNode& node) {
  const auto notice = [&](const std::string& call, const std::string& id,
                          const std::string& service) {
    http::RequestHead head;
    head.method = "POST";
    head.target = "/runshelf/rpc?call=instances." + call + "&of=" + id;
    head.headers.Add("Host", node.control_plane.ToString());
    CallNode(node.control_plane,
             http::SerializeRequest(
                 head, fmt::format(R"({{"service":"{}","address":"{}","zone":"z","version":"v1",)"
                                   R"("slots":4,"state":"draining","cold_remaining_ms":0,)"
                                   R"("call_sequence":9000}})",
                                   service, node.worker_proxy->endpoint().ToString())));
  };
  notice("heartbeat", "i-\xff\xfe\x80", node.service);
  notice("deregister", "i-\xff\xfe\x80", node.service);
  notice("heartbeat", "unknown", node.service);
  notice("deregister", "unknown", node.service);
  notice("heartbeat", "foreign", "another-service");
}

void SoakFleet::SendDelayed(const event::Endpoint& node, std::string request) {
  std::erase_if(held_back_, [](const auto& timer) { return !timer->active(); });
  held_back_.push_back(std::make_unique<event::Timer>(
      loop_, [this, node, request = std::move(request)] { CallNode(node, request); }));
  held_back_.back()->Start(random_.Between(kShortestLateness, kLongestLateness));
}

// Nodes discover each other through the store. Replaces the address in a node's record by that of
// the proxy in front of the node.
std::string SoakFleet::ReplaceAddressByProxy(const std::string& key,
                                             const std::string& value) const {
  for (const auto& node : nodes_) {
    if (key != "runshelf/nodes/" + node->name) continue;
    const std::string address = node->inbound.ToString();
    const size_t position = value.find(address);
    if (position == std::string::npos) continue;
    std::string changed = value;
    return changed.replace(position, address.size(), node->node_proxy->endpoint().ToString());
  }
  return value;
}

std::vector<pid_t> SoakFleet::Processes() const {
  std::vector<pid_t> processes;
  for (const auto& node : nodes_) processes.push_back(node->process->pid());
  return processes;
}

int SoakFleet::SourceOf(const FaultProxy& proxy, uint16_t port) {
  const auto found = connection_source_.ProcessOf(proxy.endpoint(), port);
  if (!found.has_value() || *found == 0) return FaultProxy::kUnknownSource;
  const std::vector<pid_t> processes = Processes();
  const auto at = std::find(processes.begin(), processes.end(), *found);
  return at == processes.end() ? FaultProxy::kUnknownSource
                               : static_cast<int>(at - processes.begin());
}

void SoakFleet::SetPairMode(size_t from, size_t to, FaultProxy::Mode mode, Duration delay) {
  nodes_[to]->node_proxy->SetModeFrom(static_cast<int>(from), mode, delay);
}

bool SoakFleet::DatagramPasses(const std::string& sender, const SoakNode& to) const {
  const auto from = std::find_if(nodes_.begin(), nodes_.end(),
                                 [&](const auto& node) { return node->name == sender; });
  const FaultProxy::Mode mode = from == nodes_.end()
                                    ? to.node_proxy->mode()
                                    : to.node_proxy->ModeOf(static_cast<int>((*from)->index));
  return mode != FaultProxy::Mode::kSilent && mode != FaultProxy::Mode::kBackwardOnly;
}

}  // namespace runshelf::soak
