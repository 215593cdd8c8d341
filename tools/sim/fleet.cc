#include "tools/sim/fleet.h"

#include <fmt/format.h>

#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

// Machines whose addresses are in the settings of all daemons.
constexpr size_t kSeedPeers = 4;

std::string IpOf(size_t number) {
  return fmt::format("10.0.{}.{}", number / 250, number % 250 + 1);
}

constexpr uint64_t kSkewSteps = 2001;
constexpr Duration kLargestClockOffset = std::chrono::hours(1000);

}  // namespace

void Fleet::Install(const Deployment& deployment) {
  for (size_t number = 1; number <= kSeedPeers; ++number) {
    base_.seed_addresses.push_back(IpOf(number) + kPeerPort);
  }
  size_t next_zone = 0;
  for (const ServiceLayout& service : deployment.services) {
    for (uint32_t server = 0; server < service.servers; ++server) {
      Add(service.name, deployment.zones[next_zone % deployment.zones.size()]).Boot(true);
      ++next_zone;
    }
  }
}

Machine& Fleet::Join(const std::string& service, const std::string& zone) {
  Machine& machine = Add(service, zone);
  Trace("join", machine.config().name);
  machine.Boot(false);
  return machine;
}

Machine& Fleet::Add(const std::string& service, const std::string& zone) {
  const size_t number = machines_.size() + 1;
  MachineConfig config;
  config.name = fmt::format("{}-{}", service, number);
  config.zone = zone;
  config.service = service;
  config.ip = IpOf(number);
  const auto step = static_cast<double>(random_.Below(kSkewSteps));
  config.clock_rate =
      1 + largest_clock_skew_ * (2 * step / static_cast<double>(kSkewSteps - 1) - 1);
  config.clock_offset = random_.Between(Duration(0), kLargestClockOffset);
  config.seed = random_.Next();
  machines_.push_back(std::make_unique<Machine>(environment_, judge_, random_, base_, config));
  Machine& machine = *machines_.back();
  by_name_[config.name] = &machine;
  by_peer_address_[machine.peer_address()] = &machine;
  by_forward_address_[machine.daemon().config().forward_address] = &machine;
  List(machine, infrastructure::MachineState::kLive);
  return machine;
}

void Fleet::List(const Machine& machine, infrastructure::MachineState state) {
  if (state == infrastructure::MachineState::kLeaving) {
    leaving_.insert(machine.config().name);
  } else {
    leaving_.erase(machine.config().name);
    judge_.requests().OnLeaveForgotten(machine.server().run());
  }
  environment_.platform.SetMachine(
      machine.config().name, infrastructure::Machine{machine.config().name, machine.peer_address(),
                                                     machine.config().zone, state});
}

bool Fleet::IsLeaving(const Machine& machine) const {
  return leaving_.contains(machine.config().name);
}

void Fleet::Unlist(const Machine& machine) {
  environment_.platform.SetMachine(machine.config().name, std::nullopt);
}

void Fleet::OnPartitionsChanged() {
  for (const auto& machine : machines_) {
    machine->SetConnected(IsConnected(*machine));
  }
}

bool Fleet::IsConnected(const Machine& machine) const {
  const Network& network = environment_.network;
  size_t reachable = 0;
  for (const auto& other : machines_) {
    const bool both = network.Reachable(machine.host(), other->host()) &&
                      network.Reachable(other->host(), machine.host());
    reachable += both ? 1U : 0U;
  }
  return 2 * reachable > machines_.size();
}

Machine* Fleet::FindByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

Machine* Fleet::FindByPeerAddress(const std::string& address) const {
  const auto found = by_peer_address_.find(address);
  return found == by_peer_address_.end() ? nullptr : found->second;
}

Machine* Fleet::FindByForwardAddress(const std::string& address) const {
  const auto found = by_forward_address_.find(address);
  return found == by_forward_address_.end() ? nullptr : found->second;
}

}  // namespace runshelf::sim
