#include "tests/coordination/cluster.h"

#include <algorithm>

namespace runshelf::coordination {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kPushRetryInterval = std::chrono::milliseconds(20);
constexpr Duration kListInterval = std::chrono::milliseconds(500);

bool IsDue(Instant now, Duration interval) {
  return now.time_since_epoch().count() % interval.count() == 0;
}

bool MayServe(const ClusterMember& member, Instant now, SlotNumber slot) {
  return member.server_running && member.server_grant && now < member.server_grant->expires_at &&
         Contains(member.server_grant->slots, slot);
}

}  // namespace

ClusterMember& Cluster::Add(const std::string& name, const std::string& service,
                            const std::string& zone) {
  auto member = std::make_unique<ClusterMember>();
  member->config.node = name;
  member->config.zone = zone;
  member->config.service = service;
  member->config.slots_per_service = 64;
  member->config.peer_address = name + ":1";
  member->config.forward_address = name + ":2";
  member->id = NewInstanceId(name, random_);
  member->node = MakeNode(member->config, member->id, now_, member->table, nullptr, random_);
  member->node->OnServerState(now_, ServerState::kServing);
  return *(members_[name] = std::move(member));
}

void Cluster::Run(Duration duration) {
  const Instant end = now_ + duration;
  while (now_ < end) Step();
}

void Cluster::Step() {
  now_ += kStep;
  while (!network_.empty() && network_.front().at <= now_) {
    const Delivery delivery = std::move(network_.front());
    network_.pop_front();
    for (auto& [name, member] : members_) {
      if (!member->running || member->config.peer_address != delivery.address) continue;
      member->node->Receive(now_, delivery.envelope);
      CarryOut(*member);
    }
  }
  infrastructure::MachineListSnapshot machines;
  for (const auto& [name, member] : members_) {
    if (unlisted.contains(name)) continue;
    machines.machines.push_back({name, member->config.peer_address, member->config.zone,
                                 infrastructure::MachineState::kLive});
  }
  for (auto& [name, member] : members_) {
    if (!member->running) continue;
    if (IsDue(now_, kTickInterval)) member->node->Tick(now_);
    if (IsDue(now_, kPushRetryInterval) && member->push_failed) TryPush(*member);
    if (platform_up && IsDue(now_, kListInterval)) member->node->OnMachineList(now_, machines);
    CarryOut(*member);
  }
}

void Cluster::CarryOut(ClusterMember& member) {
  for (const Action& action : member.node->TakeActions()) CarryOut(member, action);
}

void Cluster::CarryOut(ClusterMember& member, const Action& action) {
  if (const auto* send = std::get_if<SendMessage>(&action)) {
    network_.push_back({now_ + network_delay, send->address, send->envelope});
  } else if (std::holds_alternative<PushGrant>(action)) {
    TryPush(member);
  } else if (std::holds_alternative<ReadGroupRecord>(action)) {
    if (!platform_up) return;
    member.node->OnGroupRecord(now_, record_, record_revision_);
    CarryOut(member);
  } else if (const auto* write = std::get_if<WriteGroupRecord>(&action)) {
    if (!platform_up) return;
    const bool succeeds = write->expected_revision == record_revision_;
    if (succeeds) {
      record_ = write->record;
      ++record_revision_;
    }
    member.node->OnGroupRecordWritten(now_, succeeds, record_revision_);
    CarryOut(member);
  } else if (const auto* log = std::get_if<LogAction>(&action)) {
    member.log.push_back(log->event);
  }
}

void Cluster::TryPush(ClusterMember& member) {
  const std::optional<ServerGrant> grant = member.node->GrantToPush(now_);
  member.push_failed = grant && !member.server_running;
  if (!grant || !member.server_running) return;
  member.server_grant = grant;
  member.node->OnGrantAccepted(now_, *grant);
  CarryOut(member);
}

void Cluster::StartServer(const std::string& name) {
  ClusterMember& member = Get(name);
  member.server_running = true;
  member.server_grant.reset();
}

size_t Cluster::ServedSlots(const std::string& service) const {
  size_t served = 0;
  for (SlotNumber slot = 0; slot < 64; ++slot) {
    size_t owners = 0;
    for (const auto& [name, member] : members_) {
      const bool serves = member->running && member->config.service == service;
      if (serves && MayServe(*member, now_, slot)) ++owners;
    }
    if (owners == 1) ++served;
  }
  return served;
}

bool Cluster::HasDoubleOwner() const {
  std::map<std::pair<std::string, SlotNumber>, int> owners;
  for (const auto& [name, member] : members_) {
    if (!member->server_grant) continue;
    for (const SlotNumber slot : FromRanges(member->server_grant->slots)) {
      if (MayServe(*member, now_, slot)) ++owners[{member->config.service, slot}];
    }
  }
  return std::any_of(owners.begin(), owners.end(),
                     [](const auto& entry) { return entry.second > 1; });
}

ClusterMember* Cluster::Leader() {
  for (auto& [name, member] : members_) {
    if (member->running && member->node->Status(now_).is_leader) return member.get();
  }
  return nullptr;
}

}  // namespace runshelf::coordination
