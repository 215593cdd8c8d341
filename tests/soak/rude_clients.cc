#include "tests/soak/rude_clients.h"

#include <fmt/format.h>

#include <algorithm>

#include "tests/overload/peak_memory.h"

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortestPause = milliseconds(200);
constexpr Duration kLongestPause = milliseconds(900);
constexpr Duration kShortestStay = milliseconds(100);
constexpr Duration kLongestStay = milliseconds(4000);
constexpr Duration kMeasureInterval = milliseconds(500);
constexpr size_t kMaxOpenCrowds = 4;
constexpr size_t kFewestClients = 8;
constexpr size_t kMostClients = 64;
// The longest body that the configuration of the test fleet allows.
constexpr size_t kLongestBody = 1000000;
constexpr uint64_t kBytesPerMegabyte = 1000000;

std::string Head(const std::string& framing) {
  return "POST /send/rude HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: rude\r\n" + framing +
         "\r\n\r\n";
}

std::string Chunk(size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

}  // namespace

RudeClients::RudeClients(event::EventLoop& loop,
                         const std::vector<std::unique_ptr<SoakNode>>& nodes, uint64_t seed)
    : loop_(loop), nodes_(nodes), random_(seed), timer_(loop, [this] { Send(); }) {}

void RudeClients::Start(Instant end) {
  end_ = end;
  Send();
}

void RudeClients::Send() {
  const Instant now = loop_.Now();
  open_.remove_if([now](const OpenCrowd& open) { return open.leaves_at <= now; });
  if (now >= end_) {
    open_.clear();
    return;
  }
  timer_.Start(random_.Between(kShortestPause, kLongestPause));
  if (open_.size() >= kMaxOpenCrowds) return;
  const SoakNode& node = *nodes_[random_.Below(nodes_.size())];
  const size_t clients = kFewestClients + random_.Below(kMostClients - kFewestClients + 1);
  connections_ += clients;
  const event::Endpoint port = ChoosePort(node);
  open_.push_back({std::make_unique<overload::Crowd>(loop_, port, clients, MakeRequest()),
                   now + random_.Between(kShortestStay, kLongestStay)});
}

event::Endpoint RudeClients::ChoosePort(const SoakNode& node) {
  const event::Endpoint ports[] = {node.outbound, node.outbound, node.inbound, node.readiness,
                                   node.control_plane};
  return ports[random_.Below(std::size(ports))];
}

overload::RudeRequest RudeClients::MakeRequest() {
  overload::RudeRequest request;
  switch (random_.Below(6)) {
    case 0:  // Stops just short of the end.
      request.head = Head(fmt::format("Content-Length: {}", kLongestBody));
      request.body_bytes = kLongestBody - 1;
      break;
    case 1:
      request.head = Head("Transfer-Encoding: chunked");
      request.piece = Chunk(size_t{16} * 1024);
      request.body_bytes = kLongestBody - 1;
      break;
    case 2:
      request.head = Head("Transfer-Encoding: chunked");
      request.piece.clear();
      while (request.piece.size() < size_t{16} * 1024) request.piece += Chunk(4);
      request.body_bytes = kLongestBody;
      break;
    case 3:  // Far over the limit.
      request.head = Head("Content-Length: 1000000000000");
      request.body_bytes = 3 * kLongestBody;
      break;
    case 4:  // A head of many fields.
      request.head = "POST /send/rude HTTP/1.1\r\n";
      request.piece = "a:\r\n";
      while (request.piece.size() < size_t{12} * 1024) request.piece += "a:\r\n";
      request.body_bytes = request.piece.size();
      break;
    default:  // Nothing.
      break;
  }
  return request;
}

void RudeClients::Watch() {
  const Instant now = loop_.Now();
  if (now - measured_at_ < kMeasureInterval) return;
  measured_at_ = now;
  for (const auto& node : nodes_) {
    const uint64_t memory =
        node->process->pid() == 0 ? 0 : overload::PeakMemory(node->process->pid());
    if (memory <= kRudeMemoryMb * kBytesPerMegabyte) continue;
    const std::string violation = fmt::format("{} used more than its {} MB in life {}", node->name,
                                              kRudeMemoryMb, node->process->life());
    if (std::find(violations_.begin(), violations_.end(), violation) == violations_.end()) {
      violations_.push_back(violation);
    }
  }
}

}  // namespace runshelf::soak
