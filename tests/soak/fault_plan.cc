#include "tests/soak/fault_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "runshelf/common/random.h"

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;
using Mode = FaultProxy::Mode;

// Interval between the starts of consecutive series; shorter than most series, so that they
// overlap.
constexpr Duration kShortestStep = milliseconds(700);
constexpr Duration kLongestStep = milliseconds(4000);
// How long a restarted node waits for the grants of its previous incarnation to expire before it
// gives up the keys of a worker that it has not found: 3 s, plus 2%, plus 0.4 s. The plan brings
// the store back at about that time.
constexpr Duration kKeyGiveUpDelay = milliseconds(3460);
// Longer than the longest lease of a node, 8 s, so that leases expire during the outage.
constexpr Duration kPastLeases = milliseconds(9000);
// Short enough for that lease to survive even if its last renewal was 2 s before the outage.
constexpr Duration kWithinLeases = milliseconds(5500);
// Limits that workers state, in requests per second; below what most of them get otherwise.
constexpr uint64_t kLowestLimit = 1;
constexpr uint64_t kLimitRange = 20;

// Generates the faults; each series is one function.
class Planner {
 public:
  explicit Planner(const FaultPlanInput& input) : input_(input), random_(input.seed) {}

  std::vector<PlannedFault> Plan() {
    Duration at = input_.first;
    while (at < input_.last) {
      DrawSeries(at);
      at += random_.Between(kShortestStep, kLongestStep);
    }
    // Uses a generator of its own, so that the series above stay the same for a given seed.
    random_ = SeededRandom(~input_.seed);
    for (at = input_.first; at < input_.last; at += Time(7000, 16000)) {
      MovesWithUnacknowledgedOrders(at + Time(0, 5000));
    }
    random_ = SeededRandom(~input_.seed + 1);
    for (at = input_.first; at < input_.last; at += Time(2000, 7000)) WorkerProcesses(at);
    random_ = SeededRandom(~input_.seed + 2);
    for (at = input_.first; input_.store_restores && at < input_.last; at += Time(3000, 9000)) {
      StoreRestored(at);
    }
    random_ = SeededRandom(~input_.seed + 3);
    for (at = input_.first; input_.second_answers && at < input_.last; at += Time(1500, 5000)) {
      SecondAnswers(at);
    }
    random_ = SeededRandom(~input_.seed + 4);
    for (at = input_.first; input_.stated_limits && at < input_.last; at += Time(1500, 5000)) {
      StatedLimits(at);
    }
    random_ = SeededRandom(~input_.seed + 5);
    for (at = input_.first; input_.evacuated_zones > 0 && at < input_.last;
         at += Time(4000, 9000)) {
      Evacuation(at);
    }
    std::stable_sort(plan_.begin(), plan_.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return std::move(plan_);
  }

 private:
  using Series = void (Planner::*)(Duration);

  // Picks series without replacement: each occurs once before any is repeated.
  void DrawSeries(Duration at) {
    if (remaining_series_.empty()) {
      remaining_series_ = {&Planner::SingleFault,
                           &Planner::SingleFault,
                           &Planner::RollingStops,
                           &Planner::StopsDuringStoreOutage,
                           &Planner::StopsDuringStoreOutage,
                           &Planner::KillsDuringStoreOutage,
                           &Planner::WorkersReplaced,
                           &Planner::Configurations,
                           &Planner::CrashWithUnacknowledgedOrders,
                           &Planner::PairsCut,
                           &Planner::SilentConnections,
                           &Planner::StoreRejectsSomeNodes,
                           &Planner::StoreMalfunctions};
    }
    const size_t index = random_.Below(remaining_series_.size());
    const Series series = remaining_series_[index];
    remaining_series_.erase(remaining_series_.begin() + static_cast<std::ptrdiff_t>(index));
    (this->*series)(at);
  }

  Duration Time(int shortest_ms, int longest_ms) {
    return random_.Between(milliseconds(shortest_ms), milliseconds(longest_ms));
  }
  size_t Node() { return random_.Below(input_.services.size()); }
  bool Coin() { return random_.Below(2) == 0; }
  Mode AnyMode() {
    constexpr std::array<Mode, 5> kModes{Mode::kDelay, Mode::kReset, Mode::kSilent,
                                         Mode::kForwardOnly, Mode::kBackwardOnly};
    return kModes[random_.Below(kModes.size())];
  }

  // Drops faults that would start too late, and clamps the others to the permitted period.
  void Add(PlannedFault fault) {
    fault.at = std::max(fault.at, input_.first);
    if (fault.at >= input_.last) return;
    fault.time = std::min(fault.time, input_.last - fault.at);
    plan_.push_back(fault);
  }
  void Add(FaultKind kind, Duration at, Duration time, size_t node = 0) {
    PlannedFault fault;
    fault.kind = kind;
    fault.at = at;
    fault.time = time;
    fault.node = node;
    Add(fault);
  }
  void AddStoreOutage(Duration at, Duration time) {
    PlannedFault fault;
    fault.kind = Coin() ? FaultKind::kStoreRefuses : FaultKind::kStoreSilent;
    fault.at = at;
    fault.time = time;
    fault.leases_wait = Coin();
    Add(fault);
  }
  void AddPath(FaultKind kind, Duration at, Duration time, size_t node, Mode mode) {
    PlannedFault fault;
    fault.kind = kind;
    fault.at = at;
    fault.time = time;
    fault.node = node;
    fault.mode = mode;
    fault.delay = Time(20, 600);
    Add(fault);
  }
  // Returns up to `count` distinct random nodes, optionally of one service only.
  std::vector<size_t> SomeNodes(size_t count, const std::string& service = "") {
    std::vector<size_t> nodes;
    for (size_t node = 0; node < input_.services.size(); ++node) {
      if (service.empty() || input_.services[node] == service) nodes.push_back(node);
    }
    for (size_t left = nodes.size(); left > 1; --left) {
      std::swap(nodes[left - 1], nodes[random_.Below(left)]);
    }
    nodes.resize(std::min(nodes.size(), count));
    return nodes;
  }
  size_t Half() const { return std::max<size_t>(2, input_.services.size() / 2); }

  void SingleFault(Duration at) {
    const auto kind = static_cast<FaultKind>(random_.Below(kSingleFaultKinds));
    PlannedFault fault;
    fault.kind = kind;
    fault.at = at;
    fault.time = kind == FaultKind::kStoreDownPastLeases ? kPastLeases : Time(200, 5000);
    fault.node = Node();
    fault.peer =
        (fault.node + 1 + random_.Below(input_.services.size() - 1)) % input_.services.size();
    fault.mode = AnyMode();
    fault.delay = Time(20, 600);
    Add(fault);
  }

  void RollingStops(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(Half()))) {
      if (Coin()) Add(FaultKind::kReloadSettings, at + Time(0, 1500), Time(10, 100), node);
      Add(FaultKind::kTerminateProcess, at, Time(10, 1500), node);
      if (random_.Below(6) == 0)
        Add(FaultKind::kPauseProcess, at + Time(0, 2000), Time(100, 900), node);
      at += Time(200, 1500);
    }
  }

  // Nodes stop while the store is unavailable, so they cannot announce it to other nodes there.
  void StopsDuringStoreOutage(Duration at) {
    const Duration outage = Time(5500, 8500);
    AddStoreOutage(at, outage);
    Duration stop = at + Time(0, 1000);
    // One node of a service without keys, and some others.
    std::vector<size_t> nodes = SomeNodes(1, Coin() ? "plain" : "other");
    for (const size_t node : SomeNodes(random_.Below(Half()))) nodes.push_back(node);
    for (const size_t node : nodes) {
      Add(FaultKind::kTerminateProcess, stop, Time(10, 500), node);
      stop += Time(100, 800);
    }
  }

  // Nodes restart while the store is unavailable; it returns at about the time at which they give
  // up the keys of workers that they have not found.
  void KillsDuringStoreOutage(Duration at) {
    const Duration killed = at + Time(200, 1800);
    const Duration back = killed + kKeyGiveUpDelay + Time(-300, 900);
    AddStoreOutage(at, std::min(back - at, kWithinLeases));
    for (const size_t node : SomeNodes(1 + random_.Below(4), "keyed")) {
      Add(FaultKind::kKillProcess, killed + Time(-150, 150), Time(5, 60), node);
    }
  }

  void WorkersReplaced(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(Half()))) {
      const bool leaves = random_.Below(3) != 0;
      Add(leaves ? FaultKind::kWorkerLeaves : FaultKind::kWorkerCrash, at, Time(50, 2500), node);
      if (random_.Below(4) == 0) {
        Add(FaultKind::kTerminateProcess, at + Time(100, 3000), Time(10, 800), node);
      }
      at += Time(150, 1500);
    }
  }

  void Configurations(Duration at) {
    const size_t count = 2 + random_.Below(6);
    for (size_t index = 0; index < count; ++index) {
      Add(FaultKind::kConfigurationChange, at, Time(10, 100));
      at += Time(100, 1600);
    }
  }

  // A node is killed while its worker has unacknowledged grants or releases that it applies later.
  void CrashWithUnacknowledgedOrders(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(3), "keyed")) {
      const Duration time = Time(1500, 4500);
      Add(FaultKind::kOrdersUnanswered, at, time, node);
      if (Coin()) Add(FaultKind::kHeartbeatsDelayed, at, time, node);
      Add(FaultKind::kKillProcess, at + Time(300, 3000), Time(5, 3000), node);
      if (Coin()) Add(FaultKind::kWorkerLeaves, at + Time(0, 2000), Time(500, 2000), node);
      at += Time(100, 900);
    }
  }

  // Keys move away from a worker with unacknowledged grants or releases that it applies later.
  void MovesWithUnacknowledgedOrders(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(2), "keyed")) {
      Add(FaultKind::kOrdersUnanswered, at, Time(3000, 6000), node);
      const bool leaves = Coin();
      Add(leaves ? FaultKind::kWorkerLeaves : FaultKind::kTerminateProcess, at + Time(1200, 2500),
          Time(10, 500), node);
    }
  }

  // Workers exit and restart with the same identity, at once or after the node has detected the
  // exit, some of them while grants, releases or heartbeats of the previous incarnation are in
  // flight; or workers accept no new connections for a while but keep serving.
  void WorkerProcesses(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(3), Coin() ? "keyed" : "")) {
      const size_t kind = random_.Below(4);
      if (kind == 0) Add(FaultKind::kWorkerResetsNew, at, Time(300, 4000), node);
      if (kind == 1) Add(FaultKind::kWorkerStopsListening, at, Time(300, 4000), node);
      if (kind < 2) continue;
      if (Coin()) Add(FaultKind::kHeartbeatsDelayed, at, Time(2500, 5000), node);
      if (Coin()) Add(FaultKind::kOrdersUnanswered, at, Time(2000, 4000), node);
      Duration restart = at + Time(0, 2000);
      if (Coin()) Add(FaultKind::kPauseProcess, restart, Time(300, 2500), node);
      if (random_.Below(4) == 0) Add(FaultKind::kKillProcess, restart, Time(5, 1500), node);
      const size_t lives = 1 + random_.Below(3);
      for (size_t life = 0; life < lives; ++life) {
        Add(FaultKind::kWorkerRestarts, restart, Coin() ? Time(5, 100) : Time(300, 2500), node);
        restart += Time(100, 3500);
      }
    }
  }

  // Restores an old copy of the store around changes that the copy lacks, some still in progress.
  void StoreRestored(Duration at) {
    const Duration away = Time(100, 2500);
    AddRestore(at, away);
    if (random_.Below(3) == 0) AddRestore(at + away + Time(-100, 1500), Time(100, 1000));
    const Duration beside = at + Time(-3000, 1000);
    if (Coin()) WorkersReplaced(beside);
    if (Coin()) Configurations(beside);
    if (Coin()) MovesWithUnacknowledgedOrders(beside);
    if (random_.Below(4) == 0) RollingStops(beside);
    const size_t killed = random_.Below(4);
    if (killed == 0) Add(FaultKind::kKillAllProcesses, at + away + Time(-500, 500), Time(5, 500));
    if (killed > 1) return;
    for (const size_t node : SomeNodes(random_.Below(Half()))) {
      Add(FaultKind::kKillProcess, at + Time(-500, 3000), Time(5, 1500), node);
    }
  }

  void AddRestore(Duration at, Duration away) {
    PlannedFault fault;
    fault.kind = FaultKind::kStoreRestored;
    fault.at = at;
    fault.time = away;
    fault.copy_age = Time(500, 10000);
    fault.leases_wait = Coin();
    Add(fault);
  }

  // Duplicate responses, some while keys move away from the worker or while the worker or its node
  // restarts.
  void SecondAnswers(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(Half()), Coin() ? "keyed" : "")) {
      Add(FaultKind::kWorkerAnswersTwice, at, Time(1500, 6000), node);
      constexpr std::array<FaultKind, 5> kBeside{
          FaultKind::kWorkerLeaves, FaultKind::kWorkerLeaves, FaultKind::kTerminateProcess,
          FaultKind::kKillProcess, FaultKind::kWorkerRestarts};
      const size_t beside = random_.Below(kBeside.size() + 1);
      if (beside < kBeside.size()) Add(kBeside[beside], at + Time(300, 1500), Time(5, 500), node);
      at += Time(0, 600);
    }
  }

  // Workers state limits, some while they leave or restart or their nodes stop.
  void StatedLimits(Duration at) {
    for (const size_t node : SomeNodes(1 + random_.Below(Half()), Coin() ? "keyed" : "")) {
      PlannedFault fault;
      fault.kind = FaultKind::kWorkerStatesLimit;
      fault.at = at;
      fault.time = Time(2000, 9000);
      fault.node = node;
      fault.limit = static_cast<double>(kLowestLimit + random_.Below(kLimitRange));
      Add(fault);
      constexpr std::array<FaultKind, 3> kBeside{
          FaultKind::kWorkerLeaves, FaultKind::kTerminateProcess, FaultKind::kWorkerRestarts};
      const size_t beside = random_.Below(2 * kBeside.size());
      if (beside < kBeside.size()) Add(kBeside[beside], at + Time(300, 4000), Time(5, 500), node);
      at += Time(0, 600);
    }
  }

  // Operators evacuate a zone, most of the time for longer than that may take to be in force, with
  // workers that end and nodes that stop beside it.
  void Evacuation(Duration at) {
    const size_t zone = random_.Below(input_.evacuated_zones);
    Add(FaultKind::kZoneEvacuated, at, Time(1000, 11000), zone);
    if (Coin()) WorkersReplaced(at + Time(-500, 3000));
    if (random_.Below(4) == 0) RollingStops(at + Time(0, 3000));
    if (random_.Below(4) == 0) AddStoreOutage(at + Time(-1000, 1000), Time(500, 3000));
  }

  void PairsCut(Duration at) {
    const size_t count = 1 + random_.Below(input_.services.size());
    for (size_t index = 0; index < count; ++index) {
      PlannedFault fault;
      fault.kind = FaultKind::kPairPath;
      fault.at = at + Time(0, 1500);
      fault.time = Time(500, 5000);
      fault.node = Node();
      fault.peer =
          (fault.node + 1 + random_.Below(input_.services.size() - 1)) % input_.services.size();
      fault.mode = AnyMode();
      fault.delay = Time(20, 600);
      Add(fault);
    }
  }

  // Simulates a network device, such as a NAT or firewall, that loses its connection table.
  void SilentConnections(Duration at) {
    constexpr std::array<FaultKind, 3> kKinds{
        FaultKind::kStoreConnections, FaultKind::kNodeConnections, FaultKind::kWorkerConnections};
    const FaultKind kind = kKinds[random_.Below(kKinds.size())];
    for (const size_t node : SomeNodes(Coin() ? input_.services.size() : 1 + random_.Below(3))) {
      Add(kind, at + Time(0, 50), Time(10, 50), node);
    }
  }

  void StoreRejectsSomeNodes(Duration at) {
    const Duration time = Time(2000, 9500);
    const Mode mode = AnyMode();
    const std::vector<size_t> nodes = SomeNodes(1 + random_.Below(Half()));
    for (const size_t node : nodes) {
      AddPath(FaultKind::kStoreTurnsAway, at + Time(0, 300), time, node, mode);
    }
    if (Coin()) Add(FaultKind::kTerminateProcess, at + Time(500, 2500), Time(10, 500), nodes[0]);
    if (Coin()) Add(FaultKind::kKillProcess, at + Time(500, 2500), Time(5, 500), nodes.back());
    if (Coin()) Configurations(at + Time(0, 2000));
  }

  void StoreMalfunctions(Duration at) {
    constexpr std::array<FaultKind, 3> kKinds{FaultKind::kStoreLosesAnswers,
                                              FaultKind::kStoreCarriesOutLate,
                                              FaultKind::kStoreForgetsHistory};
    Add(kKinds[random_.Below(kKinds.size())], at, Time(1500, 6000));
    if (Coin()) RollingStops(at + Time(0, 1500));
    if (Coin()) WorkersReplaced(at + Time(0, 1500));
  }

  const FaultPlanInput& input_;
  SeededRandom random_;
  std::vector<PlannedFault> plan_;
  std::vector<Series> remaining_series_;
};

}  // namespace

std::string Describe(const PlannedFault& fault) {
  return fmt::format(
      "{:7.3f} s {} node={} peer={} mode={} leases_wait={} copy_age_ms={} limit={} for {} ms",
      std::chrono::duration<double>(fault.at).count(), FaultName(fault.kind), fault.node,
      fault.peer, static_cast<int>(fault.mode), fault.leases_wait, ToMilliseconds(fault.copy_age),
      fault.limit, ToMilliseconds(fault.time));
}

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanInput& input) {
  return Planner(input).Plan();
}

}  // namespace runshelf::soak
