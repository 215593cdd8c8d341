#include "tools/sim/schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

constexpr size_t kReplicas = 5;
constexpr size_t kMajority = 3;
constexpr uint64_t kMostJoins = 3;
constexpr Duration kPlannedStopPatience = std::chrono::seconds(20);
constexpr Duration kShortestRestart = std::chrono::milliseconds(50);
constexpr Duration kLongestRestart = std::chrono::milliseconds(5000);

bool IsReplica(const Machine& machine, const coordination::Node& node) {
  return node.Status(const_cast<Machine&>(machine).daemon().Now()).is_voter;
}

}  // namespace

Schedule::Schedule(EventQueue& queue, Network& network, Platform& platform, Fleet& fleet,
                   Callers& callers, Random& random, const Deployment& deployment,
                   const ScheduleConfig& config)
    : queue_(queue),
      network_(network),
      platform_(platform),
      fleet_(fleet),
      callers_(callers),
      random_(random),
      deployment_(deployment),
      config_(config),
      calm_network_(network.config()) {}

void Schedule::Run(TrueTime end) {
  end_ = end;
  if (!config_.kinds.empty()) {
    ScheduleNext();
  }
}

void Schedule::ScheduleNext() {
  const Duration gap = random_.Between(Duration(0), 2 * config_.mean_gap);
  Later(gap, [this] {
    if (queue_.Now() >= end_) {
      return;
    }
    Begin(config_.kinds[random_.Below(config_.kinds.size())]);
    ScheduleNext();
  });
}

void Schedule::Begin(FaultKind kind) {
  ++begun_;
  Trace("fault", std::string(FaultName(kind)));
  switch (kind) {
    case FaultKind::kPartition:
      return BeginPartition(false);
    case FaultKind::kOneWayPartition:
      return BeginPartition(true);
    case FaultKind::kIsolation:
      return BeginIsolation();
    case FaultKind::kPlatformPartition:
      return BeginPlatformPartition();
    case FaultKind::kPauseDaemon:
      return BeginPause(true, false);
    case FaultKind::kPauseServer:
      return BeginPause(false, true);
    case FaultKind::kPauseMachine:
      return BeginPause(true, true);
    case FaultKind::kCrashDaemon:
      return BeginCrashDaemon();
    case FaultKind::kCrashServer:
      return BeginCrashServer();
    case FaultKind::kCrashMachine:
      return BeginCrashMachine();
    case FaultKind::kPlannedLeave:
      return BeginLeave(true);
    case FaultKind::kUnlistedLeave:
      return BeginLeave(false);
    case FaultKind::kListedLeave:
      return BeginListedLeave();
    case FaultKind::kJoin:
      return BeginJoin();
    case FaultKind::kPlatformOutage:
    case FaultKind::kPlatformSlow:
    case FaultKind::kPlatformRateLimit:
    case FaultKind::kPlatformLostAnswers:
      return BeginPlatformFault(kind);
    case FaultKind::kLossyNetwork:
      return BeginLossyNetwork();
    case FaultKind::kLostAnswers:
      return DrawMachine()->server().LoseAnswers(static_cast<uint32_t>(1 + random_.Below(20)));
    case FaultKind::kSlowServer:
      return BeginSlowServer();
    case FaultKind::kHotKeyShift:
      return callers_.ShiftHotKey();
    case FaultKind::kMajorityLoss:
      return BeginMajorityLoss();
  }
}

void Schedule::BeginPartition(bool one_way) {
  Partition partition;
  partition.both_ways = !one_way;
  partition.sources = DrawHosts();
  for (const auto& machine : fleet_.machines()) {
    if (!partition.sources.contains(machine->host())) {
      partition.targets.insert(machine->host());
    }
  }
  const bool with_platform = random_.Below(2) == 0;
  if (with_platform) {
    partition.targets.insert(platform_.host());
  }
  Cut(std::move(partition), DrawDuration());
}

void Schedule::BeginIsolation() {
  Partition partition;
  const Machine* isolated = DrawMachine();
  partition.sources = {isolated->host()};
  for (const auto& machine : fleet_.machines()) {
    if (machine.get() != isolated) {
      partition.targets.insert(machine->host());
    }
  }
  if (random_.Below(2) == 0) {
    partition.targets.insert(platform_.host());
  }
  if (random_.Below(2) == 0) {
    partition.targets.insert(callers_.host());
  }
  Cut(std::move(partition), DrawDuration());
}

void Schedule::BeginPlatformPartition() {
  Partition partition;
  partition.sources = DrawHosts();
  partition.targets = {platform_.host()};
  partition.both_ways = random_.Below(3) != 0;
  Cut(std::move(partition), DrawDuration());
}

void Schedule::Cut(Partition partition, Duration duration) {
  const PartitionId id = network_.Cut(std::move(partition));
  fleet_.OnPartitionsChanged();
  Later(duration, [this, id] {
    Trace("healed", fmt::format("partition={}", id));
    network_.Heal(id);
    fleet_.OnPartitionsChanged();
  });
}

void Schedule::BeginPause(bool daemon, bool server) {
  Machine* machine = DrawMachine();
  if (daemon) {
    machine->SetDaemonPaused(true);
  }
  if (server) {
    machine->SetServerPaused(true);
  }
  Later(DrawDuration(), [machine, daemon, server] {
    if (server) {
      machine->SetServerPaused(false);
    }
    if (daemon) {
      machine->SetDaemonPaused(false);
    }
  });
}

void Schedule::BeginCrashDaemon() {
  Machine* machine = DrawMachine();
  if (!MayLoseDaemon(*machine)) {
    return;
  }
  machine->CrashDaemon();
  Later(random_.Between(kShortestRestart, kLongestRestart),
        [machine] { machine->RestartDaemon(); });
}

void Schedule::BeginCrashServer() {
  Machine* machine = DrawMachine();
  if (!MayLoseServer(*machine)) {
    return;
  }
  machine->CrashServer();
  Later(random_.Between(kShortestRestart, kLongestRestart),
        [machine] { machine->RestartServer(); });
}

void Schedule::BeginCrashMachine() {
  Machine* machine = DrawMachine();
  if (!MayLoseDaemon(*machine) || !MayLoseServer(*machine)) {
    return;
  }
  machine->Crash();
  const bool listed = random_.Below(2) == 0;
  if (listed) {
    fleet_.Unlist(*machine);
  }
  Later(random_.Between(kShortestRestart, 2 * kLongestRestart),
        [this, machine, listed] { StartAgain(*machine, listed); });
}

void Schedule::BeginLeave(bool listed) {
  Machine* machine = DrawMachine();
  if (MayLoseServer(*machine)) {
    Stop(*machine, listed);
  }
}

// The list shows it first; the daemon is told later, or never hears it from anybody else.
void Schedule::BeginListedLeave() {
  Machine* machine = DrawMachine();
  if (!MayLoseServer(*machine)) {
    return;
  }
  fleet_.List(*machine, infrastructure::MachineState::kLeaving);
  Later(random_.Between(std::chrono::seconds(4), std::chrono::seconds(9)),
        [this, machine] { Stop(*machine, true); });
}

void Schedule::Stop(Machine& machine, bool listed) {
  if (!machine.daemon().alive() || machine.stopping()) {
    return;
  }
  if (listed) {
    fleet_.List(machine, infrastructure::MachineState::kLeaving);
  }
  const uint64_t run = machine.daemon().run();
  machine.PlannedStop([this, &machine, listed] {
    if (listed) {
      fleet_.Unlist(machine);
    }
    Later(random_.Between(kShortestRestart, kLongestRestart),
          [this, &machine, listed] { StartAgain(machine, listed); });
  });
  Later(kPlannedStopPatience, [this, &machine, run, listed] { ForceStop(machine, run, listed); });
}

void Schedule::ForceStop(Machine& machine, uint64_t daemon_run, bool listed) {
  if (!machine.stopping() || machine.daemon().run() != daemon_run || !machine.daemon().alive()) {
    return;
  }
  Trace("forced_stop", machine.config().name);
  machine.Crash();
  Later(kShortestRestart, [this, &machine, listed] { StartAgain(machine, listed); });
}

void Schedule::StartAgain(Machine& machine, bool listed) {
  if (machine.daemon().alive() && machine.server().process().alive()) {
    return;
  }
  Trace("start_again", machine.config().name);
  machine.Crash();
  machine.Boot(false);
  if (listed) {
    fleet_.List(machine, infrastructure::MachineState::kLive);
  }
}

void Schedule::BeginJoin() {
  if (joined_ >= kMostJoins) {
    return;
  }
  ++joined_;
  const ServiceLayout& service = deployment_.services[random_.Below(deployment_.services.size())];
  fleet_.Join(service.name, deployment_.zones[random_.Below(deployment_.zones.size())]);
}

void Schedule::BeginPlatformFault(FaultKind kind) {
  PlatformFaults faults;
  if (kind == FaultKind::kPlatformOutage) {
    faults.mode = random_.Below(2) == 0 ? PlatformMode::kRefusing : PlatformMode::kSilent;
  } else if (kind == FaultKind::kPlatformSlow) {
    faults.slowness = random_.Between(std::chrono::milliseconds(50), std::chrono::seconds(2));
  } else if (kind == FaultKind::kPlatformRateLimit) {
    faults.refused_share = 0.8;
  } else {
    faults.lost_answers = 0.5;
  }
  platform_.SetFaults(faults);
  Later(2 * DrawDuration(), [this] { platform_.SetFaults(PlatformFaults{}); });
}

void Schedule::BeginLossyNetwork() {
  NetworkConfig& network = network_.config();
  network.loss = 0.01 * static_cast<double>(random_.Below(30));
  network.duplication = 0.01 * static_cast<double>(random_.Below(20));
  network.reordering = 0.01 * static_cast<double>(random_.Below(40));
  Later(DrawDuration(), [this] { network_.config() = calm_network_; });
}

void Schedule::BeginSlowServer() {
  Machine* machine = DrawMachine();
  machine->server().SetSlowness(static_cast<double>(2 + random_.Below(30)));
  Later(DrawDuration(), [machine] { machine->server().SetSlowness(1); });
}

void Schedule::BeginMajorityLoss() {
  std::vector<Machine*> voters = Voters();
  if (voters.size() < kMajority) {
    return;
  }
  voters.resize(std::max(kMajority, voters.size() - random_.Below(2)));
  for (Machine* machine : voters) {
    machine->Crash();
    Later(random_.Between(kShortestRestart, 2 * kLongestRestart),
          [this, machine] { StartAgain(*machine, false); });
  }
}

void Schedule::HealAll() {
  healed_ = true;
  Trace("heal_all", "");
  network_.HealAll();
  network_.config() = calm_network_;
  platform_.SetFaults(PlatformFaults{});
  for (const auto& machine : fleet_.machines()) {
    machine->SetServerPaused(false);
    machine->SetDaemonPaused(false);
    machine->server().SetSlowness(1);
    const bool whole = machine->daemon().alive() && machine->server().process().alive();
    if (!whole) {
      StartAgain(*machine, false);
    }
    if (!machine->stopping()) {
      fleet_.List(*machine, infrastructure::MachineState::kLive);
    }
  }
  fleet_.OnPartitionsChanged();
}

// The tolerated loss: most of the group stays. Living voters are counted, since lost ones are
// replaced after a while.
bool Schedule::MayLoseDaemon(const Machine& machine) const {
  const std::vector<Machine*> voters = Voters();
  const bool is_voter = std::any_of(voters.begin(), voters.end(),
                                    [&machine](const Machine* voter) { return voter == &machine; });
  const coordination::Node* node = const_cast<Machine&>(machine).daemon().node();
  return node != nullptr && (!is_voter || voters.size() > kMajority);
}

// At least one undisturbed server of the service remains.
bool Schedule::MayLoseServer(const Machine& machine) const {
  for (const auto& other : fleet_.machines()) {
    const bool remains = other.get() != &machine && other->undisturbed() && !other->stopping() &&
                         !fleet_.IsLeaving(*other);
    if (remains && other->config().service == machine.config().service) {
      return machine.up() && !machine.stopping() && !fleet_.IsLeaving(machine);
    }
  }
  return false;
}

std::vector<Machine*> Schedule::Voters() const {
  std::vector<Machine*> voters;
  for (const auto& machine : fleet_.machines()) {
    const coordination::Node* node = machine->daemon().node();
    if (node != nullptr && IsReplica(*machine, *node)) {
      voters.push_back(machine.get());
    }
  }
  voters.resize(std::min(voters.size(), kReplicas));
  return voters;
}

Machine* Schedule::DrawMachine() {
  return fleet_.machines()[random_.Below(fleet_.machines().size())].get();
}

std::set<HostIndex> Schedule::DrawHosts() {
  std::set<HostIndex> hosts;
  if (random_.Below(2) == 0) {
    const std::string& zone = deployment_.zones[random_.Below(deployment_.zones.size())];
    for (const auto& machine : fleet_.machines()) {
      if (machine->config().zone == zone) {
        hosts.insert(machine->host());
      }
    }
    return hosts;
  }
  const uint64_t share = 1 + random_.Below(3);
  for (const auto& machine : fleet_.machines()) {
    if (random_.Below(4) < share) {
      hosts.insert(machine->host());
    }
  }
  return hosts;
}

// Short, about as long as a grant, and long.
Duration Schedule::DrawDuration() {
  switch (random_.Below(3)) {
    case 0:
      return random_.Between(std::chrono::milliseconds(20), std::chrono::milliseconds(300));
    case 1:
      return random_.Between(std::chrono::milliseconds(300), std::chrono::milliseconds(1500));
    default:
      return random_.Between(std::chrono::milliseconds(1500), std::chrono::milliseconds(7000));
  }
}

void Schedule::Later(Duration delay, Handler handler) {
  queue_.After(delay, [this, handler = std::move(handler)] {
    if (!healed_) {
      handler();
    }
  });
}

}  // namespace runshelf::sim
