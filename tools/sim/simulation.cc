#include "tools/sim/simulation.h"

#include <string>
#include <utility>

#include "runshelf/table/store_records.h"
#include "tools/sim/callers.h"
#include "tools/sim/fleet.h"
#include "tools/sim/naive_node.h"
#include "tools/sim/operators.h"
#include "tools/sim/schedule.h"
#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

constexpr Duration kStartTime = std::chrono::seconds(3);
constexpr Duration kHealTime = std::chrono::seconds(10);
// Callers and operators stop this long before the end, so that nothing is cut off in the middle.
constexpr Duration kQuietTime = std::chrono::seconds(4);
constexpr Duration kLookInterval = std::chrono::milliseconds(250);
constexpr Duration kListLag = std::chrono::seconds(2);
constexpr uint64_t kFaultSeedMix = 0x9e3779b97f4a7c15;

NetworkConfig MakeNetworkConfig(const Deployment& deployment) {
  NetworkConfig config;
  config.between_zones = deployment.between_zones;
  config.to_clients = deployment.to_clients;
  return config;
}

NodeFactory MakeFactory(const SimulationConfig& config) {
  const NodeFactory production = [](auto&&... arguments) {
    return coordination::MakeNode(arguments...);
  };
  NodeFactory factory = config.make_node ? config.make_node : production;
  return config.naive.no_release_wait ? EarlyReleases(factory) : factory;
}

class Simulation {
 public:
  explicit Simulation(const SimulationConfig& config);
  Report Run();

 private:
  void ObservePlatform();
  void LookAtTables();
  ScheduleConfig MakeScheduleConfig() const;

  SimulationConfig config_;
  EventQueue queue_;
  SeededRandom random_;
  Network network_;
  Platform platform_;
  Judge judge_;
  DaemonEnvironment environment_;
  Fleet fleet_;
  Callers callers_;
  Operators operators_;
  Schedule schedule_;
};

Simulation::Simulation(const SimulationConfig& config)
    : config_(config),
      random_(config.seed),
      network_(queue_, random_, MakeNetworkConfig(config.deployment)),
      platform_(queue_, network_, random_),
      judge_(queue_, config.node.slots_per_service),
      environment_{queue_,
                   network_,
                   platform_,
                   MakeFactory(config),
                   [this](const std::string& address) -> MessageTarget* {
                     Machine* machine = fleet_.FindByPeerAddress(address);
                     return machine == nullptr ? nullptr : &machine->daemon();
                   },
                   [this](const std::string& address) -> ForwardTarget* {
                     Machine* machine = fleet_.FindByForwardAddress(address);
                     return machine == nullptr ? nullptr : &machine->daemon();
                   },
                   1,
                   config.naive},
      fleet_(environment_, judge_, random_, config.node, config.largest_clock_skew),
      callers_(queue_, network_, judge_, fleet_, random_, config.deployment,
               CallerConfig{.requests_per_second = config.requests_per_second}),
      operators_(queue_, network_, platform_, judge_, random_, config.deployment, config.naive,
                 OperatorConfig{}),
      schedule_(queue_, network_, platform_, fleet_, callers_, random_, config.deployment,
                MakeScheduleConfig()) {}

ScheduleConfig Simulation::MakeScheduleConfig() const {
  ScheduleConfig schedule;
  if (!config_.no_faults) {
    schedule.kinds = config_.faults.empty() ? DrawFaultKinds(config_.seed) : config_.faults;
  }
  return schedule;
}

Report Simulation::Run() {
  if (config_.trace) {
    EnableTrace(&queue_);
  }
  ObservePlatform();
  platform_.SetListLag(Duration(0));
  operators_.CreateTable();
  fleet_.Install(config_.deployment);
  queue_.RunUntil(TrueTime(kStartTime));
  platform_.SetListLag(kListLag);

  callers_.Start();
  operators_.Start();
  LookAtTables();
  const TrueTime faults_end = queue_.Now() + kStep * static_cast<int64_t>(config_.steps);
  schedule_.Run(faults_end);
  queue_.RunUntil(faults_end);

  schedule_.HealAll();
  queue_.RunUntil(faults_end + kHealTime - kQuietTime);
  callers_.Stop();
  operators_.Stop();
  queue_.RunUntil(faults_end + kHealTime);
  Report report = judge_.Finish();
  report.datagrams = network_.datagrams_sent();
  EnableTrace(nullptr);
  return report;
}

void Simulation::ObservePlatform() {
  platform_.ObserveCommits(
      [this](int64_t revision, const std::vector<infrastructure::Write>& writes) {
        judge_.table().OnCommit(queue_.Now(), revision, writes);
      });
  platform_.ObserveLeaving([this](const std::string& node) {
    Machine* machine = fleet_.FindByName(node);
    // While the machine is cut off from the platform or from most others, nobody can tell it.
    const bool can_hear = machine != nullptr && machine->undisturbed() &&
                          network_.Reachable(machine->host(), platform_.host()) &&
                          network_.Reachable(platform_.host(), machine->host());
    if (can_hear && fleet_.IsLeaving(*machine)) {
      machine->OnLeaveNotice();
    }
  });
}

void Simulation::LookAtTables() {
  for (const auto& machine : fleet_.machines()) {
    if (!machine->undisturbed()) {
      continue;
    }
    TableInForce look;
    look.instance = machine->daemon().instance().ToString();
    look.reachable_since = machine->undisturbed_since();
    const table::TableSnapshot table = machine->daemon().table()->Current();
    look.revision = table->revision();
    for (const table::Cell& cell : table->cells()) {
      look.content[table::StoreKey(cell.key)] = table::EncodeStoredCell(cell.value, cell.edit_id);
    }
    judge_.table().OnLook(queue_.Now(), look, platform_.up_since());
  }
  queue_.After(kLookInterval, [this] { LookAtTables(); });
}

}  // namespace

Report RunSimulation(const SimulationConfig& config) {
  Simulation simulation(config);
  return simulation.Run();
}

std::vector<FaultKind> DrawFaultKinds(uint64_t seed) {
  SeededRandom random(seed ^ kFaultSeedMix);
  const std::vector<FaultKind>& all = ToleratedFaults();
  const uint64_t draw = random.Below(4);
  if (draw == 0) {
    return {all[random.Below(all.size())]};
  }
  if (draw == 1) {
    return all;
  }
  return {all[random.Below(all.size())], all[random.Below(all.size())]};
}

}  // namespace runshelf::sim
