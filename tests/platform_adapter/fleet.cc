#include "tests/platform_adapter/fleet.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace runshelf::platform_adapter {
namespace {

constexpr size_t kMaxClientBodyBytes = size_t{16} * 1024 * 1024;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(100);

// Returns a separate loopback address for each node, so that all nodes can use the same UDP ports.
// Addresses also differ between test processes: otherwise one could bind a port that another has
// chosen but not bound yet.
std::string NodeIp(size_t index) {
  const auto process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 1 + process / 256 % 254, process % 256, 10 + index);
}

// First of a pair of UDP ports below the ephemeral range; concurrent test processes use different
// pairs.
uint16_t PeerPort() { return static_cast<uint16_t>(20000 + 2 * (getpid() % 5000)); }

}  // namespace

Fleet::Fleet(const std::vector<std::string>& services, routes::GrantDelivery grant_delivery)
    : log_file_(std::tmpfile()), log_(loop, fileno(log_file_), {}) {
  for (size_t index = 0; index < services.size(); ++index) {
    Node node;
    const std::string name = "n" + std::to_string(index);
    node.worker = std::make_unique<FakeWorker>(loop, "w" + std::to_string(index), services[index]);
    node.worker->set_sharded(services[index] == "keyed");
    node.worker->Listen();
    node.settings.node_name = name;
    node.settings.zone = "z";
    node.settings.ip_address = NodeIp(index);
    node.settings.peer_port_first = PeerPort();
    node.settings.peer_port_last = PeerPort() + 1;
    const auto endpoints = FreeEndpoints(node.settings.ip_address, 4);
    node.settings.outbound = endpoints[0];
    node.settings.inbound = endpoints[1];
    node.settings.readiness = endpoints[2];
    node.settings.control_plane = endpoints[3];
    node.settings.worker = node.worker->endpoint();
    node.settings.worker_service = services[index];
    node.settings.store = store.endpoint();
    node.settings.heartbeat_interval = kHeartbeatInterval;
    node.settings.grant_delivery = grant_delivery;
    node.settings.first_start = true;
    node.worker->set_keys_in_heartbeats(grant_delivery == routes::GrantDelivery::kHeartbeats);
    nodes.push_back(std::move(node));
  }
}

Fleet::~Fleet() {
  for (Node& node : nodes) node.sidecar.reset();
  std::fclose(log_file_);
}

void Fleet::StartNode(Node* node) {
  node->sidecar =
      std::make_unique<sidecar::Sidecar>(loop, node->settings, wire_, codec_, random_, log_);
  // Retried until it succeeds: the address of a sidecar that was just terminated may still be in
  // use for a moment.
  bool started = false;
  event::RunUntil(loop, [&] {
    if (!started) started = node->sidecar->Start().ok();
    return started;
  });
  CHECK_TEXT(started, "a node could not listen on its addresses");
  node->worker->StartHeartbeats(*node->settings.control_plane, kHeartbeatInterval);
}

void Fleet::Launch() {
  store.Put("op/config", TestConfiguration(1, "plain"));
  for (Node& node : nodes) StartNode(&node);
}

void Fleet::Start() {
  Launch();
  const bool keyed = std::any_of(nodes.begin(), nodes.end(), [](const Node& node) {
    return node.settings.worker_service == "keyed";
  });
  const bool up = event::RunUntil(
      loop,
      [&] {
        const bool ready = std::all_of(nodes.begin(), nodes.end(), [this](const Node& node) {
          return node.sidecar->ready() && node.worker->heartbeat_status() == 200 &&
                 KnowsAllWorkers(*node.sidecar);
        });
        return ready && (!keyed || EveryKeyHeld());
      },
      std::chrono::seconds(8));
  CHECK_TEXT(up, "the fleet is not up in time");
}

bool Fleet::KnowsAllWorkers(const sidecar::Sidecar& node) const {
  const auto& peers = node.peers().peers();
  return std::count_if(peers.begin(), peers.end(), [](const auto& entry) {
           return entry.second.record.accepting();
         }) == static_cast<std::ptrdiff_t>(nodes.size());
}

void Fleet::Kill(size_t node) { nodes[node].sidecar.reset(); }

void Fleet::Restart(size_t node) {
  nodes[node].settings.first_start = false;
  StartNode(&nodes[node]);
}

void Fleet::SetBorn(int64_t born) {
  for (Node& node : nodes) node.worker->set_born(born);
}

void Fleet::ReplaceWorker(size_t node, const std::string& id, int64_t born, Duration down,
                          Duration cold) {
  const uint16_t port = nodes[node].worker->endpoint().port;
  nodes[node].worker.reset();
  event::RunFor(loop, down);
  nodes[node].worker = std::make_unique<FakeWorker>(loop, id, nodes[node].settings.worker_service);
  nodes[node].worker->set_sharded(nodes[node].settings.worker_service == "keyed");
  nodes[node].worker->set_keys_in_heartbeats(nodes[node].settings.grant_delivery ==
                                             routes::GrantDelivery::kHeartbeats);
  nodes[node].worker->set_born(born);
  if (cold > Duration(0)) nodes[node].worker->TurnCold(cold);
  nodes[node].worker->Listen(port);
  nodes[node].worker->StartHeartbeats(*nodes[node].settings.control_plane, kHeartbeatInterval);
}

std::unique_ptr<Fleet::PendingRequest> Fleet::Begin(size_t node, const std::string& method,
                                                    const std::string& target,
                                                    const std::string& body,
                                                    const http::Headers& headers, Duration limit) {
  http::RequestHead head;
  head.method = method;
  head.target = target;
  head.headers = headers;
  head.headers.Add("Host", "h.example");
  if (!head.headers.Has("Attempt-Id")) {
    head.headers.Add("Attempt-Id", "a" + std::to_string(next_request_++));
  }
  if (!head.headers.Has("Deadline-Ms")) head.headers.Add("Deadline-Ms", "2000");
  http::CallOptions options(http::AnswerMatch::InOrder(), "client");
  options.max_body_bytes = kMaxClientBodyBytes;
  auto pending = std::make_unique<PendingRequest>();
  pending->call = std::make_unique<http::SimpleCall>(
      loop, pool_, *nodes[node].settings.outbound, http::SerializeRequest(head, body), options,
      limit,
      [pending = pending.get()](std::optional<http::Response> response, http::ClientFailure) {
        pending->over = true;
        if (!response.has_value()) return;
        pending->answer = Answer{response->status, response->body, response->headers};
      });
  return pending;
}

std::optional<Fleet::Answer> Fleet::Request(size_t node, const std::string& method,
                                            const std::string& target, const std::string& body,
                                            const http::Headers& headers, Duration limit) {
  const auto pending = Begin(node, method, target, body, headers, limit);
  event::RunUntil(
      loop, [&] { return pending->over; }, limit + std::chrono::seconds(1));
  return pending->answer;
}

std::optional<Fleet::Answer> Fleet::Keyed(size_t node, uint32_t key) {
  http::Headers headers;
  headers.Add("Shard-Key", std::to_string(key));
  return Request(node, "GET", "/keyed/1", "", headers);
}

std::optional<int> Fleet::Readiness(size_t node) {
  std::optional<int> status;
  bool over = false;
  http::SimpleCall call(loop, pool_, *nodes[node].settings.readiness,
                        "GET /runshelf/readiness HTTP/1.1\r\n\r\n",
                        {http::AnswerMatch::InOrder(), "readiness"}, std::chrono::seconds(1),
                        [&](const std::optional<http::Response>& response, http::ClientFailure) {
                          over = true;
                          if (response.has_value()) status = response->status;
                        });
  event::RunUntil(loop, [&] { return over; });
  return status;
}

std::string Fleet::Log() {
  log_.Flush();
  const int descriptor = fileno(log_file_);
  std::string text(static_cast<size_t>(lseek(descriptor, 0, SEEK_END)), '\0');
  const ssize_t count = pread(descriptor, text.data(), text.size(), 0);
  CHECK_EQUAL(static_cast<ssize_t>(text.size()), count);
  return text;
}

std::string Fleet::Metrics(size_t node) {
  std::string text;
  http::CallOptions options(http::AnswerMatch::InOrder(), "metrics");
  options.max_body_bytes = kMaxClientBodyBytes;
  http::SimpleCall call(loop, pool_, *nodes[node].settings.metrics,
                        "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", options,
                        std::chrono::seconds(1),
                        [&](const std::optional<http::Response>& response, http::ClientFailure) {
                          if (response.has_value()) text = response->body;
                        });
  event::RunUntil(
      loop, [&] { return !text.empty(); }, std::chrono::seconds(2));
  return text;
}

std::optional<Fleet::Answer> Fleet::Heartbeat(size_t node, const std::string& worker_id,
                                              const std::string& body) {
  return CallControlPlane(node, "/runshelf/rpc?call=instances.heartbeat&of=" + worker_id, body);
}

std::optional<Fleet::Answer> Fleet::Leave(size_t node, const std::string& worker_id,
                                          const std::string& body) {
  return CallControlPlane(node, "/runshelf/rpc?call=instances.deregister&of=" + worker_id, body);
}

std::optional<Fleet::Answer> Fleet::CallControlPlane(size_t node, const std::string& target,
                                                     const std::string& body) {
  std::optional<Answer> answer;
  bool over = false;
  http::RequestHead head;
  head.method = "POST";
  head.target = target;
  head.headers.Add("Host", "h");
  http::SimpleCall call(loop, pool_, *nodes[node].settings.control_plane,
                        http::SerializeRequest(head, body),
                        {http::AnswerMatch::OwnConnection(), "notice"}, std::chrono::seconds(2),
                        [&](const std::optional<http::Response>& response, http::ClientFailure) {
                          over = true;
                          if (!response.has_value()) return;
                          answer = Answer{response->status, response->body, response->headers};
                        });
  event::RunUntil(
      loop, [&] { return over; }, std::chrono::seconds(3));
  return answer;
}

int Fleet::LateOrder(size_t node, const std::string& target, const std::string& body) {
  int status = 0;
  http::RequestHead head;
  head.method = "POST";
  head.target = target;
  http::SimpleCall call(loop, pool_, nodes[node].worker->endpoint(),
                        http::SerializeRequest(head, body),
                        {http::AnswerMatch::OwnConnection(), "notice"}, std::chrono::seconds(1),
                        [&](const std::optional<http::Response>& response, http::ClientFailure) {
                          status = response.has_value() ? response->status : -1;
                        });
  event::RunUntil(loop, [&] { return status != 0; });
  return status;
}

int Fleet::HoldersOf(uint32_t key) const {
  return static_cast<int>(std::count_if(nodes.begin(), nodes.end(), [&](const Node& node) {
    return node.settings.worker_service == "keyed" && node.worker->Holds(key) != nullptr;
  }));
}

std::optional<size_t> Fleet::HolderOf(uint32_t key) const {
  for (size_t index = 0; index < nodes.size(); ++index) {
    if (nodes[index].settings.worker_service != "keyed") continue;
    if (nodes[index].worker->Holds(key) != nullptr) return index;
  }
  return std::nullopt;
}

bool Fleet::EveryKeyHeld() const {
  for (uint32_t key = 0; key < 65536; key += 512) {
    if (HoldersOf(key) != 1) return false;
  }
  return true;
}

}  // namespace runshelf::platform_adapter
