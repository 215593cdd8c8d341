#include "tests/soak/soak.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "tests/platform_adapter/fixtures.h"

namespace runshelf::soak {
namespace {

using platform_adapter::FakeWorker;
using platform_adapter::FreeEndpoints;

constexpr Duration kRequestInterval = std::chrono::milliseconds(12);
constexpr Duration kDeadline = std::chrono::milliseconds(2000);
// A request to an undisturbed node must have ended by then.
constexpr Duration kUnanswered = std::chrono::milliseconds(3500);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration kDrainSlack = std::chrono::milliseconds(200);
constexpr Duration kConfigurationTime = std::chrono::milliseconds(2000);
// Promises bound by time hold for what was left alone for this long.
constexpr Duration kContactWindow = std::chrono::milliseconds(3000);
// Grants that arrive so soon after a pause or a fault of the network ended are not held against it.
constexpr Duration kThawSlack = std::chrono::milliseconds(300);
// Without faults at the start, until the fleet is up.
constexpr Duration kStartTime = std::chrono::seconds(8);
constexpr Duration kMeasuredEnd = std::chrono::seconds(4);
const char* const kServices[] = {"plain", "plain", "other", "keyed", "keyed", "keyed"};

}  // namespace

// A request that has no end yet.
struct Soak::Caller {
  std::string id;
  std::string target;
  Instant sent_at;
  std::unique_ptr<http::SimpleCall> call;
};

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      request_timer_(loop_, [this] { SendRequest(); }),
      fault_timer_(loop_, [this] { StartFault(); }),
      watch_timer_(loop_, [this] { Watch(); }),
      end_timer_(loop_, [this] { loop_.Stop(); }),
      terminate_(loop_, SIGTERM, [this] { Interrupt(); }),
      interrupt_(loop_, SIGINT, [this] { Interrupt(); }),
      hang_up_(loop_, SIGHUP, [this] { Interrupt(); }) {
  store_.set_value_filter([this](const std::string& key, const std::string& value) {
    return ThroughProxy(key, value);
  });
  for (size_t index = 0; index < std::size(kServices); ++index) MakeNode(index, kServices[index]);
}

Soak::~Soak() = default;

void Soak::MakeNode(size_t index, const std::string& service) {
  auto node = std::make_unique<Node>();
  node->name = "n" + std::to_string(index);
  node->ip = "127.0.0." + std::to_string(100 + index);
  node->service = service;
  const auto endpoints = FreeEndpoints(node->ip, 3);
  node->outbound = endpoints[0];
  node->inbound = endpoints[1];
  node->control_plane = endpoints[2];
  StartWorker(node.get());
  node->store_proxy = std::make_unique<FaultProxy>(loop_, store_.endpoint());
  node->node_proxy = std::make_unique<FaultProxy>(loop_, node->inbound);
  node->worker_proxy =
      std::make_unique<FaultProxy>(loop_, event::Endpoint{"127.0.0.1", node->worker_port});
  for (FaultProxy* proxy :
       {node->store_proxy.get(), node->node_proxy.get(), node->worker_proxy.get()}) {
    proxy->Listen(node->ip);
  }
  node->process = std::make_unique<SidecarProcess>(options_.program,
                                                   options_.directory + "/" + node->name + ".toml",
                                                   options_.directory + "/" + node->name + ".log");
  WriteSettings(*node);
  nodes_.push_back(std::move(node));
}

void Soak::WriteSettings(const Node& node) const {
  // Ports for datagrams among the nodes; another pair for each soak on the machine.
  const int peer_port = 30000 + 2 * (getpid() % 1000);
  std::ofstream file(options_.directory + "/" + node.name + ".toml");
  file << fmt::format(
      "node_name = \"{}\"\nip_address = \"{}\"\nzone = \"z\"\n"
      "internal_port_range = [{},{}]\nheartbeat_interval_ms = {}\n"
      "bounds = [\"drain_timeout_ms={}\",\"grace_period_s=6\",\"max_hold_ms=10000\","
      "\"retry_budget_ratio=0.2\",\"budget_window_s=10\",\"retry_budget_extra=20\"]\n"
      "grants = \"{}\"\napplication_address = \"{}\"\nservice = "
      "\"{}\"\n[listen_addresses]\ninbound = \"{}\"\n"
      "outbound = \"{}\"\ncontrol_plane = \"{}\"\n[platform]\naddress = \"{}\"\nttl_min_ms = "
      "1000\n",
      node.name, node.ip, peer_port, peer_port + 1, ToMilliseconds(kHeartbeatInterval),
      ToMilliseconds(kDrainTimeout), KeysInHeartbeats() ? "heartbeat" : "invocation",
      node.worker_proxy->endpoint().ToString(), node.service, node.inbound.ToString(),
      node.outbound.ToString(), node.control_plane.ToString(),
      node.store_proxy->endpoint().ToString());
}

// Every other seed plays a fleet whose workers get their keys in the answers to heartbeats.
bool Soak::KeysInHeartbeats() const { return options_.seed % 2 == 0; }

// While faults are played, some heartbeats are delayed or sent twice, or their answers are lost or
// come late.
FakeWorker::HeartbeatFault Soak::NextHeartbeatFault() {
  const bool disturbing = KeysInHeartbeats() && fault_timer_.active() &&
                          loop_.Now() - started_ > kStartTime && random_.Below(10) == 0;
  if (!disturbing) return FakeWorker::HeartbeatFault::kNone;
  const FakeWorker::HeartbeatFault faults[] = {
      FakeWorker::HeartbeatFault::kSentTwice, FakeWorker::HeartbeatFault::kSentLate,
      FakeWorker::HeartbeatFault::kAnswerLost, FakeWorker::HeartbeatFault::kNotSent};
  return faults[random_.Below(std::size(faults))];
}

// A new life of the worker, at the address of the former one.
void Soak::StartWorker(Node* node) {
  auto worker = std::make_unique<FakeWorker>(
      loop_, fmt::format("w-{}-{}", node->name, ++node->worker_life), node->service);
  worker->set_sharded(node->service == "keyed");
  worker->set_keys_in_heartbeats(KeysInHeartbeats());
  worker->set_heartbeat_faults([this] { return NextHeartbeatFault(); });
  worker->set_behaviour(
      [this, node](const http::ExchangePtr& exchange) { OnExecuted(node, exchange); });
  worker->set_on_granted([this, id = worker->id()](uint32_t first, uint32_t last, uint64_t fence) {
    judge_.OnGrant({id, first, last, fence});
  });
  // Fails while connections of the former life are still being closed; tried again by Watch.
  if (worker->Listen(node->worker_port) != 0) return;
  node->worker_port = worker->endpoint().port;
  worker->StartHeartbeats(node->control_plane, kHeartbeatInterval);
  node->worker = std::move(worker);
}

// Nodes find each other through the store: what they read leads to the proxy before each node.
std::string Soak::ThroughProxy(const std::string& key, const std::string& value) const {
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

void Soak::PutConfiguration(const std::string& plain_service) {
  store_.Put("op/config",
             platform_adapter::TestConfiguration(++configuration_version_, plain_service));
  configurations_.push_back({loop_.Now(), plain_service});
}

void Soak::Interrupt() {
  result_.interrupted = true;
  loop_.Stop();
}

SoakResult Soak::Run() {
  started_ = loop_.Now();
  last_disturbed_ = started_;
  PutConfiguration("plain");
  for (const auto& node : nodes_) node->process->Start();
  request_timer_.Start(kRequestInterval, /*repeating=*/true);
  watch_timer_.Start(kWatchInterval, /*repeating=*/true);
  fault_timer_.Start(kStartTime);
  end_timer_.Start(options_.duration);
  loop_.Run();
  result_.violations = judge_.violations();
  result_.served_at_end =
      sent_at_end_ == 0 ? 0
                        : static_cast<double>(served_at_end_) / static_cast<double>(sent_at_end_);
  return result_;
}

void Soak::SendRequest() {
  const Node& node = *nodes_[random_.Below(nodes_.size())];
  http::RequestHead head;
  SentRequest sent;
  sent.id = fmt::format("{}-{}", options_.seed, next_request_++);
  sent.caller_service = node.service;
  const uint64_t kind = random_.Below(4);
  sent.repeatable = kind != 0;
  if (kind == 0) {
    head.method = "POST";
    sent.target = "/send/" + sent.id;
    sent.body = "order " + sent.id;
  } else if (kind == 1) {
    head.method = "GET";
    sent.target = "/read/" + sent.id;
  } else {
    head.method = "GET";
    sent.target = "/keyed/" + sent.id;
    head.headers.Add("Shard-Key", std::to_string(random_.Below(kKeyCount)));
  }
  head.target = sent.target;
  head.headers.Add("Host", "h.example");
  head.headers.Add("Attempt-Id", sent.id);
  head.headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(kDeadline)));
  judge_.OnSent(sent);
  ++result_.requests;
  auto caller = std::make_unique<Caller>();
  Caller* pointer = caller.get();
  caller->id = sent.id;
  caller->target = sent.target;
  caller->sent_at = loop_.Now();
  callers_[sent.id] = std::move(caller);
  pointer->call = std::make_unique<http::SimpleCall>(
      loop_, pool_, node.outbound, http::SerializeRequest(head, sent.body), http::CallOptions{},
      kUnanswered,
      [this, pointer](const std::optional<http::Response>& response, http::ClientFailure) {
        OnAnswer(pointer, response.has_value() ? &*response : nullptr);
      });
}

void Soak::OnAnswer(Caller* caller, const http::Response* response) {
  const Instant now = loop_.Now();
  const bool served = response != nullptr && response->status == 200;
  if (response != nullptr) {
    const std::string* stamp = response->headers.Find("Server-Stamp");
    judge_.OnAnswer(
        {caller->id, response->status, response->body, stamp == nullptr ? std::string() : *stamp});
  } else if (now - caller->sent_at >= kUnanswered && Calm(caller->sent_at)) {
    judge_.OnNoAnswer(caller->id);
  }
  if (served) ++result_.served;
  if (caller->sent_at >= started_ + options_.duration - kMeasuredEnd &&
      caller->sent_at < started_ + options_.duration - kDeadline) {
    ++sent_at_end_;
    if (served) ++served_at_end_;
  }
  // The call is destroyed from its own callback.
  callers_.erase(caller->id);
}

void Soak::OnExecuted(Node* node, const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  const auto text = [&](const char* name) {
    const std::string* value = request.head.headers.Find(name);
    return value == nullptr ? std::string() : *value;
  };
  const Instant now = loop_.Now();
  const std::string id = text("Attempt-Id");
  const std::string worker = node->worker->id();
  judge_.OnExecuted(
      {id, request.head.target, request.body, text("Caller-Service"), worker, node->service});
  if (node->service == "keyed" && now - last_healed_ > kThawSlack) {
    const auto key = static_cast<uint32_t>(std::stoul(text("Shard-Key")));
    for (const auto& other : nodes_) {
      if (other.get() == node || other->worker == nullptr || other->service != "keyed") continue;
      if (other->worker->Holds(key) == nullptr) continue;
      judge_.OnSharedKey(key, worker, other->worker->id());
    }
  }
  const auto caller = callers_.find(id);
  const Instant sent_at = caller == callers_.end() ? now : caller->second->sent_at;
  const auto left = node->worker->leaving_acknowledged_at();
  if (left.has_value() && now - *left > kDrainTimeout + kDrainSlack && Calm(sent_at)) {
    judge_.OnRequestAfterDrain(worker, id);
  }
  if (request.head.target.starts_with("/read/")) CheckConfiguration(id, node->service, sent_at);
  std::string body = ExpectedAnswerBody(worker, id, request.body);
  auto timer = std::make_unique<event::Timer>(loop_, [exchange, id, worker, body] {
    http::Headers headers;
    headers.Add("Attempt-Id", id);
    headers.Add("Server-Stamp", worker);
    exchange->Respond(200, headers, body);
  });
  timer->Start(random_.Between(std::chrono::milliseconds(1), std::chrono::milliseconds(40)));
  delayed_answers_.push_back(std::move(timer));
}

void Soak::CheckConfiguration(const std::string& id, const std::string& service, Instant sent_at) {
  if (!Calm(sent_at)) return;
  // Every configuration that may be in force for the request allows its service.
  for (size_t index = 0; index < configurations_.size(); ++index) {
    const bool replaced = index + 1 < configurations_.size() &&
                          sent_at - configurations_[index + 1].since > kConfigurationTime;
    if (!replaced && configurations_[index].service == service) return;
  }
  judge_.OnOldConfiguration(id, service);
}

bool Soak::Calm(Instant since) const { return since - last_disturbed_ > kContactWindow; }

void Soak::Watch() {
  const Instant now = loop_.Now();
  std::erase_if(delayed_answers_, [](const auto& timer) { return !timer->active(); });
  bool disturbed = std::any_of(faults_.begin(), faults_.end(),
                               [](const auto& fault) { return !IsPlanned(fault->kind); });
  for (const auto& node : nodes_) {
    const bool down = std::any_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
      return fault->kind == FaultKind::kKillAllProcesses ||
             (fault->node == node.get() && fault->kind == FaultKind::kKillProcess);
    });
    const bool crashed = std::any_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
      return fault->node == node.get() && fault->kind == FaultKind::kWorkerCrash;
    });
    if (!node->process->Running()) {
      disturbed = true;
      if (!down) node->process->Start();
    }
    if (node->worker == nullptr && !crashed) StartWorker(node.get());
  }
  if (disturbed) last_disturbed_ = now;
  CheckOverlaps(now);
}

void Soak::CheckOverlaps(Instant now) {
  for (size_t left = 0; left < nodes_.size(); ++left) {
    for (size_t right = left + 1; right < nodes_.size(); ++right) {
      const FakeWorker* first = nodes_[left]->worker.get();
      const FakeWorker* second = nodes_[right]->worker.get();
      if (first == nullptr || second == nullptr) continue;
      const auto names = std::make_pair(first->id(), second->id());
      std::optional<uint32_t> shared;
      for (const FakeWorker::Grant& grant : first->grants()) {
        if (grant.until <= now) continue;
        for (const FakeWorker::Grant& other : second->grants()) {
          if (other.until <= now || grant.first > other.last || other.first > grant.last) continue;
          shared = std::max(grant.first, other.first);
        }
      }
      if (!shared.has_value()) {
        overlaps_.erase(names);
        continue;
      }
      const Instant since = overlaps_.try_emplace(names, now).first->second;
      judge_.OnOverlap(*shared, now - since);
      if (now - since > std::chrono::milliseconds(500)) overlaps_[names] = now;
    }
  }
}

}  // namespace runshelf::soak
