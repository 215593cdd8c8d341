#include "tests/platform_adapter/simulated_links.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace runshelf::platform_adapter {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(2);
constexpr size_t kPacketBytes = 1460;
constexpr size_t kWindowBytes = size_t{32} * 1024;

}  // namespace

SimulatedLinks::SimulatedLinks(event::EventLoop& loop)
    : loop_(loop), timer_(loop, [this] { Tick(); }), ticked_at_(loop.Now()) {
  timer_.Start(kTick, /*repeating=*/true);
}

void SimulatedLinks::AddMachine(const std::string& machine, double bytes_per_second) {
  links_[machine].bytes_per_second = bytes_per_second;
}

std::shared_ptr<SimulatedLinks::Flow> SimulatedLinks::Send(Flow flow) {
  flows_.push_back(std::make_shared<Flow>(std::move(flow)));
  return flows_.back();
}

void SimulatedLinks::Abandon(const std::shared_ptr<Flow>& flow) {
  flow->on_arrival = nullptr;
  flow->left = 0;
}

size_t SimulatedLinks::BytesSent(const std::string& machine) const {
  return links_.at(machine).sent;
}

Duration SimulatedLinks::LongestWait(const std::string& machine) const {
  return links_.at(machine).longest_wait;
}

void SimulatedLinks::Tick() {
  const Instant now = loop_.Now();
  const double elapsed = std::chrono::duration<double>(now - ticked_at_).count();
  ticked_at_ = now;
  for (auto& [machine, link] : links_) {
    const double gained = link.bytes_per_second * elapsed;
    for (Direction* direction : {&link.up, &link.down}) {
      // Unused credit does not accumulate.
      direction->credit = std::min(direction->credit, 0.0) + gained;
    }
  }
  Queue(now);
  for (auto& [machine, link] : links_) PassUp(&link, now);
  for (auto& [machine, link] : links_) PassDown(&link);
}

// Queues packets of all flows round robin.
void SimulatedLinks::Queue(Instant now) {
  for (bool queued = true; queued;) {
    queued = false;
    for (const auto& flow : flows_) {
      if (flow->left == 0 || flow->not_before > now || flow->queued_bytes >= kWindowBytes) continue;
      const size_t bytes = std::min(flow->left, kPacketBytes);
      flow->left -= bytes;
      flow->queued_bytes += bytes;
      links_.at(flow->from).up.queue.push_back({flow, bytes, now});
      queued = true;
    }
  }
  flows_.remove_if([](const auto& flow) { return flow->left == 0; });
}

void SimulatedLinks::PassUp(Link* link, Instant now) {
  while (link->up.credit > 0 && !link->up.queue.empty()) {
    Packet packet = std::move(link->up.queue.front());
    link->up.queue.pop_front();
    link->up.credit -= static_cast<double>(packet.bytes);
    link->sent += packet.bytes;
    link->longest_wait = std::max(link->longest_wait, now - packet.queued_at);
    packet.flow->queued_bytes -= packet.bytes;
    links_.at(packet.flow->to).down.queue.push_back(std::move(packet));
  }
}

void SimulatedLinks::PassDown(Link* link) {
  while (link->down.credit > 0 && !link->down.queue.empty()) {
    const Packet packet = std::move(link->down.queue.front());
    link->down.queue.pop_front();
    link->down.credit -= static_cast<double>(packet.bytes);
    if (packet.flow->on_arrival) packet.flow->on_arrival(packet.bytes);
  }
}

}  // namespace runshelf::platform_adapter
