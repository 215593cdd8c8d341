#include "tests/overload/limited_fleet.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "tests/event/loop_runner.h"
#include "tests/overload/peak_memory.h"
#include "tests/platform_adapter/fixtures.h"

namespace runshelf::overload {
namespace {

namespace fs = std::filesystem;

constexpr size_t kNodes = 2;
constexpr const char* kServices[kNodes] = {"front", "back"};
constexpr size_t kOrdinaryBodyBytes = 300;
constexpr size_t kLargeBodyBytes = size_t{64} * 1024;
constexpr uint64_t kBytesPerMegabyte = 1000000;
// Of a process's descriptors, so many are not for sockets and pipes.
constexpr uint64_t kDescriptorsOfFiles = 200;
constexpr int kSlots = 64;
// Ends a test that hangs; nothing is judged by it.
constexpr Duration kHangLimit = std::chrono::seconds(100);
constexpr Duration kMeasureInterval = std::chrono::milliseconds(50);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);

std::string NodeIp(size_t index) {
  const auto process = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}.{}", 1 + process / 256 % 254, process % 256, 10 + index);
}

uint16_t PeerPort() { return static_cast<uint16_t>(20000 + 2 * (getpid() % 5000)); }

// No time-out ends a request, or closes a connection, within a test.
std::string Configuration(const Limits& limits) {
  return fmt::format(
      R"({{"version":"r1","routes":{{"columns":["name","host","path_prefix","kind","timeout_ms",)"
      R"("target_latency_ms","priority","service","max_attempts"],"rows":[)"
      R"(["front","h.example","/front/","non_idempotent",90000,80000,1,"front",2],)"
      R"(["back","h.example","/back/","non_idempotent",90000,80000,1,"back",2]]}},)"
      R"("services":{{"columns":["name","health_check_path"],)"
      R"("rows":[["front","/health"],["back","/health"]]}},)"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":{},"header_timeout_ms":90000,)"
      R"("idle_timeout_ms":90000}}}})",
      limits.max_body_bytes);
}

// Number of sockets and pipes that the process has open.
size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  size_t count = 0;
  for (const auto& entry : fs::directory_iterator(fmt::format("/proc/{}/fd", pid), error)) {
    const std::string target = fs::read_symlink(entry.path(), error).string();
    if (target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0) ++count;
  }
  return count;
}

// Number of connections accepted at these endpoints that the server has not closed.
size_t AcceptedConnections(const std::vector<event::Endpoint>& endpoints) {
  constexpr unsigned kEstablished = 1;
  constexpr unsigned kCloseWait = 8;
  std::vector<std::string> addresses;
  for (const event::Endpoint& endpoint : endpoints) {
    in_addr address{};
    inet_pton(AF_INET, endpoint.ip.c_str(), &address);
    addresses.push_back(fmt::format("{:08X}:{:04X}", address.s_addr, endpoint.port));
  }
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  size_t count = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    unsigned state = 0;
    fields >> number >> local >> remote >> std::hex >> state;
    const bool open = state == kEstablished || state == kCloseWait;
    if (open && std::find(addresses.begin(), addresses.end(), local) != addresses.end()) ++count;
  }
  return count;
}

}  // namespace

LimitedFleet::LimitedFleet(Limits limits)
    : limits_(limits),
      directory_((fs::temp_directory_path() / "runshelf-overload-XXXXXX").string()),
      most_descriptors_(kNodes),
      measure_(loop_, [this] { MeasureDescriptors(); }) {
  CHECK_TEXT(mkdtemp(directory_.data()) != nullptr, "no directory for the processes' files");
  store_.Put("op/config", Configuration(limits_));
  for (size_t index = 0; index < kNodes; ++index) MakeNode(index);
  for (Node& node : nodes_) {
    CHECK_TEXT(node.process->Start(), "a sidecar could not be started");
    node.worker->StartHeartbeats(node.control_plane, kHeartbeatInterval);
  }
  for (const char* service : kServices) AwaitService(service);
  measure_.Start(kMeasureInterval, /*repeating=*/true);
}

LimitedFleet::~LimitedFleet() {
  nodes_.clear();
  std::error_code error;
  fs::remove_all(directory_, error);
}

void LimitedFleet::MakeNode(size_t index) {
  Node node;
  const std::string ip = NodeIp(index);
  const auto endpoints = platform_adapter::FreeEndpoints(ip, 4);
  node.outbound = endpoints[0];
  node.inbound = endpoints[1];
  node.readiness = endpoints[2];
  node.control_plane = endpoints[3];
  const std::string id = fmt::format("w{}", index);
  node.worker = std::make_unique<platform_adapter::FakeWorker>(loop_, id, kServices[index]);
  node.worker->set_slots(kSlots);
  node.worker->set_keeps_executed(false);
  node.worker->set_behaviour(
      [this, id](const http::ExchangePtr& exchange) { Behave(exchange, id); });
  node.worker->Listen();
  node.relay = std::make_unique<SlowRelay>(loop_, node.worker->endpoint());
  const std::string path = fmt::format("{}/n{}", directory_, index);
  std::ofstream(path + ".toml") << fmt::format(
      "node_name = \"n{}\"\nfirst_start = true\nip_address = \"{}\"\nzone = \"z\"\n"
      "internal_port_range = [{},{}]\nheartbeat_interval_ms = {}\n"
      "bounds = [\"grace_period_s=6\",\"max_hold_ms=10000\"]\n"
      "application_address = \"{}\"\nservice = \"{}\"\n"
      "[listen_addresses]\ninbound = \"{}\"\noutbound = \"{}\"\nreadiness = \"{}\"\n"
      "control_plane = \"{}\"\n[platform]\naddress = \"{}\"\nttl_min_ms = 1000\n"
      "[limits]\nmemory_mb = {}\nfile_descriptors = {}\n",
      index, ip, PeerPort(), PeerPort() + 1, ToMilliseconds(kHeartbeatInterval),
      node.relay->endpoint().ToString(), kServices[index], node.inbound.ToString(),
      node.outbound.ToString(), node.readiness.ToString(), node.control_plane.ToString(),
      store_.endpoint().ToString(), limits_.memory_mb, limits_.file_descriptors);
  node.process =
      std::make_unique<soak::SidecarProcess>(RUNSHELF_SIDECAR, path + ".toml", path + ".log");
  nodes_.push_back(std::move(node));
}

void LimitedFleet::AwaitService(const char* service) {
  const Instant end = loop_.Now() + kHangLimit;
  while (loop_.Now() < end) {
    const auto answer = Request(service, kOrdinaryBodyBytes);
    if (answer.has_value() && answer->status == 200) return;
    event::RunFor(loop_, kHeartbeatInterval);
  }
  FAIL("the fleet does not serve");
}

void LimitedFleet::Behave(const http::ExchangePtr& exchange, const std::string& id) {
  const size_t bytes = exchange->request().body.size();
  if (holds_large_bodies_ && bytes > kLargeBodyBytes) {
    exchange->request().body = std::string();
    held_.push_back(exchange);
    return;
  }
  platform_adapter::AnswerRun(exchange, 200, fmt::format("{}:{}", id, bytes));
}

void LimitedFleet::MeasureDescriptors() {
  for (size_t index = 0; index < nodes_.size(); ++index) {
    most_descriptors_[index] =
        std::max(most_descriptors_[index], OpenDescriptors(nodes_[index].process->pid()));
  }
}

std::optional<LimitedFleet::Answer> LimitedFleet::Request(const std::string& service,
                                                          size_t body_bytes, bool chunked) {
  std::string text = fmt::format(
      "POST /{}/{} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a{}\r\nDeadline-Ms: 80000\r\n",
      service, next_id_, next_id_);
  ++next_id_;
  if (chunked) {
    text += fmt::format("Transfer-Encoding: chunked\r\n\r\n");
    constexpr size_t kChunkBytes = size_t{16} * 1024;
    for (size_t sent = 0; sent < body_bytes; sent += kChunkBytes) {
      const size_t count = std::min(kChunkBytes, body_bytes - sent);
      text += fmt::format("{:x}\r\n", count);
      text.append(count, 'b').append("\r\n");
    }
    text += "0\r\n\r\n";
  } else {
    text += fmt::format("Content-Length: {}\r\n\r\n", body_bytes);
    text.append(body_bytes, 'b');
  }
  std::optional<Answer> answer;
  bool over = false;
  http::SimpleCall call(loop_, pool_, nodes_.front().outbound, text,
                        {http::AnswerMatch::OwnConnection(), "client"}, kHangLimit,
                        [&](const std::optional<http::Response>& response, http::ClientFailure) {
                          over = true;
                          if (!response.has_value()) return;
                          answer = Answer{response->status, response->body};
                        });
  event::RunUntil(
      loop_, [&] { return over; }, kHangLimit);
  return answer;
}

void LimitedFleet::CheckLimits() {
  MeasureDescriptors();
  for (size_t index = 0; index < nodes_.size(); ++index) {
    soak::SidecarProcess& process = *nodes_[index].process;
    CHECK_TEXT(process.Running(),
               fmt::format("n{} has ended with {}", index, process.last_exit()).c_str());
    const uint64_t memory = PeakMemory(process.pid());
    CHECK_TEXT(memory <= limits_.memory_mb * kBytesPerMegabyte,
               fmt::format("n{} used {} bytes of {} MB", index, memory, limits_.memory_mb).c_str());
    CHECK_TEXT(most_descriptors_[index] <= limits_.file_descriptors - kDescriptorsOfFiles,
               fmt::format("n{} had {} descriptors open", index, most_descriptors_[index]).c_str());
  }
}

void LimitedFleet::CheckOrdinaryRequests() {
  for (size_t index = 0; index < kNodes; ++index) {
    const auto answer = Request(kServices[index], kOrdinaryBodyBytes);
    CHECK_TEXT(answer.has_value(), kServices[index]);
    CHECK_EQUAL_TEXT(200, answer->status, kServices[index]);
    STRCMP_EQUAL(fmt::format("w{}:{}", index, kOrdinaryBodyBytes).c_str(), answer->body.c_str());
  }
}

void LimitedFleet::AwaitCalm() {
  held_.clear();
  // Heartbeats, and the connections between the nodes.
  constexpr size_t kOtherConnections = 4;
  const Node& node = nodes_.front();
  const std::vector<event::Endpoint> endpoints{node.outbound, node.inbound, node.readiness,
                                               node.control_plane};
  const bool calm = event::RunUntil(
      loop_, [&] { return AcceptedConnections(endpoints) <= kOtherConnections; }, kHangLimit);
  CHECK_TEXT(calm, "connections of clients that left are still open");
}

}  // namespace runshelf::overload
